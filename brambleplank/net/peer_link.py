"""Datagrams between proxies; the text format of the oldest releases, a message time, is still accepted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from brambleplank.model import Address
from brambleplank.peer_messages import TAG_WIDTHS_BY_FIRST_BYTE, PeerMessenger
from brambleplank.records import Server
from brambleplank.server_tags import ServerTags

MAX_DATAGRAM_SIZE = 256  # bytes
MAX_MESSAGE_TIME = 3600.0  # seconds; larger values are invalid


class PeerLink(PeerMessenger, DatagramProtocol):
    """Sends and receives datagrams; peers have numbers and are identified by their source addresses."""

    noisy = False
    transport: Any

    def __init__(
        self,
        defer: Callable[[Callable[[], None]], object],
        tags: Callable[[], ServerTags],
        message_time_received: Callable[[Server, float, float], None],
        load_report_received: Callable[[int, dict[Server, int], bool, bool], None],
        group_server_received: Callable[[int, Server], None],
        permit_message_received: Callable[[int, Server, int], None],
        broadcast_address: Address,
        peer_numbers: dict[Address, int],
        send_failed: Callable[[int | None], None] | None = None,
    ) -> None:
        """`send_failed` gets the errno of each failed send."""
        self._send_failed = send_failed
        super().__init__(
            self.write,
            MAX_DATAGRAM_SIZE,
            defer,
            tags,
            message_time_received,
            load_report_received,
            group_server_received,
            permit_message_received,
        )
        self._handlers: dict[int, Callable[[bytes, int], None]] = {}  # of other formats, by first byte
        self.set_peers(broadcast_address, peer_numbers)

    def set_peers(self, broadcast_address: Address, peer_numbers: dict[Address, int]) -> None:
        """Sets the broadcast address and the peers' numbers by address; without peers, nothing is sent."""
        self.broadcast_address = broadcast_address
        self.peer_numbers = peer_numbers
        self.peer_addresses = {number: address for address, number in peer_numbers.items()}

    def add_datagram_handler(self, first_byte: int, handler: Callable[[bytes, int], None]) -> None:
        """Registers the handler of datagrams of another format; it gets the data and the sender's number."""
        self._handlers[first_byte] = handler

    def write(self, message: bytes, recipient: int | None) -> None:
        """Sends a datagram to one peer, given by number, or to all peers (None)."""
        if self.peer_addresses and (recipient is None or recipient in self.peer_addresses):
            try:
                self.transport.write(
                    message, self.broadcast_address if recipient is None else self.peer_addresses[recipient]
                )
            except OSError as error:
                # Treated like a datagram lost on the network, which peers tolerate; later ones are still
                # sent.
                if self._send_failed is not None:
                    self._send_failed(error.errno)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Handles datagrams from known peers only; other senders could report every server as overloaded."""
        if addr not in self.peer_numbers or not datagram:
            return
        try:
            if datagram[0] in self._handlers:
                self._handlers[datagram[0]](datagram, self.peer_numbers[addr])
            elif datagram[0] in TAG_WIDTHS_BY_FIRST_BYTE:
                self.receive(datagram, self.peer_numbers[addr])
            else:
                self.read_text(datagram)
        except (ValueError, IndexError):
            return

    def read_text(self, datagram: bytes) -> None:
        """Parses the text format: id, message time, optional delay. Raises ValueError or IndexError."""
        server_id, *fields = datagram.decode().split(" ")
        seconds = float(fields[0])
        typical_delay = float(fields[1]) if len(fields) > 1 else 0.0
        server = self.tags().by_id.get(server_id)
        if server and 0 <= seconds < MAX_MESSAGE_TIME and 0 <= typical_delay < MAX_MESSAGE_TIME:
            self.message_time_received(server, seconds, typical_delay)
