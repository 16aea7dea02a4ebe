"""Migration of sessions off slow servers."""

from __future__ import annotations

from tests.fake_host import FakeHost, HostCall
from tests.sample_settings import DECODED_SETTINGS


def test_smallest_group_is_migrated_and_a_large_one_stays(fake: FakeHost) -> None:
    large = [fake.establish(fake.request(group=1)) for _ in range(6)]
    server = large[0].attempts[0].server
    fake.balancer.message_time_reported(fake.now, large[0].attempts[-1].server, 0.05)
    assert not fake.calls(HostCall.MIGRATE)
    small = [fake.request(group=2, server=server)]
    fake.balancer.message_time_reported(fake.now, large[0].attempts[-1].server, 0.05)
    assert fake.calls(HostCall.MIGRATE) == small and small[0].answered


def test_large_group_over_the_objective_loses_one_member_a_report(fake: FakeHost) -> None:
    large = [fake.establish(fake.request(group=1)) for _ in range(4)]
    fake.balancer.message_time_reported(fake.now, large[0].attempts[-1].server, 0.2)
    assert len(fake.calls(HostCall.MIGRATE)) == 1
    fake.balancer.message_time_reported(fake.now, large[0].attempts[-1].server, 0.2)
    assert len(fake.calls(HostCall.MIGRATE)) == 2


def test_many_proxies_with_one_connection_do_not_empty_a_slow_server() -> None:
    migrated = 0
    for number in range(200):
        fake = FakeHost(proxies=200, proxy_number=number, seed=number)
        request = fake.request(group=1, server=fake.balancer.ready_servers[0])
        fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.2)
        migrated += len(fake.calls(HostCall.MIGRATE))
    assert 40 < migrated < 100


def test_large_group_over_its_servers_share_loses_a_part() -> None:
    fake = FakeHost(servers=4)
    server = fake.server("10.0.0.1:80")
    for _ in range(16):
        fake.request(group=3, server=server)
    for _ in range(3):
        fake.balancer.message_time_reported(
            fake.now, server, DECODED_SETTINGS.traffic_classes["feed"].message_latency_objective * 0.6
        )
    assert 4 <= len(fake.calls(HostCall.MIGRATE)) <= 12
