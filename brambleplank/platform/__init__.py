"""One proxy as the platform starts it: its JSON, its signals, its exit code."""
