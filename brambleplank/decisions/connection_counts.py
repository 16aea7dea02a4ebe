"""How many connections this proxy holds, and how many it has served lately."""

from __future__ import annotations

from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.model import EndpointStatus
from brambleplank.records import DecayingCounter, Server


class ConnectionCounts:
    """Sums of this proxy's connections over its servers. An attempt counts from when it is sent."""

    def __init__(self, context: Context, endpoints: EndpointList) -> None:
        self.context = context
        self.endpoints = endpoints
        self.on_all = 0  # connections, on servers of any status
        self.on_ready = 0  # connections, on ready servers
        self.max_on_ready = 0  # the largest that `on_ready` has been
        self.served = DecayingCounter()  # connections that ended well

    def add(self, server: Server, change: int) -> None:
        """Counts one connection more or fewer at the server."""
        server.connections += change
        self.on_all += change
        if server.status is EndpointStatus.READY:
            self.on_ready += change
        self.max_on_ready = max(self.max_on_ready, self.on_ready)

    def recount_ready(self) -> None:
        """Recomputes the count on ready servers, after statuses have changed."""
        self.on_ready = sum(server.connections for server in self.endpoints.ready)

    def mean(self) -> float:
        """Returns this proxy's mean count of connections on available servers."""
        return self.on_ready / max(1, len(self.endpoints.available))

    def connection_served(self, now: float) -> None:
        """Counts a connection that ended well."""
        self.served.add(now, self.context.settings.slow_start_time)

    def served_rate(self, now: float) -> float:
        """Returns the connections a second that ended well lately: what servers bear, whatever arrives."""
        settings = self.context.settings
        counting_time = max(now - self.endpoints.first_list_at, settings.overload_window)
        return self.served.rate(now, settings.slow_start_time, counting_time)
