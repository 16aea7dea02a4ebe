"""A fleet that is short of capacity, with many overloaded servers."""

from __future__ import annotations

from brambleplank.model import AttemptOutcome, EndpointStatus
from brambleplank.records import place_on_ring
from tests.fake_host import FakeHost, HostCall


def test_group_is_not_scattered_when_capacity_is_short(fake: FakeHost) -> None:
    sessions = [
        fake.request(group=key, server=server) for key, server in enumerate(fake.balancer.ready_servers)
    ]
    for request in sessions[:3]:
        fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.05)
    fake.advance(1.0)
    overloaded = {request.attempts[0].server for request in sessions[:3]}
    small = next(
        group
        for group in range(99, 999)
        if set(list(fake.balancer.ring.servers_from(place_on_ring(b"group %d" % group)))[:2]) <= overloaded
    )
    assert fake.request(group=small).attempts[0].server in overloaded


def test_server_that_misses_the_objective_gets_no_request_when_capacity_is_short(fake: FakeHost) -> None:
    sessions = [
        fake.request(group=key, server=server) for key, server in enumerate(fake.balancer.ready_servers)
    ]
    for request in sessions:
        fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.2)
    fake.advance(1.0)
    assert not fake.request().attempts and fake.calls(HostCall.REJECT)
    for request in sessions:
        fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.05)
    assert fake.request(reconnecting=True).attempts


def test_failed_attempt_is_retried_elsewhere_when_capacity_is_short(fake: FakeHost) -> None:
    sessions = [
        fake.request(group=key, server=server) for key, server in enumerate(fake.balancer.ready_servers)
    ]
    for request in sessions:
        fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.05)
    fake.advance(1.0)
    request = fake.request()
    fake.end_attempt(request, AttemptOutcome.FULL)
    assert request.attempts[1].server is not request.attempts[0].server


def test_servers_in_slow_start_do_not_count_as_capacity(fake: FakeHost) -> None:
    sessions = [
        fake.request(group=key, server=server) for key, server in enumerate(fake.balancer.ready_servers)
    ]
    fake.receive_endpoints({f"10.1.0.{i}:80": EndpointStatus.READY for i in range(20)}, started=fake.now)
    assert fake.balancer.server_pool.counts.mean() == 1.0
    for request in sessions:
        fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.05)
    fake.advance(1.0)
    assert fake.balancer.chain.shortage.is_short_of_capacity(fake.now)


def test_few_connections_suffice_to_detect_a_shortage() -> None:
    fake = FakeHost(servers=90, proxies=300)
    for key, server in enumerate(fake.balancer.ready_servers[:4]):
        fake.balancer.message_time_reported(
            fake.now, fake.request(group=key, server=server).attempts[0].server, 0.05
        )
    fake.advance(1.0)
    assert fake.balancer.chain.shortage.is_short_of_capacity(fake.now)
