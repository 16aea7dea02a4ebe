"""The guard of the rules: what it refuses, what it counts, and where the program asks it."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from brambleplank.decisions.request_invariants import MAX_STALL, InvariantKind, RequestInvariants
from brambleplank.model import AttemptOutcome, EndpointStatus, Idempotency, TrafficClass
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


def server(name: str, zone: str = "a", cell: int = 0) -> Server:
    made = Server(name, NOW - 100.0)
    made.zone = zone
    made.cell = cell
    made.status = EndpointStatus.READY
    return made


def flow(effect: Idempotency, group: str, *tried: tuple[Server, AttemptOutcome | None]) -> Request:
    kind = TrafficClass(0.3, effect, group, 1.0, 0.1, 1.8, 3)
    made = Request(None, kind, 7, True, NOW + 1.8, False, False)
    for number, (where, end) in enumerate(tried):
        connect = Attempt(made, where, NOW + number * 0.1)
        connect.outcome = end
        connect.ended = end is not None
        made.attempts.append(connect)
    return made


@pytest.fixture
def guard() -> RequestInvariants:
    return RequestInvariants(DECODED_SETTINGS, lambda line: None)


ONE = server("s1")
OTHER = server("s2")
FAR = server("s3", "b", 1)


@pytest.mark.parametrize(
    "effect, group, tried, broken",
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
def test_attempt_against_a_rule_is_refused_and_counted(
    guard: RequestInvariants, effect: Idempotency, group: str, tried: Any, broken: InvariantKind | None
) -> None:
    assert guard.may_start_attempt(NOW + 0.3, "1a", flow(effect, group, *tried)) == (broken is None)
    assert list(guard.violations) == ([broken] if broken else [])


def test_a_window_that_closes_before_an_opening_is_written_is_a_crossing(guard: RequestInvariants) -> None:
    referenced = flow(Idempotency.IDEMPOTENT_IN_GROUP, "all", (ONE, AttemptOutcome.RESET), (OTHER, None))
    assert guard.may_start_attempt(NOW + 0.9, "1a", referenced)
    assert guard.may_send_request(NOW + 0.8, referenced, referenced.attempts[-1])
    assert not guard.may_send_request(NOW + 1.0 - MAX_STALL, referenced, referenced.attempts[-1])
    assert not guard.violations and guard.crossings == {InvariantKind.REPEATING: 1}


def test_drain_is_a_crossing_before_the_write_and_a_violation_at_the_dial(guard: RequestInvariants) -> None:
    drains = server("s4")
    plain = flow(Idempotency.IDEMPOTENT, "all", (drains, None))
    drains.status = EndpointStatus.DRAINING
    drains.unready_since = NOW
    assert guard.may_send_request(NOW + 0.5, plain, plain.attempts[-1])
    assert not guard.may_send_request(
        NOW + DECODED_SETTINGS.drain_grace - MAX_STALL, plain, plain.attempts[-1]
    )
    assert not guard.may_start_attempt(NOW + DECODED_SETTINGS.drain_grace, "1a", plain)
    assert guard.crossings == guard.violations == {InvariantKind.SENDING: 1}


def test_reject_that_promises_too_much_is_counted(guard: RequestInvariants) -> None:
    guard.request_rejected("1a", flow(Idempotency.NON_IDEMPOTENT, "all", (ONE, AttemptOutcome.FULL)))
    guard.request_rejected("1b", flow(Idempotency.IDEMPOTENT_IN_GROUP, "all", (ONE, AttemptOutcome.TIMEOUT)))
    assert not guard.violations
    guard.request_rejected("1c", flow(Idempotency.NON_IDEMPOTENT, "all", (ONE, AttemptOutcome.TIMEOUT)))
    guard.request_rejected("1d", flow(Idempotency.IDEMPOTENT_IN_GROUP, "zone", (ONE, AttemptOutcome.ERROR)))
    assert guard.violations == {InvariantKind.CLOSING: 2}
    assert guard.summary() == "2 violations; crossings: none"


def test_more_than_all_may_send_to_a_server_in_slow_start_is_counted(guard: RequestInvariants) -> None:
    cold = server("s5")
    cold.record_restart(NOW - 1.0)
    for number in range(17):  # 4 + 3 x 2 + 3 in one fall time of 2 s, and 4 later
        guard.attempt_started(NOW + (number if number < 13 else 40) * 0.1, cold, 4.0)
    assert not guard.violations
    for _ in range(10):
        guard.attempt_started(NOW + 4.0, cold, 4.0)
    assert guard.violations == {InvariantKind.STARTING: 1}
    later = server("s6")
    later.record_restart(NOW + DECODED_SETTINGS.slow_start_time)
    guard.attempt_started(NOW + DECODED_SETTINGS.slow_start_time, later, 4.0)
    assert list(guard.sent) == [later]  # the other is warm by now


def test_server_that_drains_while_connecting_gets_no_opening(
    start_program: StartProgram,
) -> None:
    draining = StandIn("UP draining")
    other = StandIn("UP other")
    limits = {**PLATFORM_SETTINGS["policy_limits"], "connect_timeout_us": 1_500_000}
    rules = {**PLATFORM_SETTINGS["rules"], "stop_sending_within_us": 300_000}
    kind = {**PLATFORM_SETTINGS["service_types"][0], "setup_target_us": 1_000_000, "deadline_us": 3_000_000}
    settings = {**PLATFORM_SETTINGS, "policy_limits": limits, "rules": rules, "service_types": [kind]}
    program = start_program(
        endpoint_list(41, True, s0=draining.address), patch=LATE_CONNECTIONS, settings=settings
    )
    _, watch = program.discovery.accept_watch()
    client = program.open_request(deadline_ms=2900)
    wait_until(lambda: draining.connection_count)  # its side is up; the proxy sees that late
    hosts = {"s0": (draining.address, "draining"), "s1": other.address}
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(42, False, **hosts)))
    assert client.read_line() == "UP other"
    assert draining.opening_count == 0
    log = program.stop()
    assert "violation of" not in log and "invariants: 0 violations; crossings: sending 1" in log


def test_resumed_session_after_two_dials_ends_like_any_other(
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


DECISIONS_THAT_FORGET = overrides(
    {
        "brambleplank.decisions.deadline:DeadlineStage.expire": "lambda *what, **more: None",
        "brambleplank.decisions.deadline:DeadlineStage.attempt_ended": "lambda *what, **more: None",
    }
)


def test_forgotten_request_is_answered_and_counted(start_program: StartProgram) -> None:
    program = start_program(endpoint_list(41, True, s0=StandIn(None).address), patch=DECISIONS_THAT_FORGET)
    assert program.connect("PING").read_line() == "PONG"
    begun = time.monotonic()
    assert program.open_request(deadline_ms=400).read_line() == "FAIL"
    assert 0.4 < time.monotonic() - begun < 0.9
    log = program.stop()
    assert "violation of closing" in log and "invariants: 1 violations" in log and "end overdue" in log


def test_overlong_line_after_an_opening_keeps_its_answer(start_program: StartProgram) -> None:
    program = start_program(endpoint_list(41, True, s0=StandIn(None).address))
    client = program.open_request()
    client.socket.sendall(b"x" * 5000)
    assert client.read_line() == "ERR"
    assert client.read_line() == ""
    assert "violation of" not in program.stop()
