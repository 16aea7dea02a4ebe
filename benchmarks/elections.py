"""Measures how long a fleet has no leader, over many seeds in virtual time, by packet loss and by fault.

    python -m benchmarks.elections [--seeds 100] [--first 0] [--members 5] [--quick]

Each row gives the mean, the 99th percentile and the maximum of two times over the seeds: the time from the
fault until another member leads (meaningful where the fault is the leader's), and the longest uninterrupted
time without a leader in the minute after the fault. The last column is the mean total time without a leader
in that minute. `--quick` uses the short lease and heartbeat of the process tests, with the usual tick
interval, longer link delays and duplicated datagrams.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from typing import TYPE_CHECKING

from brambleplank.fleet.leases import timing

if TYPE_CHECKING:
    from benchmarks.fleet_simulation import FleetSimulation, SimulatedMember

STEP = 0.05  # seconds between two checks for a leader
SETTLING_TIME = 20.0  # seconds for the first election, at a lease duration of 4 seconds
OBSERVATION_TIME = 60.0  # seconds after the fault
LOSSES = (0.0, 0.1, 0.2, 0.3)
FAULTS = (
    "none",
    "member cannot receive",
    "leader cannot receive",
    "leader cannot send",
    "member, then leader",
)


@dataclass(frozen=True)
class Links:
    """Faults of the links between members."""

    loss: float  # probability
    max_delay: float = 0.02  # seconds
    duplication: float = 0.0  # probability


@dataclass
class FaultResult:
    """Times measured for one seed, in seconds."""

    replacement_time: float  # from the fault until another member led; infinite if none did
    longest_gap: float  # longest uninterrupted time without a leader
    leaderless_time: float  # total time without a leader


def simulate_fault(seed: int, fault: str, links: Links, members: int = 5) -> FaultResult:
    """Simulates one fleet with one fault."""
    from benchmarks.fleet_simulation import FleetSimulation  # imported after --quick has set the durations

    simulation = FleetSimulation(members, [], seed, check=False)
    simulation.links.loss = links.loss
    simulation.links.max_delay = links.max_delay
    simulation.links.duplication = links.duplication
    simulation.run(SETTLING_TIME * timing.LEASE_DURATION / 4)
    leader = inject_fault(simulation, fault, members)
    fault_at = simulation.now
    last_led_at = simulation.now  # when a leader was last seen
    result = FaultResult(float("inf"), 0.0, 0.0)
    while simulation.now < fault_at + OBSERVATION_TIME:
        simulation.run(STEP)
        current_leader = simulation.leader()
        if current_leader is None:
            result.leaderless_time += STEP
        else:
            last_led_at = simulation.now
            if current_leader is not leader:
                result.replacement_time = min(result.replacement_time, simulation.now - fault_at)
        result.longest_gap = max(result.longest_gap, simulation.now - last_led_at)
    return result


def inject_fault(simulation: FleetSimulation, fault: str, members: int) -> SimulatedMember:
    """Cuts the links of a named fault. Returns the leader at the time of the fault."""
    leader = wait_for_leader(simulation)
    member = (leader.number + 1) % members
    if fault in ("member cannot receive", "member, then leader"):
        simulation.links.cut = {(n, member) for n in range(members)}
    if fault == "member, then leader":
        simulation.run(1.5 * timing.LEASE_DURATION)
        leader = wait_for_leader(simulation)
    if fault in ("leader cannot receive", "member, then leader"):
        simulation.links.cut = {(n, leader.number) for n in range(members)}
    elif fault == "leader cannot send":
        simulation.links.cut = {(leader.number, n) for n in range(members)}
    return leader


def wait_for_leader(simulation: FleetSimulation) -> SimulatedMember:
    """Runs until a member leads, and returns it."""
    while (leader := simulation.leader()) is None:
        simulation.run(STEP)
    return leader


def summary(times: list[float]) -> str:
    """Returns the mean, the 99th percentile and the longest."""
    ordered = sorted(times)
    percentile = ordered[int(0.99 * (len(ordered) - 1))]
    return f"{sum(ordered) / len(ordered):6.2f} {percentile:6.2f} {ordered[-1]:6.2f}"


def main() -> None:
    """Prints one row for each fault and loss."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    if args.quick:
        timing.HEARTBEAT_INTERVAL = 0.25
        timing.LEASE_DURATION = 1.0
    print(
        "fault                    loss  new leader: mean, p99, max   longest gap: mean, p99, max   total mean"
    )
    for fault in FAULTS:
        for loss in LOSSES:
            links = Links(loss, 0.1, 0.3) if args.quick else Links(loss)
            results = [
                simulate_fault(seed, fault, links, args.members)
                for seed in range(args.first, args.first + args.seeds)
            ]
            leaderless_time = sum(each.leaderless_time for each in results) / len(results)
            print(
                f"{fault:24} {loss:4.0%}  {summary([each.replacement_time for each in results])}   "
                f"{summary([each.longest_gap for each in results])}   {leaderless_time:5.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
