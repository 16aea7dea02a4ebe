"""Slots in which the attempts at servers in slow start are dealt out, and the tokens used of them."""

from __future__ import annotations

from collections.abc import Callable

from brambleplank.decisions.connection_counts import ConnectionCounts
from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.records import Server

LONG_SLOT_MIN_PROXIES = 150  # proxies from which on slots may last two overload windows
CLOSED_SLOT_COUNT = 2**21 - 1  # tokens, more than any slot has


class SlowStartSlots:
    """Keeps, for each server in slow start, which tokens have been used; a slot lasts one or two windows.

    A token becomes usable at its time in its slot, and expires when a slot's length has passed since then.
    The oldest token is used first, so a slot's number and a count tell which tokens have been used.
    """

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

    def elapsed_slots(self, now: float, server: Server) -> float:
        """Returns the server's age in slots, with fractions."""
        age = now - server.started
        return age / self.context.settings.overload_window / self.windows_per_slot()

    def usable_tokens(self, now: float, server: Server, tokens_until: Callable[[int, float], int]) -> int:
        """Returns the tokens that are usable now, and moves on to the current slot if no older one is left.

        `tokens_until` returns the tokens of a slot, by its number, that become usable in its given share.
        """
        elapsed = self.elapsed_slots(now, server)
        slot = int(elapsed)
        slot_share = elapsed - slot
        carried = self.carried_tokens(server, slot, slot_share, tokens_until)
        if carried > 0:
            return carried + tokens_until(slot, slot_share)
        self.update(now, server)
        return tokens_until(slot, slot_share) - server.slow_start_sent

    @staticmethod
    def carried_tokens(
        server: Server, slot: int, slot_share: float, tokens_until: Callable[[int, float], int]
    ) -> int:
        """Returns the tokens of the previous slot that are neither used nor expired."""
        if slot <= 0 or server.slow_start_slot == slot:
            return 0
        previous = slot - 1
        if server.slow_start_slot != previous:
            server.slow_start_slot = previous
            server.slow_start_sent = 0
        expired = tokens_until(previous, slot_share)
        server.slow_start_sent = max(server.slow_start_sent, expired)
        return max(0, tokens_until(previous, 1.0) - server.slow_start_sent)

    def update(self, now: float, server: Server) -> int:
        """Returns the number of the server's current slot, and drops the unused tokens of earlier ones."""
        slot = int(self.elapsed_slots(now, server))
        if server.slow_start_slot != slot:
            server.slow_start_slot = slot
            server.slow_start_sent = 0
        return slot

    def close_current_slots(self, now: float) -> None:
        """Allows no further attempts in the current slots, as it is unknown what others have sent in them."""
        for server in self.endpoints.servers.values():
            self.update(now, server)
            server.slow_start_sent = CLOSED_SLOT_COUNT
