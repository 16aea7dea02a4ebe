"""Endpoints from a server file on this machine, which is polled for changes."""
