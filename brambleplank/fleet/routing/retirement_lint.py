"""Finds what is wrong with the timelines of a route table: as a whole, or beside each other."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from brambleplank.fleet.retirement.plan import Retirement, steps_of
from brambleplank.fleet.routing.findings import FindingKind, FindingList, LintContext
from brambleplank.fleet.routing.route_table import RouteTable
from brambleplank.fleet.routing.rules import Rule


class Report(Protocol):
    """Adds a finding of one retirement."""

    def __call__(self, kind: FindingKind, wrong: str, instead: str) -> None:
        """Takes what is wrong, and what to write instead."""


class RetirementLint:
    """The retirements of one table, held against what one process knows."""

    def __init__(self, table: RouteTable, known: LintContext, findings: FindingList) -> None:
        self.table = table
        self.known = known
        self.findings = findings

    def check(self, retirement: Retirement) -> None:
        """Adds all findings of one retirement."""
        report = partial(self.report, retirement)
        if not any(route.rule.retirement == retirement.name for route in self.table.routes):
            instead = f'write a rule with retirement = "{retirement.name}"'
            report(FindingKind.UNREACHABLE, "no rule goes by it", instead)
        self.check_names(retirement, report)
        self.check_budgets(retirement, report)
        if retirement.notice and not self.known.notices:
            wrong = "no client here may be sent a line after UP"
            report(FindingKind.UNREACHABLE, wrong, "leave notice out")
        self.check_successor(retirement, report)
        self.check_timeline(retirement, report)

    def report(self, retirement: Retirement, kind: FindingKind, wrong: str, instead: str) -> None:
        """Adds a finding of a retirement."""
        line = self.table.lines.get(retirement.name, 0)
        self.findings.add_unlimited(line, kind, f'retirement "{retirement.name}": {wrong}', instead)

    def check_names(self, retirement: Retirement, report: Report) -> None:
        """Looks for service types and versions that nobody has."""
        listed = self.table.versions
        for service_type, version in (
            (retirement.service_type, retirement.version),
            (retirement.successor_type, retirement.successor_version),
        ):
            if service_type and service_type not in self.known.service_types:
                names = ", ".join(self.known.service_types)
                report(FindingKind.UNREACHABLE, f'no service type "{service_type}"', f"write one of {names}")
            if version and listed and version not in listed:
                report(FindingKind.UNREACHABLE, f'no version "{version}"', "add it to versions")

    def check_budgets(self, retirement: Retirement, report: Report) -> None:
        """Looks for budgets that are not there, or are of another kind."""
        for name, kind in ((retirement.ceiling, "away"), (retirement.moves, "moves")):
            if name and self.known.budget_kinds.get(name) != kind:
                wrong = f'no budget "{name}" of = "{kind}"'
                report(FindingKind.UNREACHABLE, wrong, "add it to the fleet's budgets")

    def check_timeline(self, retirement: Retirement, report: Report) -> None:
        """Looks for steps that would move back what is under way, or are all over."""
        place = self.known.retirement_steps.get(retirement.name)
        if place is None:
            if self.known.wall_time is not None and retirement.ended.timestamp() <= self.known.wall_time:
                report(FindingKind.UNREACHABLE, "its timeline is over", "write dates to come")
            return
        number, current = place
        steps = steps_of(retirement)
        planned = steps[number] if number < len(steps) else None
        if planned is None or (planned.stage, planned.share) != (current.stage, current.share):
            where = f"it is {current.stage}, {current.share:.0%} turned away"
            wrong = f"{where}, and this would move it back"
            report(FindingKind.CONTRADICTORY, wrong, "leave the steps that are done")

    def check_successor(self, retirement: Retirement, report: Report) -> None:
        """Looks for a successor that cannot take over."""
        service_type, version = retirement.successor
        if (service_type, version) == (retirement.service_type, retirement.version):
            instead = "write successor_version or successor_type"
            report(FindingKind.CONTRADICTORY, "it has no successor but itself", instead)
            return
        ranks = self.known.idempotency_ranks
        if ranks.get(service_type, 0) < ranks.get(retirement.service_type, 0):
            wrong = (
                f'flows of "{service_type}", its successor, may run twice, '
                f'those of "{retirement.service_type}" not'
            )
            instead = "write a successor of an effect that needs as much"
            report(FindingKind.CONTRADICTORY, wrong, instead)
        for route in self.table.routes:
            if route.rule.does == "refuse" and takes_all(route.rule, service_type, version):
                wrong = f"its successor is refused by {route.label}"
                report(FindingKind.CONTRADICTORY, wrong, "serve the successor")
                break
        self.check_chain(retirement, report)

    def check_chain(self, retirement: Retirement, report: Report) -> None:
        """Looks for successors that are retired as well, and no later."""
        chain = [retirement]
        while (following := self.retirement_of_successor(chain[-1])) is not None and following not in chain:
            chain.append(following)
        if following is not None:
            wrong = "its successors go round in a circle"
            report(FindingKind.CONTRADICTORY, wrong, "end the chain with what stays")
        elif len(chain) > 1 and chain[1].ended <= retirement.ended:
            wrong = f'its successor is retired by "{chain[1].name}", and no later'
            report(FindingKind.CONTRADICTORY, wrong, "name a successor that stays")

    def retirement_of_successor(self, retirement: Retirement) -> Retirement | None:
        """Returns the retirement of the successor, if that is retired as well."""
        others = self.table.retirements.values()
        return next((r for r in others if retirement.successor == (r.service_type, r.version)), None)


def takes_all(rule: Rule, service_type: str, version: str) -> bool:
    """Returns whether a rule matches requests of that service type and version of all customers."""
    return (
        (not rule.service_type or service_type in rule.service_type)
        and not rule.customer
        and (not rule.version or version in rule.version)
    )
