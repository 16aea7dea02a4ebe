"""Retirements: timelines, the callers turned away, and the progress of a whole fleet in virtual time."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fleet_simulation import FleetSimulation, SimulatedMember
from brambleplank.fleet.errors import InvariantError
from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.leases.counts import CountKind
from brambleplank.fleet.retirement.plan import (
    RetirementStage,
    RetirementStep,
    caller_position,
    steps_of,
    turns_away,
)
from brambleplank.fleet.retirement.progress import HALT_RECOVERY_TIME, RetirementPosition, RetirementProgress
from brambleplank.fleet.routing import route_table
from brambleplank.fleet.routing.active_routes import ActiveRoutes
from brambleplank.fleet.routing.admission import RequestAdmission
from brambleplank.fleet.routing.lint import LintContext, lint
from brambleplank.fleet.shapes import BudgetTable
from brambleplank.tables import Seconds

BEGINS = datetime(2027, 1, 1, tzinfo=UTC)
LINT_CONTEXT = LintContext(
    ["maps", "orders"],
    (),
    ["away", "moves"],
    idempotency_ranks={"maps": 0, "orders": 2},
    budget_kinds={"away": "away", "moves": "moves"},
)


def date_at(seconds: float) -> str:
    return (BEGINS + timedelta(seconds=seconds)).isoformat()


def timeline(more: str = "", **changes: Any) -> str:
    """Returns a file of rules with one retirement.

    It is announced at 0 s, warned at 10, paused at 40 for 10 s, and shed from 100 to 200.
    """
    keys = {
        "name": '"maps v1"',
        "service_type": '"maps"',
        "version": '"v1"',
        "successor_version": '"v2"',
        "announced": date_at(0),
        "warned": date_at(10),
        "shed": date_at(100),
        "ended": date_at(200),
        "shares": [0.25, 0.5],
        **changes,
    }
    text = "\n".join(f"{key} = {value}" for key, value in keys.items())
    pause = f'[[retirement.pause]]\nat = {date_at(40)}\nlasts = "10s"\n'
    return (
        'versions = ["v1", "v2"]\n[[rule]]\ndoes = "retire"\nservice_type = ["maps"]\nversion = ["v1"]\n'
        f'retirement = "maps v1"\n[[retirement]]\n{text}\n{pause}{more}'
    )


def table_of(text: str) -> route_table.RouteTable:
    table, faults = route_table.read(text)
    assert table is not None, faults
    return table


@given(st.text(max_size=20), st.lists(st.floats(0.001, 0.999), min_size=1, max_size=6, unique=True))
def test_caller_stays_turned_away_as_the_share_grows(caller: str, shares: list[float]) -> None:
    retirement = table_of(timeline()).retirements["maps v1"]
    turned_away = [
        turns_away(retirement, RetirementStep(RetirementStage.SHEDDING, share, 0.0), "", caller)
        for share in sorted(shares)
    ]
    assert turned_away == sorted(turned_away) and turns_away(
        retirement, RetirementStep(RetirementStage.ENDED, 1.0, 0.0), "", caller
    )


def test_share_matches_callers_turned_away() -> None:
    positions = sorted(caller_position("maps v1", f"k{n}") for n in range(20_000))
    for share in (0.05, 0.25, 0.5):
        assert abs(sum(p < share for p in positions) / 20_000 - share) < 0.01


def test_steps_are_in_order_and_customers_join_later() -> None:
    more = f'[[retirement.customer]]\ncustomer = "acme"\nended = {date_at(300)}\n'
    retirement = table_of(timeline(more)).retirements["maps v1"]
    steps = steps_of(retirement)
    assert [(s.stage, s.share, s.due - BEGINS.timestamp()) for s in steps] == [
        ("announced", 0, 0),
        ("warned", 0, 10),
        ("paused", 1, 40),
        ("warned", 0, 50),
        ("shedding", 0.25, 100),
        ("shedding", 0.5, 150),
        ("ended", 1, 200),
        ("ended", 1, 300),
    ]
    assert not turns_away(retirement, steps[-2], "acme", "k1") and turns_away(
        retirement, steps[-1], "acme", "k1"
    )
    assert turns_away(retirement, steps[-2], "umbra", "k1")


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (timeline(warned=date_at(0)), "retirement[1].warned: "),
        (timeline(ended=date_at(50)), "retirement[1].ended: "),
        (timeline(shares=[0.5, 0.25]), "retirement[1].shares: "),
        (timeline(shares=[0.5, 1.0]), "retirement[1].shares: "),
        (timeline(announced="2027-01-01T00:00:00"), "retirement[1].announced: need a date and time"),
        (
            timeline(f'[[retirement.pause]]\nat = {date_at(95)}\nlasts = "10s"\n'),
            "retirement[1].pause[2].at: ",
        ),
        (
            timeline(f'[[retirement.pause]]\nat = {date_at(45)}\nlasts = "10s"\n'),
            "retirement[1].pause[2].at: ",
        ),
        (
            timeline(f'[[retirement.customer]]\ncustomer = "a"\nended = {date_at(150)}\n'),
            "customer[1].ended: ",
        ),
        (timeline() + "[[retirement]]" + timeline().partition("[[retirement]]")[2], "is there twice"),
        ('[[rule]]\ndoes = "retire"\n', "rule[1].retirement: needed with"),
    ],
)
def test_timeline_faults_are_reported_by_key(text: str, named: str) -> None:
    table, faults = route_table.read(text)
    assert table is None and any(named in str(fault) for fault in faults), faults


@pytest.mark.parametrize(
    ("text", "context", "wrong"),
    [
        (timeline(successor_version='"v1"'), {}, "no successor but itself"),
        (timeline(successor_type='"tiles"'), {}, 'no service type "tiles"'),
        (timeline(successor_version='"v9"'), {}, 'no version "v9"'),
        (timeline(ceiling='"moves"'), {}, 'no budget "moves" of = "away"'),
        (timeline(service_type='"orders"', successor_type='"maps"'), {}, "may run twice"),
        (timeline(), {"wall_time": BEGINS.timestamp() + 201}, "its timeline is over"),
        (timeline(notice="true"), {"notices": False}, "a line after UP"),
        (timeline() + '[[rule]]\ndoes = "refuse"\nversion = ["v2"]\n', {}, "successor is refused"),
        (timeline().replace('retirement = "maps v1"', 'retirement = "v3"'), {}, "no rule refers to it"),
        (
            timeline(),
            {"retirement_steps": {"maps v1": (4, RetirementStep(RetirementStage.SHEDDING, 0.5, 0.0))}},
            "would move it back",
        ),
        (
            timeline()
            + "[[retirement]]"
            + timeline()
            .partition("[[retirement]]")[2]
            .replace('"maps v1"', '"maps v2"')
            .replace('"v2"', '"v0"')
            .replace('"v1"', '"v2"')
            .replace('"v0"', '"v1"'),
            {},
            "form a cycle",
        ),
    ],
)
def test_lint_objects_to_impossible_timeline(text: str, context: dict[str, Any], wrong: str) -> None:
    found = lint(table_of(text), LintContext(**{**LINT_CONTEXT.__dict__, **context}))
    assert any(wrong in finding.wrong and finding.objects for finding in found), list(map(str, found))
    assert not lint(table_of(timeline()), LINT_CONTEXT)


class RetirementSimulation(FleetSimulation):
    """A fleet whose members have the same file of rules, and a wall clock each."""

    def __init__(self, members: int, seed: int, text: str, budgets: list[Budget] | None = None) -> None:
        self.text = text.encode()
        self.clock_steps: dict[int, float] = {}  # seconds by which a member's wall clock was stepped
        self.servers = 3  # ready
        self.started_at: float = 0.0
        self.progress: dict[int, RetirementProgress] = {}
        self.admission: dict[int, RequestAdmission] = {}
        self.steps: dict[int, list[int]] = {}
        super().__init__(members, budgets or [], seed, check=True)

    def start(self, node: SimulatedMember) -> None:
        super().start(node)
        fleet = node.fleet
        n = node.number
        assert fleet is not None
        routing = ActiveRoutes(
            fleet,
            lambda first: LINT_CONTEXT,
            lambda call, done: done(call()),
            self.text,
            node.log_lines.append,
        )
        progress = RetirementProgress(
            fleet, routing, lambda: self.wall_time(n), lambda: self.servers, node.log_lines.append
        )
        tables = [BudgetTable(b.name, "away", b.limit, Seconds(b.window)) for b in self.budgets]
        self.admission[n] = RequestAdmission(fleet, tables, routing, progress)
        self.progress[n] = progress
        start_number = node.start_number
        steps = self.steps.setdefault(n, [])
        steps.append(-1)

        def tick() -> None:
            if node.start_number != start_number:
                return
            if self.now >= node.stalled_until:
                progress.tick(self.clock(node))
                found = progress.positions.get("maps v1")
                step = found.step if found else -1
                if step < steps[-1] and steps[-1] != -1 and steps[-2:] != [-1]:
                    raise InvariantError(f"step {step} after {steps[-1]} at {n}", "retirement")
                if step != steps[-1]:
                    steps.append(step)
            self.at(self.now + 0.1, tick)

        self.at(self.now + 0.05, tick)

    def wall_time(self, n: int) -> float:
        """Returns Unix seconds at a member: a time long before the timeline, until the test starts that."""
        return (
            BEGINS.timestamp()
            - 1e6 * (not self.started_at)
            + self.now
            - self.started_at
            + self.clock_steps.get(n, 0.0)
        )

    def position(self, n: int) -> tuple[int, str]:
        found = self.progress[n].positions.get("maps v1")
        return (found.step, found.halt_reason) if found else (-1, "")

    def positions(self) -> set[tuple[int, str]]:
        return {self.position(node.number) for node in self.nodes if node.fleet}

    def is_turned_away(self, n: int, key: int) -> bool:
        """Returns whether a caller would be turned away, without counting a request."""
        retirement = self.progress[n].active_table.table.retirements["maps v1"]
        return self.progress[n].turns_away(self.clock(self.nodes[n]), retirement, "", f"k{key}")

    def admits(self, n: int, key: int, customer: str = "acme") -> bool:
        node = self.nodes[n]
        flow = object()
        return self.admission[n].admit(self.clock(node), flow, "maps", customer, "", key, None)[0]

    def run_until(self, seconds: float) -> None:
        """Runs until so many seconds after the start of the timeline."""
        self.run(seconds - (self.now - self.started_at))


def start_retirement(members: int = 5, seed: int = 1, text: str = "", **more: Any) -> RetirementSimulation:
    simulation = RetirementSimulation(members, seed, text or timeline(), **more)
    simulation.run(25)
    simulation.started_at = simulation.now
    return simulation


def test_fleet_follows_the_timeline_as_one() -> None:
    simulation = start_retirement()
    simulation.run_until(30)
    assert simulation.positions() == {(1, "")} and all(simulation.admits(n, 7) for n in range(5))
    simulation.run_until(45)
    assert simulation.positions() == {(2, "")} and not any(
        simulation.admits(n, 7) for n in range(5)
    )  # the pause
    simulation.run_until(60)
    assert simulation.positions() == {(3, "")}
    turned_away = set[int]()
    for seconds, share in ((140, 0.25), (180, 0.5), (220, 1.0)):
        simulation.run_until(seconds)
        now = {key for key in range(200) if simulation.is_turned_away(key % 5, key)}
        assert now == {key for key in range(200) if simulation.is_turned_away((key + 1) % 5, key)}
        assert turned_away <= now and abs(len(now) / 200 - share) < 0.1
        turned_away = now
    counts = simulation.admission[0].fleet.counts.own["maps/acme/v1"]
    assert counts[CountKind.WARNED] and counts[CountKind.SHED]
    assert sum("acme still comes" in line for line in simulation.nodes[0].log_lines) == 1


def test_clock_jumps_skip_no_step() -> None:
    """One clock that jumps moves no step; when all clocks jump, each step still lasts its least duration."""
    simulation = start_retirement()
    simulation.run_until(30)
    leader = simulation.leader()
    assert leader is not None
    simulation.clock_steps[leader.number] = 1e6
    simulation.run_until(35)
    assert simulation.positions() == {(1, "")}
    for n in range(5):
        simulation.clock_steps[n] = 1e6
    simulation.run(200)
    assert all(steps == [-1, 0, 1, 2, 3, 4, 5, 6] for steps in simulation.steps.values())
    for n in range(5):
        simulation.clock_steps[n] = -1e6
    simulation.run(10)
    assert simulation.positions() == {(6, "")}


def test_partitioned_member_turns_nobody_away_and_new_leader_resumes() -> None:
    """Meanwhile the partitioned member stays at its step."""
    simulation = start_retirement()
    simulation.run_until(110)
    leader = simulation.leader()
    assert leader is not None
    caller = next(key for key in range(99) if not simulation.admits(0, key))
    alone = (leader.number + 1) % 5
    simulation.cut({alone}, {n for n in range(5) if n != alone})
    simulation.run(6)
    assert simulation.admits(alone, caller)
    simulation.kill(leader)
    simulation.run_until(170)
    assert simulation.position(alone) == (4, "")
    others = [n for n in range(5) if n not in (alone, leader.number)]
    # Three of five reachable members are too small a coverage, so the new leader halts the retirement.
    assert {simulation.position(n)[1] for n in others} == {"coverage is too small: 3 of 5 heard"} or all(
        simulation.position(n)[1].startswith("coverage is too small: 3 of 5") for n in others
    )
    simulation.start(leader)
    simulation.links.cut.clear()
    simulation.run(HALT_RECOVERY_TIME + 60)
    assert len(simulation.positions()) == 1 and simulation.position(alone) == (6, "")


def test_halts_without_servers_and_resumes_later() -> None:
    simulation = start_retirement()
    simulation.run_until(110)
    caller = next(key for key in range(99) if not simulation.admits(0, key))
    simulation.servers = 0
    simulation.run(2)
    assert simulation.positions() == {(4, "the successor has no ready server")}
    assert all(simulation.admits(n, caller) for n in range(5))
    simulation.servers = 3
    simulation.run(HALT_RECOVERY_TIME / 2)
    assert simulation.positions() == {(4, "the successor has no ready server")}
    simulation.run(HALT_RECOVERY_TIME)
    assert len(simulation.positions()) == 1 and not any(simulation.admits(n, caller) for n in range(5))


def test_halts_on_retry_storm_and_below_customer_floor() -> None:
    more = '[[retirement.customer]]\ncustomer = "small"\nfloor = 5\n'
    for customer, flows, why in (
        ("acme", 9, "callers come again in a storm"),
        ("small", 1, "below its floor"),
    ):
        simulation = start_retirement(3, 2, timeline(more))
        simulation.run_until(60)
        for n in range(40 if customer == "acme" else 0):
            simulation.run(1)
            simulation.admits(n % 3, n)
        simulation.run_until(101)
        key = next(key for key in range(99) if caller_position("maps v1", f"k{key}") < 0.25)
        for n in range(40):
            simulation.run(1)
            for _ in range(flows):
                simulation.admits(n % 3, key if customer == "small" else n, customer)
        assert any(why in halted for _, halted in simulation.positions()), simulation.positions()


def test_ceiling_bounds_requests_turned_away() -> None:
    simulation = start_retirement(3, 3, timeline(ceiling='"away"'), budgets=[Budget("away", 30, 10.0, 3)])
    simulation.run_until(215)
    turned_away_at = list[float]()
    for n in range(600):
        simulation.run(0.05)
        if not simulation.admits(n % 3, n):
            turned_away_at.append(simulation.now)
    assert (
        turned_away_at
        and max(sum(t - 10 < other <= t for other in turned_away_at) for t in turned_away_at) <= 30
    )


@pytest.mark.parametrize("seed", range(24))
def test_steps_never_regress_under_random_faults(seed: int) -> None:
    rng = Random(seed)
    simulation = start_retirement(3, seed)
    for _ in range(14):
        simulation.run(rng.uniform(2, 20))
        fault = rng.random()
        node = rng.choice(simulation.nodes)
        if fault < 0.25:
            simulation.kill(node)
            simulation.start(node)
            simulation.run(15)
        elif fault < 0.5:
            simulation.cut({node.number}, {n for n in range(3) if n != node.number})
        elif fault < 0.7:
            simulation.stall(node, rng.choice([2, 8]))
        elif fault < 0.8:
            simulation.clock_steps[node.number] = rng.choice([-1e5, 1e5, 0.0])
        else:
            simulation.links.cut.clear()
    simulation.links.cut.clear()
    simulation.clock_steps.clear()
    simulation.run(300)
    assert simulation.positions() == {(6, "")}
    assert not [line for node in simulation.nodes for line in node.log_lines if "keep the log" in line]


def test_step_back_violates_the_invariant_and_is_logged_once() -> None:
    simulation = start_retirement(3)
    simulation.run_until(30)
    progress = simulation.progress[0]
    progress.positions["maps v1"] = RetirementPosition("maps v1", 0)
    with pytest.raises(InvariantError):  # raised by the simulation's own check
        simulation.run(0.5)
    simulation.steps[0].append(0)
    simulation.run(0.5)
    logged = [
        line for line in simulation.nodes[0].log_lines if "step of maps v1: decreased to 0 from 1" in line
    ]
    assert len(logged) == 1
