"""Endpoints from the platform's discovery service, over an HTTP watch."""
