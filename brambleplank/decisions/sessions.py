"""The handling of established sessions."""

from __future__ import annotations

from brambleplank.decisions.group_reports import GroupReports
from brambleplank.decisions.migration import Migration
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.records import Attempt


class Sessions:
    """Adds sessions to their groups, reports displaced groups, and schedules migrations."""

    def __init__(self, server_pool: ServerPool, group_reports: GroupReports, migration: Migration) -> None:
        self.server_pool = server_pool
        self.group_reports = group_reports
        self.migration = migration

    def session_established(self, now: float, attempt: Attempt) -> None:
        """Handles an attempt that was established."""
        attempt.established = True
        request = attempt.request
        is_owner = attempt.server is self.server_pool.ring.owner(request.ring_position)
        self.server_pool.groups.join(request, attempt.server, is_owner)
        if not is_owner:
            self.group_reports.session_established(now, request, attempt.server)
        self.migration.session_established(now, request)
