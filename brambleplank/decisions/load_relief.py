"""Relief of slow servers by migration of sessions away from them."""

from __future__ import annotations

from brambleplank.decisions.capacity_shortage import CapacityShortage
from brambleplank.decisions.context import Context
from brambleplank.decisions.migration import Migration
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.records import Request, Server

RELIEF_SHARE = 1 / 3  # of a server's connections of this proxy, migrated at each report at most
SHORTAGE_FACTOR = 4  # by how much less is migrated by aggregates in a fleet short of capacity


class LoadRelief:
    """Migrates the smallest group off a slow server, and of a large group a part of the excess.

    A server with too much stays slow while its connections last, and a group shares its work.
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

        `lateness` is its message time as a multiple of the shortest objective.
        """
        if not server.requests_by_group:
            return
        # A fleet short of capacity would only chase its groups from server to server.
        if self.shortage.is_short_of_capacity(now) and lateness <= 1:
            return
        sessions = self.sessions_to_migrate(server, lateness)
        # Hundreds of proxies with a connection each there would otherwise empty it in one second.
        share = self.share_to_migrate(now, lateness)
        if self.context.rng.random() * len(sessions) > share * server.connections:
            return
        for session in sessions:
            self.migration.migrate(session)

    def sessions_to_migrate(self, server: Server, lateness: float) -> list[Request]:
        """Returns the sessions of the server's smallest group, or the newest of a large one."""
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
        """Returns the share of this proxy's connections at the server to migrate on average."""
        has_aggregate = self.server_pool.load_reports.has_aggregate
        is_damped = has_aggregate and self.shortage.is_short_of_capacity(now)
        return min(1.0, lateness) * RELIEF_SHARE / (SHORTAGE_FACTOR if is_damped else 1)
