"""Bounds on the time without a leader, over many seeds in virtual time, and the rules behind them."""

from __future__ import annotations

from random import Random

import pytest

from benchmarks.elections import FAULTS, LOSSES, Links, Play, play
from brambleplank.fleet.leases.leader_election import DueHeartbeat, LeaderElection
from brambleplank.fleet.leases.timing import GRANTER_CLOCK_FACTOR, LEASE_DURATION
from brambleplank.fleet.messages import Heartbeat

SEEDS = range(60)
MAX_REPLACEMENT_TIME = 3 * LEASE_DURATION  # seconds from a leader's fault until another leads
MAX_LEADERLESS_TIME = 2.5 * LEASE_DURATION  # seconds without a leader, uninterrupted
MAX_MEAN_REPLACEMENT_TIME = 1.5 * LEASE_DURATION  # seconds
MAX_MEAN_LEADERLESS_TIME = 1.0 * LEASE_DURATION  # seconds
LEADER_FAULTS = [fault for fault in FAULTS if "leader" in fault]


def mean(times: list[float]) -> float:
    return sum(times) / len(times)


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("fault", FAULTS)
def test_time_without_a_leader_is_bounded(fault: str, loss: float) -> None:
    results: dict[int, Play] = {seed: play(seed, fault, Links(loss)) for seed in SEEDS}
    late = {seed: result for seed, result in results.items() if result.longest > MAX_LEADERLESS_TIME}
    assert not late and mean([result.longest for result in results.values()]) <= MAX_MEAN_LEADERLESS_TIME
    if fault in LEADER_FAULTS:
        late = {seed: result for seed, result in results.items() if result.replaced > MAX_REPLACEMENT_TIME}
        assert (
            not late and mean([result.replaced for result in results.values()]) <= MAX_MEAN_REPLACEMENT_TIME
        )
    elif loss <= 0.1:
        assert not [
            seed for seed, result in results.items() if result.absent
        ]  # a reachable leader is never replaced


def pre_vote_request(number: int) -> Heartbeat:
    return Heartbeat(1, 0, number, False, 0, 0)


def candidate_heartbeat(number: int) -> Heartbeat:
    return Heartbeat(1, 1, number, False, 1, 0)


def idle_election(number: int = 0, now: float = 100.0) -> LeaderElection:
    """Returns the election of a member that started long ago and requests no pre-votes."""
    election = LeaderElection(number, 3, 1, now - 2 * LEASE_DURATION, Random(1))
    election.election_at = float("inf")
    return election


def test_pre_vote_binds_nobody_and_needs_a_free_member() -> None:
    election = idle_election()
    assert election.receive_heartbeat(100.0, 1, pre_vote_request(1)) and election.receive_heartbeat(
        100.0, 2, pre_vote_request(1)
    )
    assert election.leader is None and not election.supports_leader(100.0)
    election.receive_heartbeat(100.1, 2, candidate_heartbeat(2))
    assert election.supports_leader(100.1) and not election.receive_heartbeat(100.2, 1, pre_vote_request(2))
    assert election.supports_leader(100.2)


def test_promise_ends_with_lease_or_step_down_only() -> None:
    """A late request for pre-votes by the followed leader does not end the promise."""
    election = idle_election()
    election.receive_heartbeat(100.0, 1, candidate_heartbeat(5))
    assert not election.receive_heartbeat(100.1, 1, pre_vote_request(4)) and election.supports_leader(100.1)
    assert election.receive_heartbeat(100.2, 1, pre_vote_request(6)) and not election.supports_leader(100.2)
    election.receive_heartbeat(100.3, 1, candidate_heartbeat(5))  # sent before the step-down
    assert not election.supports_leader(100.3)
    election.receive_heartbeat(100.4, 2, candidate_heartbeat(1))
    assert election.supports_leader(100.4 + LEASE_DURATION) and not election.supports_leader(
        100.4 + LEASE_DURATION * GRANTER_CLOCK_FACTOR
    )


def due_heartbeats(election: LeaderElection, now: float, seconds: float) -> list[DueHeartbeat]:
    times = [now + 0.1 * n for n in range(int(10 * seconds))]
    return [due for at in times if (due := election.due_heartbeat(at)) is not None]


def test_member_without_pre_votes_never_becomes_candidate() -> None:
    election = idle_election()
    election.election_at = 0.0
    sent = due_heartbeats(election, 100.0, 60.0)
    assert len(sent) >= 50 and not any(due.is_candidate for due in sent) and not election.newest_term


def test_leader_without_majority_steps_down() -> None:
    """It announces this to its followers, and ignores support that arrives late."""
    election = idle_election()
    election.election_at = 0.0
    request = election.due_heartbeat(100.0)
    assert request is not None
    election.receive_pre_vote(1, request.sequence)
    heartbeat = election.due_heartbeat(100.2)
    assert heartbeat is not None and heartbeat.is_candidate
    election.receive_support(100.3, 1, heartbeat.sequence)
    assert election.is_leader(100.3)
    sent = due_heartbeats(election, 100.4, 2 * LEASE_DURATION)
    last_sequence = max(due.sequence for due in sent if due.is_candidate)
    releases = [due for due in sent if due.sequence > last_sequence]
    assert len(releases) >= 3 and not election.candidacy.is_active
    election.receive_support(100.4 + 2 * LEASE_DURATION, 1, last_sequence)
    election.receive_support(100.4 + 2 * LEASE_DURATION, 2, last_sequence)
    assert not election.is_leader(100.4 + 2 * LEASE_DURATION) and not election.candidacy.supporters
