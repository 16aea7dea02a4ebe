"""Counts of this proxy's connections, and of those that it has served recently."""

from __future__ import annotations

from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.model import EndpointStatus
from brambleplank.records import DecayingCounter, Server


class ConnectionCounts:
    """Sums of this proxy's connections over its servers. An attempt counts as soon as it is sent."""

    def __init__(self, context: Context, endpoints: EndpointList) -> None:
        self.context = context
        self.endpoints = endpoints
        self.on_all = 0  # connections to servers of any status
        self.on_ready = 0  # connections to ready servers
        self.max_on_ready = 0  # the highest value of `on_ready` so far
        self.served = DecayingCounter()  # connections that ended normally

    def add(self, server: Server, change: int) -> None:
        """Adds `change` to the connections at the server."""
        server.connections += change
        self.on_all += change
        if server.status is EndpointStatus.READY:
            self.on_ready += change
        self.max_on_ready = max(self.max_on_ready, self.on_ready)

    def recount_ready(self) -> None:
        """Recomputes the connections to ready servers after a change of statuses."""
        self.on_ready = sum(server.connections for server in self.endpoints.ready)

    def mean(self) -> float:
        """Returns this proxy's mean number of connections per available server."""
        return self.on_ready / max(1, len(self.endpoints.available))

    def connection_served(self, now: float) -> None:
        """Counts a connection that ended normally."""
        self.served.add(now, self.context.settings.slow_start_time)

    def served_rate(self, now: float) -> float:
        """Returns the recent rate of connections that ended normally, in connections per second.

        It shows what the servers can handle, independent of the rate of arrivals.
        """
        settings = self.context.settings
        counting_time = max(now - self.endpoints.first_list_at, settings.overload_window)
        return self.served.rate(now, settings.slow_start_time, counting_time)
