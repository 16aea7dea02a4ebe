"""The proxy's state of a server: its address, probe delays and message time reports."""

from __future__ import annotations

from brambleplank.model import Address
from brambleplank.records import Server

MAX_PROBE_DELAYS = 64  # most recent delays kept per server


class UpstreamEndpoint:
    """A server's address and message time data, in seconds; stored as `Server.handle`."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address: Address | None = None  # None: unknown
        self.probe_delays: list[float] = []  # newest last
        # Typical delay of a probe within the server's zone, last reported by a proxy there; 0: not reported.
        self.reported_typical_delay = 0.0
        self.longest_wait = 0.0  # age of the oldest unanswered line
        self.reported_slow = False  # whether the message time in the last report was long
        self.reported_at = 0.0  # time of the last report of the message time

    def set_address(self, address: Address) -> None:
        """Sets the address for new connections."""
        self.address = address

    def record_probe_delay(self, delay: float) -> None:
        """Records the delay of a probe, and drops the oldest delays beyond the limit."""
        self.probe_delays[:] = [*self.probe_delays[1 - MAX_PROBE_DELAYS :], delay]

    def record_typical_delay(self, delay: float) -> None:
        """Records the typical delay that this proxy or a peer has reported."""
        self.reported_typical_delay = delay

    def record_longest_wait(self, longest_wait: float) -> None:
        """Records the age of the oldest unanswered line; 0: no line is unanswered."""
        self.longest_wait = longest_wait

    def record_report(self, is_long: bool, now: float) -> None:
        """Records a report of the message time, and whether the time was long."""
        self.reported_slow = is_long
        self.reported_at = now


def upstream_endpoint_of(server: Server) -> UpstreamEndpoint:
    """Returns the endpoint of a server, created on first use."""
    endpoint: UpstreamEndpoint | None = server.handle
    if endpoint is None:
        endpoint = UpstreamEndpoint(server.id)
        server.handle = endpoint
    return endpoint
