"""The proxy beside one application: its configuration, the checks of it, and its start."""
