"""The limit on concurrent attempts."""

from __future__ import annotations

from brambleplank.model import AttemptOutcome
from tests.fake_host import FakeHost


def test_limit_falls_while_all_attempts_fail_and_rises_again(fake: FakeHost) -> None:
    for key in range(30):
        request = fake.request(key, time_left=9.0)
        while not request.answered:
            fake.end_attempt(request, AttemptOutcome.ERROR)
    fake.advance(10.0)
    waiting = [fake.request(key) for key in range(30)]
    assert sum(len(request.attempts) for request in waiting) <= 1
    for request in waiting:
        if request.attempts:
            fake.end_attempt(request, AttemptOutcome.CANCELLED, complete=True)
    # Established attempts raise the limit again.
    assert fake.request_and_establish() and fake.balancer.concurrency_limiter.limit <= 2
    established = sum(fake.request_and_establish() for _ in range(200))
    assert established > 100 and fake.balancer.concurrency_limiter.limit >= 1
