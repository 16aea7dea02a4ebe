"""Datagrams between proxies: what goes out comes in, and nothing else is believed."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from brambleplank.net.peers import LONGEST, MOST, Peers

HERE, STRANGER = ("10.0.0.1", 7946), ("10.9.9.9", 7946)
TAGS = st.integers(0, MOST)


class Ears:
    """A proxy's side that keeps what it is told; what it sends comes back to it."""

    def __init__(self) -> None:
        self.times: list[tuple[int | str, float, float]] = []
        self.held: list[tuple[dict[int, int], bool]] = []
        self.sent: list[bytes] = []
        self.homes: list[tuple[int, int]] = []
        self.turns: list[Any] = []
        self.peers = Peers(
            self.turns.append, lambda *told: self.times.append(told),
            lambda _, held, whole: self.held.append((held, whole)), lambda *told: self.homes.append(told),
            HERE, [HERE],
        )
        self.peers.transport = self

    def turn(self) -> None:
        """The reactor's turn ends."""
        for call in self.turns:
            call()
        self.turns.clear()

    def write(self, datagram: bytes, where: Any) -> None:
        self.sent.append(datagram)
        self.peers.datagramReceived(datagram, where)


@given(st.dictionaries(TAGS, st.integers(0, 255), max_size=300), st.booleans())
def test_counts_come_in_as_they_went_out_in_datagrams_short_enough(held: dict[int, int], whole: bool) -> None:
    ears = Ears()
    ears.peers.tell_held(held, whole)
    ears.turn()
    heard: dict[int, int] = {}
    for part, _ in ears.held:
        heard.update(part)
    assert heard == held and not any(later for _, later in ears.held[1:])
    assert [first for _, first in ears.held[:1]] == ([whole] if whole or held else [])
    assert all(len(datagram) <= LONGEST for datagram in ears.sent)


@given(TAGS, st.floats(0, 60), st.floats(0, 0.6))
def test_times_come_in_as_they_went_out(tag: int, seconds: float, usual: float) -> None:
    ears = Ears()
    ears.peers.tell_time(tag, seconds, usual)
    ears.peers.tell_homes({tag << 100: tag})
    ears.turn()
    assert len(ears.sent) == 1 and ears.homes == [(tag << 100, tag)]  # one turn's words go out together
    (told_of, told, fine), = ears.times
    assert told_of == tag and abs(told - seconds) <= 0.0006 and abs(fine - usual) <= 0.00001


@given(st.binary(max_size=300))
def test_whatever_comes_from_a_stranger_or_in_no_known_form_does_no_harm(datagram: bytes) -> None:
    ears = Ears()
    ears.peers.datagramReceived(datagram, STRANGER)
    assert not ears.times and not ears.held
    for form in (datagram, b"\x01" + datagram):
        ears.peers.datagramReceived(form, HERE)
    assert all(0 <= seconds < 3600 and 0 <= usual < 3600 for _, seconds, usual in ears.times)
    assert all(0 <= count <= 255 for held, _ in ears.held for count in held.values())


def test_a_proxy_of_before_is_still_heard_and_torn_words_are_not() -> None:
    ears = Ears()
    ears.peers.datagramReceived(b"s0 0.200 0.00400", HERE)
    ears.peers.datagramReceived(b"s0 0.2", HERE)
    for torn in (b"", b"s0", b"s0 nan", b"s0 -1", b"s0 x", b"\x01\x22\x00", b"\x01\xff\x00", b"\xff\xfe 1"):
        ears.peers.datagramReceived(torn, HERE)
    assert ears.times == [("s0", 0.2, 0.004), ("s0", 0.2, 0.0)] and ears.held == []
