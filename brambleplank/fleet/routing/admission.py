"""Admission of requests by route table, retirements and budgets, which are taken all or none. Free of I/O."""

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

MAX_LOGGED_WARNINGS = 256  # pairs of a retirement and a customer, each of which is logged once


class AdmissionDecision(NamedTuple):
    """Whether a new request is admitted."""

    admitted: bool
    retry_after: float | None = None  # seconds; for a refusal by a rule or a retirement


ADMITTED = AdmissionDecision(True)
REFUSED = AdmissionDecision(False)


class BudgetAccount(NamedTuple):
    """A budget of the fleet's table, and this process's account of it."""

    table: BudgetTable
    account: Account


@dataclass
class AdmittedRequest:
    """An admitted request, until it ends."""

    service_type: str
    customer: str
    version: str
    caller: str = ""  # its group or key, which gives its position among the callers of a retirement
    notice: str = ""  # of a retirement, for a client that asked for notices
    open_units: list[Account] = field(default_factory=list)  # accounts of which it holds a unit
    served: bool = False  # whether its session is established


class RequestAdmission:
    """Admits requests; a `handle` is whatever identifies a request in its host."""

    def __init__(
        self,
        fleet: FleetMember,
        tables: list[BudgetTable],
        active_routes: ActiveRoutes | None = None,
        retirement_progress: RetirementProgress | None = None,
        notices: bool = False,
    ) -> None:
        """`notices`: whether clients may be sent notices of retirements."""
        self.fleet = fleet
        self.active_routes = active_routes
        self.retirement_progress = retirement_progress
        self.notices = notices
        self.warned: set[tuple[str, str]] = set()  # retirement and customer of each warning logged
        self.budgets = [BudgetAccount(table, fleet.account(table.name)) for table in tables]
        self.requests: dict[Any, AdmittedRequest] = {}

    def admit(
        self,
        now: float,
        handle: Any,
        service_type: str,
        customer: str,
        version: str,
        key: int,
        group: int | None,
    ) -> AdmissionDecision:
        """Decides on a new request; a unit of each budget that it needs is taken, or of none."""
        request = self.new_request(service_type, customer, version, key, group)
        self.count(CountKind.OFFERED, request)
        route = None
        if self.active_routes is not None:
            route = self.active_routes.find(service_type, customer, request.version, key)
        if route is not None:
            decision = self.decide_by_rule(now, route, request)
            if not decision.admitted:
                return decision
        if not self.take_units(now, self.required_budgets(route, request), request):
            self.count(CountKind.REFUSED, request)
            return REFUSED
        self.requests[handle] = request
        return ADMITTED

    def new_request(
        self, service_type: str, customer: str, version: str, key: int, group: int | None
    ) -> AdmittedRequest:
        """Returns the record of a request; without a version it counts as of the oldest one."""
        caller = f"k{key}" if group is None else f"g{group}"
        if not version and self.active_routes is not None:
            version = self.active_routes.table.oldest
        return AdmittedRequest(service_type, customer, version, caller)

    def decide_by_rule(self, now: float, route: Route, request: AdmittedRequest) -> AdmissionDecision:
        """Decides by the rule that matches, before the budgets are checked."""
        if route.rule.does == "refuse":
            self.count(CountKind.REFUSED, request)
            return AdmissionDecision(False, route.rule.come_back)
        if route.rule.retirement and self.retirement_progress is not None and self.active_routes is not None:
            retirement = self.active_routes.table.retirements.get(route.rule.retirement)
            if retirement is not None:
                return self.decide_by_retirement(now, self.retirement_progress, retirement, request)
        return ADMITTED

    def decide_by_retirement(
        self, now: float, progress: RetirementProgress, retirement: Retirement, request: AdmittedRequest
    ) -> AdmissionDecision:
        """Turns a caller away or warns it, by the step in force of its retirement."""
        if progress.turns_away(now, retirement, request.customer, request.caller):
            self.count(CountKind.SHED, request)
            return AdmissionDecision(False, retirement.come_back)
        if progress.warns(retirement):
            self.warn(retirement, request)
        return ADMITTED

    def required_budgets(self, route: Route | None, request: AdmittedRequest) -> list[BudgetAccount]:
        """Returns the budgets of which a request needs a unit."""
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
        """Takes a unit of each of these budgets for a request, if all have one left."""
        if not self.have_units(now, [budget.account for budget in needed]):
            return False
        for budget in needed:
            self.fleet.try_acquire(now, budget.table.name)
            if budget.table.of == "connections":
                request.open_units.append(budget.account)
        return True

    def have_units(self, now: float, accounts: list[Account]) -> bool:
        """Returns whether all accounts have a unit left; a lease is requested for those that have none."""
        short = [account for account in accounts if not account.has_free_unit(now)]
        for account in short:
            self.fleet.record_refusal(now, account)
        return not short

    def warn(self, retirement: Retirement, request: AdmittedRequest) -> None:
        """Counts a warned caller, sets its notice, and logs its customer once for each retirement."""
        self.count(CountKind.WARNED, request)
        successor = "/".join(
            part for part in (retirement.successor_type, retirement.successor_version) if part
        )
        ended = retirement.end_for(request.customer) or retirement.ended
        if retirement.notice and self.notices:
            name = retirement.name.replace(" ", "_")
            request.notice = f"NOTICE retired={name},ended={ended:%Y-%m-%dT%H:%M:%SZ},successor={successor}"
        warned = retirement.name, request.customer
        if warned not in self.warned and len(self.warned) < MAX_LOGGED_WARNINGS:
            self.warned.add(warned)
            who = request.customer or "a caller without a customer"
            self.fleet.log(f"retirement {retirement.name}: {who} still comes; ends {ended:%Y-%m-%d %H:%M}")

    def retirement_notice(self, handle: Any) -> str:
        """Returns the notice for a client that asked for notices, sent once its session is established."""
        request = self.requests.get(handle)
        return request.notice if request else ""

    def sessions_to_migrate(self, now: float) -> list[Any]:
        """Returns the sessions of ended service types and versions to migrate in this second."""
        found: list[Any] = []
        if self.retirement_progress is None or self.active_routes is None:
            return found
        for retirement in self.active_routes.table.retirements.values():
            step = self.retirement_progress.current_step(retirement)
            if step is None or step.stage != RetirementStage.ENDED:
                continue
            sessions = [
                handle
                for handle, request in self.requests.items()
                if request.served
                and request.service_type == retirement.service_type
                and retirement.version in ("", request.version)
                and turns_away(retirement, step, request.customer, request.caller)
            ]
            found += sessions[: self.retirement_progress.migration_count(now, retirement, len(sessions))]
        return found

    def adopt(
        self, handle: Any, service_type: str, customer: str, version: str, key: int, group: int | None
    ) -> None:
        """Adopts a session that began before this process, even beyond the budgets."""
        request = self.new_request(service_type, customer, version, key, group)
        request.served = True
        self.requests[handle] = request
        for table, account in self.budgets:
            if table.of == "connections" and table.covers(service_type, customer):
                account.adopt()
                request.open_units.append(account)

    def allow_further_attempt(self, now: float, handle: Any) -> bool:
        """Returns whether a request may have another attempt; if so, takes a unit of each budget for it."""
        request = self.requests.get(handle)
        if request is None:
            return True
        needed = [
            account
            for table, account in self.budgets
            if table.of == "further" and table.covers(request.service_type, request.customer)
        ]
        if not self.have_units(now, needed):
            return False
        return all(self.fleet.try_acquire(now, account.budget.name) for account in needed)

    def request_established(self, handle: Any) -> None:
        """Counts a request as served, once, when its session is established."""
        request = self.requests.get(handle)
        if request and not request.served:
            request.served = True
            self.count(CountKind.SERVED, request)

    def request_ended(self, handle: Any, rejected: bool) -> None:
        """Removes a request that has its final answer, and releases the units that it holds."""
        request = self.requests.pop(handle, None)
        if request is None:
            return
        if rejected:
            self.count(CountKind.REFUSED, request)
        for account in request.open_units:
            account.release()

    def count(self, kind: CountKind, request: AdmittedRequest) -> None:
        """Counts a request under its service type, customer and version."""
        self.fleet.counts.increment(kind, request.service_type, request.customer, request.version)
