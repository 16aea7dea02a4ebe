"""Whether so many servers are overloaded at once that the fleet is short of capacity."""

from __future__ import annotations

from brambleplank.decisions.context import Context
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.model import REPORT_PERIOD
from brambleplank.records import Server

CHECK_PERIOD = REPORT_PERIOD / 2  # seconds
SHORTAGE_DIVISOR = 5  # the fleet is short of capacity if over one server in five is overloaded,
MAX_OVERLOADED = 2  # and more servers than that


class CapacityShortage:
    """Judges the fleet by the available servers of which this proxy has evidence."""

    def __init__(self, context: Context, server_pool: ServerPool) -> None:
        self.context = context
        self.server_pool = server_pool
        self.checked_at = 0.0
        self.overloaded_until = 0.0  # the latest time up to which any server counts as overloaded
        self.is_short = False

    def server_overloaded(self, until: float) -> None:
        """Notes that a server counts as overloaded until that time."""
        self.overloaded_until = max(self.overloaded_until, until)

    def is_short_of_capacity(self, now: float) -> bool:
        """Returns whether the fleet is short of capacity, checked anew now and then."""
        if now >= self.checked_at + CHECK_PERIOD:
            self.check(now)
        return self.is_short

    def check(self, now: float) -> None:
        """Judges the fleet anew."""
        self.server_pool.load.refresh(now)
        self.checked_at = now
        known = self.servers_with_evidence(now) if now < self.overloaded_until else []
        overloaded = sum(now < max(server.slow_until, server.dropping_until) for server in known)
        is_short = overloaded > max(MAX_OVERLOADED, len(known) / SHORTAGE_DIVISOR)
        if is_short != self.is_short:
            self.is_short = is_short
            self.context.host.log("fleet short of capacity" if is_short else "fleet has capacity again")

    def servers_with_evidence(self, now: float) -> list[Server]:
        """Returns the available servers that hold connections of this proxy or have dropped some."""
        available = self.server_pool.endpoints.available
        return [server for server in available if server.connections or now < server.dropping_until]
