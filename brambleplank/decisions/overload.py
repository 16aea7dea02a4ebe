"""Detection of overloaded servers: slow messages, or connections that they drop."""

from __future__ import annotations

from brambleplank.decisions.capacity_shortage import CapacityShortage
from brambleplank.decisions.context import Context
from brambleplank.decisions.load_relief import LoadRelief
from brambleplank.decisions.migration import Migration
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.decisions.stage import Penalty, Stage
from brambleplank.model import REPORT_PERIOD, AttemptOutcome
from brambleplank.records import Attempt, Request, Server

SLOW_DIVISOR = 3  # a server is slow from one third of the shortest message objective on
SLOW_FOR = 3 * REPORT_PERIOD  # seconds for which a report of slow messages holds
DROPPED_AT_OWNER = 3 / 4  # likelihood that a reconnecting client was dropped or migrated at its owner,
DROPPED_FURTHER_ON = 2 / 4  # or at a given server further round the ring


class OverloadDetector(Stage):
    """Penalizes servers that show they have too much.

    Clients that such a server drops reconnect at once. The ring would place them there again, and the server
    would drop them again.
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
        """Returns how strongly the server's overload speaks against it; a resumed session goes on there."""
        if request.resumed:
            return Penalty.NONE
        if now < server.dropping_until:
            return Penalty.HARMFUL
        if now < server.overdue_until and self.shortage.is_short_of_capacity(now):
            return Penalty.HARMFUL
        if now < server.slow_until:
            return Penalty.SLOW
        if server.connections or not request.reconnecting or self.server_pool.load_reports.peers:
            return Penalty.NONE
        is_dropped_there = self.context.rng.random() < self.likelihood_of_drop(request, server)
        return Penalty.SLOW if is_dropped_there else Penalty.NONE

    def likelihood_of_drop(self, request: Request, server: Server) -> float:
        """Returns how likely it is that a reconnecting client comes from this server, at another proxy.

        That proxy dropped or migrated it for a reason that this one is not told.
        """
        is_owner = server is self.server_pool.ring.owner(request.ring_position)
        likelihood = DROPPED_AT_OWNER if is_owner else DROPPED_FURTHER_ON
        likelihood *= 1 - 2 / self.settings.proxies
        likelihood *= self.server_pool.endpoints.mean_size / server.size
        if self.settings.probes_endpoints:
            # That this proxy holds none there says little where it holds few, and its probes say more.
            likelihood *= min(1.0, self.server_pool.counts.mean())
        return likelihood

    def message_time_reported(self, now: float, server: Server, seconds: float) -> None:
        """Takes in how long messages take at the server; relieves it if they are slow."""
        objective = self.settings.shortest_message_objective
        if seconds <= objective / SLOW_DIVISOR:
            server.slow_until = min(now, server.slow_until)
            server.overdue_until = min(now, server.overdue_until)
            return
        server.slow_until = now + SLOW_FOR * self.server_pool.load.evidence_lifetime_factor()
        self.shortage.server_overloaded(server.slow_until)
        server.overdue_until = server.slow_until if seconds > objective else now
        self.relief.relieve(now, server, seconds / objective)

    def session_silent(self, now: float, request: Request, seconds: float) -> None:
        """Migrates a session whose server has sent nothing for so many seconds, if they are too many.

        A dead machine closes no connection; its clients would wait there for as long as their own last.
        """
        if seconds > self.settings.max_session_silence:
            self.server_drops(request.attempts[-1].server, now + self.settings.overload_window)
            self.migration.migrate(request)

    def attempt_ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome, _delay: float) -> None:
        """Notes a server that drops an established connection."""
        if not attempt.established or outcome is not AttemptOutcome.RESET:
            return
        if now >= attempt.server.dropping_until:
            self.host.log(f"{attempt.server.id} drops connections")
        lifetime = self.settings.overload_window * self.server_pool.load.evidence_lifetime_factor()
        self.server_drops(attempt.server, now + lifetime)

    def server_drops(self, server: Server, until: float) -> None:
        """Counts the server as one that drops connections until that time."""
        server.dropping_until = until
        self.shortage.server_overloaded(until)
