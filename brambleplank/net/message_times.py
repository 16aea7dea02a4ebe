"""Message times at servers as measured by this proxy."""

from __future__ import annotations

from collections.abc import Iterable

from brambleplank.decisions.balancer import Balancer
from brambleplank.interfaces import ClientConnection, UpstreamConnection
from brambleplank.model import Settings
from brambleplank.net.clock import Clock
from brambleplank.net.upstream_endpoint import upstream_endpoint_of
from brambleplank.records import Server

SWEEP_INTERVAL = 0.1  # seconds
SILENCE_THRESHOLD = 1.0  # seconds after which an unanswered line makes its session silent
LONG_TIME_DIVISOR = 3  # message times above the shortest message objective divided by this are long
REPORT_INTERVAL = 1.0  # minimum seconds between two periodic reports on a server


class MessageTimes:
    """Reports message times to the decisions: from probe delays, and from lines that are still unanswered."""

    def __init__(
        self, clock: Clock, settings: Settings, balancer: Balancer, clients: Iterable[ClientConnection]
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._balancer = balancer
        self._clients = clients
        self._waiting: dict[UpstreamConnection, float] = {}  # since when, at the last sweep

    def update_settings(self, settings: Settings) -> None:
        """Applies new settings."""
        self._settings = settings

    def sweep(self) -> None:
        """Reports silent sessions and servers with long message times, and schedules the next sweep.

        It runs after reads: otherwise, after a stall of this process, lines whose answers have arrived and
        have not been read yet would count as the slowness of servers.
        """
        self._clock.call_after_reads(SWEEP_INTERVAL, self.sweep)
        now = self._clock.now()
        longest = self.longest_waits(now)
        for server in list(self._balancer.servers.values()):
            endpoint = upstream_endpoint_of(server)
            endpoint.record_longest_wait(longest.get(endpoint, 0.0))
            # The next probe reports that a server is no longer slow; without probes, it is reported here.
            was_slow = endpoint.reported_slow and not endpoint.probe_delays
            is_due = self.is_long(endpoint.longest_wait) or was_slow
            if is_due and now >= endpoint.reported_at + REPORT_INTERVAL:
                self.record_message_time(server, 0.0)

    def longest_waits(self, now: float) -> dict[object, float]:
        """Returns the age of the oldest unanswered line in seconds, by server; reports silent sessions.

        Only lines that were unanswered at the last sweep too: a session that has just been adopted from
        another process may have its answer in its socket, which is read after this sweep.
        """
        longest: dict[object, float] = {}
        waiting_before = self._waiting
        self._waiting = {}
        for client in list(self._clients):
            upstream = client.established_upstream
            if not upstream or upstream.ended or not upstream.unanswered_since or not client.request:
                continue
            self._waiting[upstream] = upstream.unanswered_since
            if waiting_before.get(upstream) != upstream.unanswered_since:
                continue
            waited = now - upstream.unanswered_since
            longest[upstream.endpoint] = max(longest.get(upstream.endpoint, 0.0), waited)
            if waited > SILENCE_THRESHOLD:
                self._balancer.session_silent(now, client.request, waited)
        return longest

    def is_long(self, seconds: float) -> bool:
        """Returns whether a message time is so long that it is reported periodically."""
        return seconds > self._settings.shortest_message_objective / LONG_TIME_DIVISOR

    def record_message_time(self, server: Server, seconds: float) -> None:
        """Reports the message time at a server: that of a probe, or the longest wait of a line if longer.

        A hung server answers probes at once, so its unanswered lines have to count as well.
        """
        endpoint = upstream_endpoint_of(server)
        now = self._clock.now()
        seconds = max(seconds, endpoint.longest_wait)
        endpoint.record_report(self.is_long(seconds), now)
        self._balancer.message_time_reported(now, server, max(0.0, seconds), measured=True)
