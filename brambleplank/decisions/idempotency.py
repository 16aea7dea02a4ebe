"""Keeps a request from taking effect twice, once an attempt of it may have run."""

from __future__ import annotations

from brambleplank.decisions.stage import Penalty, Stage
from brambleplank.model import DeduplicationScope, Idempotency
from brambleplank.records import Request, Server


class IdempotencyStage(Stage):
    """Excludes servers at which a request could take effect a second time."""

    def excludes(self, now: float, request: Request, server: Server) -> bool:
        """Returns whether the server would not recognize a repeat of the request."""
        first = request.may_have_run
        traffic_class = request.traffic_class
        if first is None or traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return False
        if traffic_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return True
        # The request is written once the connection is established, which may take until then.
        latest_write = now + self.settings.connect_timeout + self.context.deadline_margin
        if latest_write >= first.sent + traffic_class.deduplication_window:
            return True
        if traffic_class.deduplication_scope is DeduplicationScope.ALL:
            return False
        if traffic_class.deduplication_scope is DeduplicationScope.ZONE:
            return server.zone != first.server.zone
        return server.cell != first.server.cell

    def penalty(self, _now: float, request: Request, server: Server) -> Penalty:
        """Penalizes servers at which the request has already been attempted."""
        if any(attempt.server is server for attempt in request.attempts):
            return Penalty.FULL
        return Penalty.NONE
