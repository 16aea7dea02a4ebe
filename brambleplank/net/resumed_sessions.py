"""Resumption of sessions that were open at a server before this proxy started."""

from __future__ import annotations

from brambleplank.decisions.balancer import Balancer
from brambleplank.interfaces import ClientConnection
from brambleplank.model import AttemptOutcome, EndpointStatus
from brambleplank.net.clock import Clock
from brambleplank.records import Server

CONNECT_RETRY_DELAY = 0.1  # seconds
RESUME_WINDOW = 40.0  # seconds after the proxy's start in which sessions may be resumed
UNREACHED_OUTCOMES = (AttemptOutcome.UNREACHABLE, AttemptOutcome.LOCAL_FAULT)


class ResumedSessions:
    """Decides which sessions may be resumed, and retries failed connections to their servers."""

    def __init__(self, clock: Clock, balancer: Balancer) -> None:
        self.started_at = clock.now()  # start of this proxy's first process, by `Clock.now`
        self._clock = clock
        self._balancer = balancer

    def adopt_start_time(self, started_at: float) -> None:
        """Adopts the start time of the predecessor process."""
        self.started_at = started_at

    def resumable_server(self, server_id: str, drain_grace: float) -> Server | None:
        """Returns the server if a session may be resumed there, otherwise None.

        Any client can claim to have a session. Outside the window, or at a server that has been draining for
        more than half of the drain grace (seconds), a claim would bypass drains and slow start.
        """
        now = self._clock.now()
        server = self._balancer.servers.get(server_id)
        if server is None or now > self.started_at + RESUME_WINDOW:
            return None
        is_draining = server.status is not EndpointStatus.READY
        if is_draining and now > server.unready_since + drain_grace / 2:
            return None
        return server

    def retry_connect(self, client: ClientConnection, outcome: AttemptOutcome) -> bool:
        """Schedules another connection to a server that could not be reached; returns whether it did.

        Otherwise a single lost packet after the start, when all sessions are resumed at once, would end a
        session.
        """
        if outcome not in UNREACHED_OUTCOMES or self._clock.now() >= self.started_at + RESUME_WINDOW:
            return False
        self._clock.call_later(CONNECT_RETRY_DELAY, self._connect_again, client)
        return True

    @staticmethod
    def _connect_again(client: ClientConnection) -> None:
        if not client.end_code:
            client.open_upstream(client.upstreams[-1].endpoint, 0.0)
