"""Short names of servers between processes: the last bytes of a hash of each id, whatever else a list holds.

All that is reported names a server, and is paid for by the byte. So a tag has as few bytes as tell the
servers of the sender's list apart with room to spare; a message says how many. Where two servers of one list
share a tag even so, neither can be named by it: nothing is reported of them, and what is received with that
tag is ignored. A collision of a server that only the sender knows with one that only the receiver knows is
not detected; it is possible while their lists differ, and rare by `MAX_CROWDING`.
"""

from __future__ import annotations

from collections.abc import Iterable

from brambleplank.records import Server

TAG_WIDTHS = (2, 3, 4)  # bytes of a tag
MAX_TAG_WIDTH = 4  # where a wrong server would break a rule: one collision is likely in some 65,000 servers
MAX_CROWDING = 1 / 16  # of the tags of a width, the most that the square of the number of servers may be


class ServerTags:
    """The tags of a list of servers, and the servers by their tags."""

    def __init__(self, servers: Iterable[Server]) -> None:
        self.by_id = {server.id: server for server in servers}
        self.by_width: dict[int, dict[int, Server]] = {}  # made for a width when it is first needed
        self.width = self.narrowest()

    def narrowest(self) -> int:
        """Returns the fewest bytes that tell the servers apart: 2 for up to 64 servers, 3 for up to 1,024.

        A width that is just enough would often name another server to a process whose list is newer.
        """
        count = len(self.by_id)
        for width in TAG_WIDTHS:
            if count**2 <= MAX_CROWDING * 256**width and len(self.servers_by_tag(width)) == count:
                return width
        return MAX_TAG_WIDTH

    def servers_by_tag(self, width: int) -> dict[int, Server]:
        """Returns the servers by their tags of so many bytes, without those that share one."""
        if width not in self.by_width:
            by_tag: dict[int, Server] = {}
            collisions = set()
            for server in self.by_id.values():
                tag = tag_of(server, width)
                if by_tag.setdefault(tag, server) is not server:
                    collisions.add(tag)
            self.by_width[width] = {tag: server for tag, server in by_tag.items() if tag not in collisions}
        return self.by_width[width]

    def tag(self, server: Server, width: int) -> int | None:
        """Returns a server's tag; None if it has none of its own, or is not in the list."""
        tag = tag_of(server, width)
        return tag if self.servers_by_tag(width).get(tag) is server else None

    def ambiguous_servers(self) -> list[Server]:
        """Returns the servers that not even the widest tags tell apart."""
        if self.width != MAX_TAG_WIDTH:
            return []
        named = set(self.servers_by_tag(MAX_TAG_WIDTH).values())
        return [server for server in self.by_id.values() if server not in named]


def tag_of(server: Server, width: int) -> int:
    """Returns so many bytes of the server's first point on the ring, which is a hash of its id."""
    return server.points[0] & (1 << 8 * width) - 1
