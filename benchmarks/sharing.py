"""Compares leased fleet budgets with static shares and optimistic counting, in virtual time.

`python -m benchmarks.sharing [MEMBERS ...]` prints a Markdown table. There is one rate budget. At first, all
demand is at one process. Then the fleet is partitioned, with the leader in the minority, and heals. All
figures are simulated.
"""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from benchmarks.fleet_simulation import FleetSimulation, SimulatedMember
from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.leases.timing import HEARTBEAT_INTERVAL

LIMIT = 1000  # units
WINDOW = 10.0  # seconds
STEP = 0.02  # seconds between two bursts of demand
BURST = 4  # units requested in each
SETTLING_TIME = 25.0  # seconds until a simulated fleet grants leases
MEASURED_TIME = 20.0  # seconds measured at the end of each phase


class StaticShares:
    """Baseline: each member has a fixed, equal share of the budget."""

    def __init__(self, members: int) -> None:
        self.share = LIMIT // members
        self.spent_at = [deque[float]() for _ in range(members)]

    def acquire(self, now: float, number: int, cut: bool) -> bool:
        """Uses one unit at a member, if its share allows. Returns whether it did."""
        spent_at = self.spent_at[number]
        while spent_at and spent_at[0] <= now - WINDOW:
            spent_at.popleft()
        free = len(spent_at) < self.allowed(now, number, cut)
        if free:
            spent_at.append(now)
        return free

    def allowed(self, now: float, number: int, cut: bool) -> int:  # noqa: ARG002
        """Returns the units that a member may use in a window."""
        return self.share


class Report(NamedTuple):
    """The use in the last window, as one member reported it to another."""

    spent: int = 0  # units
    at: float = 0.0  # seconds


class OptimisticCounting(StaticShares):
    """Baseline: members report their use, and each may use what the others' reports leave of the budget."""

    def __init__(self, members: int) -> None:
        super().__init__(members)
        self.reports = [[Report()] * members for _ in range(members)]  # by receiver and sender
        self.reported_at = -HEARTBEAT_INTERVAL
        self.minority = set(range((members - 1) // 2))

    def allowed(self, now: float, number: int, cut: bool) -> int:
        """Returns the units that the last reports of the others leave."""
        if now >= self.reported_at + HEARTBEAT_INTERVAL:
            self.reported_at = now
            self.exchange_reports(now, cut)
        # The use in a report has left the window when the report is one window old.
        others = (
            report.spent
            for sender, report in enumerate(self.reports[number])
            if sender != number and now < report.at + WINDOW
        )
        return LIMIT - sum(others)

    def exchange_reports(self, now: float, cut: bool) -> None:
        """Sends a report from each member to all that it can reach."""
        for sender, spent_at in enumerate(self.spent_at):
            report = Report(sum(at > now - WINDOW for at in spent_at), now)
            for receiver in range(len(self.spent_at)):
                if not cut or (sender in self.minority) == (receiver in self.minority):
                    self.reports[receiver][sender] = report


def peak_window_use(times: list[float]) -> int:
    """Returns the most units that any window holds."""
    ordered = sorted(times)
    first = 0
    peak = 0
    for n, last in enumerate(ordered):
        while ordered[first] <= last - WINDOW:
            first += 1
        peak = max(peak, n - first + 1)
    return peak


def baseline_row(members: int, sharing: Callable[[int], StaticShares]) -> list[str]:
    """Returns the row of a baseline: demand at one member, then at one member on each side of a partition."""
    budget = sharing(members)
    spent_at: list[float] = []
    used: list[float] = []
    now = 0.0
    for seconds, cut, active_members in ((40.0, False, [1]), (40.0, True, [0, members - 1])):
        counts = dict.fromkeys(active_members, 0)
        for step in range(int(seconds / STEP)):
            now += STEP
            for number in active_members:
                for _ in range(BURST):
                    if budget.acquire(now, number, cut):
                        spent_at.append(now)
                        counts[number] += step * STEP >= seconds - MEASURED_TIME
        used += [count / (LIMIT * MEASURED_TIME / WINDOW) for count in counts.values()]
    at_one, in_minority, in_majority = used
    peak = peak_window_use(spent_at) / LIMIT
    return [f"{at_one:.3f}", f"{in_majority:.3f}", f"{in_minority:.4f}", f"{peak:.2f}", "-", "-", "-"]


def use(simulation: FleetSimulation, nodes: list[SimulatedMember], seconds: float) -> list[float]:
    """Returns the fraction of the budget that each member used while demand exceeded the budget."""
    counts = [0] * len(nodes)
    for _ in range(int(seconds / STEP)):
        simulation.run(STEP)
        for n, node in enumerate(nodes):
            counts[n] += sum(simulation.acquire(node, "rate") for _ in range(BURST))
    return [count / (LIMIT * seconds / WINDOW) for count in counts]


def lease_row(members: int) -> list[str]:
    """Returns the row of a simulated fleet with leases, under the same demand."""
    simulation = FleetSimulation(members, [Budget("rate", LIMIT, WINDOW, members)], 1, check=False)
    simulation.run(SETTLING_TIME)
    leader = simulation.leader()
    assert leader is not None
    one = simulation.nodes[(leader.number + 1) % members]
    use(simulation, [one], 2 * WINDOW)
    bytes_before = simulation.sent_bytes.copy()
    began = simulation.now
    (at_one,) = use(simulation, [one], MEASURED_TIME)
    seconds = simulation.now - began
    rates = sorted((simulation.sent_bytes[n] - bytes_before[n]) / seconds for n in range(members))
    minority = {(leader.number + n) % members for n in range((members - 1) // 2 or 1)}
    simulation.cut(minority, set(range(members)) - minority)
    other = simulation.nodes[(leader.number + len(minority)) % members]
    use(simulation, [leader, other], 3 * WINDOW)
    in_minority, in_majority = use(simulation, [leader, other], MEASURED_TIME)
    recovery = recovery_time(simulation, leader)
    return [
        f"{at_one:.3f}",
        f"{in_majority:.3f}",
        f"{in_minority:.4f}",
        f"{simulation.peak_use['rate'] / LIMIT:.2f}",
        f"{rates[len(rates) // 2]:.0f}",
        f"{rates[-1]:.0f}",
        f"{recovery:.1f}",
    ]


def recovery_time(simulation: FleetSimulation, member: SimulatedMember) -> float:
    """Returns the seconds from the end of the partition until a member can use half of the budget."""
    simulation.links.cut.clear()
    healed_at = simulation.now
    while use(simulation, [member], 0.5)[0] < 0.5 and simulation.now < healed_at + 90:
        pass
    return simulation.now - healed_at


def main(members: list[int]) -> None:
    """Prints one row for each fleet size and method."""
    columns = (
        "members",
        "method",
        "use, one process",
        "use, majority side",
        "use, minority side",
        "peak in a window",
        "bytes/s, median process",
        "bytes/s, busiest process",
        "s from heal to half of the budget",
    )
    print("| " + " | ".join(columns) + " |\n|" + " --- |" * len(columns))
    for n in members:
        for method, row in (
            ("leases", lease_row(n)),
            ("static shares", baseline_row(n, StaticShares)),
            ("optimistic counting", baseline_row(n, OptimisticCounting)),
        ):
            print("| " + " | ".join([str(n), method, *row]) + " |", flush=True)


if __name__ == "__main__":
    main([int(arg) for arg in sys.argv[1:]] or [3, 30, 200])
