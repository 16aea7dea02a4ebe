"""A soak of real proxy processes on loopback, under troubles that overlap, judged by independent records.

One event loop plays servers, discovery and clients, and notes what each saw. The proxies are processes
started by the real command, with the faults of `tests/faults.py` loaded ahead; `judge` compares the notes
with the rules once all have ended. `python -m tests.soak --seeds 1-20` plays many seeds.
"""
