"""The attempts that several proxies together send to a server in slow start."""

from __future__ import annotations

from math import ceil

import pytest

from brambleplank.model import AttemptOutcome, EndpointStatus
from brambleplank.records import Server, place_on_ring
from tests.aggregating_fleet import advance_together, make_aggregating_fleet
from tests.fake_host import FakeHost, HostCall, PeeredFakeHost, make_fake_fleet
from tests.sample_settings import DECODED_SETTINGS


def attempts_in_slow_start(
    proxies: int, busy: float, every: int, kind: type[FakeHost] = FakeHost
) -> tuple[list[float], float]:
    """Returns when proxies send attempts to a server in slow start, and the budget of a warm server."""
    fakes = make_fake_fleet(proxies, kind)[::every]
    for fake in fakes:
        for key in range(1 + 60 // proxies):
            fake.request(key, server=fake.balancer.ready_servers[key % 5])
        fake.receive_endpoints({"10.0.0.9:80": EndpointStatus.READY}, started=fake.now)
    starting = fakes[0].server("10.0.0.9:80")
    sent = list[float]()
    for n in range(round(DECODED_SETTINGS.slow_start_time / busy) - 1):
        for fake in fakes:
            fake.advance(busy)
        for m, fake in enumerate(fakes if kind is FakeHost else fakes[n % 10 :: 10]):
            request = fake.establish(fake.request(group=group_of(fakes[0], starting, 40 * n + m)))
            sent += [fake.now] if request.attempts[0].server.id == starting.id else []
            if kind is FakeHost:
                fake.end_attempt(request, AttemptOutcome.CANCELLED, complete=True)
    return (
        sent,
        DECODED_SETTINGS.overload_factor
        * fakes[0].balancer.server_pool.counts.mean()
        * proxies
        * DECODED_SETTINGS.overload_window
        / DECODED_SETTINGS.slow_start_time,
    )


def group_of(fake: FakeHost, server: Server, start: int) -> int:
    """Returns a group whose ring position the server owns."""
    ring = fake.balancer.ring
    return next(n for n in range(50 * start, 10**6) if ring.owner(place_on_ring(b"group %d" % n)) is server)


def most_in_a_window(sent: list[float]) -> int:
    """Returns the most attempts in any overload window."""
    return max(sum(at <= other < at + DECODED_SETTINGS.overload_window for other in sent) for at in sent)


@pytest.mark.parametrize("case", [(1, 0.2, 1), (3, 0.2, 1), (40, 0.2, 1), (40, 0.2, 5), (40, 2.0, 1)])
def test_fleet_stays_within_the_slow_start_budget(case: tuple[int, float, int]) -> None:
    sent, warm = attempts_in_slow_start(*case)
    # The worst window overlaps two slots, whose tokens together are within the limit.
    assert most_in_a_window(sent) <= min(2 * warm, warm + 2 * warm**0.5 + 2)
    assert len(sent) > 20 / case[2]  # the budget is used, although most attempts are cancelled


def test_peers_that_report_share_a_larger_slow_start_budget() -> None:
    sent, warm = attempts_in_slow_start(40, DECODED_SETTINGS.overload_window / 40, 1, PeeredFakeHost)
    # By then, the server can sustain a third of what a warm one can.
    early = [at for at in sent if at < 400_000 + DECODED_SETTINGS.slow_start_time / 4]
    assert len(early) > 10 and most_in_a_window(early) <= 2 * 2 * 0.4 * warm / 3 + 2
    fakes = make_fake_fleet(40, PeeredFakeHost)
    # If all datagrams are lost, at most half of what the server can sustain may be attempted.
    for fake in fakes:
        fake.peers = []
        fake.request(1, server=fake.balancer.ready_servers[0])
        fake.receive_endpoints(
            {"10.0.0.9:80": EndpointStatus.READY}, started=fake.now - DECODED_SETTINGS.slow_start_time / 2
        )
    starting = fakes[0].server("10.0.0.9:80")
    targets = [fake.request(group=group_of(fakes[0], starting, 0)).attempts[0].server.id for fake in fakes]
    assert 1 <= targets.count(starting.id) <= DECODED_SETTINGS.overload_factor / 2 * 0.6 * 40 / 5 + 1


def test_only_server_gets_one_request_in_slow_start() -> None:
    fakes = make_fake_fleet(3, FakeHost)
    for fake in fakes:
        fake.receive_endpoints({"s": EndpointStatus.READY}, complete=True, started=fake.now - 0.1)
        fake.request()
    assert sum(len(fake.calls(HostCall.START_ATTEMPT)) for fake in fakes) == 1


def test_aggregator_grants_the_whole_budget_and_no_more_in_a_burst() -> None:
    fakes = make_aggregating_fleet(60)
    for fake in fakes:
        for key in range(30):
            fake.establish(fake.request(key, group=key, server=fake.balancer.ready_servers[key % 5]))
    advance_together(fakes, 6.0)
    starting = "10.0.9.9:80"
    for fake in fakes:
        fake.receive_endpoints({starting: EndpointStatus.READY}, started=fake.now - 5.9)
    aggregator = next(
        fake
        for fake in fakes
        if fake.balancer.server_pool.load_reports.aggregator == fake.balancer.settings.proxy_number
    )
    budget = aggregator.balancer.slow_start.budget(aggregator.now, aggregator.server(starting))
    group, other = [
        g
        for g in range(100, 999)
        if next(iter(aggregator.balancer.ring.servers_from(place_on_ring(b"group %d" % g)))).id == starting
    ][:2]
    for fake in fakes:  # all proxies at the same time
        request = fake.request(group=group)
        if request.attempts:
            fake.establish(request)
    sent = sum(server.id == starting for fake in fakes for _, server, _ in fake.calls(HostCall.START_ATTEMPT))
    assert sent == ceil(budget) < 60
    for fake in fakes:  # and again at the beginning of the next slot, within one overload window
        fake.advance(0.2)
    for fake in fakes:
        fake.request(group=other)
    sent = sum(server.id == starting for fake in fakes for _, server, _ in fake.calls(HostCall.START_ATTEMPT))
    capacity = 0.2 + 0.8 * 6.1 / DECODED_SETTINGS.slow_start_time
    mean_load = aggregator.balancer.server_pool.load.mean()
    allowed = (
        DECODED_SETTINGS.overload_factor
        * DECODED_SETTINGS.overload_window
        * capacity
        * mean_load
        / DECODED_SETTINGS.slow_start_time
    )
    assert ceil(budget) < sent <= allowed + 2 * allowed**0.5 + 2


def test_request_goes_elsewhere_when_its_permit_request_is_lost() -> None:
    fakes = make_aggregating_fleet(3)
    advance_together(fakes, 6.0)
    requester = next(
        fake
        for fake in fakes
        if fake.balancer.server_pool.load_reports.aggregator != fake.balancer.settings.proxy_number
    )
    requester.peers = []  # its datagrams are lost
    for server in requester.balancer.ready_servers:
        requester.receive_endpoints({server.id: EndpointStatus.READY}, started=requester.now - 1.0)
    requester.receive_endpoints({"10.0.9.9:80": EndpointStatus.READY})
    request = requester.request(7, time_left=1.8)
    requester.advance(DECODED_SETTINGS.traffic_classes["feed"].latency_objective / 2)
    assert [c.server.id for c in request.attempts] == ["10.0.9.9:80"]
