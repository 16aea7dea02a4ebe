"""Detection of overloaded servers, by slow messages or dropped connections."""

from __future__ import annotations

from brambleplank.decisions.capacity_shortage import CapacityShortage
from brambleplank.decisions.context import Context
from brambleplank.decisions.load_relief import LoadRelief
from brambleplank.decisions.migration import Migration
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.decisions.stage import Penalty, Stage
from brambleplank.model import REPORT_PERIOD, AttemptOutcome
from brambleplank.records import Attempt, Request, Server

SLOW_DIVISOR = 3  # a server is slow if messages take over a third of the shortest message objective
SLOW_REPORT_LIFETIME = 3 * REPORT_PERIOD  # seconds for which a report of slow messages counts
DROP_LIKELIHOOD_AT_OWNER = 3 / 4  # that a reconnecting client was dropped or migrated by its owner,
DROP_LIKELIHOOD_ELSEWHERE = 2 / 4  # or by a given server further along the ring


class OverloadDetector(Stage):
    """Penalizes servers that show signs of overload.

    Clients dropped by such a server reconnect at once. Without a penalty, the ring would place them at the
    same server, which would drop them again.
    """

    def __init__(
        self,
        context: Context,
        server_pool: ServerPool,
        shortage: CapacityShortage,
        relief: LoadRelief,
        migration: Migration,
    ) -> None:
        super().__init__(context)
        self.server_pool = server_pool
        self.shortage = shortage
        self.relief = relief
        self.migration = migration

    def penalty(self, now: float, request: Request, server: Server) -> Penalty:
        """Returns the penalty for the server's overload; none for resumed sessions."""
        if request.resumed:
            return Penalty.NONE
        if now < server.dropping_until:
            return Penalty.HARMFUL
        if now < server.overdue_until and self.shortage.is_short_of_capacity(now):
            return Penalty.HARMFUL
        if now < server.avoided_until():
            return Penalty.SLOW
        if server.connections or not request.reconnecting or self.server_pool.load_reports.peers:
            return Penalty.NONE
        is_dropped_there = self.context.rng.random() < self.drop_likelihood(request, server)
        return Penalty.SLOW if is_dropped_there else Penalty.NONE

    def drop_likelihood(self, request: Request, server: Server) -> float:
        """Returns the probability that the reconnecting client was at this server through another proxy.

        The client was dropped or migrated there, for a reason that this proxy does not know.
        """
        is_owner = server is self.server_pool.ring.owner(request.ring_position)
        likelihood = DROP_LIKELIHOOD_AT_OWNER if is_owner else DROP_LIKELIHOOD_ELSEWHERE
        likelihood *= 1 - 2 / self.settings.proxies
        likelihood *= self.server_pool.endpoints.mean_size / server.size
        if self.settings.probes_endpoints:
            # If this proxy has few connections, having none there says little, and its probes say more.
            likelihood *= min(1.0, self.server_pool.counts.mean())
        return likelihood

    def message_time_reported(self, now: float, server: Server, seconds: float) -> None:
        """Updates the server's overload by its message time, and relieves it if it is slow."""
        objective = self.settings.shortest_message_objective
        if seconds <= objective / SLOW_DIVISOR:
            server.slow_until = min(now, server.slow_until)
            server.overdue_until = min(now, server.overdue_until)
            return
        server.slow_until = now + SLOW_REPORT_LIFETIME * self.server_pool.load.evidence_lifetime_factor()
        self.shortage.server_overloaded(server.slow_until)
        server.overdue_until = server.slow_until if seconds > objective else now
        self.relief.relieve(now, server, seconds / objective)

    def session_silent(self, now: float, request: Request, seconds: float) -> None:
        """Migrates a session whose server has been silent for too long.

        A dead machine does not close its connections; its clients would otherwise wait for as long as their
        own connections last.
        """
        if seconds > self.settings.max_session_silence:
            self.mark_dropping(request.attempts[-1].server, now + self.settings.overload_window)
            self.migration.migrate(request)

    def attempt_ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome, _delay: float) -> None:
        """Marks a server that resets an established connection."""
        if not attempt.established or outcome is not AttemptOutcome.RESET:
            return
        if now >= attempt.server.dropping_until:
            self.host.log(f"{attempt.server.id} drops connections")
        lifetime = self.settings.overload_window * self.server_pool.load.evidence_lifetime_factor()
        self.mark_dropping(attempt.server, now + lifetime)

    def mark_dropping(self, server: Server, until: float) -> None:
        """Marks the server as dropping connections until that time."""
        server.dropping_until = until
        self.shortage.server_overloaded(until)
