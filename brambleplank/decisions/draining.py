"""Keeps new requests away from draining and removed servers."""

from __future__ import annotations

from brambleplank.decisions.stage import Stage
from brambleplank.model import EndpointStatus
from brambleplank.records import Request, Server

RESUME_SHARE = 1 / 2  # share of the drain grace in which a draining server still gets resumed sessions


class DrainStage(Stage):
    """Excludes servers that are not ready, except draining ones for a resumed session for a while."""

    def excludes(self, now: float, request: Request, server: Server) -> bool:
        """Returns whether the server is not ready and the request may not resume a session there."""
        if server.status is EndpointStatus.READY:
            return False
        # The rest of the grace is reserved for establishing the attempt.
        is_late = now >= server.unready_since + self.settings.drain_grace * RESUME_SHARE
        return is_late or not request.resumed or server.status is EndpointStatus.REMOVED
