"""Protocols between clients, the proxy and servers: one package each, independent of the others."""
