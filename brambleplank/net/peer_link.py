"""Datagrams between proxies; the text form of the oldest releases, a message time, is still read."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from brambleplank.model import Address
from brambleplank.peer_messages import TAG_WIDTHS_BY_FIRST_BYTE, PeerMessenger
from brambleplank.records import Server
from brambleplank.server_tags import ServerTags

MAX_DATAGRAM_SIZE = 256  # bytes of a datagram
MAX_MESSAGE_TIME = 3600.0  # seconds; more is no message time


class PeerLink(PeerMessenger, DatagramProtocol):
    """Sends and receives; other proxies are known by their numbers, and believed by their addresses."""

    noisy = False
    transport: Any

    def __init__(
        self,
        soon: Callable[[Callable[[], None]], object],
        tags: Callable[[], ServerTags],
        message_time_received: Callable[[Server, float, float], None],
        load_report_received: Callable[[int, dict[Server, int], bool, bool], None],
        group_server_received: Callable[[int, Server], None],
        permit_message_received: Callable[[int, Server, int], None],
        broadcast_address: Address,
        numbers: dict[Address, int],
        send_failed: Callable[[int | None], None] | None = None,
    ) -> None:
        """`send_failed` gets the errno of a datagram that this machine could not send."""
        self._send_failed = send_failed
        super().__init__(
            self.write,
            MAX_DATAGRAM_SIZE,
            soon,
            tags,
            message_time_received,
            load_report_received,
            group_server_received,
            permit_message_received,
        )
        self._readers: dict[int, Callable[[bytes, int], None]] = {}  # of further forms, by first byte
        self.set_peers(broadcast_address, numbers)

    def set_peers(self, broadcast_address: Address, numbers: dict[Address, int]) -> None:
        """Sets where datagrams to all go, and the proxies' numbers by address; without any, none is sent."""
        self.broadcast_address = broadcast_address
        self.numbers = numbers
        self.known = {number: address for address, number in numbers.items()}

    def add_datagram_handler(self, first_byte: int, read: Callable[[bytes, int], None]) -> None:
        """Registers who reads the datagrams of a further form, each with the number of its sender."""
        self._readers[first_byte] = read

    def write(self, message: bytes, to: int | None) -> None:
        """Sends a datagram to the proxy of that number, or to all of them (None)."""
        if self.known and (to is None or to in self.known):
            try:
                self.transport.write(message, self.broadcast_address if to is None else self.known[to])
            except OSError as failed:
                # As if lost on its way, which every reader has to bear; the other messages still go out.
                if self._send_failed is not None:
                    self._send_failed(failed.errno)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Reads what known proxies sent: anything else could report every server as overloaded."""
        if addr not in self.numbers or not datagram:
            return
        try:
            if datagram[0] in self._readers:
                self._readers[datagram[0]](datagram, self.numbers[addr])
            elif datagram[0] in TAG_WIDTHS_BY_FIRST_BYTE:
                self.receive(datagram, self.numbers[addr])
            else:
                self.read_text(datagram)
        except (ValueError, IndexError):
            return

    def read_text(self, datagram: bytes) -> None:
        """Reads a message time, and a typical delay where there is one. Raises ValueError or IndexError."""
        server_id, *words = datagram.decode().split(" ")
        seconds = float(words[0])
        typical_delay = float(words[1]) if len(words) > 1 else 0.0
        server = self.tags().by_id.get(server_id)
        if server and 0 <= seconds < MAX_MESSAGE_TIME and 0 <= typical_delay < MAX_MESSAGE_TIME:
            self.message_time_received(server, seconds, typical_delay)
