"""Time slots of servers in slow start, and the attempts sent in the current one."""

from __future__ import annotations

from brambleplank.decisions.connection_counts import ConnectionCounts
from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.records import Server

LONG_SLOT_MIN_PROXIES = 150  # proxies from which on slots may last two overload windows
CLOSED_SLOT_COUNT = 2**21 - 1  # attempts, more than any slot's budget


class SlowStartSlots:
    """Counts attempts at servers in slow start per slot, which lasts one or two overload windows."""

    def __init__(self, context: Context, endpoints: EndpointList, counts: ConnectionCounts) -> None:
        self.context = context
        self.endpoints = endpoints
        self.counts = counts

    def windows_per_slot(self) -> int:
        """Returns the number of overload windows per slot.

        If each of many proxies rarely has a request for the server, most of its tokens expire unused. In a
        longer slot, it is more likely to have a request.
        """
        settings = self.context.settings
        has_few_requests = (
            settings.proxies >= LONG_SLOT_MIN_PROXIES
            and self.counts.max_on_ready <= self.endpoints.warm_count
        )
        return 2 if has_few_requests and not settings.may_message_peers else 1

    def update(self, now: float, server: Server) -> int:
        """Returns the number of the server's current slot; in a new slot, no attempts have been sent."""
        age = now - server.started
        slot = int(age / self.context.settings.overload_window / self.windows_per_slot())
        if server.slow_start_slot != slot:
            server.slow_start_slot = slot
            server.slow_start_sent = 0
        return slot

    def close_current_slots(self, now: float) -> None:
        """Allows no further attempts in the current slots, as it is unknown what others have sent in them."""
        for server in self.endpoints.servers.values():
            self.update(now, server)
            server.slow_start_sent = CLOSED_SLOT_COUNT
