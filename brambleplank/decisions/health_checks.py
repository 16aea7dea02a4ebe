"""Probes of servers, and the handling of measured and reported message times."""

from __future__ import annotations

from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.decisions.overload import OverloadDetector
from brambleplank.decisions.slow_start import SlowStart
from brambleplank.model import REPORT_PERIOD
from brambleplank.records import Server

PROBE_PERIODS = 3  # report periods between probes of a server that is not slow
INITIAL_PERIODS = 4  # report periods after the first list in which probes are as frequent as for slow servers
UNREPORTED_PERIODS = (4, 8)  # report periods without a report after which a server of another zone is probed
SHARED_WAIT = (1.5, 2.5)  # probe intervals from another proxy's report to the next probe


class HealthChecks:
    """Probes the servers of this zone.

    From another zone, the time of a probe says less about the server, so servers of other zones are probed
    only if no proxy reports on them.
    """

    def __init__(
        self, context: Context, endpoints: EndpointList, slow_start: SlowStart, overload: OverloadDetector
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.slow_start = slow_start
        self.overload = overload

    def run(self, now: float) -> None:
        """Sends the probes that are due, and reschedules itself several times per report period."""
        try:
            self.probe_due(now)
        finally:  # Otherwise an exception would stop all probes for good.
            pause = REPORT_PERIOD * self.context.rng.uniform(1 / 16, 1 / 8)
            self.context.host.call_later(pause, self.run)

    def probe_due(self, now: float) -> None:
        """Probes each server whose next probe is due."""
        for server in self.endpoints.ready:
            is_unreported = self.is_unreported(now, server)
            if now >= server.next_probe_at and self.may_probe(now, server, is_unreported):
                server.next_probe_at = now + self.probe_interval(now, server)
                self.context.host.probe(server)

    def is_unreported(self, now: float, server: Server) -> bool:
        """Returns whether nobody has reported on the server for some time, randomized at each call."""
        reported_at = max(server.message_time_reported_at, self.endpoints.first_list_at)
        return now - reported_at > REPORT_PERIOD * self.context.rng.uniform(*UNREPORTED_PERIODS)

    def may_probe(self, now: float, server: Server, is_unreported: bool) -> bool:
        """Returns whether this proxy should probe the server."""
        settings = self.context.settings
        if not settings.may_message_peers:
            # Without coordination, the probes of all proxies would overload a server in slow start.
            return server.zone == settings.zone and not self.slow_start.is_in_slow_start(now, server)
        # If nobody reports on a server, its overload would go unnoticed without a probe.
        return server.zone == settings.zone or bool(server.connections and is_unreported)

    def probe_interval(self, now: float, server: Server) -> float:
        """Returns the seconds until the server's next probe."""
        usual_rate_from = max(
            server.avoided_until(), self.endpoints.first_list_at + INITIAL_PERIODS * REPORT_PERIOD
        )
        return REPORT_PERIOD * (PROBE_PERIODS if now >= usual_rate_from else 1)

    def message_time_reported(self, now: float, server: Server, seconds: float, measured: bool) -> None:
        """Handles the message time of a server: measured here, or reported by the server or a peer."""
        self.overload.message_time_reported(now, server, seconds)
        if not measured:
            # Simultaneous probes of the zone's proxies would delay each other, which looks like overload.
            server.message_time_reported_at = now
            wait = self.probe_interval(now, server) * self.context.rng.uniform(*SHARED_WAIT)
            server.next_probe_at = now + wait
        elif self.is_worth_reporting(now, server):
            self.context.host.report_message_time(server, seconds)

    def is_worth_reporting(self, now: float, server: Server) -> bool:
        """Returns whether this proxy should report its measurement to peers."""
        settings = self.context.settings
        if not settings.may_message_peers:
            return False
        is_unreported = now >= server.message_time_reported_at + 2 * REPORT_PERIOD
        return server.zone == settings.zone or server.avoided_until() > now or is_unreported
