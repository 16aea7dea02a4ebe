"""The servers of the endpoint list: their records, statuses and sizes, and which are available."""

from __future__ import annotations

from math import inf

from brambleplank.decisions.context import Context
from brambleplank.model import Endpoint, EndpointStatus
from brambleplank.records import Server

NEVER = -1.0  # the time of the first list before it has come
MAX_COUNTED_FAILURES = 3
FIRST_POLL_SHARE = 1 / 16  # of the longest poll interval, waited after the first failure; then doubled


class EndpointList:
    """The one owner of the servers' records; lists and changes to them are merged into it."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.servers: dict[str, Server] = {}  # by id
        self.ready: list[Server] = []
        self.available: list[Server] = []  # those of the ready ones that are warm and answer
        self.warm_count = 0
        self.mean_size = 1.0  # of a ready server
        self.total_size = 0.0  # of all servers
        self.latest_start = 0.0  # of a ready server
        self.may_some_only_fail = False
        self.first_list_at = NEVER

    @property
    def has_list(self) -> bool:
        """Whether a list has ever been received."""
        return self.first_list_at >= 0

    def first_list_received(self, now: float) -> None:
        """Notes when the first list came."""
        self.first_list_at = now

    def merge(self, now: float, endpoints: list[Endpoint], complete: bool) -> None:
        """Takes in a list, or changes to one. A server that is not in a whole list is removed."""
        named = {endpoint.id for endpoint in endpoints}
        for server in self.servers.values():
            if complete and server.id not in named:
                set_status(now, server, EndpointStatus.REMOVED)
        for endpoint in endpoints:
            server = self.find_or_add(now, endpoint.id)
            server.zone = endpoint.zone
            server.cell = endpoint.cell
            server.size = endpoint.size
            set_status(now, server, endpoint.status)
            if endpoint.started > server.started:
                server.record_restart(endpoint.started)
        self.servers = {server.id: server for server in self.servers.values() if is_kept(server)}
        self.ready = [server for server in self.servers.values() if server.status is EndpointStatus.READY]
        self.total_size = sum(server.size for server in self.servers.values())
        self.latest_start = max((server.started for server in self.ready), default=0.0)
        self.mean_size = sum(server.size for server in self.ready) / max(1, len(self.ready))

    def find_or_add(self, now: float, server_id: str) -> Server:
        """Returns the record of the server, a new one if no list has named it yet."""
        return self.servers.get(server_id) or self.servers.setdefault(server_id, Server(server_id, now))

    def listed(self) -> list[Server]:
        """Returns the servers that are ready or draining."""
        return [server for server in self.servers.values() if server.status is not EndpointStatus.REMOVED]

    def some_only_fail(self) -> None:
        """Notes that a server may fail every attempt, so that it does not count as available."""
        self.may_some_only_fail = True

    def refresh(self, now: float) -> None:
        """Recomputes which servers are warm and available.

        Servers that have just started, or are dead, would look like room, and the others too full.
        """
        warm_since = max(0.0, now - self.context.settings.slow_start_time)
        self.available = self.ready
        self.warm_count = sum(server.started <= warm_since for server in self.ready)
        if self.latest_start > warm_since or self.may_some_only_fail:
            able = [s for s in self.ready if not (s.only_fails or s.started > warm_since)]
            self.available = able or self.ready


class EndpointListRetries:
    """Spaces out the calls for the endpoint list after failures."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.failures = 0  # in a row

    def succeeded(self) -> None:
        """Begins again with the shortest pause."""
        self.failures = 0

    def failed(self) -> None:
        """Asks for the list again after a pause, so that all proxies together do not overload its service."""
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        longest = self.context.settings.max_list_poll_interval * FIRST_POLL_SHARE * 2**self.failures
        pause = longest * self.context.rng.uniform(0.5, 1.0)
        self.context.host.call_later(pause, lambda _: self.context.host.follow_endpoints())


def set_status(now: float, server: Server, status: EndpointStatus) -> None:
    """Changes the server's status. One that is ready again needs no migration."""
    if server.status is EndpointStatus.READY and status is not EndpointStatus.READY:
        server.unready_since = now
    if status is EndpointStatus.READY:
        server.migrate_by = inf
    server.status = status


def is_kept(server: Server) -> bool:
    """Returns whether the server's record is still needed."""
    return bool(server.connections) or server.status is not EndpointStatus.REMOVED
