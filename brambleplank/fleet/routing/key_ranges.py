"""Ranges of keys: as a file writes them, and as disjoint pieces that know the first rule to claim them."""

from __future__ import annotations

from bisect import bisect_right
from typing import NamedTuple

import portion

LAST_KEY = 2**128 - 1  # keys are hexadecimal numbers of up to 32 digits


class KeyRange(NamedTuple):
    """Keys from the first to the last, both included."""

    first: int
    last: int


ALL_KEYS = KeyRange(0, LAST_KEY)


class Claim(NamedTuple):
    """A rule that has a key, and the last key up to which it does."""

    rule: int
    last: int


class ClaimedRanges:
    """Disjoint ranges of keys in order, each with the rule that claimed it first."""

    def __init__(self) -> None:
        self.starts: list[int] = []
        self.ends: list[int] = []
        self.rules: list[int] = []

    def claim(self, first: int, last: int, rule: int) -> None:
        """Gives a rule what no earlier one has of a range."""
        index = bisect_right(self.starts, first)
        if index and self.ends[index - 1] >= first:
            first = self.ends[index - 1] + 1
        while first <= last:
            gap_end = min(last, self.starts[index] - 1) if index < len(self.starts) else last
            if first <= gap_end and self.fill_gap(index, KeyRange(first, gap_end), rule):
                index += 1
            if index == len(self.starts):
                return
            first = self.ends[index] + 1
            index += 1

    def fill_gap(self, index: int, gap: KeyRange, rule: int) -> bool:
        """Gives a rule a gap before the piece at an index. Returns whether that took a piece of its own."""
        if index and self.rules[index - 1] == rule and self.ends[index - 1] == gap.first - 1:
            self.ends[index - 1] = gap.last
            return False
        self.starts.insert(index, gap.first)
        self.ends.insert(index, gap.last)
        self.rules.insert(index, rule)
        return True

    def find(self, key: int) -> Claim | None:
        """Returns the rule that has a key, and how far; None if no rule has it."""
        index = bisect_right(self.starts, key) - 1
        if index < 0 or key > self.ends[index]:
            return None
        return Claim(self.rules[index], self.ends[index])


def parse_ranges(texts: list[str]) -> tuple[KeyRange, ...] | None:
    """Returns ranges of keys, joined and in order; None if one is no range. No texts mean all keys."""
    if not texts:
        return (ALL_KEYS,)
    joined = portion.empty()
    for text in texts:
        parsed = parse_range(text)
        if parsed is None:
            return None
        joined |= portion.closedopen(parsed.first, parsed.last + 1)
    return tuple(KeyRange(part.lower, part.upper - 1) for part in joined)


def parse_range(text: str) -> KeyRange | None:
    """Returns one range, as `00-7f` or a single key; None if it is none."""
    first, _, last = text.partition("-")
    try:
        parsed = KeyRange(int(first, 16), int(last or first, 16))
    except ValueError:
        return None
    return parsed if 0 <= parsed.first <= parsed.last <= LAST_KEY else None
