"""Short server identifiers in messages between processes: the low bytes of a hash of the server's id.

A tag depends on the id alone, not on the other servers of the list. Every report names a server, so tags are
as short as the number of servers in the sender's list allows, to save traffic; each message declares the
width of its tags. If two servers of a list share a tag at that width, nothing is reported about either of
them, and received entries with that tag are ignored. A collision between a server that only the sender has
and one that only the receiver has is not detected; it can occur while their lists differ, and
`MAX_COLLISION_RATIO` keeps it rare.
"""

from __future__ import annotations

from collections.abc import Iterable

from brambleplank.records import Server

TAG_WIDTHS = (2, 3, 4)  # bytes
# Bytes; used where a mistaken server would violate a rule. A collision becomes likely at about 65,000
# servers.
MAX_TAG_WIDTH = 4
# Limit of (number of servers)^2 / (number of tags of a width); at the limit, the probability of a collision
# is about 1/32.
MAX_COLLISION_RATIO = 1 / 16


class ServerTags:
    """The tags of a list of servers, and the servers by their tags."""

    def __init__(self, servers: Iterable[Server]) -> None:
        self.by_id = {server.id: server for server in servers}
        self.by_width: dict[int, dict[int, Server]] = {}  # servers by tag, computed on first use of a width
        self.width = self.smallest_width()

    def smallest_width(self) -> int:
        """Returns the tag width for this list: 2 bytes for up to 64 servers, 3 for up to 1,024, otherwise 4.

        The width is larger than uniqueness in this list requires: at the smallest unique width, a tag would
        often match a different server at a process with a newer list.
        """
        count = len(self.by_id)
        for width in TAG_WIDTHS:
            if count**2 <= MAX_COLLISION_RATIO * 256**width and len(self.servers_by_tag(width)) == count:
                return width
        return MAX_TAG_WIDTH

    def servers_by_tag(self, width: int) -> dict[int, Server]:
        """Returns the servers by their tags of `width` bytes, without servers that share a tag."""
        if width not in self.by_width:
            by_tag: dict[int, Server] = {}
            collisions = set()
            for server in self.by_id.values():
                tag = server_tag(server, width)
                if by_tag.setdefault(tag, server) is not server:
                    collisions.add(tag)
            self.by_width[width] = {tag: server for tag, server in by_tag.items() if tag not in collisions}
        return self.by_width[width]

    def tag(self, server: Server, width: int) -> int | None:
        """Returns a server's tag; None if the tag is not unique, or the server is not in the list."""
        tag = server_tag(server, width)
        return tag if self.servers_by_tag(width).get(tag) is server else None

    def ambiguous_servers(self) -> list[Server]:
        """Returns the servers whose tags collide even at the largest width."""
        if self.width != MAX_TAG_WIDTH:
            return []
        named = set(self.servers_by_tag(MAX_TAG_WIDTH).values())
        return [server for server in self.by_id.values() if server not in named]


def server_tag(server: Server, width: int) -> int:
    """Returns the low `width` bytes of the server's first point on the ring, which is a hash of its id."""
    return server.points[0] & (1 << 8 * width) - 1
