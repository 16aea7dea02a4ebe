"""Clients that break the protocol, send nothing, or want more than there is."""

from __future__ import annotations

import time
from contextlib import suppress
from pathlib import Path

import pytest

from tests.stand_ins import LineConnection, StandInServer
from tests.test_sockets import StartProgram, server_list, start_with_session

FIELDS = [
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


RUBBISH = [
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
    *(b"OPEN 1a 7f %b\r\n" % fields for fields in FIELDS),
]


@pytest.mark.parametrize("rubbish", RUBBISH, ids=range(len(RUBBISH)))
def test_garbled_opening_is_answered_and_reaches_no_server(
    start_each_kind: StartProgram, rubbish: bytes
) -> None:
    program, server, client, there = start_with_session(start_each_kind)
    bad = program.connect()
    bad.socket.settimeout(3.0)
    with suppress(ConnectionError):
        bad.socket.sendall(rubbish)
    assert bad.read_line() in ("ERR", "FAIL", "reset") and bad.read_line() in ("", "reset")
    client.send_line("M 1")
    assert there.read_line() == "M 1" and server.opening_count == 1
    assert "Traceback" not in program.stop()


def test_used_ids_and_early_lines_are_refused(
    start_each_kind: StartProgram,
) -> None:
    program, server, client, there = start_with_session(start_each_kind)
    opening = "OPEN 9b1f03aa5c7e0001 7f c=feed,d=900"
    assert program.connect(opening).read_line() == "ERR"
    client.close()
    assert there.read_line() == ""
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
    program, server, client, there = start_with_session(start_each_kind)
    crowd = []
    for _ in range(400):
        crowd.append(program.connect())
        crowd[-1].socket.sendall(first)
        crowd[-1].socket.settimeout(3.0)
    started = time.monotonic()
    assert [program.open_request(key).read_line() for key in "abc"] == ["UP r1"] * 3
    assert time.monotonic() < started + 1.5
    for each in crowd:
        while each.read_line() not in ("", "reset"):
            pass
    client.send_line("M 1")
    assert there.read_line() == "M 1"
    assert "rejected" not in program.stop()


def test_client_behaviour_is_no_evidence_against_servers(
    start_each_kind: StartProgram,
) -> None:
    program, server, client, there = start_with_session(start_each_kind)
    client.send_line("what no server can read")
    there.read_line()
    there.close(reset=True)
    assert client.read_line() == "reset"
    server.answer = None
    kept = []
    for _ in range(12):
        hasty = program.open_request()
        kept.append(server.next_opening())
        hasty.close()
    server.answer = "UP r2"
    assert program.open_request().read_line() == "UP r2"
    log = program.stop()
    assert "end unread" in log and log.count("end left") == 12
    assert not any(word in log for word in ("drops connections", "concurrency limit below one", " ejected: "))


def test_requests_are_rejected_near_the_descriptor_limit_and_sessions_go_on(
    start_each_kind: StartProgram,
) -> None:
    program = start_each_kind(server_list(StandInServer()), limits={"sockets": 64})
    standing: list[LineConnection] = []
    while (caller := program.open_request()).read_line() == "UP r1":
        standing.append(caller)
        assert len(standing) < 32
    assert len(standing) >= 16
    standing.pop().close()
    while (caller := program.open_request()).read_line() != "UP r1":
        assert caller.read_line() == ""
    assert program.stop().count("end moved") == len(standing) + 1


def test_client_that_does_not_read_pauses_its_server_alone(start_each_kind: StartProgram) -> None:
    program, _, client, there = start_with_session(start_each_kind)
    there.socket.settimeout(2.0)
    line = b"x" * 1000 + b"\r\n"
    sent = 0
    with pytest.raises(TimeoutError):
        while sent < 200_000_000:
            sent += there.socket.send(line * 100)
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    assert int(status.split("VmRSS:")[1].split()[0]) < 80_000
    assert client.read_line() == "x" * 1000
