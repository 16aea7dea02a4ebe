"""A relay for the datagrams of a fleet's processes that can cut links and lose, repeat or delay datagrams."""

from __future__ import annotations

import heapq
import selectors
import threading
import time
from contextlib import suppress
from random import Random

from tests.ports import address_text, udp_socket, unused_udp_address

POLL_INTERVAL = 0.1  # seconds
LARGEST_DATAGRAM = 65536  # bytes


class DatagramRelay(threading.Thread):
    """Relays datagrams between members; each receiver gets them from the address that it has for the sender.

    `severed_links` holds pairs of sender and receiver. `loss` and `duplication` are fractions of all
    datagrams and `max_delay` is in seconds; all three apply to every link.
    """

    def __init__(self, members: int) -> None:
        super().__init__(daemon=True)
        self.severed_links: set[tuple[int, int]] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay = 0.0
        self.datagram_count = 0
        self.rng = Random(1)
        self.member_addresses = [unused_udp_address() for _ in range(members)]
        # The socket at [member][other] has the address that the member has for the other.
        self.peer_sockets = [[udp_socket() for _ in range(members)] for _ in range(members)]
        self.broadcast_sockets = [udp_socket() for _ in range(members)]
        self.selector = selectors.DefaultSelector()
        for member in range(members):
            self.selector.register(self.broadcast_sockets[member], selectors.EVENT_READ, (member, None))
            for other in range(members):
                self.selector.register(
                    self.peer_sockets[member][other], selectors.EVENT_READ, (member, other)
                )
        self.in_flight: list[
            tuple[float, int, int, int, bytes]
        ] = []  # due time, sequence number, sender, receiver, data
        self.stopping = False
        self.start()

    def peer_addresses(self, member: int) -> tuple[list[str], str]:
        """Returns the peer addresses and the broadcast address for a member's configuration."""
        peers = [address_text(peer) for peer in self.peer_sockets[member]]
        return peers, address_text(self.broadcast_sockets[member])

    def run(self) -> None:
        """Forwards datagrams until `close`."""
        while not self.stopping:
            now = time.monotonic()
            while self.in_flight and self.in_flight[0][0] <= now:
                _, _, sender, receiver, data = heapq.heappop(self.in_flight)
                self.send_as(sender, receiver, data)
            wait = self.in_flight[0][0] - now if self.in_flight else POLL_INTERVAL
            for key, _ in self.selector.select(min(POLL_INTERVAL, wait)):
                sender, to = key.data
                with suppress(OSError):
                    data = key.fileobj.recv(LARGEST_DATAGRAM)  # type: ignore[union-attr]
                    for receiver in range(len(self.member_addresses)) if to is None else [to]:
                        if receiver != sender:
                            self.forward(sender, receiver, data)

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        """Queues a datagram, perhaps twice, for a random delay; drops it if its link is cut or by chance."""
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if (sender, receiver) in self.severed_links or self.rng.random() < self.loss:
                continue
            self.datagram_count += 1
            due = time.monotonic() + self.rng.uniform(0, self.max_delay)
            heapq.heappush(self.in_flight, (due, self.datagram_count, sender, receiver, data))

    def partition(self, group: set[int]) -> None:
        """Cuts every link between the group and the other members."""
        others = set(range(len(self.member_addresses))) - group
        self.severed_links |= {pair for a in group for b in others for pair in ((a, b), (b, a))}

    def send_as(self, sender: int, receiver: int, data: bytes) -> None:
        """Sends a datagram from the address that the receiver has for the sender."""
        self.peer_sockets[receiver][sender].sendto(data, self.member_addresses[receiver])

    def close(self) -> None:
        """Stops the thread and closes all sockets."""
        self.stopping = True
        self.join()
        for bound in [*self.broadcast_sockets, *(peer for peers in self.peer_sockets for peer in peers)]:
            bound.close()
