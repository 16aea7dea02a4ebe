"""Datagrams between the proxies: message times at servers, what each proxy holds, where groups stand.

What one tells, all others read, and pay for by the byte and by the datagram. So servers go by two bytes of a
hash of their ids, which no list has to agree on; what is told in one turn of the reactor goes out together.
After a first byte of 1 stand sections; each has a byte with its kind, times 32, and its number of entries:

    1  tag count        connections held here, two bytes and one for each server that has changed
    2  tag count        the same for all servers that have any; what was told before is void
    3  tag ms           how long messages take there, in thousandths of a second, two bytes
    4  tag ms usual     and what a probe usually takes there, in hundred-thousandths, two bytes
    5  spot tag         where a displaced group stands now, by four bytes of its place on the ring

Older proxies told times as text, which is still read; of these forms they read nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import groupby
from struct import calcsize, error, iter_unpack, pack
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from brambleplank.decide import SPOT_CUT

LONGEST = 256
FORM = 1
CHANGED, WHOLE, TIME, TIME_AND_USUAL, HOME = 1, 2, 3, 4, 5
FORMATS = {CHANGED: ">HB", WHOLE: ">HB", TIME: ">HH", TIME_AND_USUAL: ">HHH", HOME: ">IH"}
MOST_ENTRIES = 31  # of a section
MOST_UNSENT = 1024  # entries that wait for the end of the reactor's turn
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
        self, soon: Callable[[Callable[[], None]], object],
        time_told: Callable[[int | str, float, float], None],
        held_told: Callable[[tuple[str, int], dict[int, int], bool], None],
        home_told: Callable[[int, int], None], all_others: tuple[str, int], known: list[tuple[str, int]],
    ) -> None:
        self.soon = soon
        self.time_told, self.held_told, self.home_told = time_told, held_told, home_told
        self.unsent: list[tuple[int, bytes]] = []  # kinds and entries
        self.reach(all_others, known)

    def reach(self, all_others: tuple[str, int], known: list[tuple[str, int]]) -> None:
        self.all_others = all_others
        self.known = frozenset(known)

    def tell_time(self, tag: int, seconds: float, usual: float) -> None:
        told, fine = min(MOST, round(seconds * MS)), min(MOST, round(usual * FINE))
        if fine:
            self.tell(TIME_AND_USUAL, tag, told, fine)
        else:
            self.tell(TIME, tag, told)

    def tell_held(self, held: dict[int, int], whole: bool) -> None:
        if whole and not held:
            self.put(WHOLE, b"")
        for n, (tag, count) in enumerate(held.items()):
            # Of a long one the rest follows as changes, since the first part has voided what was before.
            self.tell(WHOLE if whole and n < MOST_ENTRIES else CHANGED, tag, count)

    def tell_homes(self, homes: dict[int, int]) -> None:
        for spot, tag in homes.items():
            self.tell(HOME, spot >> SPOT_CUT, tag)

    def tell(self, kind: int, *words: int) -> None:
        self.put(kind, pack(FORMATS[kind], *words))

    def put(self, kind: int, entry: bytes) -> None:
        if not self.unsent:
            self.soon(self.send)
        # Danger: a turn that tells without end would hold all memory; what is told changes soon again.
        if len(self.unsent) < MOST_UNSENT:
            self.unsent.append((kind, entry))

    def send(self) -> None:
        """All that was told since, in as few datagrams as it takes."""
        unsent, self.unsent = self.unsent, []
        datagram = b""
        for kind, entries in groupby(unsent, lambda each: each[0]):
            told = [entry for _, entry in entries]
            for start in range(0, len(told), MOST_ENTRIES):
                part = told[start : start + MOST_ENTRIES]
                section = bytes([kind * 32 + sum(map(bool, part))]) + b"".join(part)
                if datagram and len(datagram) + len(section) > LONGEST:
                    self.transport.write(datagram, self.all_others)
                    datagram = b""
                datagram = (datagram or bytes([FORM])) + section
        self.transport.write(datagram, self.all_others)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        # Danger: whatever reaches the port could say that every server is strained, or full.
        if addr not in self.known or not datagram:
            return
        try:
            if datagram[0] == FORM:
                self.read(datagram[1:], addr)
            else:
                self.read_text(datagram)
        except (error, ValueError, IndexError):
            return

    def read(self, sections: bytes, addr: tuple[str, int]) -> None:
        while sections:
            kind, count = divmod(sections[0], 32)
            form = FORMATS.get(kind)
            if form is None or len(sections) < (size := 1 + count * calcsize(form)):
                return
            entries = list(iter_unpack(form, sections[1:size]))
            sections = sections[size:]
            if kind in (CHANGED, WHOLE):
                self.held_told(addr, dict(entries), kind == WHOLE)
            elif kind == HOME:
                for spot, tag in entries:
                    self.home_told(spot << SPOT_CUT, tag)
            else:
                for tag, told, *fine in entries:
                    self.time_told(tag, told / MS, fine[0] / FINE if fine else 0.0)

    def read_text(self, datagram: bytes) -> None:
        server_id, *words = datagram.decode().split(" ")
        takes, usually = float(words[0]), float(words[1]) if len(words) > 1 else 0.0
        if 0 <= takes < 3600 and 0 <= usually < 3600:
            self.time_told(server_id, takes, usually)
