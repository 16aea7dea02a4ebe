"""Detection of servers with slow messages or dropped connections."""

from __future__ import annotations

import pytest

from brambleplank.model import AttemptOutcome, EndpointStatus
from tests.fake_host import FakeHost, HostCall
from tests.sample_settings import DECODED_SETTINGS


def test_slow_server_is_skipped_until_it_has_recovered(fake: FakeHost) -> None:
    request = fake.establish(fake.request(7))
    owner = request.attempts[0].server
    fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.2)
    assert fake.request(7).attempts[0].server is not owner
    fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.01)
    fake.advance(10.0)
    assert fake.request(7).attempts[0].server is owner


def test_fast_message_does_not_end_the_mark_of_an_outlier(fake: FakeHost) -> None:
    # Guards against requests at a server that fails them, but answers messages and probes in time.
    request = fake.establish(fake.request(7))
    owner = request.attempts[0].server
    fake.end_attempt(request, AttemptOutcome.OK, complete=True)
    fake.advance(60.0)  # its attempt no longer counts
    owner.mark_outlier(fake.now + 3.0)
    fake.balancer.message_time_reported(fake.now, owner, 0.01)
    assert fake.request(7).attempts[0].server is not owner
    fake.advance(6.0)
    assert fake.request(7).attempts[0].server is owner


def test_dropped_client_is_not_sent_back_at_once(fake: FakeHost) -> None:
    request = fake.establish(fake.request(7))
    fake.end_attempt(request, AttemptOutcome.RESET, complete=True)
    assert fake.request(7, reconnecting=True).attempts[0].server is not request.attempts[0].server
    fake.advance(DECODED_SETTINGS.slow_start_time)
    assert fake.request(7).attempts[0].server is request.attempts[0].server


def test_reject_by_a_dropping_fleet_advises_a_pause() -> None:
    fake = FakeHost(servers=1)
    fake.end_attempt(fake.establish(fake.request()), AttemptOutcome.RESET, complete=True)
    request = fake.request(reconnecting=True)
    assert not request.attempts and fake.calls(HostCall.REJECT)[0][1] > 0


def fill_another_server(fake: FakeHost, connections: int) -> None:
    """Adds a server with connections of this proxy, which has none at the other servers."""
    fake.receive_endpoints({"10.0.0.9:80": EndpointStatus.READY})
    for key in range(connections):
        fake.request(1000 + key, server=fake.server("10.0.0.9:80"))


@pytest.mark.parametrize(
    ("proxies", "probes", "connections", "min_skipped", "max_skipped"),
    [
        (200, False, 0, 100, 170),
        (200, True, 10, 100, 170),
        (200, True, 0, 0, 0),
        (200, True, 1, 5, 60),
        (2, True, 10, 0, 0),
        (2, False, 0, 0, 0),
    ],
)
def test_reconnecting_request_skips_an_owner_without_connections_here(
    proxies: int, probes: bool, connections: int, min_skipped: int, max_skipped: int
) -> None:
    skipped = 0
    for seed in range(200):
        fake = FakeHost(proxies=proxies, seed=seed, probes_endpoints=probes)
        fill_another_server(fake, connections)
        request = fake.request(group=3, reconnecting=True)
        assert fake.balancer.ring.owner(request.ring_position) is not fake.server("10.0.0.9:80")
        skipped += request.attempts[0].server is not fake.balancer.ring.owner(request.ring_position)
    assert min_skipped <= skipped <= max_skipped


def test_reconnecting_requests_prefer_larger_servers() -> None:
    to_large = 0
    for seed in range(200):
        fake = FakeHost(proxies=200, seed=seed)
        for server in fake.balancer.ready_servers:
            server.size = 4.0 if int(server.id[7]) % 2 else 1.0
        to_large += fake.request(seed, reconnecting=True).attempts[0].server.size > 1
    assert to_large > 120  # by number alone it would be 80: two of five servers are large


@pytest.mark.parametrize("has_connections", [False, True])
def test_evidence_counts_for_longer_where_connections_are_few(fake: FakeHost, has_connections: bool) -> None:
    request = fake.establish(fake.request(7))
    for key, server in enumerate(fake.balancer.ready_servers):
        if has_connections:
            fake.request(group=key, server=server)
    fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.05)
    fake.advance(9.0)
    assert (fake.request(7).attempts[0].server is request.attempts[0].server) is has_connections
