"""The servers of the endpoint list: records, statuses, sizes and availability."""

from __future__ import annotations

from math import inf

from brambleplank.decisions.context import Context
from brambleplank.model import Endpoint, EndpointStatus
from brambleplank.records import Server

NO_LIST = -1.0  # the time of the first list, as long as none has been received
MAX_COUNTED_FAILURES = 3
FIRST_POLL_SHARE = 1 / 16  # of the longest poll interval; the least delay after a failure, then doubled


class EndpointList:
    """Owns the records of all servers, and merges endpoint lists into them."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.servers: dict[str, Server] = {}  # by id
        self.ready: list[Server] = []
        self.available: list[Server] = []  # ready servers that are warm and do not fail every attempt
        self.warm_count = 0  # ready servers that are not in slow start
        self.mean_size = 1.0  # of the ready servers
        self.total_size = 0.0  # of all servers
        self.latest_start = 0.0  # of the ready servers
        self.may_have_failing_servers = False
        self.first_list_at = NO_LIST

    @property
    def has_list(self) -> bool:
        """Whether a list has ever been received."""
        return self.first_list_at >= 0

    def first_list_received(self, now: float) -> None:
        """Records the time of the first list."""
        self.first_list_at = now

    def merge(self, now: float, endpoints: list[Endpoint], complete: bool) -> None:
        """Merges a list, or changes to it. A server missing from a complete list is removed."""
        listed_ids = {endpoint.id for endpoint in endpoints}
        for server in self.servers.values():
            if complete and server.id not in listed_ids:
                set_status(now, server, EndpointStatus.REMOVED)
        for endpoint in endpoints:
            server = self.find_or_add(now, endpoint.id)
            server.zone = endpoint.zone
            server.cell = endpoint.cell
            server.size = endpoint.size
            set_status(now, server, endpoint.status)
            if endpoint.started > server.started:
                server.record_restart(endpoint.started)
        self.servers = {server.id: server for server in self.servers.values() if is_needed(server)}
        self.ready = [server for server in self.servers.values() if server.status is EndpointStatus.READY]
        self.total_size = sum(server.size for server in self.servers.values())
        self.latest_start = max((server.started for server in self.ready), default=0.0)
        self.mean_size = sum(server.size for server in self.ready) / max(1, len(self.ready))

    def find_or_add(self, now: float, server_id: str) -> Server:
        """Returns the record of the server; creates it if it has not been listed yet."""
        return self.servers.get(server_id) or self.servers.setdefault(server_id, Server(server_id, now))

    def listed(self) -> list[Server]:
        """Returns the servers that are ready or draining."""
        return [server for server in self.servers.values() if server.status is not EndpointStatus.REMOVED]

    def note_failing_server(self) -> None:
        """Notes that some server may fail every attempt, so that availability has to be recomputed."""
        self.may_have_failing_servers = True

    def refresh(self, now: float) -> None:
        """Recomputes which servers are warm and available.

        Counted as available, servers that are dead or in slow start would look like spare capacity, and the
        others would look overloaded compared with the mean. If there are no others, all ready servers count.
        """
        latest_warm_start = max(0.0, now - self.context.settings.slow_start_time)
        self.available = self.ready
        self.warm_count = sum(server.started <= latest_warm_start for server in self.ready)
        if self.latest_start > latest_warm_start or self.may_have_failing_servers:
            available = [
                s for s in self.ready if not (s.fails_every_attempt or s.started > latest_warm_start)
            ]
            self.available = available or self.ready


class EndpointListRetries:
    """Schedules new subscriptions to the endpoint list after failures, with exponential backoff."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.failures = 0  # consecutive

    def succeeded(self) -> None:
        """Resets the backoff."""
        self.failures = 0

    def failed(self) -> None:
        """Subscribes again after a random delay, so that proxies do not overload the discovery service."""
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        max_pause = self.context.settings.max_list_poll_interval * FIRST_POLL_SHARE * 2**self.failures
        pause = max_pause * self.context.rng.uniform(0.5, 1.0)
        self.context.host.call_later(pause, lambda _: self.context.host.follow_endpoints())


def set_status(now: float, server: Server, status: EndpointStatus) -> None:
    """Sets the server's status. A server that is ready again cancels its migration."""
    if server.status is EndpointStatus.READY and status is not EndpointStatus.READY:
        server.unready_since = now
    if status is EndpointStatus.READY:
        server.migrate_by = inf
    server.status = status


def is_needed(server: Server) -> bool:
    """Returns whether the server is listed or still has connections."""
    return bool(server.connections) or server.status is not EndpointStatus.REMOVED
