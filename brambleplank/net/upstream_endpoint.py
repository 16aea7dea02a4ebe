"""How a server is reached, and what the proxy keeps of it beside the decisions' record."""

from __future__ import annotations

from brambleplank.model import Address
from brambleplank.records import Server

MAX_PROBE_DELAYS = 64  # of probes, remembered of a server


class UpstreamEndpoint:
    """The address of a server and its message times, in seconds; `Server.handle` points here."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address: Address | None = None  # None: not known
        self.probe_delays: list[float] = []  # of probes, newest last
        self.reported_typical_delay = (
            0.0  # of a probe within the server's zone, as proxies reported it; 0: none did
        )
        self.longest_wait = 0.0  # for how long the oldest line there has been without an answer
        self.reported_slow = False  # whether the message time was long when it was last reported
        self.reported_at = 0.0  # when it was last reported

    def set_address(self, address: Address) -> None:
        """Sets where new connections go."""
        self.address = address

    def record_probe_delay(self, delay: float) -> None:
        """Remembers the delay of a probe, and forgets the oldest where there are too many."""
        self.probe_delays[:] = [*self.probe_delays[1 - MAX_PROBE_DELAYS :], delay]

    def record_typical_delay(self, delay: float) -> None:
        """Records the typical delay that this or another proxy has reported."""
        self.reported_typical_delay = delay

    def record_longest_wait(self, longest_wait: float) -> None:
        """Records for how long the oldest line has been without an answer; 0: none is."""
        self.longest_wait = longest_wait

    def record_report(self, is_long: bool, now: float) -> None:
        """Records that the message time was reported, and whether it was long."""
        self.reported_slow = is_long
        self.reported_at = now


def upstream_endpoint_of(server: Server) -> UpstreamEndpoint:
    """Returns the endpoint of a server, which is made when it is first asked for."""
    found: UpstreamEndpoint | None = server.handle
    if found is None:
        found = UpstreamEndpoint(server.id)
        server.handle = found
    return found
