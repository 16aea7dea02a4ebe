"""The context and the findings of a lint of a route table."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from brambleplank.fleet.retirement.plan import RetirementStep
from brambleplank.fleet.routing.route_table import Route

MAX_FINDINGS = 200  # of one kind; any more are only counted


class FindingKind(StrEnum):
    """What is wrong with a rule."""

    SHADOWED = "shadowed"  # earlier rules decide all requests that it matches
    UNREACHABLE = "unreachable"  # it names something that does not exist in the fleet
    CONTRADICTORY = "contradictory"  # with another rule, or within itself
    UNSEEN = "unseen"  # no member has counted a request that it matches


@dataclass(frozen=True)
class LintContext:
    """State and settings of one process against which a table is linted."""

    service_types: Collection[str]
    customers: Collection[str] = ()  # empty: any customer is served
    budgets: Collection[str] = ()  # names of those that rules may use
    idle_budgets: Collection[str] = ()  # with reserves that leave nothing to lease
    # Service type, customer and version of the requests that any member has counted; None: not known.
    requests_counted: Collection[tuple[str, str, str]] | None = None
    coverage: str = ""  # of the counts, as in log lines
    # By service type; of a higher rank, a request needs more protection from running twice.
    idempotency_ranks: Mapping[str, int] = field(default_factory=dict)
    budget_kinds: Mapping[str, str] = field(default_factory=dict)  # by name
    notices: bool = True  # whether clients may be sent a line after UP
    wall_time: float | None = None  # Unix seconds; None: dates are not checked against it
    # The number of the step in force and the step, by retirement.
    retirement_steps: Mapping[str, tuple[int, RetirementStep]] = field(default_factory=dict)


@dataclass(frozen=True, order=True)
class Finding:
    """A problem of a rule or a retirement."""

    line: int
    kind: str  # a FindingKind
    wrong: str  # the problem
    example: str  # a request that is affected, or ""
    instead: str  # the remedy
    objects: bool = True  # whether it prevents publication of the table

    def __str__(self) -> str:
        """Returns the finding as it is logged."""
        example = f" (as {self.example})" if self.example else ""
        return f"line {self.line}: {self.kind}: {self.wrong}{example}; {self.instead}"


class FindingList:
    """Collects findings; those of rules up to a limit for each kind."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self.counts: Counter[FindingKind] = Counter()  # of findings of rules, also beyond the limit

    def add(
        self,
        route: Route,
        kind: FindingKind,
        wrong: str,
        instead: str,
        example: str = "",
        objects: bool = True,
    ) -> None:
        """Adds a finding of a rule; beyond the limit, findings are only counted."""
        self.counts[kind] += 1
        if self.counts[kind] <= MAX_FINDINGS:
            self.findings.append(Finding(route.line, kind, wrong, example, instead, objects))

    def add_unlimited(self, line: int, kind: FindingKind, wrong: str, instead: str) -> None:
        """Adds a finding that is not of a rule."""
        self.findings.append(Finding(line, kind, wrong, "", instead))

    def sorted(self) -> list[Finding]:
        """Returns all findings by line, and one with the number left out for each kind over the limit."""
        rest = []
        for kind, count in self.counts.items():
            if count > MAX_FINDINGS:
                wrong = f"{count - MAX_FINDINGS} more rules are {kind}"
                rest.append(Finding(0, kind, wrong, "", "correct the listed ones first"))
        return sorted([*self.findings, *rest])
