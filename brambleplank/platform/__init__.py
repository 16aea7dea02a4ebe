"""The proxy as a program of the platform: JSON configuration, signals, exit code and upgrades."""
