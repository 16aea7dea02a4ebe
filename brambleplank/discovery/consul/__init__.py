"""Endpoints from Consul's catalog and health checks, over its HTTP API."""
