"""The consistent hash ring that proxies build from endpoint lists."""

from __future__ import annotations

from brambleplank.model import EndpointStatus
from tests.fake_host import FakeHost, HostCall


def owner(fake: FakeHost, key: int) -> str:
    """Returns the id of the server that owns the key's ring position."""
    return next(iter(fake.balancer.ring.servers_from(fake.request(key).ring_position))).id


def test_removed_server_moves_only_its_own_keys() -> None:
    one = FakeHost(seed=1)
    other = FakeHost(seed=2)
    before = {key: owner(one, key) for key in range(200)}
    assert before == {key: owner(other, key) for key in range(200)}
    one.receive_endpoints({"10.0.0.3:80": EndpointStatus.REMOVED})
    after = {key: owner(one, key) for key in range(200)}
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == "10.0.0.3:80"} != set()


def test_ring_after_changes_equals_the_ring_of_a_complete_list() -> None:
    fake = FakeHost(servers=200)
    other = FakeHost(servers=300)
    fake.receive_endpoints({f"10.0.0.{i}:80": EndpointStatus.READY for i in range(100, 300)})
    fake.receive_endpoints({f"10.0.0.{i}:80": EndpointStatus.REMOVED for i in range(50)})
    other.receive_endpoints({f"10.0.0.{i}:80": EndpointStatus.READY for i in range(50, 300)}, complete=True)
    assert fake.balancer.ring.points == other.balancer.ring.points
    assert owner(fake, 7) == owner(other, 7)
    fake.receive_endpoints({}, complete=True)
    assert not fake.request(7).attempts and fake.calls(HostCall.REJECT)
