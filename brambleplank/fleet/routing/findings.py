"""What the lint is told and what it finds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from brambleplank.fleet.retirement.plan import RetirementStep
from brambleplank.fleet.routing.route_table import Route

MAX_FINDINGS = 200  # of one kind; the rest is counted


class FindingKind(StrEnum):
    """What is wrong with a rule."""

    SHADOWED = "shadowed"  # earlier rules take all that it matches
    UNREACHABLE = "unreachable"  # nothing in the fleet has what it names
    CONTRADICTORY = "contradictory"  # with another rule, or with itself
    UNSEEN = "unseen"  # no process has counted a request that it matches


@dataclass(frozen=True)
class LintContext:
    """What one process knows of its fleet, against which a table is held."""

    service_types: Collection[str]
    customers: Collection[str] = ()  # none: any may come
    budgets: Collection[str] = ()
    idle_budgets: Collection[str] = ()  # whose reserves leave nothing to lend
    # Service type, customer and version of requests that any process has counted; None: not known.
    requests_counted: Collection[tuple[str, str, str]] | None = None
    coverage: str = ""
    # Of service types; the larger, the less may a request run twice.
    idempotency_ranks: Mapping[str, int] = field(default_factory=dict)
    budget_kinds: Mapping[str, str] = field(default_factory=dict)
    notices: bool = True  # whether clients may be sent a line after UP
    wall_time: float | None = None  # Unix seconds, on first sight of a table
    # How far each retirement is: the number of its step, and the step.
    retirement_steps: Mapping[str, tuple[int, RetirementStep]] = field(default_factory=dict)


@dataclass(frozen=True, order=True)
class Finding:
    """One thing that is wrong with a rule; an objection keeps the table from being published."""

    line: int
    kind: str  # a FindingKind
    wrong: str
    example: str  # a request that shows it
    instead: str
    objects: bool = True

    def __str__(self) -> str:
        """Returns the finding as log lines have it."""
        example = f" (as {self.example})" if self.example else ""
        return f"line {self.line}: {self.kind}: {self.wrong}{example}; {self.instead}"


class FindingList:
    """Collects findings, a limited number of each kind of rules."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self.counts: Counter[FindingKind] = Counter()  # of findings of rules

    def add(
        self,
        route: Route,
        kind: FindingKind,
        wrong: str,
        instead: str,
        example: str = "",
        objects: bool = True,
    ) -> None:
        """Adds a finding of a rule; beyond the limit it is only counted."""
        self.counts[kind] += 1
        if self.counts[kind] <= MAX_FINDINGS:
            self.findings.append(Finding(route.line, kind, wrong, example, instead, objects))

    def add_unlimited(self, line: int, kind: FindingKind, wrong: str, instead: str) -> None:
        """Adds a finding of what is not a rule."""
        self.findings.append(Finding(line, kind, wrong, "", instead))

    def sorted(self) -> list[Finding]:
        """Returns all findings by line, and one for each kind of which there are too many."""
        rest = []
        for kind, count in self.counts.items():
            if count > MAX_FINDINGS:
                wrong = f"{count - MAX_FINDINGS} more rules are {kind}"
                rest.append(Finding(0, kind, wrong, "", "mend those that are named first"))
        return sorted([*self.findings, *rest])
