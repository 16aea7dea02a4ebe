"""The gradual increase of attempts at servers that have recovered from overload."""

from __future__ import annotations

from brambleplank.model import AttemptOutcome
from tests.fake_host import FakeHost


def test_attempts_at_a_recovered_server_double_step_by_step() -> None:
    fake = FakeHost(servers=1)
    request = fake.establish(fake.request())
    fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.2)
    fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.01)
    established = []
    for _ in range(3):
        established.append(sum(fake.request_and_establish() for _ in range(30)))
        fake.advance(4.0)
    assert established[0] <= 1 < established[1] < established[2] < 30


def test_report_of_a_fast_server_starts_no_ramp(fake: FakeHost) -> None:
    server = fake.request(7).attempts[0].server
    for _ in range(4):
        fake.balancer.message_time_reported(fake.now, server, 0.0)
        request = fake.establish(fake.request(7))
        assert request.attempts[0].server is server
        fake.end_attempt(request, AttemptOutcome.OK, complete=True)
