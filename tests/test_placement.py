"""The placement of requests, by ring owner and by bounds on load."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from brambleplank.model import AttemptOutcome, EndpointStatus
from brambleplank.platform.connections_elsewhere import record_connections_elsewhere
from tests.fake_host import FakeHost, HostCall


def test_owner_over_its_bound_is_skipped(fake: FakeHost) -> None:
    placed = [fake.establish(fake.request(7)).attempts[0].server for _ in range(8)]
    assert placed[0] is placed[2] is not placed[7]


def test_resumed_session_goes_to_its_owner_over_the_bound(fake: FakeHost) -> None:
    placed = {fake.establish(fake.request(7, resumed=True)).attempts[0].server for _ in range(9)}
    assert len(placed) == 1


def test_reconnecting_requests_are_spread_and_new_ones_are_not() -> None:
    fake = FakeHost(servers=4)
    new = {fake.establish(fake.request(group=3)).attempts[0].server for _ in range(4)}
    reconnected = [
        fake.establish(fake.request(group=3, reconnecting=True)).attempts[0].server for _ in range(4)
    ]
    assert len(new) == 1 and not new & set(reconnected)


def test_no_server_gets_much_more_than_its_share_while_others_are_slow(fake: FakeHost) -> None:
    *slow, unreported = fake.balancer.ready_servers
    for key in range(60):
        for server in slow:
            fake.balancer.message_time_reported(fake.now, server, 0.05)
        fake.advance(0.05)
        if (request := fake.request(key, reconnecting=True)).attempts:
            fake.establish(request)
    assert fake.calls(HostCall.REJECT)  # immediately, with a retry-after
    assert (
        8 <= unreported.connections <= 1.5 * (fake.balancer.server_pool.counts.mean() + 2) + 1
        and sum(s.connections for s in slow) >= 8
    )


def test_one_server_gets_the_load_that_two_have_carried() -> None:
    fake = FakeHost(servers=2)
    slow, healthy = fake.balancer.ready_servers
    requests = [fake.establish(fake.request(key)) for key in range(60)]
    for key, request in enumerate(request for request in requests if request.attempts[-1].server is slow):
        fake.balancer.message_time_reported(fake.now, slow, 0.05)
        fake.advance(0.1)
        fake.end_attempt(request, AttemptOutcome.RESET, complete=True)
        fake.establish(fake.request(100 + key, reconnecting=True))
    assert healthy.connections > 50 and not fake.calls(HostCall.REJECT)


def test_clients_moving_from_the_previous_process_do_not_fill_the_last_server() -> None:
    # Requests were rejected during upgrades: until its next report, the previous process still counts clients
    # that have moved to this one, so the last server looked full.
    fake = FakeHost(servers=2)
    fake.receive_endpoints({"10.0.0.1:80": EndpointStatus.DRAINING})
    proxy: Any = SimpleNamespace(balancer=fake.balancer, clock=SimpleNamespace(now=lambda: fake.now))
    record_connections_elsewhere(proxy, "the process before", {"10.0.0.0:80": 6}, {})
    for key in range(6):
        fake.advance(0.01)
        request = fake.request(key)
        assert request.attempts, f"rejected at {fake.server('10.0.0.0:80').connections} connections here"
        fake.establish(request)


def test_listed_dead_servers_do_not_count_as_capacity() -> None:
    fake = FakeHost(servers=5)
    dead = fake.balancer.ready_servers[:3]
    for key in range(80):
        fake.advance(0.2)
        request = fake.request(key, reconnecting=True)
        while request.active_attempt and request.active_attempt.server in dead:
            fake.end_attempt(request, AttemptOutcome.UNREACHABLE)
        if request.active_attempt:
            fake.establish(request)
    # A request may meet all three dead servers and fail.
    assert sum(server.connections for server in fake.balancer.ready_servers) >= 78
