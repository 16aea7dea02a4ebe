"""Invariant checks of requests: what they refuse and count, and where the program calls them."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from brambleplank.decisions.request_invariants import MAX_STALL, InvariantKind, RequestInvariants
from brambleplank.model import AttemptOutcome, DeduplicationScope, EndpointStatus, Idempotency, TrafficClass
from brambleplank.records import Attempt, Request, Server
from tests.faults import FaultInjector
from tests.overrides import overrides
from tests.programs import Program
from tests.sample_settings import DECODED_SETTINGS, PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import StandInDiscovery
from tests.stand_ins import StandInServer as StandIn
from tests.waiting import wait_until

StartProgram = Callable[..., Program]
NOW = 1000.0
LATE_CONNECTIONS = """
from brambleplank.net import buffers
from brambleplank.net.loop import reactor
done = buffers.UpstreamTransport._connectDone
buffers.UpstreamTransport._connectDone = lambda self: reactor.callLater(0.6, done, self)
"""


def make_server(name: str, zone: str = "a", cell: int = 0) -> Server:
    record = Server(name, NOW - 100.0)
    record.zone = zone
    record.cell = cell
    record.status = EndpointStatus.READY
    return record


def make_request(
    idempotency: Idempotency, scope: str, *attempts: tuple[Server, AttemptOutcome | None]
) -> Request:
    traffic_class = TrafficClass(0.3, idempotency, DeduplicationScope(scope), 1.0, 0.1, 1.8, 3)
    record = Request(None, traffic_class, 7, True, NOW + 1.8, False, False)
    for number, (attempted_server, outcome) in enumerate(attempts):
        attempt = Attempt(record, attempted_server, NOW + number * 0.1)
        attempt.outcome = outcome
        attempt.ended = outcome is not None
        record.attempts.append(attempt)
    return record


@pytest.fixture
def invariants() -> RequestInvariants:
    return RequestInvariants(DECODED_SETTINGS, lambda line: None)


ONE = make_server("s1")
OTHER = make_server("s2")
FAR = make_server("s3", "b", 1)


@pytest.mark.parametrize(
    "idempotency, scope, attempts, violated",
    [
        (Idempotency.IDEMPOTENT, "all", ((ONE, AttemptOutcome.TIMEOUT), (OTHER, None)), None),
        (Idempotency.IDEMPOTENT, "all", ((ONE, None), (OTHER, None)), InvariantKind.SENDING),
        (Idempotency.NON_IDEMPOTENT, "all", ((ONE, AttemptOutcome.FULL), (OTHER, None)), None),
        (
            Idempotency.NON_IDEMPOTENT,
            "all",
            ((ONE, AttemptOutcome.LOCAL_FAULT), (ONE, AttemptOutcome.UNREACHABLE), (OTHER, None)),
            None,
        ),
        (
            Idempotency.NON_IDEMPOTENT,
            "all",
            ((ONE, AttemptOutcome.RESET), (OTHER, None)),
            InvariantKind.REPEATING,
        ),
        (
            Idempotency.NON_IDEMPOTENT,
            "all",
            ((ONE, AttemptOutcome.TIMEOUT), (OTHER, None)),
            InvariantKind.REPEATING,
        ),
        (Idempotency.IDEMPOTENT_IN_GROUP, "all", ((ONE, AttemptOutcome.TIMEOUT), (FAR, None)), None),
        (Idempotency.IDEMPOTENT_IN_GROUP, "zone", ((ONE, AttemptOutcome.ERROR), (OTHER, None)), None),
        (
            Idempotency.IDEMPOTENT_IN_GROUP,
            "zone",
            ((ONE, AttemptOutcome.ERROR), (FAR, None)),
            InvariantKind.REPEATING,
        ),
        (
            Idempotency.IDEMPOTENT_IN_GROUP,
            "cell",
            ((ONE, AttemptOutcome.RESET), (FAR, None)),
            InvariantKind.REPEATING,
        ),
    ],
)
def test_attempt_that_breaks_an_invariant_is_refused_and_counted(
    invariants: RequestInvariants,
    idempotency: Idempotency,
    scope: str,
    attempts: Any,
    violated: InvariantKind | None,
) -> None:
    assert invariants.may_start_attempt(NOW + 0.3, "1a", make_request(idempotency, scope, *attempts)) == (
        violated is None
    )
    assert list(invariants.violations) == ([violated] if violated else [])


def test_deduplication_window_that_ends_before_the_write_is_a_crossing(
    invariants: RequestInvariants,
) -> None:
    referenced = make_request(
        Idempotency.IDEMPOTENT_IN_GROUP, "all", (ONE, AttemptOutcome.RESET), (OTHER, None)
    )
    assert invariants.may_start_attempt(NOW + 0.9, "1a", referenced)
    assert invariants.may_send_request(NOW + 0.8, referenced, referenced.attempts[-1])
    assert not invariants.may_send_request(NOW + 1.0 - MAX_STALL, referenced, referenced.attempts[-1])
    assert not invariants.violations and invariants.crossings == {InvariantKind.REPEATING: 1}


def test_drain_is_a_crossing_before_the_write_and_a_violation_at_the_start_of_an_attempt(
    invariants: RequestInvariants,
) -> None:
    drains = make_server("s4")
    plain = make_request(Idempotency.IDEMPOTENT, "all", (drains, None))
    drains.status = EndpointStatus.DRAINING
    drains.unready_since = NOW
    assert invariants.may_send_request(NOW + 0.5, plain, plain.attempts[-1])
    assert not invariants.may_send_request(
        NOW + DECODED_SETTINGS.drain_grace - MAX_STALL, plain, plain.attempts[-1]
    )
    assert not invariants.may_start_attempt(NOW + DECODED_SETTINGS.drain_grace, "1a", plain)
    assert invariants.crossings == invariants.violations == {InvariantKind.SENDING: 1}


def test_reject_of_a_request_that_may_have_run_is_counted(invariants: RequestInvariants) -> None:
    invariants.request_rejected(
        "1a", make_request(Idempotency.NON_IDEMPOTENT, "all", (ONE, AttemptOutcome.FULL))
    )
    invariants.request_rejected(
        "1b", make_request(Idempotency.IDEMPOTENT_IN_GROUP, "all", (ONE, AttemptOutcome.TIMEOUT))
    )
    assert not invariants.violations
    invariants.request_rejected(
        "1c", make_request(Idempotency.NON_IDEMPOTENT, "all", (ONE, AttemptOutcome.TIMEOUT))
    )
    invariants.request_rejected(
        "1d", make_request(Idempotency.IDEMPOTENT_IN_GROUP, "zone", (ONE, AttemptOutcome.ERROR))
    )
    assert invariants.violations == {InvariantKind.CLOSING: 2}
    assert invariants.summary() == "2 violations; crossings: none"


def test_attempts_over_the_limit_in_slow_start_are_counted(invariants: RequestInvariants) -> None:
    starting = make_server("s5")
    starting.record_restart(NOW - 1.0)
    for number in range(17):  # 13 = 4 + 3 x sqrt(4) + 3 in one overload window of 2 s, and 4 later
        invariants.attempt_started(NOW + (number if number < 13 else 40) * 0.1, starting, 4.0)
    assert not invariants.violations
    for _ in range(10):
        invariants.attempt_started(NOW + 4.0, starting, 4.0)
    assert invariants.violations == {InvariantKind.STARTING: 1}
    later = make_server("s6")
    later.record_restart(NOW + DECODED_SETTINGS.slow_start_time)
    invariants.attempt_started(NOW + DECODED_SETTINGS.slow_start_time, later, 4.0)
    assert list(invariants.sent) == [later]  # the other server is warm by now


def test_server_that_drains_while_connecting_gets_no_request(
    start_program: StartProgram,
) -> None:
    draining = StandIn("UP draining")
    other = StandIn("UP other")
    limits = {**PLATFORM_SETTINGS["policy_limits"], "connect_timeout_us": 1_500_000}
    rules = {**PLATFORM_SETTINGS["rules"], "stop_sending_within_us": 300_000}
    traffic_class = {
        **PLATFORM_SETTINGS["service_types"][0],
        "setup_target_us": 1_000_000,
        "deadline_us": 3_000_000,
    }
    settings = {
        **PLATFORM_SETTINGS,
        "policy_limits": limits,
        "rules": rules,
        "service_types": [traffic_class],
    }
    program = start_program(
        endpoint_list(41, True, s0=draining.address), patch=LATE_CONNECTIONS, settings=settings
    )
    _, watch = program.discovery.accept_watch()
    client = program.open_request(deadline_ms=2900)
    wait_until(lambda: draining.connection_count)  # established at the server; the proxy notices that late
    hosts = {"s0": (draining.address, "draining"), "s1": other.address}
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(42, False, **hosts)))
    assert client.read_line() == "UP other"
    assert draining.opening_count == 0
    log = program.stop()
    assert "violation of" not in log and "invariants: 0 violations; crossings: sending 1" in log


def test_resumed_session_after_two_attempts_ends_like_any_other(
    start_program: StartProgram, tmp_path: Path
) -> None:
    server = StandIn()
    port = server.listener.getsockname()[1]
    faults = FaultInjector(tmp_path, fail={"connect": (1.0, "ECONNREFUSED")}, times=1, port=port)
    program = start_program(endpoint_list(41, True, s0=server.address), patch=faults.patch)
    client = program.open_request(extra_fields=",at=s0")
    assert client.read_line() == "UP r1"
    server.next_opening()[1].close()
    assert client.read_line() == ""
    log = program.stop()
    assert "end broke" in log and "fault" not in log


DECISIONS_THAT_FORGET_REQUESTS = overrides(
    {
        "brambleplank.decisions.deadline:DeadlineStage.expire": "lambda *what, **more: None",
        "brambleplank.decisions.deadline:DeadlineStage.attempt_ended": "lambda *what, **more: None",
    }
)


def test_request_forgotten_by_the_decisions_is_answered_and_counted(start_program: StartProgram) -> None:
    program = start_program(
        endpoint_list(41, True, s0=StandIn(None).address), patch=DECISIONS_THAT_FORGET_REQUESTS
    )
    assert program.connect("PING").read_line() == "PONG"
    begun = time.monotonic()
    assert program.open_request(deadline_ms=400).read_line() == "FAIL"
    assert 0.4 < time.monotonic() - begun < 0.9
    log = program.stop()
    assert "violation of closing" in log and "invariants: 1 violations" in log and "end overdue" in log


def test_overlong_line_after_a_request_is_answered(start_program: StartProgram) -> None:
    program = start_program(endpoint_list(41, True, s0=StandIn(None).address))
    client = program.open_request()
    client.socket.sendall(b"x" * 5000)
    assert client.read_line() == "ERR"
    assert client.read_line() == ""
    assert "violation of" not in program.stop()
