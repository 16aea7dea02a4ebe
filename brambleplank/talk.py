"""What proxies tell one another, as bytes: message times at servers, what each holds, where groups stand.

What one tells, all others read, and pay for by the byte and by the message. So servers go by two bytes of a
hash of their ids, which no list has to agree on; what is told in one turn goes out together. After a first
byte of 1 stand sections; each has a byte with its kind, times 32, and its number of entries:

    1  tag count        connections held here, two bytes and one for each server that has changed
    2  tag count        the same for all servers that have any; what was told before is void
    3  tag ms           how long messages take there, in thousandths of a second, two bytes
    4  tag ms usual     and what a probe usually takes there, in hundred-thousandths, two bytes
    5  spot tag         where a displaced group stands now, by four bytes of its place on the ring
    0  tag word         a turn at a cold server is asked of the one that sums (2), or answered: yes 1, no 0
    6, 7                as 1 and 2, of all proxies together, by the one that sums for them

Both hosts speak it: datagrams between proxies on sockets, messages on the simulator's wire.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import groupby
from struct import calcsize, iter_unpack, pack
from typing import Any

from brambleplank.records import SPOT_CUT

FORM = 1
CHANGED, WHOLE, TIME, TIME_AND_USUAL, HOME, SUMS_CHANGED, SUMS_WHOLE, TURN = 1, 2, 3, 4, 5, 6, 7, 0
FORMATS = {
    CHANGED: ">HB",
    WHOLE: ">HB",
    TIME: ">HH",
    TIME_AND_USUAL: ">HHH",
    HOME: ">IH",
    SUMS_CHANGED: ">HB",
    SUMS_WHOLE: ">HB",
    TURN: ">HB",
}
MOST_ENTRIES = 31  # of a section
MOST_UNSENT = 1024  # entries that wait for the end of a turn
MS, FINE = 1000, 100_000  # units in a second
MOST = 0xFFFF


def tag_of(point: int) -> int:
    """Two bytes of a server's first point on the ring, which is a hash of its id."""
    return point & MOST


class Talk:
    """`say` carries a message to one proxy by its number, or to all others.

    `time_told` is given a server's tag, `held_told` the teller and counts by tag.
    """

    def __init__(
        self,
        say: Callable[[bytes, int | None], None],
        longest: int,
        soon: Callable[[Callable[[], None]], object],
        time_told: Callable[[Any, float, float], None],
        held_told: Callable[[Any, dict[int, int], bool, bool], None],
        home_told: Callable[[int, int], None],
        turn_told: Callable[[Any, int, int], None],
    ) -> None:
        self.say, self.longest, self.soon = say, longest, soon  # longest: bytes of one message
        self.time_told, self.held_told, self.home_told = time_told, held_told, home_told
        self.turn_told = turn_told
        self.unsent: list[tuple[int | None, int, bytes]] = []  # to whom, kinds and entries

    def tell_time(self, tag: int, seconds: float, usual: float) -> None:
        told, fine = min(MOST, round(seconds * MS)), min(MOST, round(usual * FINE))
        if fine:
            self.tell(TIME_AND_USUAL, tag, told, fine)
        else:
            self.tell(TIME, tag, told)

    def tell_held(self, held: dict[int, int], whole: bool, to: int | None, summed: bool) -> None:
        all_kind, change = (SUMS_WHOLE, SUMS_CHANGED) if summed else (WHOLE, CHANGED)
        if not held:
            self.put(all_kind if whole else change, b"", to)
        for n, (tag, count) in enumerate(held.items()):
            # Of a long one the rest follows as changes, since the first part has voided what was before.
            self.put(all_kind if whole and n < MOST_ENTRIES else change, pack(">HB", tag, count), to)

    def tell_homes(self, homes: dict[int, int]) -> None:
        for spot, tag in homes.items():
            self.tell(HOME, spot >> SPOT_CUT, tag)

    def tell_turn(self, tag: int, to: int, word: int) -> None:
        self.put(TURN, pack(FORMATS[TURN], tag, word), to)

    def tell(self, kind: int, *words: int) -> None:
        self.put(kind, pack(FORMATS[kind], *words))

    def put(self, kind: int, entry: bytes, to: int | None = None) -> None:
        if not self.unsent:
            self.soon(self.send)
        # Danger: a turn that tells without end would hold all memory; what is told changes soon again.
        if len(self.unsent) < MOST_UNSENT:
            self.unsent.append((to, kind, entry))

    def send(self) -> None:
        """All that was told since, in as few messages as it takes."""
        unsent, self.unsent = self.unsent, []
        message, reader = b"", None
        for (to, kind), entries in groupby(unsent, lambda each: each[:2]):
            told = [entry for *_, entry in entries]
            for start in range(0, len(told), MOST_ENTRIES):
                part = told[start : start + MOST_ENTRIES]
                section = bytes([kind * 32 + sum(map(bool, part))]) + b"".join(part)
                if message and (to != reader or len(message) + len(section) > self.longest):
                    self.say(message, reader)
                    message = b""
                message, reader = (message or bytes([FORM])) + section, to
        self.say(message, reader)

    def read(self, sections: bytes, teller: Any) -> None:
        while sections:
            kind, count = divmod(sections[0], 32)
            form = FORMATS.get(kind)
            if form is None or len(sections) < (size := 1 + count * calcsize(form)):
                return
            entries = list(iter_unpack(form, sections[1:size]))
            sections = sections[size:]
            if kind in (CHANGED, WHOLE, SUMS_CHANGED, SUMS_WHOLE):
                self.held_told(
                    teller, dict(entries), kind in (WHOLE, SUMS_WHOLE), kind in (SUMS_CHANGED, SUMS_WHOLE)
                )
            elif kind == TURN:
                for tag, word in entries:
                    self.turn_told(teller, tag, word)
            elif kind == HOME:
                for spot, tag in entries:
                    self.home_told(spot << SPOT_CUT, tag)
            else:
                for tag, told, *fine in entries:
                    self.time_told(tag, told / MS, fine[0] / FINE if fine else 0.0)
