"""The route table: an ordered list of rules, of which the first that matches a request decides.

A rule matches on service type, customer, version and ranges of keys. Each combination of the first three that
a rule names is a pattern, and each pattern has a list of disjoint key ranges with the first rule that claims
them. A look-up tries the pattern of each shape in use, at most eight, and takes the earliest rule that it
finds. With ten thousand rules, it costs a few dictionary reads and binary searches. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from typing import NamedTuple

from brambleplank.fleet.retirement.plan import Retirement
from brambleplank.fleet.routing.key_ranges import Claim, ClaimedRanges, KeyRange, parse_ranges
from brambleplank.fleet.routing.rules import Routes, Rule, check_file
from brambleplank.tables import DocumentReader, Fault, apply_rules


class Pattern(NamedTuple):
    """Values that a rule names; None: any value."""

    service_type: str | None
    customer: str | None
    version: str | None


class PatternShape(NamedTuple):
    """Which of the three values a pattern names."""

    service_type: bool
    customer: bool
    version: bool


@dataclass(frozen=True)
class Route:
    """A rule with its index in the table, its line in the file, and its parsed key ranges."""

    number: int
    line: int
    rule: Rule
    ranges: tuple[KeyRange, ...]

    @property
    def label(self) -> str:
        """The name of the rule in findings."""
        return f'line {self.line} ("{self.rule.name}")' if self.rule.name else f"line {self.line}"

    def patterns(self) -> list[Pattern]:
        """Returns the pattern of each combination of values that the rule names."""
        named = (self.rule.service_type, self.rule.customer, self.rule.version)
        types, customers, versions = (list[str | None](values) or [None] for values in named)
        return [Pattern(*values) for values in product(types, customers, versions)]


class RouteTable:
    """The rules in order, indexed for look-ups."""

    def __init__(self, routes: list[Route], versions: list[str], retirements: list[Retirement]) -> None:
        """`versions` begins with the oldest one, which also applies to requests without a version."""
        self.routes = routes
        self.versions = versions
        self.retirements = {retirement.name: retirement for retirement in retirements}
        self.retirement_lines: dict[str, int] = {}  # of the file, by name
        self.oldest = versions[0] if versions else ""
        self.patterns: dict[Pattern, ClaimedRanges] = {}
        for route in routes:
            for pattern in route.patterns():
                claimed = self.patterns.setdefault(pattern, ClaimedRanges())
                for first, last in route.ranges:
                    claimed.claim(first, last, route.number)
        shapes = {PatternShape(*(part is not None for part in pattern)) for pattern in self.patterns}
        self.shapes = list(shapes)

    def matching(self, service_type: str, customer: str, version: str) -> Iterator[ClaimedRanges]:
        """Yields the claimed key ranges of each pattern that matches."""
        for shape in self.shapes:
            pattern = Pattern(
                service_type if shape.service_type else None,
                customer if shape.customer else None,
                version if shape.version else None,
            )
            claimed = self.patterns.get(pattern)
            if claimed is not None:
                yield claimed

    def furthest_claim(
        self, service_type: str, customer: str, version: str, key: int, before: int
    ) -> Claim | None:
        """Returns the claim on a key by a rule before `before` that reaches furthest, or None."""
        best: Claim | None = None
        for claimed in self.matching(service_type, customer, version):
            claim = claimed.find(key)
            if claim is None or claim.rule >= before:
                continue
            if best is None or claim.last > best.last:
                best = claim
        return best

    def find(self, service_type: str, customer: str, version: str, key: int) -> Route | None:
        """Returns the rule that decides a request; None if no rule matches, and the request is served."""
        first = len(self.routes)
        for claimed in self.matching(service_type, customer, version or self.oldest):
            claim = claimed.find(key)
            if claim is not None and claim.rule < first:
                first = claim.rule
        return self.routes[first] if first < len(self.routes) else None


def read(text: str) -> tuple[RouteTable | None, list[Fault]]:
    """Reads a file; returns its table, or None and all faults by line and key."""
    reading = DocumentReader(text)
    if reading.is_unreadable:
        return None, reading.faults
    file = reading.decode(Routes, reading.tables)
    apply_rules([lambda: check_file(reading, file)])
    if reading.faults:
        return None, sorted(set(reading.faults))
    table = RouteTable(build_routes(reading, file), file.versions, file.retirement)
    for n, retirement in enumerate(file.retirement):
        table.retirement_lines[retirement.name] = reading.key_lines.line_of(("retirement", n))
    return table, []


def build_routes(reading: DocumentReader, file: Routes) -> list[Route]:
    """Returns the routes of a file that has no fault."""
    return [
        Route(n, reading.key_lines.line_of(("rule", n)), rule, parse_ranges(rule.keys) or ())
        for n, rule in enumerate(file.rule)
    ]
