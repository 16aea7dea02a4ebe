"""Finds rules of a route table that can never decide, or that contradict each other.

A rule's region is a product: service types x customers x versions x ranges of keys. Sets of rules are whole
numbers, so that "all earlier rules that meet this one" is a few operations on large numbers; only where
several earlier rules may together cover a rule is each distinct kind of request looked at. So findings are
exact. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Collection
from itertools import product

from brambleplank.fleet.routing.findings import Finding, FindingKind, FindingList, LintContext
from brambleplank.fleet.routing.key_ranges import ALL_KEYS
from brambleplank.fleet.routing.retirement_lint import RetirementLint
from brambleplank.fleet.routing.route_table import Route, RouteTable
from brambleplank.fleet.routing.rule_sets import KeySets, ValueSets, members_of
from brambleplank.fleet.routing.rules import Rule

__all__ = ["Finding", "LintContext", "lint"]

ANOTHER_VALUE = "\0"  # one that no rule names
ANY = "any"  # in an example: not named
RULES_NAMED = 4  # of those that shadow a rule


def lint(table: RouteTable, known: LintContext) -> list[Finding]:
    """Returns everything that is wrong with a table, by line."""
    findings = FindingList()
    if table.routes:
        names = NameLint(table, known, findings)
        overlaps = OverlapLint(table, known, findings)
        for route in table.routes:
            names.check(route)
            overlaps.check(route)
    retirements = RetirementLint(table, known, findings)
    for retirement in table.retirements.values():
        retirements.check(retirement)
    return findings.sorted()


class NameLint:
    """Finds rules that name what nothing in the fleet has."""

    def __init__(self, table: RouteTable, known: LintContext, findings: FindingList) -> None:
        self.table = table
        self.known = known
        self.findings = findings

    def check(self, route: Route) -> None:
        """Adds the findings of one rule."""
        rule = route.rule
        known = self.known
        if rule.retirement and rule.retirement not in self.table.retirements:
            self.unreachable(route, f'no retirement "{rule.retirement}"', "write its timeline")
        unknown_type = first_outside(rule.service_type, known.service_types)
        if unknown_type is not None:
            names = ", ".join(known.service_types)
            self.unreachable(route, f'no service type "{unknown_type}"', f"write one of {names}")
        unknown_customer = first_outside(rule.customer, known.customers) if known.customers else None
        if unknown_customer is not None:
            self.unreachable(route, f'no customer "{unknown_customer}"', "write one of the settings")
        listed = self.table.versions
        unlisted = first_outside(rule.version, listed) if listed else None
        if unlisted is not None:
            self.unreachable(route, f'no version "{unlisted}"', "add it to versions")
        self.check_budget(route)
        if unknown_type is None and unknown_customer is None:
            self.check_seen(route)

    def unreachable(self, route: Route, wrong: str, instead: str) -> None:
        """Adds a finding of a rule that names what is not there."""
        self.findings.add(route, FindingKind.UNREACHABLE, wrong, instead)

    def check_budget(self, route: Route) -> None:
        """Looks for a budget that is not there, or has nothing to lend."""
        name = route.rule.budget
        if name and name not in self.known.budgets:
            names = ", ".join(self.known.budgets) or "none is there"
            self.unreachable(route, f'no budget "{name}"', f"write one of: {names}")
        elif name in self.known.idle_budgets:
            wrong = f'budget "{name}" is smaller than its reserves need'
            instead = "raise its limit or lower its reserve"
            self.findings.add(route, FindingKind.CONTRADICTORY, wrong, instead)

    def check_seen(self, route: Route) -> None:
        """Looks whether any process has counted a request that a rule by customer or version matches."""
        rule = route.rule
        if self.known.requests_counted is None or not (rule.customer or rule.version):
            return
        if not any(matches(rule, *seen) for seen in self.known.requests_counted):
            wrong = "no process has seen a flow that it matches"
            instead = f"see whether it is needed ({self.known.coverage})"
            self.findings.add(route, FindingKind.UNSEEN, wrong, instead, objects=False)


def first_outside(values: Collection[str], known: Collection[str]) -> str | None:
    """Returns the first of these values that is not known."""
    return next((value for value in values if value not in known), None)


def matches(rule: Rule, service_type: str, customer: str, version: str) -> bool:
    """Returns whether a rule matches such requests, by some of its keys."""
    return (
        (not rule.service_type or service_type in rule.service_type)
        and (not rule.customer or customer in rule.customer)
        and (not rule.version or version in rule.version)
    )


class OverlapLint:
    """Finds rules that earlier ones shadow or contradict."""

    def __init__(self, table: RouteTable, known: LintContext, findings: FindingList) -> None:
        self.table = table
        self.routes = table.routes
        self.known = known
        self.findings = findings
        self.types = ValueSets([list(route.rule.service_type) for route in self.routes])
        self.customers = ValueSets([list(route.rule.customer) for route in self.routes])
        self.versions = ValueSets([list(route.rule.version) for route in self.routes])
        self.keys = KeySets(self.routes)
        self.outcomes: dict[tuple[str, str], int] = {}  # which rules have each outcome
        for n, route in enumerate(self.routes):
            outcome = route.rule.outcome()
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) | 1 << n

    def check(self, route: Route) -> None:
        """Adds a finding of one rule, if earlier ones take all of it or decide a part of it otherwise."""
        meeting = self.earlier_meeting(route.number)
        if not meeting:
            return
        covering = self.covering(route)
        if covering:
            self.add_shadowed(route, covering)
        else:
            self.check_contradictions(route, meeting)

    def earlier_meeting(self, n: int) -> int:
        """Returns the set of earlier rules that match some request which this one matches."""
        earlier = (1 << n) - 1
        meeting = earlier & self.types.meet(n) & self.customers.meet(n) & self.versions.meet(n)
        return self.keys.meet(n, meeting & self.keys.hulls_meet(n))

    def covering(self, route: Route) -> list[int]:
        """Returns the earlier rules that together take all of this one, or none."""
        rule = route.rule
        another = [ANOTHER_VALUE]
        # What takes a value that no rule names takes every value; where all are known, each is looked at.
        found = self.taken(
            route, rule.service_type or another, rule.customer or another, rule.version or another
        )
        if found:
            return found
        types = rule.service_type or list(self.known.service_types)
        customers = rule.customer or list(self.known.customers) or another
        return self.taken(route, types, customers, rule.version or self.table.versions or another)

    def taken(self, route: Route, types: list[str], customers: list[str], versions: list[str]) -> list[int]:
        """Returns the earlier rules that take all keys of this one for all these values, or none."""
        taken: set[int] = set()
        for service_type, customer, version in product(types, customers, versions):
            for first, last in route.ranges:
                key = first
                while key <= last:
                    claim = self.table.furthest_claim(service_type, customer, version, key, route.number)
                    if claim is None:
                        return []
                    taken.add(claim.rule)
                    key = claim.last + 1
        return sorted(taken)

    def add_shadowed(self, route: Route, others: list[int]) -> None:
        """Adds the finding that other rules take all of one."""
        first = self.routes[others[0]]
        labels = ", ".join(self.routes[n].label for n in others[:RULES_NAMED])
        more = " and more" if len(others) > RULES_NAMED else ""
        self.findings.add(
            route,
            FindingKind.SHADOWED,
            f"all that it matches goes by {labels}{more}",
            f"leave it out, or put it before line {first.line}",
            self.example(route),
        )

    def check_contradictions(self, route: Route, meeting: int) -> None:
        """Looks for an earlier rule that decides a part of this one otherwise, neither inside nor round it.

        One is named for a rule; once that is mended, the next is found.
        """
        n = route.number
        inside = self.types.lie_in(n) & self.customers.lie_in(n) & self.versions.lie_in(n)
        around = self.types.hold(n) & self.customers.hold(n) & self.versions.hold(n)
        candidates = meeting & ~self.outcomes[route.rule.outcome()] & ~(around & self.keys.full)
        if route.ranges == (ALL_KEYS,):
            candidates &= ~inside
        for other in members_of(candidates):
            if inside >> other & 1 and self.keys.encloses(n, other):
                continue
            if around >> other & 1 and self.keys.encloses(other, n):
                continue
            self.add_contradictory(route, self.routes[other])
            return

    def add_contradictory(self, route: Route, earlier: Route) -> None:
        """Adds the finding that an earlier rule decides a part of one otherwise."""
        self.findings.add(
            route,
            FindingKind.CONTRADICTORY,
            f"in part it matches what {earlier.label} decides otherwise",
            f"make one of them the narrower, or cut it at line {earlier.line}",
            self.example(route, earlier),
        )

    def example(self, route: Route, other: Route | None = None) -> str:
        """Returns a request that one or both rules match."""
        rule = route.rule
        theirs = other.rule if other else Rule("serve")
        service_type = common_value(rule.service_type, theirs.service_type, self.known.service_types)
        customer = common_value(rule.customer, theirs.customer, self.known.customers)
        version = common_value(rule.version, theirs.version, ())
        parts = [f"c={service_type}"]
        if customer != ANY:
            parts.append(f"t={customer}")
        if version not in (ANY, ""):
            parts.append(f"v={version}")
        key = self.keys.first_common(route.number, other.number) if other else route.ranges[0].first
        return f"key {key:x} {','.join(parts)}"


def common_value(own: list[str], theirs: list[str], usual: Collection[str]) -> str:
    """Returns a value that two rules match; `usual` are values to choose of where neither names any."""
    both = [value for value in own if not theirs or value in theirs] or theirs
    return both[0] if both else next(iter(usual), ANY)
