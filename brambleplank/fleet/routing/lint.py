"""Finds rules of a route table that can never decide a request, or that contradict each other.

The requests that a rule matches are a product: service types x customers x versions x ranges of keys. Sets of
rules are integers with one bit for each rule, so that a few operations on large integers find all earlier
rules that overlap a rule. Whether several earlier rules together cover a rule is checked for each combination
of values, so findings are exact. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Collection
from itertools import product

from brambleplank.fleet.routing.findings import Finding, FindingKind, FindingList, LintContext
from brambleplank.fleet.routing.key_ranges import ALL_KEYS
from brambleplank.fleet.routing.retirement_lint import RetirementLint
from brambleplank.fleet.routing.route_table import Route, RouteTable
from brambleplank.fleet.routing.rule_sets import KeyIndex, ValueIndex, rule_numbers
from brambleplank.fleet.routing.rules import Rule

__all__ = ["Finding", "LintContext", "lint"]

ANOTHER_VALUE = "\0"  # stands for the values that no rule names
ANY = "any"  # in an example: no particular value
MAX_RULES_NAMED = 4  # in one finding, of the rules that shadow another


def lint(table: RouteTable, context: LintContext) -> list[Finding]:
    """Returns all findings of a table, by line."""
    findings = FindingList()
    if table.routes:
        names = NameLint(table, context, findings)
        overlaps = OverlapLint(table, context, findings)
        for route in table.routes:
            names.check(route)
            overlaps.check(route)
    retirements = RetirementLint(table, context, findings)
    for retirement in table.retirements.values():
        retirements.check(retirement)
    return findings.sorted()


class NameLint:
    """Finds rules that name something that does not exist in the fleet."""

    def __init__(self, table: RouteTable, context: LintContext, findings: FindingList) -> None:
        self.table = table
        self.context = context
        self.findings = findings

    def check(self, route: Route) -> None:
        """Adds the findings of one rule."""
        rule = route.rule
        context = self.context
        if rule.retirement and rule.retirement not in self.table.retirements:
            self.add_unreachable(route, f'no retirement "{rule.retirement}"', "add its timeline")
        unknown_type = first_unknown(rule.service_type, context.service_types)
        if unknown_type is not None:
            names = ", ".join(context.service_types)
            self.add_unreachable(route, f'no service type "{unknown_type}"', f"write one of {names}")
        unknown_customer = first_unknown(rule.customer, context.customers) if context.customers else None
        if unknown_customer is not None:
            self.add_unreachable(
                route, f'no customer "{unknown_customer}"', "write one of those in the settings"
            )
        listed = self.table.versions
        unlisted = first_unknown(rule.version, listed) if listed else None
        if unlisted is not None:
            self.add_unreachable(route, f'no version "{unlisted}"', "add it to versions")
        self.check_budget(route)
        if unknown_type is None and unknown_customer is None:
            self.check_counted(route)

    def add_unreachable(self, route: Route, wrong: str, instead: str) -> None:
        """Adds a finding of a rule that names something that does not exist."""
        self.findings.add(route, FindingKind.UNREACHABLE, wrong, instead)

    def check_budget(self, route: Route) -> None:
        """Checks that the budget of a rule exists, and that its reserves leave something to lease."""
        name = route.rule.budget
        if name and name not in self.context.budgets:
            names = ", ".join(self.context.budgets) or "none is configured"
            self.add_unreachable(route, f'no budget "{name}"', f"write one of: {names}")
        elif name in self.context.idle_budgets:
            wrong = f'budget "{name}" has nothing to lease beside its reserves'
            instead = "raise its limit or lower its reserve"
            self.findings.add(route, FindingKind.CONTRADICTORY, wrong, instead)

    def check_counted(self, route: Route) -> None:
        """Checks that some member has counted a request that a rule by customer or version matches."""
        rule = route.rule
        if self.context.requests_counted is None or not (rule.customer or rule.version):
            return
        if not any(matches(rule, *seen) for seen in self.context.requests_counted):
            wrong = "no process has seen a flow that it matches"
            instead = f"check whether it is needed ({self.context.coverage})"
            self.findings.add(route, FindingKind.UNSEEN, wrong, instead, objects=False)


def first_unknown(values: Collection[str], known: Collection[str]) -> str | None:
    """Returns the first of the values that is not among the known ones, or None."""
    return next((value for value in values if value not in known), None)


def matches(rule: Rule, service_type: str, customer: str, version: str) -> bool:
    """Returns whether a rule matches such requests, for some keys at least."""
    return (
        (not rule.service_type or service_type in rule.service_type)
        and (not rule.customer or customer in rule.customer)
        and (not rule.version or version in rule.version)
    )


class OverlapLint:
    """Finds rules that are shadowed or contradicted by earlier ones."""

    def __init__(self, table: RouteTable, context: LintContext, findings: FindingList) -> None:
        self.table = table
        self.routes = table.routes
        self.context = context
        self.findings = findings
        self.types = ValueIndex([list(route.rule.service_type) for route in self.routes])
        self.customers = ValueIndex([list(route.rule.customer) for route in self.routes])
        self.versions = ValueIndex([list(route.rule.version) for route in self.routes])
        self.keys = KeyIndex(self.routes)
        self.outcomes: dict[tuple[str, str], int] = {}  # the set of rules with each outcome
        for n, route in enumerate(self.routes):
            outcome = route.rule.outcome()
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) | 1 << n

    def check(self, route: Route) -> None:
        """Adds a finding if earlier rules decide all requests of a rule, or contradict it for some."""
        overlapping = self.earlier_overlapping(route.number)
        if not overlapping:
            return
        covering = self.covering_rules(route)
        if covering:
            self.add_shadowed(route, covering)
        else:
            self.check_contradictions(route, overlapping)

    def earlier_overlapping(self, n: int) -> int:
        """Returns the set of earlier rules that match some request that the rule matches."""
        earlier = (1 << n) - 1
        overlapping = (
            earlier & self.types.overlapping(n) & self.customers.overlapping(n) & self.versions.overlapping(n)
        )
        return self.keys.overlapping(n, overlapping & self.keys.overlapping_hulls(n))

    def covering_rules(self, route: Route) -> list[int]:
        """Returns the earlier rules that together decide all requests of a rule; empty if any is left."""
        rule = route.rule
        another = [ANOTHER_VALUE]
        # Earlier rules that cover a value that no rule names cover every value. Otherwise, where all values
        # are known, each is checked.
        found = self.covering_rules_for(
            route, rule.service_type or another, rule.customer or another, rule.version or another
        )
        if found:
            return found
        types = rule.service_type or list(self.context.service_types)
        customers = rule.customer or list(self.context.customers) or another
        return self.covering_rules_for(
            route, types, customers, rule.version or self.table.versions or another
        )

    def covering_rules_for(
        self, route: Route, types: list[str], customers: list[str], versions: list[str]
    ) -> list[int]:
        """Returns the earlier rules that decide all keys of a rule for these values; empty if any is left."""
        covering: set[int] = set()
        for service_type, customer, version in product(types, customers, versions):
            for first, last in route.ranges:
                key = first
                while key <= last:
                    claim = self.table.furthest_claim(service_type, customer, version, key, route.number)
                    if claim is None:
                        return []
                    covering.add(claim.rule)
                    key = claim.last + 1
        return sorted(covering)

    def add_shadowed(self, route: Route, others: list[int]) -> None:
        """Adds the finding that other rules shadow a rule."""
        first = self.routes[others[0]]
        labels = ", ".join(self.routes[n].label for n in others[:MAX_RULES_NAMED])
        more = " and more" if len(others) > MAX_RULES_NAMED else ""
        self.findings.add(
            route,
            FindingKind.SHADOWED,
            f"all flows that it matches are decided by {labels}{more}",
            f"remove it, or put it before line {first.line}",
            self.example(route),
        )

    def check_contradictions(self, route: Route, overlapping: int) -> None:
        """Adds a finding for the first earlier rule that partly overlaps a rule and has another outcome.

        A rule that encloses or is enclosed by the other is an exception or a default, and no contradiction.
        """
        n = route.number
        inside = self.types.contained_in(n) & self.customers.contained_in(n) & self.versions.contained_in(n)
        around = self.types.containing(n) & self.customers.containing(n) & self.versions.containing(n)
        candidates = overlapping & ~self.outcomes[route.rule.outcome()] & ~(around & self.keys.with_all_keys)
        if route.ranges == (ALL_KEYS,):
            candidates &= ~inside
        for other in rule_numbers(candidates):
            if inside >> other & 1 and self.keys.encloses(n, other):
                continue
            if around >> other & 1 and self.keys.encloses(other, n):
                continue
            self.add_contradictory(route, self.routes[other])
            return

    def add_contradictory(self, route: Route, earlier: Route) -> None:
        """Adds the finding that an earlier rule contradicts a rule for some requests."""
        self.findings.add(
            route,
            FindingKind.CONTRADICTORY,
            f"in part it matches what {earlier.label} decides otherwise",
            f"narrow it or line {earlier.line} until one lies within the other, or they do not overlap",
            self.example(route, earlier),
        )

    def example(self, route: Route, other: Route | None = None) -> str:
        """Returns a request that the rule, and the other one if given, match."""
        rule = route.rule
        theirs = other.rule if other else Rule("serve")
        service_type = common_value(rule.service_type, theirs.service_type, self.context.service_types)
        customer = common_value(rule.customer, theirs.customer, self.context.customers)
        version = common_value(rule.version, theirs.version, ())
        parts = [f"c={service_type}"]
        if customer != ANY:
            parts.append(f"t={customer}")
        if version not in (ANY, ""):
            parts.append(f"v={version}")
        key = self.keys.first_common(route.number, other.number) if other else route.ranges[0].first
        return f"key {key:x} {','.join(parts)}"


def common_value(own: list[str], theirs: list[str], defaults: Collection[str]) -> str:
    """Returns a value that two rules match; the first of `defaults` if neither names any."""
    both = [value for value in own if not theirs or value in theirs] or theirs
    return both[0] if both else next(iter(defaults), ANY)
