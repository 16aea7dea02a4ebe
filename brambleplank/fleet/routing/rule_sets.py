"""Sets of rules as integers with one bit for each rule, so that set operations on all rules are fast."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator

import portion

from brambleplank.fleet.routing.key_ranges import ALL_KEYS, KeyRange
from brambleplank.fleet.routing.route_table import Route


def rule_numbers(rules: int) -> Iterator[int]:
    """Yields the numbers of the rules in a set, in ascending order."""
    while rules:
        lowest = rules & -rules
        rules ^= lowest
        yield lowest.bit_length() - 1


def rule_set(numbers: Iterable[int]) -> int:
    """Returns the set of the rules with these numbers, which must be distinct."""
    return sum(1 << n for n in numbers)


class ValueIndex:
    """Relations between rules in one of their dimensions, such as customers."""

    def __init__(self, named: list[list[str]]) -> None:
        """`named`: the values that each rule names; an empty list means all values."""
        self.named = named
        # Rules that name no value, and so match all; rules that name exactly one.
        self.match_all = rule_set(n for n, values in enumerate(named) if not values)
        self.single_valued = rule_set(n for n, values in enumerate(named) if len(values) == 1)
        self.by_value: dict[str, int] = {}
        for n, values in enumerate(named):
            for value in values:
                self.by_value[value] = self.by_value.get(value, 0) | 1 << n
        self.restricted = ((1 << len(named)) - 1) & ~self.match_all  # rules that name values

    def overlapping(self, n: int) -> int:
        """Returns the set of rules that match some value of rule `n`."""
        if not self.named[n]:
            return self.match_all | self.restricted
        found = self.match_all
        for value in self.named[n]:
            found |= self.by_value[value]
        return found

    def containing(self, n: int) -> int:
        """Returns the set of rules that match every value of rule `n`."""
        if not self.named[n]:
            return self.match_all
        found = -1
        for value in self.named[n]:
            found &= self.by_value[value]
        return found & self.restricted | self.match_all

    def contained_in(self, n: int) -> int:
        """Returns the set of rules all values of which rule `n` matches."""
        if not self.named[n]:
            return self.match_all | self.restricted
        values = set(self.named[n])
        found = 0
        for value in values:
            found |= self.by_value[value]
        for other in rule_numbers(found & ~self.single_valued):
            if not values.issuperset(self.named[other]):  # it also names values that rule `n` does not
                found ^= 1 << other
        return found


class KeyIndex:
    """Relations between the key ranges of rules; most are found by their hulls.

    The hull of a rule is the range from its first to its last key.
    """

    def __init__(self, routes: list[Route]) -> None:
        self.ranges = [
            portion.Interval(*(portion.closedopen(first, last + 1) for first, last in route.ranges))
            for route in routes
        ]
        self.single_range = [route.ranges[0] if len(route.ranges) == 1 else None for route in routes]
        self.with_single_range = rule_set(n for n, only in enumerate(self.single_range) if only)
        self.hulls = [KeyRange(route.ranges[0].first, route.ranges[-1].last) for route in routes]
        self.with_all_keys = rule_set(n for n, only in enumerate(self.single_range) if only == ALL_KEYS)
        narrow = [n for n in range(len(routes)) if not self.with_all_keys >> n & 1]
        self.starts, self.by_start = prefix_sets(sorted((self.hulls[n].first, n) for n in narrow))
        self.ends, self.by_end = prefix_sets(sorted((self.hulls[n].last, n) for n in narrow))

    def overlapping_hulls(self, n: int) -> int:
        """Returns the set of rules with hulls that overlap the hull of rule `n`."""
        hull = self.hulls[n]
        started = self.by_start[bisect_right(self.starts, hull.last)]
        ended = self.by_end[bisect_left(self.ends, hull.first)]
        return self.with_all_keys | started & ~ended

    def overlapping(self, n: int, candidates: int) -> int:
        """Returns those of the candidates that match some key of rule `n`.

        The candidates are rules with hulls that overlap the hull of rule `n`.
        """
        if self.single_range[n] and not candidates & ~self.with_single_range:
            return candidates
        return rule_set(
            other
            for other in rule_numbers(candidates)
            if (self.single_range[n] and self.single_range[other])
            or not (self.ranges[n] & self.ranges[other]).empty
        )

    def encloses(self, other: int, n: int) -> bool:
        """Returns whether the other rule matches all keys of rule `n`."""
        outer = self.single_range[other]
        inner = self.single_range[n]
        if inner and outer:
            return outer.first <= inner.first and inner.last <= outer.last
        return self.ranges[n] in self.ranges[other]

    def first_common(self, n: int, other: int) -> int:
        """Returns the first key that both rules match."""
        lowest: int = (self.ranges[n] & self.ranges[other]).lower
        return lowest


def prefix_sets(edges: list[tuple[int, int]]) -> tuple[list[int], list[int]]:
    """Returns the keys of the edges, and for each index the set of the rules of all edges before it.

    `edges` are pairs of a key and the number of a rule, in ascending order. There is one set more than edges;
    the last one contains all of their rules.
    """
    sets = [0]
    for _, n in edges:
        sets.append(sets[-1] | 1 << n)
    return [edge for edge, _ in edges], sets
