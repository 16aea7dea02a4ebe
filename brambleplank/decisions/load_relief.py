"""Relieves slow servers by migrating sessions to other servers."""

from __future__ import annotations

from brambleplank.decisions.capacity_shortage import CapacityShortage
from brambleplank.decisions.context import Context
from brambleplank.decisions.migration import Migration
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.records import Request, Server

RELIEF_SHARE = 1 / 3  # of this proxy's connections at the server, migrated per report at most
SHORTAGE_FACTOR = 4  # divides that share if the fleet is short of capacity and there is an aggregate


class LoadRelief:
    """Migrates the smallest group off a slow server, or a part of the excess if that group is large.

    An overloaded server stays slow for as long as its connections last. Whole groups are migrated because the
    members of a group share work.
    """

    def __init__(
        self, context: Context, server_pool: ServerPool, shortage: CapacityShortage, migration: Migration
    ) -> None:
        self.context = context
        self.server_pool = server_pool
        self.shortage = shortage
        self.migration = migration

    def relieve(self, now: float, server: Server, lateness: float) -> None:
        """Migrates some sessions off the server.

        `lateness` is its message time relative to the shortest message latency objective.
        """
        if not server.requests_by_group:
            return
        # If the fleet is short of capacity, groups would only be moved from one slow server to another.
        if self.shortage.is_short_of_capacity(now) and lateness <= 1:
            return
        sessions = self.sessions_to_migrate(server, lateness)
        # Otherwise, hundreds of proxies with one connection each would empty the server within a second.
        share = self.share_to_migrate(now, lateness)
        if self.context.rng.random() * len(sessions) > share * server.connections:
            return
        for session in sessions:
            self.migration.migrate(session)

    def sessions_to_migrate(self, server: Server, lateness: float) -> list[Request]:
        """Returns the sessions of the server's smallest group, or its newest sessions if it is large."""
        groups = server.requests_by_group
        smallest = min(groups, key=lambda position: (len(groups[position]), position))
        sessions = list(groups[smallest])
        if len(sessions) <= self.server_pool.counts.mean() / 2 + 1:
            return sessions
        fair_share = self.server_pool.counts.mean() * server.size / self.server_pool.endpoints.mean_size
        least = 1 if lateness > 1 else 0
        count = max(int(RELIEF_SHARE * (server.connections - fair_share)), least)
        return sessions[-count:] if count else []

    def share_to_migrate(self, now: float, lateness: float) -> float:
        """Returns the mean share of this proxy's connections at the server to migrate."""
        has_aggregate = self.server_pool.load_reports.has_aggregate
        is_damped = has_aggregate and self.shortage.is_short_of_capacity(now)
        return min(1.0, lateness) * RELIEF_SHARE / (SHORTAGE_FACTOR if is_damped else 1)
