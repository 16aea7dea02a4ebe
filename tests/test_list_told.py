"""Tests that changes of the endpoint list arrive in time despite failures of watches and requests.

They run the real program against a discovery stand-in whose responses the test sends.
"""

from __future__ import annotations

import json
import threading
import time
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import pytest

from brambleplank.discovery.platform import discovery as discovery_module
from tests.overrides import override
from tests.programs import Program
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import LineConnection, StandInDiscovery, StandInServer
from tests.test_sockets import StartProgram, server_list

MAX_PROPAGATION_TIME = 6.0  # seconds; by then a change counts as received
SHORT_LINE_TIMEOUT = override("brambleplank.discovery.platform.discovery:LINE_TIMEOUT", 0.3)


def trickle(line: LineConnection, byte: bytes = b" ") -> None:
    """Sends single bytes of a line that never ends, until the other side closes the connection."""

    def send_bytes() -> None:
        with suppress(OSError):
            while not line.is_closed(within=0.05):
                line.socket.sendall(b"1\r\n" + byte + b"\r\n")

    threading.Thread(target=send_bytes, daemon=True).start()


def send_headers(line: LineConnection) -> None:
    line.socket.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")


def test_dripping_watch_is_replaced(
    start_program: StartProgram,
) -> None:
    program = start_program(server_list(StandInServer()), patch=SHORT_LINE_TIMEOUT)
    _, line = program.discovery.requests.get(timeout=15)
    send_headers(line)
    trickle(line)  # the first list never completes
    started = time.monotonic()
    _, watch = program.discovery.accept_watch()
    trickle(watch)  # no complete line after the first one
    assert program.discovery.requests.get(timeout=15)[0].startswith("GET /discovery/hosts?watch=1&from=41 ")
    assert time.monotonic() < started + 3.0
    assert program.open_request().read_line() == "UP r1"


def test_drain_arrives_in_time_in_the_worst_order_of_failures(start_program: StartProgram) -> None:
    one, other = StandInServer(), StandInServer("UP r2")
    program = start_program(server_list(one, other))
    _, silent = program.discovery.accept_watch()
    drained = time.monotonic()  # right after a line; no complete line follows on this watch
    threading.Timer(2.9, trickle, [silent]).start()
    program.discovery.requests.get(timeout=15)[1].close(reset=True)
    _, dripping = program.discovery.requests.get(timeout=15)
    send_headers(dripping)
    trickle(dripping, b"{")
    program.discovery.requests.get(timeout=15)  # not answered, so it times out
    _, watch = program.discovery.accept_watch()
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(42, False, s0=(one.address, "draining"))))
    while (
        program.open_request("ab").read_line() != "UP r2" or program.open_request("cd").read_line() != "UP r2"
    ):
        pass
    assert time.monotonic() < drained + MAX_PROPAGATION_TIME


def test_request_that_a_returning_agent_does_not_answer_is_repeated_beside_it(
    start_program: StartProgram,
) -> None:
    # Guards against attempts at a draining server after a short drain grace: the list was only requested
    # again after a request from before the return of discovery had timed out.
    one = StandInServer()
    other = StandInServer("UP r2")
    rules = {**PLATFORM_SETTINGS["rules"], "stop_sending_within_us": 300_000}
    program = start_program(server_list(one, other), settings={**PLATFORM_SETTINGS, "rules": rules})
    unanswered = [program.discovery.requests.get(timeout=15)[1] for _ in range(3)]
    _, watch = program.discovery.accept_watch()
    assert not unanswered[-1].is_closed()
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(42, False, s0=(one.address, "draining"))))
    assert unanswered[-1].is_closed(within=15)
    while program.open_request("ab").read_line() != "UP r2":
        pass
    assert {program.open_request(key).read_line() for key in "abcdef"} == {"UP r2"}
    assert program.stop().count("list: ") <= 1


def test_list_that_stops_after_its_head_is_requested_beside_it(start_program: StartProgram) -> None:
    # Guards against attempts at a draining server after a short drain grace: a response whose body did not
    # begin was waited for, and only then was the list requested again.
    one = StandInServer()
    other = StandInServer("UP r2")
    rules = {**PLATFORM_SETTINGS["rules"], "stop_sending_within_us": 300_000}
    program = start_program(server_list(one, other), settings={**PLATFORM_SETTINGS, "rules": rules})
    _, without_body = program.discovery.requests.get(timeout=15)
    send_headers(without_body)
    _, watch = program.discovery.accept_watch()
    assert not without_body.is_closed()  # not yet timed out
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(42, False, s0=(one.address, "draining"))))
    while program.open_request("ab").read_line() != "UP r2":
        pass
    assert {program.open_request(key).read_line() for key in "abcdef"} == {"UP r2"}
    program.send_endpoints(s0=one.address)  # through a watch that is still open
    assert "fault" not in program.stop()


def start_with_deferred_list(
    start_program: StartProgram, *servers: StandInServer
) -> tuple[Program, StandInDiscovery, LineConnection]:
    """Starts a program with a list of version 50, and moves it to discovery with the older version 41."""
    program = start_program(server_list(*servers))
    _, old = program.discovery.accept_watch()
    StandInDiscovery.send_text(old, json.dumps(endpoint_list(50, False, s0=(servers[0].address, "draining"))))
    while program.open_request("ab").read_line() != "UP r2":
        pass
    new = StandInDiscovery()
    program.reload(discovery=new.address)
    _, watch = new.accept_watch()
    StandInDiscovery.send_text(watch, json.dumps(server_list(*servers)))
    return program, new, watch


def test_outdated_list_is_requested_whole_if_its_watch_breaks(
    start_program: StartProgram,
) -> None:
    _, new, watch = start_with_deferred_list(start_program, StandInServer(), StandInServer("UP r2"))
    watch.close(reset=True)
    assert new.accept_watch()[0] == "GET /discovery/hosts?watch=1 HTTP/1.1"


def test_changes_to_an_outdated_list_are_applied_with_it(start_program: StartProgram) -> None:
    one, other, third = StandInServer(), StandInServer("UP r2"), StandInServer("UP r3")
    program, _, watch = start_with_deferred_list(start_program, one, other)
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(45, False, s1=(other.address, "draining"))))
    StandInDiscovery.send_text(
        watch, json.dumps(endpoint_list(51, False, s2=third.address, s0=(one.address, "draining")))
    )
    while program.open_request("ab").read_line() != "UP r3":
        pass
    assert [program.open_request(key).read_line() for key in ("cd", "ef", "12")] == ["UP r3"] * 3


@pytest.mark.parametrize(
    "malformed",
    [
        '"dial":"127.0.0.1:99999"',
        '"dial":":80"',
        '"share":NaN',
        '"share":-1',
        '"born_ms":1e999',
        '"host":""',
        '"seq":1e999',
        '"hosts":' + "[" * 100_000,
        '"hosts":[[]]',
    ],
)
def test_garbled_list_changes_nothing_and_is_requested_again(
    start_program: StartProgram, malformed: str
) -> None:
    server = StandInServer()
    program = start_program(server_list(server))
    _, watch = program.discovery.accept_watch()
    text = json.dumps(server_list(seq=42))[:-1].replace(
        "[]", json.dumps(endpoint_list(1, True, s9=server.address)["hosts"])
    )
    key = malformed.partition(":")[0]
    at = text.find(key)
    text = (
        text[:at]
        + malformed
        + text[min(n for n in (text.find(",", at), text.find("}", at)) if n > 0) :]
        + "}"
    )
    StandInDiscovery.send_text(watch, text + ("]" * 100_000 + "}" if "[" * 9 in malformed else ""))
    assert program.discovery.accept_watch()[0].startswith("GET /discovery/hosts?watch=1&from=41 ")
    assert program.open_request().read_line() == "UP r1"
    assert "fault" not in program.stop()


class InactiveTimer:
    def active(self) -> bool:
        return False


def test_indented_list_is_parsed_once(monkeypatch: pytest.MonkeyPatch) -> None:
    parsed: list[bytes] = []
    monkeypatch.setattr("brambleplank.discovery.platform.discovery.json.loads", parsed.append)
    clock = SimpleNamespace(now=lambda: 0.0, call_after_reads=lambda *_: InactiveTimer())
    discovery: Any = SimpleNamespace(proxy=SimpleNamespace(clock=clock), list_received=lambda encoded: None)
    discovery.watch_failed = pytest.fail
    discovery.heartbeat_received = lambda: None
    request: Any = SimpleNamespace(requested_at=0.0)
    watch = discovery.watch = discovery_module.Watch(discovery, request)
    watch.transport = SimpleNamespace(disconnecting=False)
    watch.opened()
    hosts = {f"s{n}": "127.0.0.1:80" for n in range(300)}
    listed = endpoint_list(42, True, **hosts)
    listed["hosts"][0]["site"] = 'a "quoted" {[ and a \\ at its end \\'
    text = json.dumps(listed, indent=1).encode()
    for line in text.splitlines(keepends=True):
        watch.dataReceived(line)
    watch.dataReceived(b"\n\n")
    assert [len(each) for each in parsed] == [len(text)]
