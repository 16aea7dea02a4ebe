"""Requests that must not take effect twice."""

from __future__ import annotations

from dataclasses import replace

import pytest

from brambleplank.model import AttemptOutcome, DeduplicationScope, EndpointStatus, Idempotency
from tests.fake_host import FakeHost, HostCall
from tests.sample_settings import FEED


@pytest.mark.parametrize(
    ("outcome", "attempts_sent", "answer"),
    [(AttemptOutcome.FULL, 2, HostCall.REJECT), (AttemptOutcome.TIMEOUT, 1, HostCall.ABORT)],
)
def test_non_idempotent_request_is_retried_only_if_it_never_ran(
    outcome: AttemptOutcome, attempts_sent: int, answer: HostCall
) -> None:
    non_idempotent = replace(FEED, idempotency=Idempotency.NON_IDEMPOTENT, max_attempts=2)
    fake = FakeHost(traffic_classes={"feed": non_idempotent})
    request = fake.request()
    fake.end_attempt(request, outcome)
    assert len(fake.calls(HostCall.START_ATTEMPT)) == attempts_sent
    if not request.answered:
        fake.end_attempt(request, outcome)
    assert fake.calls(answer)


def test_retry_stays_within_deduplication_scope_and_window() -> None:
    zone_scoped = replace(
        FEED,
        idempotency=Idempotency.IDEMPOTENT_IN_GROUP,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=1.0,
    )
    fake = FakeHost(traffic_classes={"feed": zone_scoped})
    request = fake.request()
    fake.receive_endpoints(
        {
            s.id: EndpointStatus.READY
            for s in fake.balancer.ready_servers
            if s is not request.attempts[0].server
        },
        zone="b",
    )
    fake.end_attempt(request, AttemptOutcome.TIMEOUT)
    assert request.attempts[1].server is request.attempts[0].server
    fake.advance(1.1)
    fake.end_attempt(request, AttemptOutcome.TIMEOUT)
    assert len(request.attempts) == 2 and fake.calls(HostCall.ABORT) == [request]
