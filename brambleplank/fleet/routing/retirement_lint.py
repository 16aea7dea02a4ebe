"""Finds problems of the retirements of a route table, alone or in combination."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from brambleplank.fleet.retirement.plan import Retirement, steps_of
from brambleplank.fleet.routing.findings import FindingKind, FindingList, LintContext
from brambleplank.fleet.routing.route_table import RouteTable
from brambleplank.fleet.routing.rules import Rule


class ReportFinding(Protocol):
    """Adds a finding of one retirement."""

    def __call__(self, kind: FindingKind, wrong: str, instead: str) -> None:
        """Adds a finding with a problem and its remedy."""


class RetirementLint:
    """Checks the retirements of one table against the context of one process."""

    def __init__(self, table: RouteTable, context: LintContext, findings: FindingList) -> None:
        self.table = table
        self.context = context
        self.findings = findings

    def check(self, retirement: Retirement) -> None:
        """Adds all findings of one retirement."""
        report = partial(self.report, retirement)
        if not any(route.rule.retirement == retirement.name for route in self.table.routes):
            instead = f'write a rule with retirement = "{retirement.name}"'
            report(FindingKind.UNREACHABLE, "no rule refers to it", instead)
        self.check_names(retirement, report)
        self.check_budgets(retirement, report)
        if retirement.notice and not self.context.notices:
            wrong = "no client here may be sent a line after UP"
            report(FindingKind.UNREACHABLE, wrong, "leave notice out")
        self.check_successor(retirement, report)
        self.check_timeline(retirement, report)

    def report(self, retirement: Retirement, kind: FindingKind, wrong: str, instead: str) -> None:
        """Adds a finding of a retirement."""
        line = self.table.retirement_lines.get(retirement.name, 0)
        self.findings.add_unlimited(line, kind, f'retirement "{retirement.name}": {wrong}', instead)

    def check_names(self, retirement: Retirement, report: ReportFinding) -> None:
        """Checks that the service types and versions of a retirement exist."""
        listed = self.table.versions
        for service_type, version in (
            (retirement.service_type, retirement.version),
            (retirement.successor_type, retirement.successor_version),
        ):
            if service_type and service_type not in self.context.service_types:
                names = ", ".join(self.context.service_types)
                report(FindingKind.UNREACHABLE, f'no service type "{service_type}"', f"write one of {names}")
            if version and listed and version not in listed:
                report(FindingKind.UNREACHABLE, f'no version "{version}"', "add it to versions")

    def check_budgets(self, retirement: Retirement, report: ReportFinding) -> None:
        """Checks that the budgets of a retirement exist and are of the right kind."""
        for name, kind in ((retirement.ceiling, "away"), (retirement.moves, "moves")):
            if name and self.context.budget_kinds.get(name) != kind:
                wrong = f'no budget "{name}" of = "{kind}"'
                report(FindingKind.UNREACHABLE, wrong, "add it to the fleet's budgets")

    def check_timeline(self, retirement: Retirement, report: ReportFinding) -> None:
        """Checks that a new timeline is not over, and that a changed one keeps the step in force."""
        progress = self.context.retirement_steps.get(retirement.name)
        if progress is None:
            if self.context.wall_time is not None and retirement.ended.timestamp() <= self.context.wall_time:
                report(FindingKind.UNREACHABLE, "its timeline is over", "write dates in the future")
            return
        number, current = progress
        steps = steps_of(retirement)
        planned = steps[number] if number < len(steps) else None
        if planned is None or (planned.stage, planned.share) != (current.stage, current.share):
            where = f"it is {current.stage}, {current.share:.0%} turned away"
            wrong = f"{where}, and this would move it back"
            report(FindingKind.CONTRADICTORY, wrong, "keep all steps up to the current one")

    def check_successor(self, retirement: Retirement, report: ReportFinding) -> None:
        """Checks that the successor can replace what is retired."""
        service_type, version = retirement.successor
        if (service_type, version) == (retirement.service_type, retirement.version):
            instead = "write successor_version or successor_type"
            report(FindingKind.CONTRADICTORY, "it has no successor but itself", instead)
            return
        ranks = self.context.idempotency_ranks
        if ranks.get(service_type, 0) < ranks.get(retirement.service_type, 0):
            wrong = (
                f'flows of its successor "{service_type}" may run twice, '
                f'those of "{retirement.service_type}" may not'
            )
            instead = "name a successor whose effect is as strict"
            report(FindingKind.CONTRADICTORY, wrong, instead)
        for route in self.table.routes:
            if route.rule.does == "refuse" and matches_all_customers(route.rule, service_type, version):
                wrong = f"its successor is refused by {route.label}"
                report(FindingKind.CONTRADICTORY, wrong, "serve the successor")
                break
        self.check_chain(retirement, report)

    def check_chain(self, retirement: Retirement, report: ReportFinding) -> None:
        """Checks that the successor is not retired as well by then, and that successors form no cycle."""
        chain = [retirement]
        while (following := self.retirement_of_successor(chain[-1])) is not None and following not in chain:
            chain.append(following)
        if following is not None:
            wrong = "its successors form a cycle"
            report(FindingKind.CONTRADICTORY, wrong, "end the chain with a successor that is not retired")
        elif len(chain) > 1 and chain[1].ended <= retirement.ended:
            wrong = f'its successor is retired by "{chain[1].name}" at the same time or earlier'
            report(FindingKind.CONTRADICTORY, wrong, "name a successor that stays longer")

    def retirement_of_successor(self, retirement: Retirement) -> Retirement | None:
        """Returns the retirement of the successor, or None."""
        others = self.table.retirements.values()
        return next((r for r in others if retirement.successor == (r.service_type, r.version)), None)


def matches_all_customers(rule: Rule, service_type: str, version: str) -> bool:
    """Returns whether a rule matches requests of that service type and version from all customers."""
    return (
        (not rule.service_type or service_type in rule.service_type)
        and not rule.customer
        and (not rule.version or version in rule.version)
    )
