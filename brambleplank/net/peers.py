"""Datagrams between the proxies: how long messages take at a server, and what each proxy holds.

What one tells, all others read, and pay for by the byte; so servers go by two bytes of a hash of their ids,
which no list has to agree on. The first byte says what follows:

    1  tag count ...       connections held here, two bytes and one for each server that has changed
    2  tag count ...       the same for all servers that have any
    3  tag ms              how long messages take there, in thousandths of a second, two bytes
    4  tag ms usual        and what a probe usually takes there, in hundred-thousandths, two bytes

Older proxies told times as text, which is still read; of these forms they read nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from struct import error, iter_unpack, pack, unpack
from typing import Any

from twisted.internet.protocol import DatagramProtocol

LONGEST = 256
CHANGED, WHOLE, TIME, TIME_AND_USUAL = 1, 2, 3, 4
MS, FINE = 1000, 100_000  # units in a second
MOST = 0xFFFF


def tag_of(point: int) -> int:
    """Two bytes of a server's first point on the ring, which is a hash of its id."""
    return point & MOST


class Peers(DatagramProtocol):
    """`time_told` is given a server's tag or id, `held_told` the teller's address and counts by tag."""

    noisy = False
    transport: Any

    def __init__(
        self, time_told: Callable[[int | str, float, float], None],
        held_told: Callable[[tuple[str, int], dict[int, int], bool], None],
        all_others: tuple[str, int], known: list[tuple[str, int]],
    ) -> None:
        self.time_told, self.held_told = time_told, held_told
        self.reach(all_others, known)

    def reach(self, all_others: tuple[str, int], known: list[tuple[str, int]]) -> None:
        self.all_others = all_others
        self.known = frozenset(known)

    def tell_time(self, tag: int, seconds: float, usual: float) -> None:
        told = min(MOST, round(seconds * MS))
        fine = min(MOST, round(usual * FINE))
        self.send(pack(">BHHH", TIME_AND_USUAL, tag, told, fine) if fine else pack(">BHH", TIME, tag, told))

    def tell_held(self, held: dict[int, int], whole: bool) -> None:
        entries = b"".join(pack(">HB", tag, count) for tag, count in held.items())
        size = (LONGEST - 1) // 3 * 3
        self.send(pack("B", WHOLE if whole else CHANGED) + entries[:size])
        for start in range(size, len(entries), size):
            self.send(pack("B", CHANGED) + entries[start : start + size])

    def send(self, datagram: bytes) -> None:
        self.transport.write(datagram, self.all_others)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        # Danger: whatever reaches the port could say that every server is strained, or full.
        if addr not in self.known or not datagram:
            return
        try:
            self.read(datagram, addr)
        except (error, ValueError, IndexError):
            return

    def read(self, datagram: bytes, addr: tuple[str, int]) -> None:
        form = datagram[0]
        if form in (CHANGED, WHOLE):
            self.held_told(addr, dict(iter_unpack(">HB", datagram[1:])), form == WHOLE)
        elif form == TIME:
            tag, told = unpack(">HH", datagram[1:])
            self.time_told(tag, told / MS, 0.0)
        elif form == TIME_AND_USUAL:
            tag, told, fine = unpack(">HHH", datagram[1:])
            self.time_told(tag, told / MS, fine / FINE)
        else:
            server_id, *words = datagram.decode().split(" ")
            takes, usually = float(words[0]), float(words[1]) if len(words) > 1 else 0.0
            if 0 <= takes < 3600 and 0 <= usually < 3600:
                self.time_told(server_id, takes, usually)
