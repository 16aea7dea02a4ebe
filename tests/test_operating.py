"""What operators do to a proxy in service: calls, servers out of rotation, drains."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

import pytest

from tests.conftest import Discovery, Line, Program, Server, spare_address, told

Run = Callable[..., Program]


def operated(run: Run, *servers: Server, **changes: Any) -> Program:
    """A program that operators may call."""
    host, port = spare_address()
    known = told(41, True, **{f"s{i}": server.dial for i, server in enumerate(servers)})
    return run(known, mgmt=f"{host}:{port}", **changes)


def caller(program: Program) -> Line:
    host, port = program.config["mgmt"].rsplit(":", 1)
    program.caller().end()  # it is up
    return Line(socket.create_connection((host, int(port))))


def call(program: Program, path: str, method: str = "PUT") -> int:
    """The status that a call is answered with; the connection ends after it."""
    line = caller(program)
    line.say(f"{method} {path} HTTP/1.1\r\nHost: here\r\n")
    answer = line.file.read().decode()
    assert "Connection: close" in answer and answer.endswith("\n")
    return int(answer.split(" ")[1])


def test_a_server_that_is_out_gets_nothing_new_whatever_lists_say_until_one_call_back(run: Run) -> None:
    one, other = Server("UP one"), Server("UP other")
    program = operated(run, one, other)
    _, watch = program.discovery.watch()
    standing = [program.opening(f"{key:x}") for key in range(16)]
    assert {client.hear() for client in standing} == {"UP one", "UP other"}
    assert call(program, "/-/servers/s0/disable") == call(program, "/-/servers/s%30/disable") == 200
    both = {"s0": one.dial, "s1": other.dial}
    for seq, listed in enumerate(({"s0": one.dial}, {"s1": other.dial}, both), 42):
        Discovery.tell(watch, json.dumps(told(seq, seq != 42, **listed)))
        assert {program.opening(f"{key:x}").hear() for key in range(16)} == {"UP other"}
    assert call(program, "/-/servers/s9/disable") == call(program, "/-/servers/s9/enable") == 404
    assert call(program, "/-/servers/s0/enable") == 200
    while program.opening("ab").hear() != "UP one":
        pass
    assert program.stop().count("end moved") >= one.count - 1


def test_a_drain_says_no_serves_who_still_comes_moves_all_and_ends_at_the_call(run: Run) -> None:
    server = Server()
    program = operated(run, server)
    front, client = program.caller("PING"), program.opening()
    assert (front.hear(), client.hear()) == ("PONG", "UP r1")
    assert [call(program, f"/-/{word}") for word in ("resume", "drain", "drain")] == [200] * 3
    front.say("PING")
    late = program.opening()
    assert (front.hear(), late.hear()) == ("NO", "UP r1")
    assert (client.hear(), client.hear(), late.hear(), late.hear()) == ("MOVE", "", "MOVE", "")
    assert call(program, "/-/ready", "GET") == call(program, "/-/resume") == 200
    front.say("PING")
    stays = program.opening()
    assert (front.hear(), stays.hear()) == ("PONG", "UP r1")
    there = [server.next()[1] for _ in range(3)][-1]
    stays.say("M 1")
    assert there.hear() == "M 1"


@pytest.mark.parametrize(
    ("said", "status"),
    [
        (b"GET /-/ready HTTP/1.1\r\n\r\n", 200), (b"GET /-/ready HTTP/1.0\r\n\r\n", 200),
        (b"GET /-/ready HTTP/1.1\r\n\r\nGET /-/nothing HTTP/1.1\r\n\r\n" + b"x" * 50_000, 200),
        (b"PUT /-/resume HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", 200),
        (b"PUT /-/resume HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200),
        (b"PUT /-/resume HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 50_000, 413),
        (b"PUT /-/resume HTTP/1.1\r\nContent-Length: -5\r\n\r\nhello", 400),
        (b"GET /-/nothing HTTP/1.1\r\n\r\n", 404), (b"PUT /-/servers//disable HTTP/1.1\r\n\r\n", 404),
        (b"PUT /-/servers/%ff%00/enable HTTP/1.1\r\n\r\n", 404), (b"PUT /-/ready HTTP/1.1\r\n\r\n", 405),
        (b"GET /-/servers/s0/disable HTTP/1.1\r\n\r\n", 405), (b"frob\r\n\r\n", 400),
        (b"GET /-/ready HTTP/1.1\r\nno header\r\n\r\n", 400), (b"\x00" * 40_000, 400),
        (b"GET /-/ready HTTP/1.1\r\n" + b"A: b\r\n" * 4000, 400),
    ],
    ids=range(16),
)
def test_a_call_is_answered_once_whatever_is_said_and_however_it_is_cut(
    run: Run, said: bytes, status: int
) -> None:
    program = operated(run, Server())
    whole, cut = caller(program), caller(program)
    whole.conn.sendall(said)
    assert int(whole.file.read().split(b" ")[1]) == status
    for byte in said[:60]:
        cut.conn.sendall(bytes([byte]))
    cut.conn.sendall(said[60:])
    answer = cut.file.read()
    assert int(answer.split(b" ")[1]) == status and answer.count(b"HTTP/1.") == 1
    assert program.opening().hear() == "UP r1" and "fault" not in program.stop()


def test_callers_that_say_nothing_do_not_keep_others_from_being_answered(run: Run) -> None:
    program = operated(run, Server())
    silent = [caller(program) for _ in range(40)]
    silent[-1].conn.sendall(b"PUT /-/dra")
    assert call(program, "/-/ready", "GET") == 200
    assert silent[0].hear().startswith("HTTP/1.1 503")
