"""Soak test: real proxy processes on loopback under overlapping faults, checked against independent records.

A single event loop simulates the servers, discovery and the clients, and records what each of them observes.
The proxies are separate processes that run the real command after the fault hooks of `tests/faults.py` have
been installed. When all processes have exited, the `judge` module checks the records against the rules.
`python -m tests.soak --seeds 1-20` runs a range of seeds.
"""
