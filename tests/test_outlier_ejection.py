"""Ejection and reinstatement of servers."""

from __future__ import annotations

from brambleplank.model import AttemptOutcome, EndpointStatus
from brambleplank.records import Request
from tests.fake_host import FakeHost, HostCall
from tests.sample_settings import DECODED_SETTINGS


def eject_by_silence(fake: FakeHost, request: Request) -> None:
    """Times out all attempts at the request's server until it is ejected."""
    server = request.attempts[0].server
    fake.end_attempt(request, AttemptOutcome.TIMEOUT, 0.3)
    while not server.trial_attempts:
        fake.advance(0.3)
        fake.end_attempt(fake.request(7), AttemptOutcome.TIMEOUT, 0.3)


def test_silent_server_is_ejected_and_reinstated_by_doubling_trials(fake: FakeHost) -> None:
    fake.establish_many(20)
    request = fake.request(7)
    server = request.attempts[0].server
    eject_by_silence(fake, request)
    assert fake.request(7).attempts[0].server is not server
    fake.advance(DECODED_SETTINGS.slow_start_time)
    trial = fake.request(7)
    assert trial.attempts[0].server is server and fake.request(7).attempts[0].server is not server
    fake.establish(trial)
    while server.trial_attempts:
        fake.establish(fake.request(7))
    assert "reinstated" in fake.calls(HostCall.LOG)[-1]


def test_delay_common_to_all_servers_does_not_eject_most_of_them(fake: FakeHost) -> None:
    fake.establish_many(20)
    for key in range(60):
        request = fake.request(key)
        fake.advance(0.3)
        while not request.answered:
            fake.end_attempt(request, AttemptOutcome.TIMEOUT, 0.3)
    assert (
        2 * sum(s.trial_attempts > 0 for s in fake.balancer.ready_servers)
        <= len(fake.balancer.ready_servers) + 1
    )


def test_unreachable_server_of_an_outdated_list_is_skipped(fake: FakeHost) -> None:
    request = fake.request(7)
    unreachable = request.attempts[0].server
    fake.end_attempt(request, AttemptOutcome.UNREACHABLE)
    assert request.attempts[1].server is not unreachable
    assert fake.request(7).attempts[0].server is not unreachable


def test_restart_resets_the_evidence_against_a_server(fake: FakeHost) -> None:
    request = fake.establish(fake.request(7))
    server = request.attempts[0].server
    fake.balancer.message_time_reported(fake.now, request.attempts[-1].server, 0.2)
    fake.end_attempt(request, AttemptOutcome.RESET, complete=True)
    fake.end_attempt(fake.request(7, server=server), AttemptOutcome.RESET, complete=True)
    fake.receive_endpoints(
        {server.id: EndpointStatus.READY}, started=fake.now - DECODED_SETTINGS.slow_start_time
    )
    assert not server.trial_attempts and fake.request(7).attempts[0].server is server
