"""Tests of clients that break the protocol, stay idle, or exceed the descriptor limit."""

from __future__ import annotations

import time
from contextlib import suppress
from pathlib import Path

import pytest

from tests.stand_ins import LineConnection, StandInServer
from tests.test_sockets import StartProgram, server_list, start_with_session

INVALID_FIELDS = [
    b"d=900",
    b"c=teapot,d=900",
    b"c=feed,t=acme",
    b"c=feed,d=soon",
    b"c=feed,d=",
    b"c=feed,d=-5",
    b"c=feed,d=0",
    b"c=feed,d=" + b"9" * 400,
    b"c=feed,d=4000",
    b"c=feed,d=900,d=901",
    b"c=feed,d=900,again",
    b"c=feed,d=900,,",
]


INVALID_OPENINGS = [
    b"\x00\xff\xfe\x01",
    b"\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"OPEN\r\n",
    b"PING PING\r\n",
    b"frob\r\n" * 500,
    b"OPEN 1a 7f c=feed,t=acme,d=900,at=s9\r\n",
    b"OPEN 1a \xc3\xa9 c=feed,d=900\r\n",
    b"x" * 5000,
    b"OPEN " + b"k" * 60_000_000,
    b"OPEN 1a -5 c=feed,d=900\r\n",
    b"OPEN  7f c=feed,d=900\r\n",
    *(b"OPEN 1a 7f %b\r\n" % fields for fields in INVALID_FIELDS),
]


@pytest.mark.parametrize("opening", INVALID_OPENINGS, ids=range(len(INVALID_OPENINGS)))
def test_garbled_opening_is_answered_and_reaches_no_server(
    start_each_kind: StartProgram, opening: bytes
) -> None:
    program, server, client, server_side = start_with_session(start_each_kind)
    invalid_client = program.connect()
    invalid_client.socket.settimeout(3.0)
    with suppress(ConnectionError):
        invalid_client.socket.sendall(opening)
    assert invalid_client.read_line() in ("ERR", "FAIL", "reset") and invalid_client.read_line() in (
        "",
        "reset",
    )
    client.send_line("M 1")
    assert server_side.read_line() == "M 1" and server.opening_count == 1
    assert "Traceback" not in program.stop()


def test_used_ids_and_early_lines_are_refused(
    start_each_kind: StartProgram,
) -> None:
    program, server, client, server_side = start_with_session(start_each_kind)
    opening = f"OPEN {program.request_id(1)} 7f c=feed,d=900"
    assert program.connect(opening).read_line() == "ERR"
    client.close()
    assert server_side.read_line() == ""
    assert program.connect(opening).read_line() == "ERR" and server.opening_count == 1
    server.answer = None
    assert program.connect("OPEN 1a 7f c=feed,d=900\r\nOPEN 1b 7f c=feed,d=900").read_line() == "ERR"
    server.answer = "UP r2"
    assert program.open_request().read_line() == "UP r2"
    assert " ejected: " not in program.stop()


@pytest.mark.parametrize("first", [b"", b"PING\r\n", b"OPEN 1a 7f c=fe"])
def test_hundreds_of_idle_clients_leave_room_for_requests(
    start_each_kind: StartProgram, first: bytes
) -> None:
    program, server, client, server_side = start_with_session(start_each_kind)
    idle_clients = []
    for _ in range(400):
        idle_clients.append(program.connect())
        idle_clients[-1].socket.sendall(first)
        idle_clients[-1].socket.settimeout(3.0)
    started_at = time.monotonic()
    assert [program.open_request(key).read_line() for key in "abc"] == ["UP r1"] * 3
    assert time.monotonic() < started_at + 1.5
    for each in idle_clients:
        while each.read_line() not in ("", "reset"):
            pass
    client.send_line("M 1")
    assert server_side.read_line() == "M 1"
    assert "rejected" not in program.stop()


def test_client_behaviour_is_no_evidence_against_servers(
    start_each_kind: StartProgram,
) -> None:
    program, server, client, server_side = start_with_session(start_each_kind)
    client.send_line("what no server can read")
    server_side.read_line()
    server_side.close(reset=True)
    assert client.read_line() == "reset"
    server.answer = None
    kept = []
    for _ in range(12):
        leaving_client = program.open_request()
        kept.append(server.next_opening())
        leaving_client.close()
    server.answer = "UP r2"
    assert program.open_request().read_line() == "UP r2"
    log = program.stop()
    assert "end unread" in log and log.count("end left") == 12
    assert not any(word in log for word in ("drops connections", "concurrency limit below one", " ejected: "))


def test_requests_are_rejected_near_the_descriptor_limit_and_sessions_go_on(
    start_each_kind: StartProgram,
) -> None:
    program = start_each_kind(server_list(StandInServer()), limits={"sockets": 64})
    sessions: list[LineConnection] = []
    while (client := program.open_request()).read_line() == "UP r1":
        sessions.append(client)
        assert len(sessions) < 32
    assert len(sessions) >= 16
    sessions.pop().close()
    while (client := program.open_request()).read_line() != "UP r1":
        assert client.read_line() == ""
    assert program.stop().count("end moved") == len(sessions) + 1


def test_client_that_does_not_read_pauses_its_server_alone(start_each_kind: StartProgram) -> None:
    program, _, client, server_side = start_with_session(start_each_kind)
    server_side.socket.settimeout(2.0)
    line = b"x" * 1000 + b"\r\n"
    sent = 0
    with pytest.raises(TimeoutError):
        while sent < 200_000_000:
            sent += server_side.socket.send(line * 100)
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    assert int(status.split("VmRSS:")[1].split()[0]) < 80_000
    assert client.read_line() == "x" * 1000
