"""State that the processes of a fleet share: members, leases, counts, server observations, route tables.

Performs no I/O and reads no clock.
"""
