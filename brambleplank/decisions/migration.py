"""Migration of sessions: each is ended in an orderly way, so that its client reconnects elsewhere."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from itertools import chain
from math import inf

from brambleplank.decisions.context import Context
from brambleplank.decisions.group_members import GroupMembers
from brambleplank.records import Request, Server

MIGRATION_SHARE = 2 / 5  # share of the shutdown time, at its end, over which migrations are spread


class Migration:
    """Migrates sessions one by one before a shutdown of this proxy, or off a server."""

    def __init__(self, context: Context, groups: GroupMembers) -> None:
        self.context = context
        self.groups = groups
        self.shutdown_at = inf  # when a planned shutdown ends; infinity: none is planned
        self.migrate_all_by = inf  # when the first shutdown or drain that was not cancelled ends

    def begin_shutdown(self, now: float, servers: Iterable[Server]) -> None:
        """Schedules the migration of all sessions, including those established later.

        A shutdown during a drain leaves the time of the drain to its sessions.
        """
        self.shutdown_at = now + self.context.settings.shutdown_time
        self.migrate_all_by = min(self.migrate_all_by, self.shutdown_at)
        for server in servers:
            self.schedule(now, sessions_at(server))

    def cancel_shutdown(self) -> None:
        """Keeps the sessions that have not been migrated yet."""
        self.shutdown_at = inf
        self.migrate_all_by = inf

    def migrate_all_from(self, now: float, server: Server) -> None:
        """Schedules the migration of all sessions at the server, until it is listed as ready again."""
        server.migrate_by = now + self.context.settings.shutdown_time
        self.schedule(now, sessions_at(server))

    def session_established(self, now: float, request: Request) -> None:
        """Schedules the migration of a new session if this proxy or its server has a migration deadline."""
        if self.deadline(request) < inf:
            self.schedule(now, [request])

    def deadline(self, request: Request) -> float:
        """Returns the time by which the session has to be migrated; infinity if it stays."""
        return min(self.migrate_all_by, request.attempts[-1].server.migrate_by)

    def schedule(self, now: float, requests: Iterable[Request]) -> None:
        """Schedules the migration of the sessions at random times shortly before the deadline.

        Migrated all at once, the clients would reconnect at the same time. Migrated early, they might find
        other proxies still down.
        """
        for request in requests:
            ahead = self.context.settings.shutdown_time * self.context.rng.uniform(0.0, MIGRATION_SHARE)
            wait = max(0.0, self.deadline(request) - ahead - now)
            self.context.host.call_later(wait, partial(self.migrate_if_due, request))

    def migrate_if_due(self, request: Request, _now: float) -> None:
        """Migrates the session, unless its migration has been cancelled."""
        if self.deadline(request) < inf:
            self.migrate(request)

    def migrate(self, request: Request) -> None:
        """Migrates the session now."""
        self.context.host.migrate(request)
        self.groups.leave(request)
        request.answered = True


def sessions_at(server: Server) -> list[Request]:
    """Returns the sessions at the server, ordered by group."""
    return list(chain.from_iterable(server.requests_by_group.values()))
