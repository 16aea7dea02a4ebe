"""Servers that operators have taken out of rotation, kept separately from the endpoint list. No I/O.

Each list is filtered here before the decisions get it. A server out of rotation is passed on as draining, so
that it gets no new requests whatever its listed status. All times are Unix time in floating-point seconds.
"""

from __future__ import annotations

from brambleplank.errors import BrambleplankError
from brambleplank.model import Endpoint, EndpointStatus

MAX_LISTED = 4096  # servers that are remembered; beyond that, removed ones are forgotten


class UnknownServerError(BrambleplankError, LookupError):
    """The server has never been listed."""

    ADVICE = "look up the server's name in the endpoint list that this proxy follows"


class Rotation:
    """The servers out of rotation, and the last known endpoint of each server."""

    def __init__(self) -> None:
        # As last listed, least recently listed first; includes servers that have been removed since.
        self.listed: dict[str, Endpoint] = {}
        self.out_since: dict[str, float] = {}  # when each server was taken out of rotation
        # Begin and end of the last time out of rotation, of servers that are back in rotation.
        self.previous_outages: dict[str, tuple[float, float]] = {}

    def apply(self, endpoints: list[Endpoint], complete: bool) -> list[Endpoint]:
        """Returns the list, or changes to it, with operators' commands applied."""
        if complete:
            self.mark_unlisted_removed({endpoint.id for endpoint in endpoints})
        for endpoint in endpoints:
            self.record(endpoint)
        if len(self.listed) > MAX_LISTED:
            self.forget_removed()
        return [self.apply_rotation(endpoint) for endpoint in endpoints]

    def mark_unlisted_removed(self, listed_ids: set[str]) -> None:
        """Marks the servers missing from a complete list as removed."""
        for endpoint in list(self.listed.values()):
            if endpoint.id not in listed_ids and endpoint.status is not EndpointStatus.REMOVED:
                self.record(endpoint._replace(status=EndpointStatus.REMOVED))

    def record(self, endpoint: Endpoint) -> None:
        """Stores the endpoint as the last known one of its server."""
        self.listed.pop(endpoint.id, None)
        self.listed[endpoint.id] = endpoint

    def forget_removed(self) -> None:
        """Forgets removed servers, oldest first; they pile up if each start has a new name."""
        removed = [
            endpoint.id
            for endpoint in self.listed.values()
            if endpoint.status is EndpointStatus.REMOVED and endpoint.id not in self.out_since
        ]
        for server_id in removed[: len(self.listed) - MAX_LISTED]:
            del self.listed[server_id]
            self.previous_outages.pop(server_id, None)

    def apply_rotation(self, endpoint: Endpoint) -> Endpoint:
        """Returns the endpoint with operators' commands applied to its status and start time."""
        if endpoint.id in self.out_since and endpoint.status is EndpointStatus.READY:
            return endpoint._replace(status=EndpointStatus.DRAINING)
        if endpoint.id not in self.previous_outages:
            return endpoint
        # The server was most likely restarted while out of rotation, and its start is listed late. Without
        # a start time, it would get no slow start, and a burst would overload it. A listed start after it
        # was taken out is the real one.
        out_since, out_until = self.previous_outages[endpoint.id]
        return endpoint if endpoint.started > out_since else endpoint._replace(started=out_until)

    def take_out(self, now: float, server_id: str) -> Endpoint:
        """Takes the server out of rotation and returns its endpoint. Raises UnknownServerError."""
        self.require_known(server_id)
        self.out_since.setdefault(server_id, now)
        self.previous_outages.pop(server_id, None)
        return self.current_endpoint(server_id)

    def put_back(self, now: float, server_id: str) -> Endpoint:
        """Puts the server back into rotation, however often it was taken out, and returns its endpoint.

        Raises UnknownServerError.
        """
        self.require_known(server_id)
        if server_id in self.out_since:
            self.previous_outages[server_id] = (self.out_since.pop(server_id), now)
        return self.current_endpoint(server_id)

    def current_endpoint(self, server_id: str) -> Endpoint:
        """Returns the server's endpoint as the decisions get it."""
        return self.apply_rotation(self.listed.get(server_id) or unknown_endpoint(server_id))

    def require_known(self, server_id: str) -> None:
        """Raises UnknownServerError for a server that is neither listed nor out of rotation."""
        if server_id not in self.listed and server_id not in self.out_since:
            raise UnknownServerError(server_id)


def unknown_endpoint(server_id: str) -> Endpoint:
    """Returns the endpoint of a server of which only the name is known.

    An operator took it out of rotation before this process started, and it has not been listed since.
    """
    return Endpoint(server_id, "", 0, EndpointStatus.REMOVED, 1.0, 0.0)
