"""The endpoint list: retries of failed subscriptions, and removed servers."""

from __future__ import annotations

from brambleplank.model import EndpointStatus
from tests.fake_host import FakeHost, HostCall
from tests.sample_settings import DECODED_SETTINGS


def test_failed_list_subscriptions_are_retried_at_random_times() -> None:
    proxies = [FakeHost(list_is_pushed=False, seed=seed) for seed in range(4)]
    for fake in proxies:
        fake.balancer.endpoint_list_failed(fake.now)
    assert len({fake.timers[-1][0] for fake in proxies}) == 4
    for fake in proxies:
        fake.advance(DECODED_SETTINGS.max_list_poll_interval / 2)
        assert len(fake.calls(HostCall.FOLLOW_ENDPOINTS)) == 2


def test_removed_servers_without_connections_are_forgotten(fake: FakeHost) -> None:
    fake.receive_endpoints({"10.0.0.1:80": EndpointStatus.READY}, complete=True)
    assert list(fake.balancer.servers) == ["10.0.0.1:80"]
