"""Benchmarks, each run by one command; they are not part of the test suite."""
