"""A consistent hash ring: each server owns the arcs that begin at its points."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator

from brambleplank.records import Server


class HashRing:
    """The sorted points of all servers. Ring positions and points share one range of numbers."""

    def __init__(self) -> None:
        self.points: list[int] = []
        self.owners: dict[int, Server] = {}  # by point
        self.servers: dict[Server, None] = {}

    def build(self, servers: list[Server]) -> None:
        """Replaces the servers on the ring.

        Only the points of added and removed servers are changed: with hundreds of servers, rebuilding the
        ring at each change would cost more than all requests.
        """
        updated = dict.fromkeys(servers)
        points_before = len(self.points)
        for server in [server for server in self.servers if server not in updated]:
            for point in server.points:
                self.owners.pop(point, None)
        if len(self.owners) < points_before:
            self.points = [point for point in self.points if point in self.owners]
        added = [server for server in updated if server not in self.servers]
        for server in added:
            self.owners.update(dict.fromkeys(server.points, server))
            self.points += server.points
        if added:
            self.points.sort()
        self.servers = updated

    def owner(self, position: int) -> Server | None:
        """Returns the server with the last point at or before the position; None if the ring is empty."""
        if not self.points:
            return None
        return self.owners[self.points[bisect_right(self.points, position) - 1]]

    def servers_from(self, position: int) -> Iterator[Server]:
        """Yields the distinct servers along the ring, starting with the owner of the position."""
        start = bisect_right(self.points, position) - 1
        seen: set[Server] = set()
        for index in range(start, start + len(self.points)):
            server = self.owners[self.points[index % len(self.points)]]
            if server not in seen:
                seen.add(server)
                yield server
                if len(seen) == len(self.servers):
                    return
