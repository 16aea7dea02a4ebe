"""Which budgets a request needs, and whether it may have them: all of them or none. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from brambleplank.fleet.leases.account import Account
from brambleplank.fleet.leases.counts import CountKind
from brambleplank.fleet.member import FleetMember
from brambleplank.fleet.retirement.plan import Retirement, RetirementStage, turns_away
from brambleplank.fleet.retirement.progress import RetirementProgress
from brambleplank.fleet.routing.active_routes import ActiveRoutes
from brambleplank.fleet.routing.route_table import Route
from brambleplank.fleet.shapes import REQUEST_BUDGETS, BudgetTable

MAX_WARNED = 256  # retirements and customers that are named in the log


class AdmissionDecision(NamedTuple):
    """Whether a new request may go on."""

    admitted: bool
    come_back: float | None = None  # seconds until a client that a rule refuses should come again


ADMITTED = AdmissionDecision(True)
REFUSED = AdmissionDecision(False)


class BudgetAccount(NamedTuple):
    """A budget of the fleet's table, and this process's part of it."""

    table: BudgetTable
    account: Account


@dataclass
class AdmittedRequest:
    """A request that was let in, until it ends."""

    service_type: str
    customer: str
    version: str
    caller: str = ""  # its group or key, by which a retirement knows it
    notice: str = ""  # what it is told of its end, if it asks
    open_units: list[Account] = field(default_factory=list)  # counts that it holds a unit of
    served: bool = False


class RequestAdmission:
    """Admits requests; a `flow` is whatever the carrier knows a request by."""

    def __init__(
        self,
        fleet: FleetMember,
        tables: list[BudgetTable],
        routing: ActiveRoutes | None = None,
        retiring: RetirementProgress | None = None,
        notices: bool = False,
    ) -> None:
        """`notices`: whether clients may be told of a retirement."""
        self.fleet = fleet
        self.routing = routing
        self.retiring = retiring
        self.notices = notices
        self.warned: set[tuple[str, str]] = set()  # retirements and customers that the log names already
        self.budgets = [BudgetAccount(table, fleet.account(table.name)) for table in tables]
        self.flows: dict[Any, AdmittedRequest] = {}

    def admit(
        self,
        now: float,
        flow: Any,
        service_type: str,
        customer: str,
        version: str,
        key: int,
        group: int | None,
    ) -> AdmissionDecision:
        """Decides on a new request; what it needs is taken, all or nothing."""
        request = self.request_of(service_type, customer, version, key, group)
        self.note(CountKind.OFFERED, request)
        route = None
        if self.routing is not None:
            route = self.routing.find(service_type, customer, request.version, key)
        if route is not None:
            decision = self.decide_by_rule(now, route, request)
            if not decision.admitted:
                return decision
        if not self.take_units(now, self.budgets_of(route, request), request):
            self.note(CountKind.REFUSED, request)
            return REFUSED
        self.flows[flow] = request
        return ADMITTED

    def request_of(
        self, service_type: str, customer: str, version: str, key: int, group: int | None
    ) -> AdmittedRequest:
        """Returns the record of a request; one that names no version is of the oldest."""
        caller = f"k{key}" if group is None else f"g{group}"
        if not version and self.routing is not None:
            version = self.routing.table.oldest
        return AdmittedRequest(service_type, customer, version, caller)

    def decide_by_rule(self, now: float, route: Route, request: AdmittedRequest) -> AdmissionDecision:
        """Decides by the rule that matches, before budgets are looked at."""
        if route.rule.does == "refuse":
            self.note(CountKind.REFUSED, request)
            return AdmissionDecision(False, route.rule.come_back)
        if route.rule.retirement and self.retiring is not None and self.routing is not None:
            retirement = self.routing.table.retirements.get(route.rule.retirement)
            if retirement is not None:
                return self.decide_by_retirement(now, self.retiring, retirement, request)
        return ADMITTED

    def decide_by_retirement(
        self, now: float, retiring: RetirementProgress, retirement: Retirement, request: AdmittedRequest
    ) -> AdmissionDecision:
        """Turns a caller away, or warns it, as far as its retirement is."""
        if retiring.turns_away(now, retirement, request.customer, request.caller):
            self.note(CountKind.SHED, request)
            return AdmissionDecision(False, retirement.come_back)
        if retiring.warns(retirement):
            self.warn(retirement, request)
        return ADMITTED

    def budgets_of(self, route: Route | None, request: AdmittedRequest) -> list[BudgetAccount]:
        """Returns the budgets that a request needs a unit of."""
        needed = [
            budget
            for budget in self.budgets
            if budget.table.of in REQUEST_BUDGETS
            and budget.table.covers(request.service_type, request.customer)
        ]
        if route is not None and route.rule.budget in self.fleet.accounts:
            named = next(budget for budget in self.budgets if budget.table.name == route.rule.budget)
            if named not in needed:
                needed.append(named)
        return needed

    def take_units(self, now: float, needed: list[BudgetAccount], request: AdmittedRequest) -> bool:
        """Takes a unit of each of these budgets for a request, if all have one."""
        if not self.are_available(now, [budget.account for budget in needed]):
            return False
        for budget in needed:
            self.fleet.try_acquire(now, budget.table.name)
            if budget.table.of == "connections":
                request.open_units.append(budget.account)
        return True

    def are_available(self, now: float, accounts: list[Account]) -> bool:
        """Returns whether all of these accounts have a unit; leases are requested for those that have not."""
        short = [account for account in accounts if not account.has_free_unit(now)]
        for account in short:
            self.fleet.record_refusal(now, account)
        return not short

    def warn(self, retirement: Retirement, request: AdmittedRequest) -> None:
        """Counts the caller; its customer is named in the log once."""
        self.note(CountKind.WARNED, request)
        successor = "/".join(
            part for part in (retirement.successor_type, retirement.successor_version) if part
        )
        ended = retirement.lasts_until(request.customer) or retirement.ended
        if retirement.notice and self.notices:
            name = retirement.name.replace(" ", "_")
            request.notice = f"NOTICE retired={name},ended={ended:%Y-%m-%dT%H:%M:%SZ},successor={successor}"
        warned = retirement.name, request.customer
        if warned not in self.warned and len(self.warned) < MAX_WARNED:
            self.warned.add(warned)
            who = request.customer or "a caller without a customer"
            self.fleet.log(f"retirement {retirement.name}: {who} still comes; ends {ended:%Y-%m-%d %H:%M}")

    def retirement_notice(self, flow: Any) -> str:
        """Returns what a client that asked for it is told once its session is established."""
        request = self.flows.get(flow)
        return request.notice if request else ""

    def sessions_to_migrate(self, now: float) -> list[Any]:
        """Returns sessions with what has ended that are to be migrated in this second."""
        found: list[Any] = []
        if self.retiring is None or self.routing is None:
            return found
        for retirement in self.routing.table.retirements.values():
            step = self.retiring.current_step(retirement)
            if step is None or step.stage != RetirementStage.ENDED:
                continue
            standing = [
                flow
                for flow, request in self.flows.items()
                if request.served
                and request.service_type == retirement.service_type
                and retirement.version in ("", request.version)
                and turns_away(retirement, step, request.customer, request.caller)
            ]
            found += standing[: self.retiring.moves(now, retirement, len(standing))]
        return found

    def adopt(
        self, flow: Any, service_type: str, customer: str, version: str, key: int, group: int | None
    ) -> None:
        """Adopts a session from before this process began, whatever the budgets say."""
        request = self.request_of(service_type, customer, version, key, group)
        request.served = True
        self.flows[flow] = request
        for table, account in self.budgets:
            if table.of == "connections" and table.covers(service_type, customer):
                account.adopt()
                request.open_units.append(account)

    def allow_further_attempt(self, now: float, flow: Any) -> bool:
        """Returns whether a request may have another attempt; if so, it is counted."""
        request = self.flows.get(flow)
        if request is None:
            return True
        needed = [
            account
            for table, account in self.budgets
            if table.of == "further" and table.covers(request.service_type, request.customer)
        ]
        if not self.are_available(now, needed):
            return False
        return all(self.fleet.try_acquire(now, account.budget.name) for account in needed)

    def request_established(self, flow: Any) -> None:
        """Counts a request as established, once."""
        request = self.flows.get(flow)
        if request and not request.served:
            request.served = True
            self.note(CountKind.SERVED, request)

    def request_ended(self, flow: Any, rejected: bool) -> None:
        """Forgets a request that has its final answer, and gives back what it holds."""
        request = self.flows.pop(flow, None)
        if request is None:
            return
        if rejected:
            self.note(CountKind.REFUSED, request)
        for account in request.open_units:
            account.release()

    def note(self, kind: CountKind, request: AdmittedRequest) -> None:
        """Counts a request."""
        self.fleet.counts.increment(kind, request.service_type, request.customer, request.version)
