"""What several proxies together send to a server in slow start."""

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
    """Returns when proxies send attempts to a server in slow start, and its budget once it is warm."""
    fakes = make_fake_fleet(proxies, kind)[::every]
    for fake in fakes:
        for key in range(1 + 60 // proxies):
            fake.request(key, server=fake.balancer.ready_servers[key % 5])
        fake.receive_endpoints({"10.0.0.9:80": EndpointStatus.READY}, started=fake.now)
    cold = fakes[0].server("10.0.0.9:80")
    sent = list[float]()
    for n in range(round(DECODED_SETTINGS.slow_start_time / busy) - 1):
        for fake in fakes:
            fake.advance(busy)
        for m, fake in enumerate(fakes if kind is FakeHost else fakes[n % 10 :: 10]):
            request = fake.establish(fake.request(group=group_of(fakes[0], cold, 40 * n + m)))
            sent += [fake.now] if request.attempts[0].server.id == cold.id else []
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
    """Returns a group that the server owns."""
    ring = fake.balancer.ring
    return next(n for n in range(50 * start, 10**6) if ring.owner(place_on_ring(b"group %d" % n)) is server)


def most_in_a_window(sent: list[float]) -> int:
    """Returns the most attempts in any overload window."""
    return max(sum(at <= other < at + DECODED_SETTINGS.overload_window for other in sent) for at in sent)


@pytest.mark.parametrize("how", [(1, 0.2, 1), (3, 0.2, 1), (40, 0.2, 1), (40, 0.2, 5), (40, 2.0, 1)])
def test_fleet_keeps_to_slow_start_budget(how: tuple[int, float, int]) -> None:
    sent, warm = attempts_in_slow_start(*how)
    # Two slots' tokens lie in the worst window: together what the rule allows.
    assert most_in_a_window(sent) <= min(2 * warm, warm + 2 * warm**0.5 + 2)
    assert len(sent) > 20 / how[2]  # it gets what it may have, though most attempts are cancelled


def test_peers_that_report_share_a_larger_slow_start_budget() -> None:
    sent, warm = attempts_in_slow_start(40, DECODED_SETTINGS.overload_window / 40, 1, PeeredFakeHost)
    # By then, the server bears a third.
    early = [at for at in sent if at < 400_000 + DECODED_SETTINGS.slow_start_time / 4]
    assert len(early) > 10 and most_in_a_window(early) <= 2 * 2 * 0.4 * warm / 3 + 2
    fakes = make_fake_fleet(40, PeeredFakeHost)
    # Where all datagrams are lost, no more may try than half of what the server bears.
    for fake in fakes:
        fake.peers = []
        fake.request(1, server=fake.balancer.ready_servers[0])
        fake.receive_endpoints(
            {"10.0.0.9:80": EndpointStatus.READY}, started=fake.now - DECODED_SETTINGS.slow_start_time / 2
        )
    cold = fakes[0].server("10.0.0.9:80")
    at_once = [fake.request(group=group_of(fakes[0], cold, 0)).attempts[0].server.id for fake in fakes]
    assert 1 <= at_once.count(cold.id) <= DECODED_SETTINGS.overload_factor / 2 * 0.6 * 40 / 5 + 1


def test_only_server_gets_a_request_in_slow_start() -> None:
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
    cold = "10.0.9.9:80"
    for fake in fakes:
        fake.receive_endpoints({cold: EndpointStatus.READY}, started=fake.now - 5.9)
    aggregator = next(
        fake
        for fake in fakes
        if fake.balancer.server_pool.load_reports.aggregator == fake.balancer.settings.proxy_number
    )
    budget = aggregator.balancer.slow_start.budget(aggregator.now, aggregator.server(cold))
    group, other = [
        g
        for g in range(100, 999)
        if next(iter(aggregator.balancer.ring.servers_from(place_on_ring(b"group %d" % g)))).id == cold
    ][:2]
    for fake in fakes:  # all proxies together, in one instant
        request = fake.request(group=group)
        if request.attempts:
            fake.establish(request)
    sent = sum(server.id == cold for fake in fakes for _, server, _ in fake.calls(HostCall.START_ATTEMPT))
    assert sent == ceil(budget) < 60
    for fake in fakes:  # and again as the next slot begins, within one overload window
        fake.advance(0.2)
    for fake in fakes:
        fake.request(group=other)
    sent = sum(server.id == cold for fake in fakes for _, server, _ in fake.calls(HostCall.START_ATTEMPT))
    able = 0.2 + 0.8 * 6.1 / DECODED_SETTINGS.slow_start_time
    usual = aggregator.balancer.server_pool.load.mean()
    allowed = (
        DECODED_SETTINGS.overload_factor
        * DECODED_SETTINGS.overload_window
        * able
        * usual
        / DECODED_SETTINGS.slow_start_time
    )
    assert ceil(budget) < sent <= allowed + 2 * allowed**0.5 + 2


def test_request_goes_elsewhere_when_its_permit_request_is_lost() -> None:
    fakes = make_aggregating_fleet(3)
    advance_together(fakes, 6.0)
    asking = next(
        fake
        for fake in fakes
        if fake.balancer.server_pool.load_reports.aggregator != fake.balancer.settings.proxy_number
    )
    asking.peers = []  # its datagrams are lost
    for server in asking.balancer.ready_servers:
        asking.receive_endpoints({server.id: EndpointStatus.READY}, started=asking.now - 1.0)
    asking.receive_endpoints({"10.0.9.9:80": EndpointStatus.READY})
    request = asking.request(7, time_left=1.8)
    asking.advance(DECODED_SETTINGS.traffic_classes["feed"].latency_objective / 2)
    assert [c.server.id for c in request.attempts] == ["10.0.9.9:80"]
