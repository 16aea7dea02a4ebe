"""Probes of servers and reports of message times."""

from __future__ import annotations

from dataclasses import replace

from brambleplank.model import EndpointStatus
from tests.fake_host import FakeHost, HostCall, PeeredFakeHost, make_fake_fleet
from tests.sample_settings import DECODED_SETTINGS


def test_own_zone_is_probed_more_often_at_first_and_when_slow() -> None:
    fake = FakeHost(probes_endpoints=True, may_message_peers=True)
    fake.receive_endpoints({"10.0.0.9:80": EndpointStatus.READY}, zone="b")
    fake.advance(6.5)
    probed = [server.id for server in fake.calls(HostCall.PROBE)]
    assert sorted(set(probed)) == [f"10.0.0.{i}:80" for i in range(5)] and 20 <= len(probed) <= 30
    fake.balancer.message_time_reported(fake.now, fake.server("10.0.0.3:80"), 0.2, measured=True)
    assert fake.calls(HostCall.REPORT_MESSAGE_TIME) == [(fake.server("10.0.0.3:80"), 0.2)]
    fake.advance(2.9)  # in the first four seconds, all were probed once per second
    after = [server.id for server in fake.calls(HostCall.PROBE)][len(probed) :]
    assert 2 <= after.count("10.0.0.3:80") <= 3 and after.count("10.0.0.1:80") <= 1


def test_proxies_of_a_zone_share_the_probes() -> None:
    fakes = make_fake_fleet(40, PeeredFakeHost)
    # Probes are more frequent at first. After each period, the proxy that probed most is removed.
    for duration in (8.0, 9.0, 9.0):
        for fake in fakes:
            fake.recorded_calls.clear()
        for _ in range(round(duration / 0.02)):
            for fake in fakes:
                fake.advance(0.02)
        probed = [server.id for fake in fakes for server in fake.calls(HostCall.PROBE)]
        assert len(set(probed)) == 5 and (duration == 8.0 or 5 * 2 <= len(probed) <= 5 * 5)
        fakes.remove(max(fakes, key=lambda fake: len(fake.calls(HostCall.PROBE))))


def test_unreported_distant_server_is_probed() -> None:
    fake = FakeHost(probes_endpoints=True, may_message_peers=True)
    fake.receive_endpoints(
        {"10.0.9.1:80": EndpointStatus.READY, "10.0.9.2:80": EndpointStatus.READY}, zone="b"
    )
    unreported = fake.server("10.0.9.1:80")
    reported = fake.server("10.0.9.2:80")
    for server in (unreported, reported):
        fake.request(server=server)
    for _ in range(12):
        fake.advance(1.0)
        fake.balancer.message_time_reported(fake.now, reported, 0.0)
    assert unreported in fake.calls(HostCall.PROBE) and reported not in fake.calls(HostCall.PROBE)
    reported_before = len(fake.calls(HostCall.REPORT_MESSAGE_TIME))
    fake.balancer.message_time_reported(fake.now, reported, 0.0, measured=True)
    fake.balancer.message_time_reported(fake.now, unreported, 0.0, measured=True)
    assert [server for server, _ in fake.calls(HostCall.REPORT_MESSAGE_TIME)[reported_before:]] == [
        unreported
    ]


def test_reload_that_permits_probes_and_reports_starts_them_once() -> None:
    fake = FakeHost(may_message_peers=False)
    fake.advance(3.0)
    assert not fake.calls(HostCall.PROBE) and not fake.calls(HostCall.SEND_LOAD_REPORT)
    for _ in range(3):  # each periodic task is started only once, however often it is permitted
        fake.balancer.update_settings(
            replace(DECODED_SETTINGS, may_message_peers=True, probes_endpoints=True)
        )
        fake.balancer.update_settings(DECODED_SETTINGS)
    fake.balancer.update_settings(replace(DECODED_SETTINGS, may_message_peers=True, probes_endpoints=True))
    fake.advance(8.0)
    assert (
        10 <= len(fake.calls(HostCall.PROBE)) <= 40 and 5 <= len(fake.calls(HostCall.SEND_LOAD_REPORT)) <= 14
    )
