"""A whole fleet in virtual time: members with clocks of their own, links that lose, delay, repeat and cut.

It judges in true time, by its own record, what no member can see: whether a window or an instant ever held
more than its budget, and whether two ever led at once. One seed gives one run.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import NamedTuple

from brambleplank.fleet.errors import InvariantError
from brambleplank.fleet.leases.budgets import CONNECTION_EXPIRY, Budget
from brambleplank.fleet.leases.timing import MAX_CLOCK_DRIFT
from brambleplank.fleet.member import FleetMember

TICK_INTERVAL = 0.1  # seconds between two ticks of a member
MIN_DELAY = 0.0005  # seconds that a datagram takes
SERVER_TAGS = list(range(10))  # of the servers that every member lists as ready


@dataclass
class LinkFaults:
    """What happens to datagrams."""

    loss: float = 0.0  # probability
    duplication: float = 0.0  # probability
    max_delay: float = 0.02  # seconds
    cut: set[tuple[int, int]] = field(default_factory=set)  # pairs of members, one way each
    extra_delay: dict[tuple[int, int], float] = field(default_factory=dict)  # seconds, one way


class Event(NamedTuple):
    """A call at a true time; those of one time keep their order."""

    at: float
    order: int
    call: Callable[[], None]


class SimulatedMember:
    """One member's process, and the clock of its machine."""

    def __init__(self, number: int, offset: float, rate: float) -> None:
        """Its clock shows `offset` plus `rate` times the true time."""
        self.number = number
        self.offset = offset
        self.rate = rate
        self.fleet: FleetMember | None = None  # None: it does not run
        self.stalled_until = 0.0
        self.start_number = 0  # grows with each start and each end
        self.held: Counter[str] = Counter()  # open units, by budget
        self.log_lines: list[str] = []


class FleetSimulation:
    """A fleet whose members run on one queue of events."""

    def __init__(
        self,
        members: int,
        budgets: list[Budget],
        seed: int,
        rates: float = MAX_CLOCK_DRIFT,
        check: bool = True,
    ) -> None:
        """`rates`: by how much clocks may differ; `check`: whether members check their invariants."""
        self.rng = Random(seed)
        self.budgets = budgets
        self.check = check
        self.now = 0.0  # true time, in seconds
        self.links = LinkFaults()
        self.events: list[Event] = []
        self.event_count = 0
        self.nodes = [
            SimulatedMember(n, self.rng.uniform(0, 1e6), 1 + self.rng.uniform(-rates, rates))
            for n in range(members)
        ]
        self.spent_at: dict[str, deque[float]] = {budget.name: deque() for budget in budgets}
        self.unexpired: Counter[str] = Counter()  # units of ended processes, not known to be free
        self.peak_use: Counter[str] = Counter()  # in any window, or at any instant
        self.served = 0
        self.refused = 0
        self.sent: Counter[int] = Counter()  # messages, by member
        self.sent_bytes: Counter[int] = Counter()  # of datagrams, by member
        for node in self.nodes:
            self.start(node)

    # Time.

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedules a call."""
        self.event_count += 1
        heapq.heappush(self.events, Event(when, self.event_count, call))

    def run(self, seconds: float) -> None:
        """Runs all events of the next seconds."""
        until = self.now + seconds
        while self.events and self.events[0].at <= until:
            event = heapq.heappop(self.events)
            self.now = event.at
            event.call()
        self.now = until

    def clock(self, node: SimulatedMember) -> float:
        """Returns what a member's clock shows now."""
        return node.offset + node.rate * self.now

    # Processes.

    def start(self, node: SimulatedMember) -> None:
        """Starts a member's process."""
        node.start_number += 1
        node.log_lines.clear()
        node.stalled_until = 0.0
        node.fleet = FleetMember(
            node.number,
            len(self.nodes),
            self.budgets,
            round(self.now * 1000) + node.start_number,
            self.clock(node),
            self.rng.getrandbits(32),
            lambda data, to: self.carry(node, data, to),
            node.log_lines.append,
            lambda: list(SERVER_TAGS),
            self.check,
        )
        tick = partial(self.tick, node, node.start_number)
        self.at(self.now + self.rng.uniform(0, TICK_INTERVAL), tick)

    def tick(self, node: SimulatedMember, start_number: int) -> None:
        """Lets one start of a member take its turn, and schedules the next one."""
        if node.start_number != start_number or node.fleet is None:
            return
        tick = partial(self.tick, node, start_number)
        if self.now < node.stalled_until:
            self.at(node.stalled_until, tick)
            return
        node.fleet.tick(self.clock(node))
        self.check_one_leader()
        self.at(self.now + TICK_INTERVAL * self.rng.uniform(0.9, 1.1), tick)

    def kill(self, node: SimulatedMember) -> None:
        """Ends a member's process. Its open units are in use until their connections are gone."""
        if node.fleet is None:
            return
        node.fleet = None
        node.start_number += 1
        held = node.held
        node.held = Counter()
        for name, count in held.items():
            self.unexpired[name] += count
        expires_at = self.now + self.rng.choice([0.01, 0.5, 0.99]) * CONNECTION_EXPIRY
        self.at(expires_at, lambda: self.unexpired.subtract(held))

    def stall(self, node: SimulatedMember, seconds: float) -> None:
        """Stops a member's process for a time."""
        node.stalled_until = max(node.stalled_until, self.now + seconds)

    def is_running(self, node: SimulatedMember) -> bool:
        """Returns whether a member's process runs and is not stalled."""
        return node.fleet is not None and self.now >= node.stalled_until

    # Links.

    def carry(self, node: SimulatedMember, data: bytes, to: int | None) -> None:
        """Takes a datagram from a member, to one other or to all."""
        self.sent[node.number] += 1
        for other in self.nodes if to is None else [self.nodes[to]]:
            if other is not node:
                self.sent_bytes[node.number] += len(data)
                self.carry_to(node, other, data)

    def carry_to(self, node: SimulatedMember, other: SimulatedMember, data: bytes) -> None:
        """Delivers a datagram as the link does: once or twice, late, or not at all."""
        link = node.number, other.number
        for _ in range(1 + (self.rng.random() < self.links.duplication)):
            if link in self.links.cut or self.rng.random() < self.links.loss:
                continue
            delay = self.links.extra_delay.get(link, 0.0)
            arrives_at = self.now + delay + self.rng.uniform(MIN_DELAY, self.links.max_delay)
            self.at(arrives_at, partial(self.arrive, node.number, other, data))

    def arrive(self, sender: int, node: SimulatedMember, data: bytes) -> None:
        """Hands a datagram to a member; while it is stalled, it waits in the socket."""
        if node.fleet is None:
            return
        if self.now < node.stalled_until:
            self.at(node.stalled_until, partial(self.arrive, sender, node, data))
            return
        node.fleet.receive_datagram(self.clock(node), sender, data)
        self.check_one_leader()

    def cut(self, one: set[int], other: set[int]) -> None:
        """Cuts all links between two parts, both ways."""
        self.links.cut |= {pair for a in one for b in other for pair in ((a, b), (b, a))}

    # Use of budgets, and the judgement.

    def take(self, node: SimulatedMember, name: str) -> bool:
        """Takes a unit at a member, if it runs. Raises InvariantError if the fleet now uses too much."""
        if not self.is_running(node) or node.fleet is None:
            return False
        if not node.fleet.try_acquire(self.clock(node), name):
            self.refused += 1
            return False
        self.served += 1
        budget = next(budget for budget in self.budgets if budget.name == name)
        if not budget.window:
            node.held[name] += 1
        used = self.record_use(budget)
        self.peak_use[name] = max(self.peak_use[name], used)
        if used > budget.limit:
            raise InvariantError(f"{used} units of {budget.limit} at {self.now:.3f}", f"budget {name}")
        return True

    def record_use(self, budget: Budget) -> int:
        """Returns the units in use over the fleet, one of which was taken now."""
        if not budget.window:
            open_units = sum(node.held[budget.name] for node in self.nodes)
            return open_units + self.unexpired[budget.name]
        spent_at = self.spent_at[budget.name]
        spent_at.append(self.now)
        while spent_at[0] <= self.now - budget.window:
            spent_at.popleft()
        return len(spent_at)

    def give_back(self, node: SimulatedMember, name: str) -> None:
        """Frees one open unit of a member, if it has one."""
        if node.fleet is not None and self.is_running(node) and node.held[name]:
            node.held[name] -= 1
            node.fleet.account(name).release()

    def check_one_leader(self) -> None:
        """Raises InvariantError if two members lead."""
        leaders = [node.number for node in self.nodes if self.is_running(node) and self.is_leader(node)]
        if len(leaders) > 1:
            raise InvariantError(f"{leaders} lead at {self.now:.3f}", "election")

    def is_leader(self, node: SimulatedMember) -> bool:
        """Returns whether a member leads by its own clock, without changing its state."""
        if node.fleet is None:
            return False
        candidacy = node.fleet.election.candidacy
        has_begun = candidacy.is_active and candidacy.leader_since is not None
        return has_begun and self.clock(node) < candidacy.support_expiry()

    def leader(self) -> SimulatedMember | None:
        """Returns the member that leads."""
        return next((node for node in self.nodes if self.is_running(node) and self.is_leader(node)), None)


def play_random_faults(simulation: FleetSimulation, steps: int, rng: Random) -> None:
    """Faults and demand by chance: kills, restarts, stalls, cuts either way, loss, repeats, late messages."""
    nodes = simulation.nodes
    greedy = nodes
    for _ in range(steps):
        kind = rng.random()
        node = rng.choice(nodes)
        if not inject_fault(simulation, kind, node, rng) and kind < 0.44:
            greedy = rng.sample(nodes, rng.randint(1, len(nodes)))
        for each in nodes:
            if each.fleet is None and rng.random() < 0.3:
                simulation.start(each)
        use_budgets(simulation, greedy, rng)


def inject_fault(simulation: FleetSimulation, kind: float, node: SimulatedMember, rng: Random) -> bool:
    """Injects the fault of a kind from 0 to 1. Returns whether there is one of that kind."""
    nodes = simulation.nodes
    if kind < 0.04:
        simulation.kill(node)
        if rng.random() < 0.5:
            simulation.start(node)
    elif kind < 0.06:
        for each in nodes:
            simulation.kill(each)
            simulation.start(each)
    elif kind < 0.12:
        simulation.stall(node, rng.choice([0.5, 3, 6, 20]))
    elif kind < 0.16:
        part = set(rng.sample(range(len(nodes)), rng.randint(1, len(nodes) - 1)))
        simulation.cut(part, set(range(len(nodes))) - part)
    elif kind < 0.20:
        simulation.links.cut.add((node.number, rng.choice(nodes).number))
    elif kind < 0.28:
        simulation.links.cut.clear()
    elif kind < 0.32:
        simulation.links.loss = rng.choice([0, 0, 0.1, 0.4])
        simulation.links.duplication = rng.choice([0, 0.2])
        simulation.links.max_delay = rng.choice([0.002, 0.05, 0.6, 3.0])
    elif kind < 0.36 and (leader := simulation.leader()) is not None:
        rng.choice([simulation.kill, lambda each: simulation.stall(each, 6)])(leader)
    else:
        return False
    return True


def use_budgets(simulation: FleetSimulation, greedy: list[SimulatedMember], rng: Random) -> None:
    """Lets some members take and give back units of all budgets for a while."""
    for _ in range(rng.choice([1, 4, 40])):
        simulation.run(rng.choice([0.01, 0.1, 0.3]))
        for budget in simulation.budgets:
            for _ in range(rng.choice([0, 1, 10])):
                simulation.take(rng.choice(greedy), budget.name)
            if rng.random() < 0.3:
                simulation.give_back(rng.choice(simulation.nodes), budget.name)


def play_leadership_contests(simulation: FleetSimulation, rng: Random) -> None:
    """What tempts two to lead at once, and a leader to lend again what is out, at times by chance."""
    for _ in range(6):
        simulation.links = LinkFaults()
        simulation.run(rng.uniform(6, 12))
        leader = simulation.leader()
        if leader is None:
            continue
        others = [node for node in simulation.nodes if node is not leader]
        rival = rng.choice(others)
        holder = rng.choice(others)
        for _ in range(30):
            simulation.run(0.1)
            for budget in simulation.budgets:
                for _ in range(budget.limit // 10):
                    simulation.take(holder, budget.name)
        contest(simulation, leader, rival, holder, rng)
        for _ in range(rng.randint(40, 160)):
            simulation.run(0.1)
            for budget in simulation.budgets:
                for _ in range(max(1, budget.limit // 10)):
                    simulation.take(rng.choice(simulation.nodes), budget.name)


def contest(
    simulation: FleetSimulation,
    leader: SimulatedMember,
    rival: SimulatedMember,
    holder: SimulatedMember,
    rng: Random,
) -> None:
    """One fault that puts a leader's term, or the units of a holder, in doubt."""
    others = [node for node in simulation.nodes if node is not leader]
    kind = rng.choice(["bridge", "late", "restart", "stall", "all"])
    if kind == "bridge":  # a majority on either side, by members that start anew
        simulation.cut({leader.number}, {rival.number})
        simulation.run(rng.uniform(2, 6))
        for node in others:
            if node is not rival:
                simulation.kill(node)
                simulation.start(node)
    elif kind == "late":  # old promises arrive when their granters follow another
        for node in others:
            simulation.links.extra_delay[node.number, leader.number] = rng.uniform(2, 3.9)
        simulation.run(rng.uniform(3, 6))
        simulation.cut({leader.number}, {node.number for node in others})
    elif kind == "stall":
        simulation.stall(rng.choice([leader, holder]), rng.uniform(1, 12))
    else:
        for node in simulation.nodes if kind == "all" else [holder]:
            simulation.kill(node)
            simulation.start(node)
