"""End-to-end tests of the real program over loopback sockets."""

from __future__ import annotations

import json
import signal
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from tests.ports import unused_address
from tests.programs import Program
from tests.sample_settings import endpoint_list
from tests.stand_ins import LineConnection, StandInDiscovery, StandInServer

StartProgram = Callable[..., Program]


def server_list(*servers: StandInServer, seq: int = 41) -> dict[str, Any]:
    return endpoint_list(seq, True, **{f"s{i}": server.address for i, server in enumerate(servers)})


def start_with_session(
    start_program: StartProgram,
) -> tuple[Program, StandInServer, LineConnection, LineConnection]:
    """Starts a program with one server and opens a session.

    Returns the program, the server, and the session's connections at the client and at the server.
    """
    server = StandInServer()
    program = start_program(server_list(server))
    client = program.open_request()
    assert client.read_line() == "UP r1"
    return program, server, client, server.next_opening()[1]


def test_request_is_established_once_a_list_has_come(
    start_program: StartProgram,
) -> None:
    server = StandInServer()
    program = start_program(endpoint_list(0, True))
    ping_client = program.connect("PING")
    assert ping_client.read_line() == "NO"
    first, watch = program.discovery.accept_watch()
    assert first == "GET /discovery/hosts?watch=1&from=0 HTTP/1.1"
    StandInDiscovery.send_text(watch, json.dumps(server_list(server)))
    client = program.open_request(extra_fields=",h=12,again=1")
    assert client.read_line() == "UP r1"
    ping_client.send_line("PING")
    assert ping_client.read_line() == "PONG"
    line, server_side = server.next_opening()
    assert line == f"OPEN {program.request_id(1)} 7f c=feed,t=acme,d=300,h=12,again=1"
    client.send_line("M 1")
    assert server_side.read_line() == "M 1"
    server_side.send_line("LOAD 0.5")
    server_side.send_line("BYE")
    server_side.close()
    assert [client.read_line() for _ in range(3)] == ["LOAD 0.5", "BYE", ""]
    assert f"end bye {program.request_id(1)} server=s0 connects=1" in program.stop()


def test_lines_in_pieces_arrive_whole(start_each_kind: StartProgram) -> None:
    server = StandInServer(answer=None)
    program = start_each_kind(server_list(server))
    client = program.connect()
    for byte in b"OPEN 1a 7f c=feed,t=acme,d=1500\r\nM":
        client.socket.sendall(bytes([byte]))
    line, server_side = server.next_opening()
    assert line.startswith("OPEN 1a 7f ")
    server_side.send_line("UP r7")
    assert client.read_line() == "UP r7"
    client.send_line(" 2")
    assert server_side.read_line() == "M 2"
    server_side.socket.sendall(b"half a li")
    server_side.socket.sendall(b"ne\r\n")
    assert client.read_line() == "half a line"


def test_busy_or_refusing_server_costs_one_further_attempt(start_each_kind: StartProgram) -> None:
    busy = StandInServer("BUSY")
    refusing = StandInServer()
    ready = StandInServer()
    refusing.close()
    program = start_each_kind(server_list(busy, refusing, ready))
    assert [program.open_request(key).read_line() for key in "abcdef"] == ["UP r1"] * 6
    assert ready.opening_count == 6 and busy.opening_count


def test_rejected_client_is_told_when_to_retry(start_each_kind: StartProgram) -> None:
    program = start_each_kind(server_list(StandInServer("BUSY"), StandInServer("BUSY")))
    client = program.open_request()
    word, pause = client.read_line().split()
    assert word == "BUSY" and 1000 <= int(pause) <= 2000 and client.read_line() == ""
    assert "end rejected" in program.stop()


@pytest.mark.parametrize(
    ("answer", "expected_answer"), [("", "FAIL"), ("ERR", "FAIL"), ("TEAPOT", "FAIL"), ("BUSY", "BUSY")]
)
def test_non_idempotent_request_that_may_have_run_is_aborted(
    start_each_kind: StartProgram, answer: str, expected_answer: str
) -> None:
    one = StandInServer(answer)
    other = StandInServer(answer)
    program = start_each_kind(server_list(one, other))
    client = program.open_request(traffic_class="order")
    assert client.read_line().split()[0] == expected_answer
    assert one.opening_count + other.opening_count == (3 if answer == "BUSY" else 1)


def test_silent_server_times_out_and_its_late_answer_is_dropped(
    start_each_kind: StartProgram,
) -> None:
    one = StandInServer(None)
    other = StandInServer(None)
    program = start_each_kind(server_list(one, other))
    client = program.open_request(deadline_ms=1200)
    assert client.read_line().startswith("BUSY") and client.read_line() == ""
    for server in (one, other):
        late = server.next_opening()[1]
        assert late.read_line() == ""
        with suppress(OSError):
            late.send_line("UP r9")
    assert program.stop().count("end rejected") == 1


def test_sigterm_migrates_sessions_answers_new_clients_and_exits_with_zero(
    start_each_kind: StartProgram,
) -> None:
    program, server, client, server_side = start_with_session(start_each_kind)
    program.process.send_signal(signal.SIGTERM)
    late = program.open_request()
    assert late.read_line() == "UP r1"
    assert (client.read_line(), client.read_line()) == ("MOVE", "") and (
        late.read_line(),
        late.read_line(),
    ) == ("MOVE", "")
    assert server_side.read_line() == ""
    log = program.remaining_log()
    assert program.process.returncode == 0 and log.count("end moved") == 2


@pytest.mark.parametrize("reset", [False, True])
def test_end_is_passed_on_in_kind_after_all_lines(start_each_kind: StartProgram, reset: bool) -> None:
    program, server, client, server_side = start_with_session(start_each_kind)
    client.send_line("M 1")
    assert server_side.read_line() == "M 1"
    client.close(reset)
    assert server_side.read_line() == ("reset" if reset else "")
    client = program.open_request()
    assert client.read_line() == "UP r1"
    server_side = server.next_opening()[1]
    server_side.send_line("the last line")
    server_side.socket.sendall(b"and half")
    server_side.send_line("")
    server_side.socket.sendall(b"a line")
    assert (client.read_line(), client.read_line()) == ("the last line", "and half")
    server_side.close(reset)
    assert client.read_line() == ("reset" if reset else "a line")
    assert "end broke" in program.stop()


def test_proxy_serves_and_stops_without_a_reader_of_its_log(
    start_each_kind: StartProgram,
) -> None:
    program, server, client, server_side = start_with_session(start_each_kind)
    assert program.process.stderr
    program.process.stderr.close()
    for key in "abc":
        other_client = program.open_request(key)
        assert other_client.read_line() == "UP r1"
        other_client.close()
    client.send_line("M 1")
    assert server_side.read_line() == "M 1"
    program.process.send_signal(signal.SIGTERM)
    assert client.read_line() == "MOVE"
    assert program.process.wait(15) == 0


def test_session_at_a_silent_server_is_migrated_within_seven_seconds(
    start_each_kind: StartProgram,
) -> None:
    _, _, client, server_side = start_with_session(start_each_kind)
    client.socket.settimeout(7.0)
    client.send_line("M 1")
    assert server_side.read_line() == "M 1" and client.read_line() == "MOVE"


@pytest.mark.parametrize("call", ["place", "attempt_established", "attempt_ended"])
def test_exception_costs_one_connection(start_each_kind: StartProgram, call: str) -> None:
    patch = f"""
from brambleplank.decisions.balancer import Balancer
original = Balancer.{call}
def faulty(self, *what):
    Balancer.{call} = original
    raise ValueError("injected by the test")
Balancer.{call} = faulty
"""
    one, other = (StandInServer("BUSY" if call == "attempt_ended" else "UP r1") for _ in range(2))
    program = start_each_kind(server_list(one, other), patch=patch)
    first = program.open_request()
    lines = [first.read_line()]
    while lines[-1] not in ("", "reset"):
        lines.append(first.read_line())
    assert lines[0] == ("UP r1" if call == "attempt_established" else "FAIL") and len(lines) == 2
    one.answer = "UP r1"
    other.answer = "UP r1"
    assert program.open_request().read_line() == "UP r1"
    log = program.stop()
    assert log.count("fault ValueError") == 1 and "Traceback" not in log


def test_session_from_before_the_start_is_resumed_at_its_server(start_each_kind: StartProgram) -> None:
    one = StandInServer()
    other = StandInServer()
    program = start_each_kind(server_list(one, other))
    for number, (name, server) in enumerate((("s0", one), ("s1", other)), 1):
        assert program.open_request(extra_fields=f",at={name}").read_line() == "UP r1"
        opening = f"OPEN {program.request_id(number)} 7f c=feed,t=acme,d=1500,at={name}"
        assert server.next_opening()[0] == opening
    unknown = program.open_request(extra_fields=",at=s9")
    assert unknown.read_line() == "FAIL" and unknown.read_line() == ""


def test_resumed_session_is_retried_until_its_server_is_reached(
    start_program: StartProgram,
) -> None:
    late = unused_address()
    program = start_program(endpoint_list(41, True, s0=f"127.0.0.1:{late[1]}"))
    client = program.open_request(extra_fields=",at=s0")
    time.sleep(0.3)  # the first connects are refused meanwhile
    server = StandInServer(at=late)
    assert client.read_line() == "UP r1" and server.opening_count == 1


def test_connection_that_is_up_but_unseen_at_its_timeout_is_used(start_program: StartProgram) -> None:
    patch = """
import time
from brambleplank.frontends.line.upstream_connections import LineUpstreamConnection
connect = LineUpstreamConnection.connect
def stall(self, wait):
    connect(self, wait)
    time.sleep(0.2)  # longer than a connect may take
LineUpstreamConnection.connect = stall
"""
    program = start_program(server_list(StandInServer()), patch=patch)
    assert program.open_request().read_line() == "UP r1"
    assert "connects=1" in program.stop()
