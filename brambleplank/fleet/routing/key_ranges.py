"""Ranges of keys: their parser, and disjoint ranges that each belong to the first rule that claimed them."""

from __future__ import annotations

from bisect import bisect_right
from typing import NamedTuple

import portion

LAST_KEY = 2**128 - 1  # keys are hexadecimal numbers of up to 32 digits


class KeyRange(NamedTuple):
    """The keys from the first to the last, inclusive."""

    first: int
    last: int


ALL_KEYS = KeyRange(0, LAST_KEY)


class Claim(NamedTuple):
    """The rule that claims a key, and the last key of the range that it claims there."""

    rule: int
    last: int


class ClaimedRanges:
    """Disjoint ranges of keys in ascending order, each with the first rule that claimed it."""

    def __init__(self) -> None:
        self.starts: list[int] = []
        self.ends: list[int] = []
        self.rules: list[int] = []

    def claim(self, first: int, last: int, rule: int) -> None:
        """Assigns the unclaimed parts of a range to a rule."""
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
        """Assigns a gap before the range at an index to a rule. Returns whether a range was inserted.

        None is where the rule also has the range just before the gap, which is extended instead.
        """
        if index and self.rules[index - 1] == rule and self.ends[index - 1] == gap.first - 1:
            self.ends[index - 1] = gap.last
            return False
        self.starts.insert(index, gap.first)
        self.ends.insert(index, gap.last)
        self.rules.insert(index, rule)
        return True

    def find(self, key: int) -> Claim | None:
        """Returns the claim on a key, or None."""
        index = bisect_right(self.starts, key) - 1
        if index < 0 or key > self.ends[index]:
            return None
        return Claim(self.rules[index], self.ends[index])


def parse_ranges(texts: list[str]) -> tuple[KeyRange, ...] | None:
    """Parses ranges of keys; returns them merged and in order, or None if one is malformed.

    An empty list means all keys.
    """
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
    """Parses one range, such as `00-7f`, or a single key; returns None if it is malformed."""
    first, _, last = text.partition("-")
    try:
        parsed = KeyRange(int(first, 16), int(last or first, 16))
    except ValueError:
        return None
    return parsed if 0 <= parsed.first <= parsed.last <= LAST_KEY else None
