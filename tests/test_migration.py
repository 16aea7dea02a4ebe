"""Planned shutdowns and the migration of sessions."""

from __future__ import annotations

from dataclasses import replace

from brambleplank.model import AttemptOutcome
from tests.fake_host import FakeHost, HostCall
from tests.sample_settings import DECODED_SETTINGS, FEED


def test_shutdown_migrates_all_sessions_one_by_one_near_its_end(fake: FakeHost) -> None:
    sessions = [fake.establish(fake.request(key)) for key in range(20)]
    fake.balancer.begin_shutdown(fake.now)
    later = fake.establish(fake.request(99))
    # Sessions continue at first, as other proxies may still be down.
    fake.advance(DECODED_SETTINGS.shutdown_time * 0.6)
    assert fake.calls(HostCall.MIGRATE) == []
    fake.advance(DECODED_SETTINGS.shutdown_time * 0.2)
    assert 3 < len(fake.calls(HostCall.MIGRATE)) < 18
    fake.advance(DECODED_SETTINGS.shutdown_time * 0.2)
    assert set(fake.calls(HostCall.MIGRATE)) == {*sessions, later} and not fake.balancer.groups.session_counts


def test_silent_session_is_migrated_away_from_its_server(fake: FakeHost) -> None:
    request = fake.establish(fake.request())
    fake.balancer.session_silent(fake.now, request, DECODED_SETTINGS.max_session_silence / 2)
    assert fake.calls(HostCall.MIGRATE) == []
    fake.balancer.session_silent(fake.now, request, DECODED_SETTINGS.max_session_silence + 0.1)
    assert fake.calls(HostCall.MIGRATE) == [request]
    fake.end_attempt(request, AttemptOutcome.CANCELLED, complete=True)
    assert fake.request(reconnecting=True).attempts[0].server is not request.attempts[0].server


def test_open_requests_are_answered_before_the_shutdown_ends(fake: FakeHost) -> None:
    earlier = fake.request(time_left=4.8)
    fake.balancer.begin_shutdown(fake.now)
    later = fake.request(8, time_left=4.8)
    fake.advance(DECODED_SETTINGS.shutdown_time)
    assert {request for request, _ in fake.calls(HostCall.REJECT)} == {earlier, later}


def test_request_delayed_after_a_local_fault_is_answered_by_the_shutdown() -> None:
    fake = FakeHost(1, traffic_classes={"feed": replace(FEED, deadline=30.0)}, shutdown_time=3.0)
    request = fake.request(time_left=30.0)
    for _ in range(12):
        fake.end_attempt(request, AttemptOutcome.LOCAL_FAULT)
        fake.advance(2.0)  # longer than any retry delay
    assert not request.answered and len(request.attempts) == 13
    fake.end_attempt(request, AttemptOutcome.LOCAL_FAULT)  # the next attempt is delayed
    fake.balancer.begin_shutdown(fake.now)
    fake.advance(3.0)
    assert request.answered
