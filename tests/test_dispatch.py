"""The timeout of attempts."""

from __future__ import annotations

import pytest

from brambleplank.model import AttemptOutcome
from tests.fake_host import FakeHost, HostCall
from tests.sample_settings import FEED


def test_attempt_timeout_is_the_objective_or_all_time_left_while_many_fail(fake: FakeHost) -> None:
    fake.request()
    assert fake.calls(HostCall.START_ATTEMPT)[-1][2] == pytest.approx(FEED.latency_objective)
    for key in range(3):
        fake.end_attempt(fake.request(key), AttemptOutcome.TIMEOUT, 0.15)
    fake.request(time_left=4.0)
    assert fake.calls(HostCall.START_ATTEMPT)[-1][2] == pytest.approx(4.0, abs=0.1)
