"""Management API over HTTP: readiness, metrics, server rotation, drain and resume."""
