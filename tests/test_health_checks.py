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
    fake.advance(2.9)  # in the first four seconds they were probed each second
    after = [server.id for server in fake.calls(HostCall.PROBE)][len(probed) :]
    assert 2 <= after.count("10.0.0.3:80") <= 3 and after.count("10.0.0.1:80") <= 1


def test_proxies_of_a_zone_share_the_probes() -> None:
    fakes = make_fake_fleet(40, PeeredFakeHost)
    for part in (8.0, 9.0, 9.0):  # often at first, then steadily; each time the proxy that probed most ends
        for fake in fakes:
            fake.recorded_calls.clear()
        for _ in range(round(part / 0.02)):
            for fake in fakes:
                fake.advance(0.02)
        probed = [server.id for fake in fakes for server in fake.calls(HostCall.PROBE)]
        assert len(set(probed)) == 5 and (part == 8.0 or 5 * 2 <= len(probed) <= 5 * 5)
        fakes.remove(max(fakes, key=lambda fake: len(fake.calls(HostCall.PROBE))))


def test_unreported_distant_server_is_probed() -> None:
    fake = FakeHost(probes_endpoints=True, may_message_peers=True)
    fake.receive_endpoints(
        {"10.0.9.1:80": EndpointStatus.READY, "10.0.9.2:80": EndpointStatus.READY}, zone="b"
    )
    far = fake.server("10.0.9.1:80")
    covered = fake.server("10.0.9.2:80")
    for server in (far, covered):
        fake.request(server=server)
    for _ in range(12):
        fake.advance(1.0)
        fake.balancer.message_time_reported(fake.now, covered, 0.0)
    assert far in fake.calls(HostCall.PROBE) and covered not in fake.calls(HostCall.PROBE)
    reported_before = len(fake.calls(HostCall.REPORT_MESSAGE_TIME))
    fake.balancer.message_time_reported(fake.now, covered, 0.0, measured=True)
    fake.balancer.message_time_reported(fake.now, far, 0.0, measured=True)
    assert [server for server, _ in fake.calls(HostCall.REPORT_MESSAGE_TIME)[reported_before:]] == [far]


def test_permissions_to_probe_and_to_report_start_with_a_reload() -> None:
    fake = FakeHost(may_message_peers=False)
    fake.advance(3.0)
    assert not fake.calls(HostCall.PROBE) and not fake.calls(HostCall.SEND_LOAD_REPORT)
    for _ in range(3):  # permitted, denied and permitted again, each loop runs once
        fake.balancer.update_settings(
            replace(DECODED_SETTINGS, may_message_peers=True, probes_endpoints=True)
        )
        fake.balancer.update_settings(DECODED_SETTINGS)
    fake.balancer.update_settings(replace(DECODED_SETTINGS, may_message_peers=True, probes_endpoints=True))
    fake.advance(8.0)
    assert (
        10 <= len(fake.calls(HostCall.PROBE)) <= 40 and 5 <= len(fake.calls(HostCall.SEND_LOAD_REPORT)) <= 14
    )
