"""The servers of affinity groups: from this proxy's sessions and from other proxies' reports."""

from __future__ import annotations

from brambleplank.model import EndpointStatus
from brambleplank.records import UNREPORTED_POSITION_BITS, Request, Server

MAX_REPORTED = 4096  # reported groups that are kept


class GroupMembers:
    """Counts the sessions of each group, and keeps the servers of displaced groups."""

    def __init__(self) -> None:
        self.session_counts: dict[int, int] = {}  # by ring position
        self.displaced: dict[int, Server] = {}  # by ring position, of groups not at their owner
        # Reported servers and expiry times of groups, by the reported part of their ring positions.
        self.reported: dict[int, tuple[Server, float]] = {}

    def join(self, request: Request, server: Server, is_owner: bool) -> None:
        """Adds a request that is established at the server to its group."""
        position = request.ring_position
        self.session_counts[position] = self.session_counts.get(position, 0) + 1
        server.requests_by_group.setdefault(position, {})[request] = None
        if not is_owner:
            self.displaced[position] = server

    def leave(self, request: Request) -> None:
        """Removes the request from its group."""
        position = request.ring_position
        server = request.attempts[-1].server
        sessions = server.requests_by_group.get(position, {})
        if request not in sessions:
            return
        del sessions[request]
        self.session_counts[position] -= 1
        if not self.session_counts[position]:
            del self.session_counts[position]
        if not sessions:
            del server.requests_by_group[position]
            if self.displaced.get(position) is server:
                del self.displaced[position]

    def record_report(self, position: int, server: Server, until: float) -> None:
        """Stores another proxy's report of a displaced group's server until it expires."""
        self.reported.pop(position >> UNREPORTED_POSITION_BITS, None)
        self.reported[position >> UNREPORTED_POSITION_BITS] = server, until
        if len(self.reported) > MAX_REPORTED:
            del self.reported[next(iter(self.reported))]

    def server_of(self, now: float, position: int) -> Server | None:
        """Returns the server of a displaced group; a report takes precedence over this proxy's sessions."""
        return self.reported_server(now, position) or self.displaced.get(position)

    def reported_server(self, now: float, position: int) -> Server | None:
        """Returns the reported server of a group, if the report has not expired and the server is ready."""
        server, until = self.reported.get(position >> UNREPORTED_POSITION_BITS, (None, 0.0))
        return server if server and now < until and server.status is EndpointStatus.READY else None
