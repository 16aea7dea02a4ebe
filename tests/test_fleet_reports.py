"""Counts over a fleet, and its members' observations of servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fleet_simulation import FleetSimulation
from brambleplank.fleet import messages
from brambleplank.fleet.leases import counts
from brambleplank.fleet.leases.counts import CountKind, Counts, merge_totals
from brambleplank.fleet.server_observations import (
    EJECTION_DURATION,
    OBSERVATION_LIFETIME,
    Observations,
    ServerObserver,
)

totals = st.dictionaries(st.sampled_from("abc"), st.lists(st.integers(0, 9), min_size=5, max_size=5))


@given(totals, totals, totals)
def test_merging_counts_is_commutative_associative_and_idempotent(a: Any, b: Any, c: Any) -> None:
    assert merge_totals(a, b) == merge_totals(b, a) and merge_totals(a, a) == a
    assert merge_totals(merge_totals(a, b), c) == merge_totals(a, merge_totals(b, c))


@given(st.randoms(use_true_random=False))
def test_aggregates_are_monotonic_and_never_overcount(rng: Any) -> None:
    """Also with restarts, and with lost and duplicate reports."""
    leader_counts = Counts()
    reports: list[tuple[int, int, list[messages.Count]]] = []  # member, incarnation, counts
    true_count = 0
    processes = {member: (1, Counts()) for member in range(3)}
    aggregates = [0]
    for _ in range(60):
        member = rng.randrange(3)
        incarnation, own = processes[member]
        if rng.random() < 0.1:
            processes[member] = incarnation + 1, Counts()
            continue
        own.increment(CountKind.SERVED, "feed", "acme", "")
        true_count += 1
        reports.append((member, incarnation, own.next_report()))
        delivered = [reports[-1]] if rng.random() < 0.6 else rng.sample(reports, min(2, len(reports)))
        for report in delivered:
            if report[1] >= max(
                (started for sender, started, _ in reports if sender == report[0]), default=0
            ):
                leader_counts.receive_report(*report)
        aggregates.append(leader_counts.fleet.get("feed/acme/", [0] * 5)[CountKind.SERVED])
    assert aggregates == sorted(aggregates) and aggregates[-1] <= true_count
    for member, (incarnation, own) in processes.items():
        own.unreported.update(dict.fromkeys(own.own))
        leader_counts.receive_report(member, incarnation, own.next_report())
    assert leader_counts.fleet.get("feed/acme/", [0] * 5)[CountKind.SERVED] <= true_count


def test_keys_beyond_the_limit_count_as_other() -> None:
    own = Counts()
    leader_counts = Counts()
    for n in range(3 * counts.MAX_KEYS):
        own.increment(CountKind.SERVED, "feed", f"customer{n}", "")
    while report := own.next_report():
        leader_counts.receive_report(1, 1, report)
    assert len(own.own) <= counts.MAX_KEYS + 1 and len(leader_counts.fleet) <= counts.MAX_KEYS + 1
    assert sum(t[CountKind.SERVED] for t in leader_counts.fleet.values()) == 3 * counts.MAX_KEYS


def members_report(observer: ServerObserver, now: float, **reports: tuple[list[int], list[int]]) -> None:
    for member, (healthy, failing) in reports.items():
        observations = Observations(healthy, failing)
        observer.receive_observations(now, int(member[1:]), observations, observations.total, len(failing))


def test_ejection_needs_several_members_and_has_a_ceiling() -> None:
    observer = ServerObserver()
    members_report(observer, 0.0, m1=([2, 3], [1]))
    assert observer.servers_to_eject(0.0, 10) == []  # one member is not enough
    members_report(observer, 0.0, m2=([2, 3], [1]))
    assert observer.servers_to_eject(0.0, 10) == [1]
    members_report(observer, 0.0, m3=([1, 2], []))
    assert observer.servers_to_eject(0.0, 10) == []  # two find it failing, but one finds it healthy
    members_report(observer, 0.0, m3=([], [1, 2, 3]), m4=([], [1, 2, 3]))
    assert observer.servers_to_eject(0.0, 10) == [1]  # members that find most servers failing are disregarded
    members_report(
        observer, 0.0, m1=(list(range(9, 20)), list(range(4))), m2=(list(range(9, 20)), list(range(4)))
    )
    assert (
        len(observer.servers_to_eject(0.0, 10)) == 2
        and observer.servers_to_eject(OBSERVATION_LIFETIME, 10) == []
    )


def test_own_success_overrides_ejection_which_expires() -> None:
    observer = ServerObserver()
    observer.receive_ejections(0.0, range(40))
    assert observer.ejected_servers(0.0, list(range(10))) == [0, 1]
    observer.record_attempt(0.5, 0, True)
    assert observer.ejected_servers(1.0, list(range(10))) == [1, 2]
    assert observer.ejected_servers(EJECTION_DURATION, list(range(10))) == []


def test_observations_of_members_lead_to_an_ejection() -> None:
    simulation = FleetSimulation(4, [], 3, check=True)
    simulation.run(15)
    for _ in range(30):
        simulation.run(0.1)
        for node in simulation.nodes[1:]:
            assert node.fleet
            for tag in range(10):
                node.fleet.server_observer.record_attempt(simulation.clock(node), tag, tag != 7)
    assert simulation.nodes[0].fleet
    ejected = simulation.nodes[0].fleet.server_observer.ejected_servers(
        simulation.clock(simulation.nodes[0]), list(range(10))
    )
    assert ejected == [7]


def test_counts_reach_all_members_in_short_datagrams() -> None:
    simulation = FleetSimulation(5, [], 4)
    sizes: Counter[int] = Counter()
    carry: Callable[..., None] = simulation.carry

    def carry_and_record(node: Any, data: bytes, to: int | None) -> None:
        sizes[len(data)] += 1
        carry(node, data, to)

    simulation.carry = carry_and_record  # type: ignore[method-assign]
    simulation.run(15)
    for node in simulation.nodes:
        assert node.fleet
        for customer in range(30):
            node.fleet.counts.increment(
                CountKind.SERVED, "feed", f"a customer of many letters {customer}", "v1"
            )
    simulation.run(30)
    for node in simulation.nodes:
        assert node.fleet and sum(t[CountKind.SERVED] for t in node.fleet.counts.fleet.values()) == 150
        assert node.fleet.coverage(simulation.clock(node)).reachable == 5
    assert max(sizes) <= messages.MAX_DATAGRAM
