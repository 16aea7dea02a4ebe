"""The sidecar, a proxy beside one application: its configuration file, the checks of it, and the process."""
