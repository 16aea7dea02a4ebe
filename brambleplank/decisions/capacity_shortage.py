"""Detects a fleet short of capacity: many servers are overloaded at the same time."""

from __future__ import annotations

from brambleplank.decisions.context import Context
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.model import REPORT_PERIOD
from brambleplank.records import Server

CHECK_PERIOD = REPORT_PERIOD / 2  # seconds
SHORTAGE_DIVISOR = 5  # the fleet is short of capacity if more than one server in five is overloaded,
MAX_OVERLOADED = 2  # and more than this number of servers


class CapacityShortage:
    """Judges the fleet by the available servers for which this proxy has evidence of their load."""

    def __init__(self, context: Context, server_pool: ServerPool) -> None:
        self.context = context
        self.server_pool = server_pool
        self.checked_at = 0.0
        self.overloaded_until = 0.0  # until when any server counts as overloaded
        self.is_short = False

    def server_overloaded(self, until: float) -> None:
        """Records that a server counts as overloaded until that time."""
        self.overloaded_until = max(self.overloaded_until, until)

    def is_short_of_capacity(self, now: float) -> bool:
        """Returns whether the fleet is short of capacity; rechecks at most once per check period."""
        if now >= self.checked_at + CHECK_PERIOD:
            self.check(now)
        return self.is_short

    def check(self, now: float) -> None:
        """Counts the overloaded servers, and logs when a shortage begins or ends."""
        self.server_pool.load.refresh(now)
        self.checked_at = now
        servers = self.servers_with_evidence(now) if now < self.overloaded_until else []
        overloaded = sum(now < max(server.avoided_until(), server.dropping_until) for server in servers)
        is_short = overloaded > max(MAX_OVERLOADED, len(servers) / SHORTAGE_DIVISOR)
        if is_short != self.is_short:
            self.is_short = is_short
            self.context.host.log("fleet short of capacity" if is_short else "fleet has capacity again")

    def servers_with_evidence(self, now: float) -> list[Server]:
        """Returns the available servers that have connections of this proxy, or drop connections."""
        available = self.server_pool.endpoints.available
        return [server for server in available if server.connections or now < server.dropping_until]
