"""Requests of an affinity group share a server, even if it is not the owner of the group's ring position."""

from __future__ import annotations

from brambleplank.model import AttemptOutcome, EndpointStatus
from tests.fake_host import FakeHost, HostCall, PeeredFakeHost, make_fake_fleet


def test_group_members_share_a_server_whatever_their_keys(fake: FakeHost) -> None:
    assert len({fake.establish(fake.request(key, group=3)).attempts[0].server for key in range(4)}) == 1


def test_displaced_group_stays_together_until_its_last_member_ends(fake: FakeHost) -> None:
    first = fake.establish(fake.request(group=1))
    owner = first.attempts[0].server
    fake.balancer.message_time_reported(fake.now, first.attempts[-1].server, 0.2)
    displaced = fake.establish(fake.request(group=1))
    fake.balancer.message_time_reported(fake.now, first.attempts[-1].server, 0.01)
    later = fake.establish(fake.request(group=1))
    assert later.attempts[0].server is displaced.attempts[0].server is not owner
    for request in (displaced, later):
        fake.end_attempt(request, AttemptOutcome.OK, complete=True)
    fake.advance(10.0)
    assert fake.request(group=1).attempts[0].server is owner


def test_displaced_group_is_reported_once_and_peers_follow() -> None:
    fakes = make_fake_fleet(3, PeeredFakeHost)
    first_proxy, second_proxy, third_proxy = fakes
    request = first_proxy.request(group=3)
    first_proxy.end_attempt(request, AttemptOutcome.UNREACHABLE)
    first = request.attempts[0].server.id
    displaced_to = first_proxy.establish(request).attempts[1].server.id
    first_proxy.advance(0.3)
    assert (
        displaced_to != first
        and second_proxy.establish(second_proxy.request(group=3)).attempts[0].server.id == displaced_to
    )
    second_proxy.advance(0.3)
    reports = [len(fake.calls(HostCall.REPORT_GROUP_SERVERS)) for fake in fakes]
    assert reports == [1, 0, 0]  # a server that has been reported is not reported again
    third_proxy.receive_endpoints({displaced_to: EndpointStatus.DRAINING})
    assert third_proxy.request(group=3).attempts[0].server.id == first
    for position in range(5000):
        third_proxy.balancer.group_server_reported(
            third_proxy.now, position << 96, third_proxy.balancer.ready_servers[0]
        )
    assert (
        len(third_proxy.balancer.groups.reported) == 4096
    )  # the limit holds even if a faulty peer reports more groups
