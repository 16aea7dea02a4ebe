"""Load reports between proxies, and the aggregator that sums them up."""

from __future__ import annotations

from brambleplank.model import AttemptOutcome, EndpointStatus
from tests.aggregating_fleet import advance_together, aggregators, make_crowded_fleet
from tests.fake_host import FakeHost, HostCall, PeeredFakeHost, make_fake_fleet
from tests.sample_settings import DECODED_SETTINGS


def test_bound_counts_all_proxies_but_no_false_or_outdated_report() -> None:
    fake = FakeHost(proxies=40, proxy_number=39, may_message_peers=True, probes_endpoints=True)
    owner = fake.request(group=3).attempts[0].server
    others = [server for server in fake.balancer.ready_servers if server is not owner]
    for peer in range(39):  # on five servers, the bound of twice the mean plus two is 18
        fake.balancer.load_report_received(
            fake.now, peer, [(owner if peer < 16 else others[peer % 4], 1)], True
        )
    assert fake.request(group=3).attempts[0].server is owner
    # A false report can make a server look full, but not more than that.
    fake.balancer.load_report_received(fake.now, 0, [(owner, 255)], True)
    assert owner.connections_elsewhere < 16 + 20 and fake.request(group=3).attempts[0].server is not owner
    for peer in range(3):
        fake.balancer.load_report_received(fake.now, peer, [], True)  # restarted, so it has no connections
    assert fake.request(group=3).attempts[0].server is owner
    fake.receive_endpoints({others[0].id: EndpointStatus.READY}, started=fake.now)
    assert not others[0].connections_elsewhere and owner.connections_elsewhere
    fake.advance(60.0)  # without any report
    assert not owner.connections_elsewhere and not fake.balancer.server_pool.load_reports.peers
    # Reports may be lost, so complete ones are repeated.
    assert sum(complete for _, complete, _ in fake.calls(HostCall.SEND_LOAD_REPORT)) >= 5


def test_proxy_without_connections_accepts_reports() -> None:
    drained, _ = make_fake_fleet(2, PeeredFakeHost)
    for request in [drained.establish(drained.request(key)) for key in range(30)]:
        drained.end_attempt(request, AttemptOutcome.CANCELLED, complete=True)
    crowded = drained.balancer.ready_servers[0]
    drained.balancer.load_report_received(drained.now, 1, [(crowded, 40)], True)
    assert crowded.connections_elsewhere == 40 and drained.balancer.server_pool.counts.on_ready == 0


def test_one_aggregator_sums_up_all_reports() -> None:
    fakes, crowded = make_crowded_fleet(40)
    assert len(aggregators(fakes)) == 1 and aggregators(fakes) != {None}
    assert all(f.server(crowded).connections + f.server(crowded).connections_elsewhere == 40 for f in fakes)
    request = fakes[7].request(group=3)
    assert not request.attempts or request.attempts[0].server.id != crowded  # the bound is 18
    # Once there is an aggregator, each proxy reports only to it.
    assert sum(to is None for f in fakes for *_, to in f.calls(HostCall.SEND_LOAD_REPORT)) < 40 * 6


def test_dead_aggregator_is_replaced_and_a_new_proxy_gets_the_aggregate() -> None:
    fakes, crowded = make_crowded_fleet(12)
    dead = next(
        fake
        for fake in fakes
        if fake.balancer.server_pool.load_reports.aggregator == fake.balancer.settings.proxy_number
    )
    remaining = [fake for fake in fakes if fake is not dead]
    for fake in remaining:
        fake.peers = [other for other in remaining if other is not fake]
    advance_together(remaining, 7.0)
    assert len(aggregators(remaining)) == 1 and aggregators(remaining) != {
        dead.balancer.settings.proxy_number
    }
    assert all(
        f.server(crowded).connections + f.server(crowded).connections_elsewhere == 11 for f in remaining
    )
    new = PeeredFakeHost(
        proxies=12,
        proxy_number=dead.balancer.settings.proxy_number,
        seed=99,
        may_message_peers=True,
        passes_through=True,
    )
    new.peers = remaining
    for fake in remaining:
        fake.peers = [*fake.peers, new]
    advance_together([*remaining, new], 1.5)
    assert new.server(crowded).connections_elsewhere == 11
    crowded_server = remaining[0].server(crowded)
    # A new proxy reports to all proxies. Connections that are in the aggregate must not count twice.
    remaining[0].balancer.load_report_received(remaining[0].now, 77, [(crowded_server, 9)], True)
    assert crowded_server.connections + crowded_server.connections_elsewhere == 11


def test_lower_number_stays_aggregator_and_grants_from_its_next_slot() -> None:
    fake = FakeHost(proxies=1, proxy_number=8, may_message_peers=True, passes_through=True)
    for aggregator, expected in ((5, 5), (7, 5), (3, 3)):
        fake.balancer.load_report_received(fake.now, aggregator, [], False, True)
        assert fake.balancer.server_pool.load_reports.aggregator == expected
    # Without another aggregator it becomes one; it cannot know what others have sent in the slot.
    while fake.balancer.server_pool.load_reports.aggregator != 8:
        fake.receive_endpoints({"cold": EndpointStatus.READY}, started=fake.now)
        fake.advance(0.1)
    fake.balancer.server_pool.load_reports.aggregator_seen_at = fake.now + DECODED_SETTINGS.overload_window
    assert not fake.balancer.slow_start.grant_permit(fake.now, fake.server("cold"))
    assert fake.balancer.slow_start.grant_permit(
        fake.now + DECODED_SETTINGS.overload_window, fake.server("cold")
    )
