"""Retirements: timelines, who is turned away, and fleets that move through them as one, in virtual time."""

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
KNOWN = LintContext(
    ["maps", "orders"],
    (),
    ["away", "moves"],
    idempotency_ranks={"maps": 0, "orders": 2},
    budget_kinds={"away": "away", "moves": "moves"},
)


def at(seconds: float) -> str:
    return (BEGINS + timedelta(seconds=seconds)).isoformat()


def timeline(more: str = "", **changes: Any) -> str:
    """Announced at 0 s, warned at 10, a pause at 40 for 10 s, shed from 100 to 200, as a file has it."""
    keys = {
        "name": '"maps v1"',
        "service_type": '"maps"',
        "version": '"v1"',
        "successor_version": '"v2"',
        "announced": at(0),
        "warned": at(10),
        "shed": at(100),
        "ended": at(200),
        "shares": [0.25, 0.5],
        **changes,
    }
    text = "\n".join(f"{key} = {value}" for key, value in keys.items())
    pause = f'[[retirement.pause]]\nat = {at(40)}\nlasts = "10s"\n'
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
    away = [
        turns_away(retirement, RetirementStep(RetirementStage.SHEDDING, share, 0.0), "", caller)
        for share in sorted(shares)
    ]
    assert away == sorted(away) and turns_away(
        retirement, RetirementStep(RetirementStage.ENDED, 1.0, 0.0), "", caller
    )


def test_share_matches_callers_turned_away() -> None:
    places = sorted(caller_position("maps v1", f"k{n}") for n in range(20_000))
    for share in (0.05, 0.25, 0.5):
        assert abs(sum(p < share for p in places) / 20_000 - share) < 0.01


def test_steps_are_in_order_and_customers_join_later() -> None:
    more = f'[[retirement.customer]]\ncustomer = "acme"\nended = {at(300)}\n'
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
        (timeline(warned=at(0)), "retirement[1].warned: "),
        (timeline(ended=at(50)), "retirement[1].ended: "),
        (timeline(shares=[0.5, 0.25]), "retirement[1].shares: "),
        (timeline(shares=[0.5, 1.0]), "retirement[1].shares: "),
        (timeline(announced="2027-01-01T00:00:00"), "retirement[1].announced: need a date and time"),
        (timeline(f'[[retirement.pause]]\nat = {at(95)}\nlasts = "10s"\n'), "retirement[1].pause[2].at: "),
        (timeline(f'[[retirement.pause]]\nat = {at(45)}\nlasts = "10s"\n'), "retirement[1].pause[2].at: "),
        (timeline(f'[[retirement.customer]]\ncustomer = "a"\nended = {at(150)}\n'), "customer[1].ended: "),
        (timeline() + "[[retirement]]" + timeline().partition("[[retirement]]")[2], "stands twice"),
        ('[[rule]]\ndoes = "retire"\n', "rule[1].retirement: it goes with"),
    ],
)
def test_timeline_faults_are_reported_by_key(text: str, named: str) -> None:
    table, faults = route_table.read(text)
    assert table is None and any(named in str(fault) for fault in faults), faults


@pytest.mark.parametrize(
    ("text", "known", "wrong"),
    [
        (timeline(successor_version='"v1"'), {}, "no successor but itself"),
        (timeline(successor_type='"tiles"'), {}, 'no service type "tiles"'),
        (timeline(successor_version='"v9"'), {}, 'no version "v9"'),
        (timeline(ceiling='"moves"'), {}, 'no budget "moves" of = "away"'),
        (timeline(service_type='"orders"', successor_type='"maps"'), {}, "may run twice"),
        (timeline(), {"wall_time": BEGINS.timestamp() + 201}, "its timeline is over"),
        (timeline(notice="true"), {"notices": False}, "a line after UP"),
        (timeline() + '[[rule]]\ndoes = "refuse"\nversion = ["v2"]\n', {}, "successor is refused"),
        (timeline().replace('retirement = "maps v1"', 'retirement = "v3"'), {}, "no rule goes by it"),
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
            "round in a circle",
        ),
    ],
)
def test_lint_objects_to_impossible_timeline(text: str, known: dict[str, Any], wrong: str) -> None:
    found = lint(table_of(text), LintContext(**{**KNOWN.__dict__, **known}))
    assert any(wrong in finding.wrong and finding.objects for finding in found), list(map(str, found))
    assert not lint(table_of(timeline()), KNOWN)


class Retires(FleetSimulation):
    """Each member goes by the same file, and by a wall clock of its own."""

    def __init__(self, members: int, seed: int, text: str, budgets: list[Budget] | None = None) -> None:
        self.text = text.encode()
        self.jumps: dict[int, float] = {}  # of wall clocks, in seconds
        self.servers = 3  # ready
        self.begun: float = 0.0
        self.retiring: dict[int, RetirementProgress] = {}
        self.admission: dict[int, RequestAdmission] = {}
        self.steps: dict[int, list[int]] = {}
        super().__init__(members, budgets or [], seed, check=True)

    def start(self, node: SimulatedMember) -> None:
        super().start(node)
        fleet = node.fleet
        n = node.number
        assert fleet is not None
        routing = ActiveRoutes(
            fleet, lambda first: KNOWN, lambda call, done: done(call()), self.text, node.log_lines.append
        )
        retiring = RetirementProgress(
            fleet, routing, lambda: self.wall(n), lambda: self.servers, node.log_lines.append
        )
        tables = [BudgetTable(b.name, "away", b.limit, Seconds(b.window)) for b in self.budgets]
        self.admission[n] = RequestAdmission(fleet, tables, routing, retiring)
        self.retiring[n] = retiring
        start_number = node.start_number
        steps = self.steps.setdefault(n, [])
        steps.append(-1)

        def turn() -> None:
            if node.start_number != start_number:
                return
            if self.now >= node.stalled_until:
                retiring.tick(self.clock(node))
                found = retiring.positions.get("maps v1")
                step = found.step if found else -1
                if step < steps[-1] and steps[-1] != -1 and steps[-2:] != [-1]:
                    raise InvariantError(f"step {step} after {steps[-1]} at {n}", "retirement")
                if step != steps[-1]:
                    steps.append(step)
            self.at(self.now + 0.1, turn)

        self.at(self.now + 0.05, turn)

    def wall(self, n: int) -> float:
        """Unix seconds at a member; the timeline begins when the story says so."""
        return BEGINS.timestamp() - 1e6 * (not self.begun) + self.now - self.begun + self.jumps.get(n, 0.0)

    def place(self, n: int) -> tuple[int, str]:
        found = self.retiring[n].positions.get("maps v1")
        return (found.step, found.halted) if found else (-1, "")

    def places(self) -> set[tuple[int, str]]:
        return {self.place(node.number) for node in self.nodes if node.fleet}

    def away(self, n: int, key: int) -> bool:
        """Whether a caller would be turned away; it is not counted as one that came."""
        retirement = self.retiring[n].routing.table.retirements["maps v1"]
        return self.retiring[n].turns_away(self.clock(self.nodes[n]), retirement, "", f"k{key}")

    def come(self, n: int, key: int, customer: str = "acme") -> bool:
        node = self.nodes[n]
        flow = object()
        return self.admission[n].admit(self.clock(node), flow, "maps", customer, "", key, None)[0]

    def up_to(self, seconds: float) -> None:
        """So long after the timeline begins."""
        self.run(seconds - (self.now - self.begun))


def retires(members: int = 5, seed: int = 1, text: str = "", **more: Any) -> Retires:
    simulation = Retires(members, seed, text or timeline(), **more)
    simulation.run(25)
    simulation.begun = simulation.now
    return simulation


def test_fleet_follows_the_timeline_as_one() -> None:
    simulation = retires()
    simulation.up_to(30)
    assert simulation.places() == {(1, "")} and all(simulation.come(n, 7) for n in range(5))
    simulation.up_to(45)
    assert simulation.places() == {(2, "")} and not any(simulation.come(n, 7) for n in range(5))  # the pause
    simulation.up_to(60)
    assert simulation.places() == {(3, "")}
    away = set[int]()
    for seconds, share in ((140, 0.25), (180, 0.5), (220, 1.0)):
        simulation.up_to(seconds)
        now = {key for key in range(200) if simulation.away(key % 5, key)}
        assert now == {key for key in range(200) if simulation.away((key + 1) % 5, key)}
        assert away <= now and abs(len(now) / 200 - share) < 0.1
        away = now
    counts = simulation.admission[0].fleet.counts.own["maps/acme/v1"]
    assert counts[CountKind.WARNED] and counts[CountKind.SHED]
    assert sum("acme still comes" in line for line in simulation.nodes[0].log_lines) == 1


def test_clock_jumps_skip_no_step() -> None:
    """One clock that jumps moves nothing; where all jump, every step still has its time."""
    simulation = retires()
    simulation.up_to(30)
    leader = simulation.leader()
    assert leader is not None
    simulation.jumps[leader.number] = 1e6
    simulation.up_to(35)
    assert simulation.places() == {(1, "")}
    for n in range(5):
        simulation.jumps[n] = 1e6
    simulation.run(200)
    assert all(steps == [-1, 0, 1, 2, 3, 4, 5, 6] for steps in simulation.steps.values())
    for n in range(5):
        simulation.jumps[n] = -1e6
    simulation.run(10)
    assert simulation.places() == {(6, "")}


def test_partitioned_member_turns_nobody_away_and_new_leader_resumes() -> None:
    """The partitioned member stays at its step meanwhile."""
    simulation = retires()
    simulation.up_to(110)
    leader = simulation.leader()
    assert leader is not None
    caller = next(key for key in range(99) if not simulation.come(0, key))
    alone = (leader.number + 1) % 5
    simulation.cut({alone}, {n for n in range(5) if n != alone})
    simulation.run(6)
    assert simulation.come(alone, caller)
    simulation.kill(leader)
    simulation.up_to(170)
    assert simulation.place(alone) == (4, "")
    others = [n for n in range(5) if n not in (alone, leader.number)]
    # With three of five heard coverage is too small to know.
    assert {simulation.place(n)[1] for n in others} == {"coverage is too small: 3 of 5 heard"} or all(
        simulation.place(n)[1].startswith("coverage is too small: 3 of 5") for n in others
    )
    simulation.start(leader)
    simulation.links.cut.clear()
    simulation.run(HALT_RECOVERY_TIME + 60)
    assert len(simulation.places()) == 1 and simulation.place(alone) == (6, "")


def test_halts_without_servers_and_resumes_later() -> None:
    simulation = retires()
    simulation.up_to(110)
    caller = next(key for key in range(99) if not simulation.come(0, key))
    simulation.servers = 0
    simulation.run(2)
    assert simulation.places() == {(4, "the successor has no ready server")}
    assert all(simulation.come(n, caller) for n in range(5))
    simulation.servers = 3
    simulation.run(HALT_RECOVERY_TIME / 2)
    assert simulation.places() == {(4, "the successor has no ready server")}
    simulation.run(HALT_RECOVERY_TIME)
    assert len(simulation.places()) == 1 and not any(simulation.come(n, caller) for n in range(5))


def test_halts_on_retry_storm_and_below_customer_floor() -> None:
    more = '[[retirement.customer]]\ncustomer = "small"\nfloor = 5\n'
    for customer, flows, why in (("acme", 9, "callers come again in a storm"), ("small", 1, "are its floor")):
        simulation = retires(3, 2, timeline(more))
        simulation.up_to(60)
        for n in range(40 if customer == "acme" else 0):
            simulation.run(1)
            simulation.come(n % 3, n)
        simulation.up_to(101)
        key = next(key for key in range(99) if caller_position("maps v1", f"k{key}") < 0.25)
        for n in range(40):
            simulation.run(1)
            for _ in range(flows):
                simulation.come(n % 3, key if customer == "small" else n, customer)
        assert any(why in halted for _, halted in simulation.places()), simulation.places()


def test_ceiling_bounds_requests_turned_away() -> None:
    simulation = retires(3, 3, timeline(ceiling='"away"'), budgets=[Budget("away", 30, 10.0, 3)])
    simulation.up_to(215)
    turned = list[float]()
    for n in range(600):
        simulation.run(0.05)
        if not simulation.come(n % 3, n):
            turned.append(simulation.now)
    assert turned and max(sum(t - 10 < other <= t for other in turned) for t in turned) <= 30


@pytest.mark.parametrize("seed", range(24))
def test_steps_never_regress_under_random_faults(seed: int) -> None:
    rng = Random(seed)
    simulation = retires(3, seed)
    for _ in range(14):
        simulation.run(rng.uniform(2, 20))
        kind = rng.random()
        node = rng.choice(simulation.nodes)
        if kind < 0.25:
            simulation.kill(node)
            simulation.start(node)
            simulation.run(15)
        elif kind < 0.5:
            simulation.cut({node.number}, {n for n in range(3) if n != node.number})
        elif kind < 0.7:
            simulation.stall(node, rng.choice([2, 8]))
        elif kind < 0.8:
            simulation.jumps[node.number] = rng.choice([-1e5, 1e5, 0.0])
        else:
            simulation.links.cut.clear()
    simulation.links.cut.clear()
    simulation.jumps.clear()
    simulation.run(300)
    assert simulation.places() == {(6, "")}
    assert not [line for node in simulation.nodes for line in node.log_lines if "keep the log" in line]


def test_step_back_violates_the_invariant_and_is_logged_once() -> None:
    simulation = retires(3)
    simulation.up_to(30)
    retiring = simulation.retiring[0]
    retiring.positions["maps v1"] = RetirementPosition("maps v1", 0)
    with pytest.raises(InvariantError):  # as seen from outside
        simulation.run(0.5)
    simulation.steps[0].append(0)
    simulation.run(0.5)
    logged = [
        line for line in simulation.nodes[0].log_lines if "step of maps v1: decreased to 0 from 1" in line
    ]
    assert len(logged) == 1
