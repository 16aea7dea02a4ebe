"""Which servers operators have taken out of rotation, kept apart from what lists say. Free of I/O.

Each list passes through it before the decisions see it. A server that is out of rotation is draining for
them, so nothing new goes there whatever the list says. Times are Unix time in seconds with fractions.
"""

from __future__ import annotations

from brambleplank.errors import BrambleplankError
from brambleplank.model import Endpoint, EndpointStatus

MAX_LISTED = 4096  # servers that are remembered, of those that no list has any more


class UnknownServerError(BrambleplankError, LookupError):
    """No list has ever named that server."""

    ADVICE = "look the server's name up in the list that this proxy follows"


class Rotation:
    """Which servers are out of rotation, since when, and what lists last said of each."""

    def __init__(self) -> None:
        # As last listed, the one listed longest ago first; also those that are removed since.
        self.listed: dict[str, Endpoint] = {}
        self.out_since: dict[str, float] = {}  # since when each server is out of rotation
        # From when to when each server was out, of those that have returned since.
        self.previous_outages: dict[str, tuple[float, float]] = {}

    def apply(self, endpoints: list[Endpoint], complete: bool) -> list[Endpoint]:
        """Returns the list, or changes to it, with the status that operators have given servers."""
        if complete:
            self.remove_unnamed({endpoint.id for endpoint in endpoints})
        for endpoint in endpoints:
            self.note(endpoint)
        if len(self.listed) > MAX_LISTED:
            self.forget_removed()
        return [self.with_rotation(endpoint) for endpoint in endpoints]

    def remove_unnamed(self, named: set[str]) -> None:
        """Notes as removed the servers that a whole list does not name."""
        for endpoint in list(self.listed.values()):
            if endpoint.id not in named and endpoint.status is not EndpointStatus.REMOVED:
                self.note(endpoint._replace(status=EndpointStatus.REMOVED))

    def note(self, endpoint: Endpoint) -> None:
        """Notes what a list says of a server."""
        self.listed.pop(endpoint.id, None)
        self.listed[endpoint.id] = endpoint

    def forget_removed(self) -> None:
        """Forgets removed servers, longest ago first: where each start has a new name, they would pile up."""
        removed = [
            endpoint.id
            for endpoint in self.listed.values()
            if endpoint.status is EndpointStatus.REMOVED and endpoint.id not in self.out_since
        ]
        for server_id in removed[: len(self.listed) - MAX_LISTED]:
            del self.listed[server_id]
            self.previous_outages.pop(server_id, None)

    def with_rotation(self, endpoint: Endpoint) -> Endpoint:
        """Returns the endpoint with the status and start that follow from what operators did."""
        if endpoint.id in self.out_since and endpoint.status is EndpointStatus.READY:
            return endpoint._replace(status=EndpointStatus.DRAINING)
        if endpoint.id not in self.previous_outages:
            return endpoint
        # Most likely it was restarted while it was out, and the list says so late. Without its own start,
        # a burst would push it over. A start after it was taken out, once listed, is that one.
        out_since, out_until = self.previous_outages[endpoint.id]
        return endpoint if endpoint.started > out_since else endpoint._replace(started=out_until)

    def take_out(self, now: float, server_id: str) -> Endpoint:
        """Takes the server out of rotation. Returns its endpoint; raises UnlistedError."""
        self.require_known(server_id)
        self.out_since.setdefault(server_id, now)
        self.previous_outages.pop(server_id, None)
        return self.current(server_id)

    def put_back(self, now: float, server_id: str) -> Endpoint:
        """Returns the server to rotation, however often it was taken out, and returns its endpoint.

        Raises UnlistedError.
        """
        self.require_known(server_id)
        if server_id in self.out_since:
            self.previous_outages[server_id] = (self.out_since.pop(server_id), now)
        return self.current(server_id)

    def current(self, server_id: str) -> Endpoint:
        """Returns the server's endpoint as the decisions are to see it."""
        return self.with_rotation(self.listed.get(server_id) or unknown_endpoint(server_id))

    def require_known(self, server_id: str) -> None:
        """Raises UnlistedError for a server that no list and no operator has ever named."""
        if server_id not in self.listed and server_id not in self.out_since:
            raise UnknownServerError(server_id)


def unknown_endpoint(server_id: str) -> Endpoint:
    """Returns the endpoint of a server of which no more than its name is known.

    It was listed once, or an operator took it out before this process started.
    """
    return Endpoint(server_id, "", 0, EndpointStatus.REMOVED, 1.0, 0.0)
