"""Probes of servers, and what is done with the message times that they or peers report."""

from __future__ import annotations

from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.decisions.overload import OverloadDetector
from brambleplank.decisions.slow_start import SlowStart
from brambleplank.model import REPORT_PERIOD
from brambleplank.records import Server

USUAL_PERIODS = 3  # report periods between two probes of a server that is not slow
FIRST_PERIODS = 4  # report periods after the first list in which servers are probed as often as slow ones
UNREPORTED_PERIODS = (4, 8)  # report periods without a report, after which a distant server is probed
SHARED_WAIT = (1.5, 2.5)  # probe intervals to wait after another proxy's report


class HealthChecks:
    """Probes the servers of this zone.

    From afar, a probe's time says less, so distant servers are probed only where nobody reports on them.
    """

    def __init__(
        self, context: Context, endpoints: EndpointList, slow_start: SlowStart, overload: OverloadDetector
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.slow_start = slow_start
        self.overload = overload

    def run(self, now: float) -> None:
        """Sends the probes that are due, several times a period."""
        try:
            self.probe_due(now)
        finally:  # An exception would otherwise end the probes for good.
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
        """Returns whether nobody has reported on the server for long, drawn anew each time."""
        reported_at = max(server.message_time_reported_at, self.endpoints.first_list_at)
        return now - reported_at > REPORT_PERIOD * self.context.rng.uniform(*UNREPORTED_PERIODS)

    def may_probe(self, now: float, server: Server, is_unreported: bool) -> bool:
        """Returns whether this proxy is one to probe the server."""
        settings = self.context.settings
        if not settings.may_message_peers:
            # Probes of all proxies, each by itself, would push over a server in slow start.
            return server.zone == settings.zone and not self.slow_start.is_in_slow_start(now, server)
        # Without a probe, nobody would see the overload of a server that nobody reports on.
        return server.zone == settings.zone or bool(server.connections and is_unreported)

    def probe_interval(self, now: float, server: Server) -> float:
        """Returns the seconds to the server's next probe."""
        calm_from = max(server.slow_until, self.endpoints.first_list_at + FIRST_PERIODS * REPORT_PERIOD)
        return REPORT_PERIOD * (USUAL_PERIODS if now >= calm_from else 1)

    def message_time_reported(self, now: float, server: Server, seconds: float, measured: bool) -> None:
        """Takes in how long messages take at the server: measured here, or reported by it or a peer."""
        self.overload.message_time_reported(now, server, seconds)
        if not measured:
            # Proxies of a zone that probe at once would wait behind each other, and take that for overload.
            server.message_time_reported_at = now
            wait = self.probe_interval(now, server) * self.context.rng.uniform(*SHARED_WAIT)
            server.next_probe_at = now + wait
        elif self.is_worth_reporting(now, server):
            self.context.host.report_message_time(server, seconds)

    def is_worth_reporting(self, now: float, server: Server) -> bool:
        """Returns whether peers are told what this proxy has measured."""
        settings = self.context.settings
        if not settings.may_message_peers:
            return False
        is_unreported = now >= server.message_time_reported_at + 2 * REPORT_PERIOD
        return server.zone == settings.zone or server.slow_until > now or is_unreported
