"""How long a fleet is without a leader, over many seeds in virtual time: by loss, and by who hears nothing.

    python -m benchmarks.elections [--seeds 100] [--first 0] [--members 5] [--quick]

Each line gives the mean, the 99th percentile and the longest of two times over the seeds: from the fault
until another member leads (where the fault is the leader's), and the longest time on end without a leader in
the minute after the fault; and the mean of all time without a leader in that minute. `--quick` plays with the
short times of the process tests, whose turns and delays are as long as ever, and its links repeat datagrams.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from typing import TYPE_CHECKING

from brambleplank.fleet.leases import timing

if TYPE_CHECKING:
    from benchmarks.fleet_simulation import FleetSimulation, SimulatedMember

STEP = 0.05  # seconds between two looks
SETTLING_TIME = 20.0  # seconds for a first leader
OBSERVATION_TIME = 60.0  # seconds after the fault
LOSSES = (0.0, 0.1, 0.2, 0.3)
FAULTS = (
    "none",
    "a member hears nobody",
    "the leader hears nobody",
    "nobody hears the leader",
    "member, then leader",
)


@dataclass(frozen=True)
class Links:
    """What links do to datagrams."""

    loss: float
    max_delay: float = 0.02  # seconds
    duplication: float = 0.0  # probability


@dataclass
class FaultResult:
    """What one seed came to, in seconds."""

    replacement_time: float  # until another member led; infinite if none did
    longest_gap: float  # without a leader, on end
    leaderless_time: float  # without a leader, in all


def simulate_fault(seed: int, fault: str, links: Links, members: int = 5) -> FaultResult:
    """Plays one fleet with one fault."""
    from benchmarks.fleet_simulation import FleetSimulation  # after --quick has changed the times

    simulation = FleetSimulation(members, [], seed, check=False)
    simulation.links.loss = links.loss
    simulation.links.max_delay = links.max_delay
    simulation.links.duplication = links.duplication
    simulation.run(SETTLING_TIME * timing.LEASE_DURATION / 4)
    leader = inject_fault(simulation, fault, members)
    fault_at = simulation.now
    last_led_at = simulation.now  # when a member led
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
    """Cuts links by the name of a fault, and returns the member that led then."""
    leader = wait_for_leader(simulation)
    member = (leader.number + 1) % members
    if fault in ("a member hears nobody", "member, then leader"):
        simulation.links.cut = {(n, member) for n in range(members)}
    if fault == "member, then leader":
        simulation.run(1.5 * timing.LEASE_DURATION)
        leader = wait_for_leader(simulation)
    if fault in ("the leader hears nobody", "member, then leader"):
        simulation.links.cut = {(n, leader.number) for n in range(members)}
    elif fault == "nobody hears the leader":
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
    """Prints a line for each fault and loss."""
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
        "fault                    loss  replaced: mean, 99 %, most   longest: mean, 99 %, most   absent: mean"
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
