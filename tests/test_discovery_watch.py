"""Tests of endpoint lists from the platform's discovery, and of reloads, while sessions are open."""

from __future__ import annotations

import json
import signal
import socket
import time
from contextlib import suppress

import pytest

from tests.overrides import override
from tests.sample_settings import endpoint_list
from tests.stand_ins import LineConnection, StandInDiscovery, StandInServer
from tests.test_sockets import StartProgram, server_list, start_with_session


def test_draining_server_gets_no_new_attempt_and_a_gap_asks_for_the_whole_list(
    start_program: StartProgram,
) -> None:
    one = StandInServer()
    other = StandInServer()
    program = start_program(server_list(one, other))
    _, watch = program.discovery.accept_watch()
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(42, False, s0=(one.address, "draining"))))
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(43, True, s1=other.address, s2="127.0.0.1:9")))
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(44, False, s2=("127.0.0.1:9", "gone"))))
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(45, False, s3=(one.address, "gone"))))
    assert {program.open_request(key).read_line() for key in "abcdef"} == {"UP r1"}
    assert one.opening_count <= 1 and other.opening_count >= 5  # a request may precede the list


def test_drain_window_ends_new_attempts_and_keeps_sessions(
    start_each_kind: StartProgram,
) -> None:
    one = StandInServer("UP one")
    other = StandInServer("UP other")
    program = start_each_kind(server_list(one, other))
    session = program.open_request("ab")
    owner = one if session.read_line() == "UP one" else other
    server_side = owner.next_opening()[1]
    program.send_endpoints(
        **{
            name: (each.address, "draining" if each is owner else "ready")
            for name, each in (("s0", one), ("s1", other))
        }
    )
    until = time.monotonic() + 1.05  # seconds: the drain grace plus delays of sockets
    while time.monotonic() < until:
        client = program.open_request("ab")
        assert client.read_line().startswith("UP ")
        client.close()
    count = owner.opening_count
    assert {program.open_request("ab").read_line() for _ in range(20)} == {
        "UP other" if owner is one else "UP one"
    }
    assert owner.opening_count == count
    session.send_line("M 1")
    assert server_side.read_line() == "M 1"


@pytest.mark.parametrize("failure", ["status", "cut", "garbled", "lacking", "silent", "refused"])
def test_broken_watch_is_reopened_and_the_list_stays_in_use(
    start_program: StartProgram, failure: str
) -> None:
    server = StandInServer()
    program = start_program(server_list(server))
    if failure == "status":
        line = program.discovery.requests.get(timeout=15)[1]
        line.socket.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    else:
        _, line = program.discovery.accept_watch()
        if failure == "cut":
            line.socket.sendall(b'20\r\n{"seq":42,"whole":tr')
            line.close()
        elif failure == "garbled":
            StandInDiscovery.send_text(line, '{"seq":42,]')
        elif failure == "lacking":
            StandInDiscovery.send_text(
                line, '{"seq":42,"whole":true,"hosts":[{"host":"s9","health":"ready"}]}'
            )
        elif failure == "refused":
            line.close(reset=True)
    request_line, watch = program.discovery.accept_watch()
    assert request_line.startswith("GET /discovery/hosts?watch=1&from=41 ")
    assert program.open_request().read_line() == "UP r1"
    other = StandInServer("UP r2")
    StandInDiscovery.send_text(watch, json.dumps(server_list(other, seq=50)))
    assert "list: " in program.stop()


SHORT_LINE_TIMEOUT = override("brambleplank.discovery.platform.discovery:LINE_TIMEOUT", 0.3)


MAX_REQUEST_DELAY = 6.0 - 4.3  # seconds in which the next request must follow a silent watch


def test_silent_watch_is_replaced_in_time(
    start_program: StartProgram,
) -> None:
    server = StandInServer()
    program = start_program(server_list(server), patch=SHORT_LINE_TIMEOUT)
    program.discovery.accept_watch()
    for silence in ("watch", "watch", "watch", "agent", "agent", "watch"):
        first, line = program.discovery.requests.get(timeout=0.3 + MAX_REQUEST_DELAY)
        assert first.startswith("GET /discovery/hosts?watch=1&from=41 ")
        if silence == "watch":  # the watch opens, and stays silent after a heartbeat
            line.socket.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
    assert program.open_request().read_line() == "UP r1" and program.stop().count("list: ") == 1


def test_indented_list_is_used(start_program: StartProgram) -> None:
    one = StandInServer()
    other = StandInServer("UP r2")
    program = start_program(server_list(one))
    _, watch = program.discovery.accept_watch()
    for part in json.dumps(server_list(other, seq=42), indent=1).splitlines():
        StandInDiscovery.send_text(watch, part)
    StandInDiscovery.send_text(
        watch, json.dumps(endpoint_list(43, False, s0=("127.0.0.1:9", "gone"), s1=other.address), indent=2)
    )
    while program.open_request().read_line() != "UP r2":
        pass
    assert "list: " not in program.stop().partition("shutdown: ")[0]


def test_reload_follows_the_new_discovery_and_keeps_sessions(
    start_program: StartProgram,
) -> None:
    program, server, client, server_side = start_with_session(start_program)
    _, old = program.discovery.accept_watch()
    for round_number in range(3):  # with another address each time, and the whole file rewritten
        new = StandInDiscovery()
        assert "taken up: discovery\n" in program.reload(discovery=new.address)
        first, watch = new.accept_watch()
        assert first == "GET /discovery/hosts?watch=1 HTTP/1.1"
        with suppress(OSError):
            StandInDiscovery.send_text(old, json.dumps(endpoint_list(90 + round_number, True)))
        StandInDiscovery.send_text(
            watch, json.dumps(endpoint_list(42 + round_number, True, s0=server.address))
        )
        old = watch
        client.send_line("M 1")
        assert server_side.read_line() == "M 1"
        server_side.send_line("M 1")  # an unanswered line would count as a sign of overload
        assert client.read_line() == "M 1"
        assert program.open_request().read_line() == "UP r1"
    log = program.stop().partition("shutdown: ")[0]
    assert "list: " not in log and "fault" not in log


def test_older_list_at_a_new_address_is_used_only_if_it_stays_behind(
    start_program: StartProgram,
) -> None:
    one = StandInServer()
    other = StandInServer("UP r2")
    program = start_program(server_list(one, other))
    new = StandInDiscovery()
    program.open_request().read_line()
    _, old = program.discovery.accept_watch()
    StandInDiscovery.send_text(
        old, json.dumps(endpoint_list(50, True, s0=(one.address, "draining"), s1=other.address))
    )
    while program.open_request("ab").read_line() != "UP r2":
        pass
    program.reload(discovery=new.address)
    _, watch = new.accept_watch()
    before = one.opening_count
    StandInDiscovery.send_text(watch, json.dumps(server_list(one)))
    assert [program.open_request(key).read_line() for key in "abcdef12"] == [
        "UP r2"
    ] * 8 and one.opening_count == before
    request_line, watch = new.accept_watch()
    assert "from" not in request_line
    StandInDiscovery.send_text(watch, json.dumps(server_list(one)))
    while program.open_request("ab").read_line() != "UP r1":
        pass


def test_new_discovery_that_opens_late_is_retried_soon(
    start_program: StartProgram,
) -> None:
    program = start_program(server_list(StandInServer()))
    for _ in range(4):  # each failure lengthens the decisions' delay before the next request
        program.discovery.accept_watch()[1].close(reset=True)
    late = socket.create_server(("127.0.0.1", 0))
    late.settimeout(2.0)
    program.reload(discovery=f"127.0.0.1:{late.getsockname()[1]}")
    LineConnection(late.accept()[0]).close(reset=True)
    assert LineConnection(late.accept()[0]).read_line() == "GET /discovery/hosts?watch=1 HTTP/1.1"


def test_wrong_new_file_is_named_by_its_key_and_changes_nothing(
    start_program: StartProgram,
) -> None:
    program, _, client, server_side = start_with_session(start_program)
    _, watch = program.discovery.accept_watch()
    assert "is not JSON" in program.reload('{"name": ')
    assert "discovery: need an address" in program.reload(discovery="nowhere")
    assert "limits.sockets: need" in program.reload(discovery="127.0.0.1:9", limits={"sockets": "many"})
    program.config["discovery"] = program.discovery.address
    log = program.reload(limits={"sockets": 300}, name="n2", seed="2f")
    assert "taken up: limits.sockets; wait for a restart: name, seed" in log
    client.send_line("M 1")
    assert server_side.read_line() == "M 1"
    StandInDiscovery.send_text(watch, "")  # a heartbeat, so that the watch is not replaced as silent
    program.process.send_signal(signal.SIGTERM)
    assert "is not JSON" in program.reload("[")
    assert client.read_line() == "MOVE"
    client.close()
    program.remaining_log()
    assert program.process.returncode == 0 and program.discovery.requests.empty()
