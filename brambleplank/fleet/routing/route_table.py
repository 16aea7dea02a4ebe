"""The route table: an ordered list of rules, of which the first that matches a request decides.

A rule matches on service type, customer, version and ranges of keys. Look-up is by the rules' patterns (which
of the three a rule names), each with its key ranges as disjoint pieces that know their first rule; of the
patterns that match a request, the earliest rule decides. So ten thousand rules cost a look-up some dictionary
reads. Free of I/O.
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
    """What a rule names; None: it matches any."""

    service_type: str | None
    customer: str | None
    version: str | None


class PatternShape(NamedTuple):
    """Which of the three a pattern names."""

    service_type: bool
    customer: bool
    version: bool


@dataclass(frozen=True)
class Route:
    """A rule as it is used: its place in the table, its line in the file, its keys as ranges."""

    number: int
    line: int
    rule: Rule
    ranges: tuple[KeyRange, ...]

    @property
    def label(self) -> str:
        """How findings refer to it."""
        return f'line {self.line} ("{self.rule.name}")' if self.rule.name else f"line {self.line}"

    def patterns(self) -> list[Pattern]:
        """Returns one pattern for each combination of values that the rule names."""
        named = (self.rule.service_type, self.rule.customer, self.rule.version)
        types, customers, versions = (list[str | None](values) or [None] for values in named)
        return [Pattern(*values) for values in product(types, customers, versions)]


class RouteTable:
    """Rules in their order, prepared for look-ups."""

    def __init__(self, routes: list[Route], versions: list[str], retirements: list[Retirement]) -> None:
        """`versions` begins with the oldest, which is that of requests that name none."""
        self.routes = routes
        self.versions = versions
        self.retirements = {retirement.name: retirement for retirement in retirements}
        self.lines: dict[str, int] = {}  # of retirements
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
        """Yields the claimed keys of each pattern that matches."""
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
        """Returns the rule before that number which has the key and the most keys after it."""
        best: Claim | None = None
        for claimed in self.matching(service_type, customer, version):
            claim = claimed.find(key)
            if claim is None or claim.rule >= before:
                continue
            if best is None or claim.last > best.last:
                best = claim
        return best

    def find(self, service_type: str, customer: str, version: str, key: int) -> Route | None:
        """Returns the rule that decides; None: the request is served as if there were no table."""
        first = len(self.routes)
        for claimed in self.matching(service_type, customer, version or self.oldest):
            claim = claimed.find(key)
            if claim is not None and claim.rule < first:
                first = claim.rule
        return self.routes[first] if first < len(self.routes) else None


def read(text: str) -> tuple[RouteTable | None, list[Fault]]:
    """Returns the table of a file, or every fault of it by line and key."""
    reading = DocumentReader(text)
    if reading.is_unreadable:
        return None, reading.faults
    file = reading.decode(Routes, reading.tables)
    apply_rules([lambda: check_file(reading, file)])
    if reading.faults:
        return None, sorted(set(reading.faults))
    table = RouteTable(routes_of(reading, file), file.versions, file.retirement)
    for n, retirement in enumerate(file.retirement):
        table.lines[retirement.name] = reading.key_lines.line_of(("retirement", n))
    return table, []


def routes_of(reading: DocumentReader, file: Routes) -> list[Route]:
    """Returns the rules of a file without fault."""
    return [
        Route(n, reading.key_lines.line_of(("rule", n)), rule, parse_ranges(rule.keys) or ())
        for n, rule in enumerate(file.rule)
    ]
