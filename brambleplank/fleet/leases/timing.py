"""Durations of promises and leases, and the margins for differing clocks."""

from __future__ import annotations

HEARTBEAT_INTERVAL = 1.0  # seconds between heartbeats, and between lease requests
LEASE_DURATION = 4.0  # seconds that a promise, or a lease of a budget, lasts
MAX_CLOCK_DRIFT = 0.01  # largest relative difference between the rates of two clocks
# Without these margins, a promise or lease could expire at its granter before it expires at its holder.
GRANTER_CLOCK_FACTOR = (1 + MAX_CLOCK_DRIFT) ** 2
HOLDER_CLOCK_FACTOR = (1 - MAX_CLOCK_DRIFT) ** 2
