"""Time slots of a server in slow start, and the attempts sent to it in the present one."""

from __future__ import annotations

from brambleplank.decisions.connection_counts import ConnectionCounts
from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.records import Server

MANY_PROXIES = 150
NO_MORE = 2**21 - 1  # attempts; more than any slot's budget


class SlowStartSlots:
    """Counts attempts at servers in slow start by slots of a whole number of overload windows."""

    def __init__(self, context: Context, endpoints: EndpointList, counts: ConnectionCounts) -> None:
        self.context = context
        self.endpoints = endpoints
        self.counts = counts

    def windows_per_slot(self) -> int:
        """Returns the overload windows in a slot.

        Where each of many proxies rarely has a request for the server, most of its tokens expire unused, and
        a longer slot meets more requests.
        """
        settings = self.context.settings
        has_few_requests = (
            settings.proxies >= MANY_PROXIES and self.counts.most_on_ready <= self.endpoints.warm_count
        )
        return 2 if has_few_requests and not settings.may_message_peers else 1

    def update(self, now: float, server: Server) -> int:
        """Returns the number of the server's present slot; a new one begins with no attempt sent."""
        age = now - server.started
        slot = int(age / self.context.settings.overload_window / self.windows_per_slot())
        if server.slow_start_slot != slot:
            server.slow_start_slot = slot
            server.slow_start_sent = 0
        return slot

    def close_present(self, now: float) -> None:
        """Allows no further attempt in the present slots: what others sent in them is not known."""
        for server in self.endpoints.servers.values():
            self.update(now, server)
            server.slow_start_sent = NO_MORE
