"""What operators do to a proxy in service: calls, servers out of rotation, drains."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any

import pytest

from tests.ports import unused_address
from tests.programs import Program, program_factory
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import LineConnection, StandInDiscovery, StandInServer

StartProgram = Callable[..., Program]


def start_operable_program(start_program: StartProgram, *servers: StandInServer, **changes: Any) -> Program:
    """A program that operators may call."""
    host, port = unused_address()
    known = endpoint_list(41, True, **{f"s{i}": server.address for i, server in enumerate(servers)})
    return start_program(known, mgmt=f"{host}:{port}", **changes)


def operator_connection(program: Program) -> LineConnection:
    host, port = program.config["mgmt"].rsplit(":", 1)
    while True:
        try:
            return LineConnection(socket.create_connection((host, int(port))))
        except ConnectionRefusedError:
            assert program.process.poll() is None, program.remaining_log()  # not up yet


def send_command(program: Program, path: str, method: str = "PUT") -> int:
    """The status that a call is answered with; the connection ends after it."""
    line = operator_connection(program)
    line.send_line(f"{method} {path} HTTP/1.1\r\nHost: here\r\n")
    answer = line.file.read().decode()
    assert "Connection: close" in answer and answer.endswith("\n")
    return int(answer.split(" ")[1])


def test_a_server_that_is_out_gets_nothing_new_whatever_lists_say_until_one_call_back(
    start_program: StartProgram,
) -> None:
    one, other = StandInServer("UP one"), StandInServer("UP other")
    program = start_operable_program(start_program, one, other)
    _, watch = program.discovery.accept_watch()
    standing = [program.open_request(f"{key:x}") for key in range(16)]
    assert {client.read_line() for client in standing} == {"UP one", "UP other"}
    assert (
        send_command(program, "/-/servers/s0/disable")
        == send_command(program, "/-/servers/s%30/disable")
        == 200
    )
    both = {"s0": one.address, "s1": other.address}
    for seq, listed in enumerate(({"s0": one.address}, {"s1": other.address}, both), 42):
        StandInDiscovery.send_text(watch, json.dumps(endpoint_list(seq, seq != 42, **listed)))
        assert {program.open_request(f"{key:x}").read_line() for key in range(16)} == {"UP other"}
    assert (
        send_command(program, "/-/servers/s9/disable") == send_command(program, "/-/servers/s9/enable") == 404
    )
    assert send_command(program, "/-/servers/s0/enable") == 200
    while program.open_request("ab").read_line() != "UP one":
        pass
    assert program.stop().count("end moved") >= one.opening_count - 1


def test_a_drain_says_no_serves_who_still_comes_moves_all_and_ends_at_the_call(
    start_program: StartProgram,
) -> None:
    server = StandInServer()
    program = start_operable_program(start_program, server)
    front, client = program.connect("PING"), program.open_request()
    assert (front.read_line(), client.read_line()) == ("PONG", "UP r1")
    assert [send_command(program, f"/-/{word}") for word in ("resume", "drain", "drain")] == [200] * 3
    front.send_line("PING")
    late = program.open_request()
    assert (front.read_line(), late.read_line()) == ("NO", "UP r1")
    assert (client.read_line(), client.read_line(), late.read_line(), late.read_line()) == (
        "MOVE",
        "",
        "MOVE",
        "",
    )
    assert send_command(program, "/-/ready", "GET") == send_command(program, "/-/resume") == 200
    front.send_line("PING")
    stays = program.open_request()
    assert (front.read_line(), stays.read_line()) == ("PONG", "UP r1")
    there = [server.next_opening()[1] for _ in range(3)][-1]
    stays.send_line("M 1")
    assert there.read_line() == "M 1"


@pytest.mark.parametrize(
    ("said", "status"),
    [
        (b"GET /-/ready HTTP/1.1\r\n\r\n", 200),
        (b"GET /-/ready HTTP/1.0\r\n\r\n", 200),
        (b"GET /-/ready HTTP/1.1\r\n\r\nGET /-/nothing HTTP/1.1\r\n\r\n" + b"x" * 50_000, 200),
        (b"PUT /-/resume HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", 200),
        (b"PUT /-/resume HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200),
        (b"PUT /-/resume HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 50_000, 413),
        (b"PUT /-/resume HTTP/1.1\r\nContent-Length: -5\r\n\r\nhello", 400),
        (b"GET /-/nothing HTTP/1.1\r\n\r\n", 404),
        (b"PUT /-/servers//disable HTTP/1.1\r\n\r\n", 404),
        (b"PUT /-/servers/%ff%00/enable HTTP/1.1\r\n\r\n", 404),
        (b"PUT /-/ready HTTP/1.1\r\n\r\n", 405),
        (b"GET /-/servers/s0/disable HTTP/1.1\r\n\r\n", 405),
        (b"frob\r\n\r\n", 400),
        (b"GET /-/ready HTTP/1.1\r\nno header\r\n\r\n", 400),
        (b"\x00" * 40_000, 400),
        (b"GET /-/ready HTTP/1.1\r\n" + b"A: b\r\n" * 4000, 400),
    ],
    ids=range(16),
)
def test_a_call_is_answered_once_whatever_is_said_and_however_it_is_cut(
    start_program: StartProgram, said: bytes, status: int
) -> None:
    program = start_operable_program(start_program, StandInServer())
    whole, cut = operator_connection(program), operator_connection(program)
    whole.socket.sendall(said)
    assert int(whole.file.read().split(b" ")[1]) == status
    for byte in said[:60]:
        cut.socket.sendall(bytes([byte]))
    cut.socket.sendall(said[60:])
    answer = cut.file.read()
    assert int(answer.split(b" ")[1]) == status and answer.count(b"HTTP/1.") == 1
    assert program.open_request().read_line() == "UP r1" and "fault" not in program.stop()


def test_a_call_is_answered_in_time_while_hundreds_of_clients_say_what_they_can(
    start_program: StartProgram,
) -> None:
    program = start_operable_program(start_program, StandInServer(), limits={"cores": 1.0, "sockets": 400})
    assert send_command(program, "/-/ready", "GET") == 200
    silent, ends = [operator_connection(program) for _ in range(4)], threading.Event()

    def shout() -> None:
        while not ends.is_set():
            with suppress(OSError), socket.create_connection(program.address) as client:
                client.settimeout(0.2)
                client.sendall(b"x" * 20_000)
                client.recv(100)

    crowd = [threading.Thread(target=shout) for _ in range(40)]
    held = [socket.create_connection(program.address) for _ in range(300)]
    for each in crowd:
        each.start()
    try:
        for word in ("drain", "resume") * 5:
            began = time.monotonic()
            assert send_command(program, f"/-/{word}") == 200 and time.monotonic() < began + 1.0
    finally:
        ends.set()
        for thread in crowd:
            thread.join()
    assert [line.socket.send(b"GET") for line in silent] == [3] * 4 and held


def test_a_stop_amid_a_drain_ends_it_and_a_resume_amid_moving_keeps_who_is_left(
    start_program: StartProgram,
) -> None:
    program = start_operable_program(start_program, StandInServer())
    clients = [program.open_request(f"{key:x}") for key in range(24)]
    assert {client.read_line() for client in clients} == {"UP r1"}
    assert send_command(program, "/-/drain") == 200
    program.next_log_line("end moved")
    assert send_command(program, "/-/resume") == 200
    time.sleep(2.0)  # as long as a drain may take
    assert send_command(program, "/-/drain") == send_command(program, "/-/drain") == 200
    said = program.stop()
    assert program.process.returncode == 0 and "operator: drain (it was)" in said
    before, _, after = said.partition("operator: resume")
    assert 0 < before.count("end moved") < 24 == said.count("end moved")
    assert "end moved" not in after.partition("operator: drain")[0]
    assert {client.read_line() for client in clients} == {"MOVE"}


def test_with_every_server_out_flows_are_answered_at_once_and_the_proxy_stays_ready(
    start_program: StartProgram,
) -> None:
    program = start_operable_program(start_program, StandInServer(), StandInServer())
    assert (
        send_command(program, "/-/servers/s0/disable")
        == send_command(program, "/-/servers/s1/disable")
        == 200
    )
    began = time.monotonic()
    assert program.open_request().read_line().startswith("BUSY") and time.monotonic() < began + 0.5
    assert send_command(program, "/-/ready", "GET") == 200


def test_callers_that_say_nothing_do_not_keep_others_from_being_answered(start_program: StartProgram) -> None:
    program = start_operable_program(start_program, StandInServer())
    silent = [operator_connection(program) for _ in range(40)]
    silent[-1].socket.sendall(b"PUT /-/dra")
    assert send_command(program, "/-/ready", "GET") == 200
    assert silent[0].read_line().startswith("HTTP/1.1 503")


def settings(most: Any = 3, **kinds: Any) -> dict[str, Any]:
    """Settings with these service types: each its effect, or changes to what all have."""
    usual = {"effect": "repeatable", "setup_target_us": 300000, "deadline_us": 1800000}
    listed = [{"name": name, **usual, **what} for name, what in kinds.items()]
    limits = {**PLATFORM_SETTINGS["policy_limits"], "max_connects": most}
    return {**PLATFORM_SETTINGS, "policy_limits": limits, "service_types": listed}


def test_new_settings_bind_who_comes_and_a_flow_ends_by_those_it_came_with(
    start_program: StartProgram,
) -> None:
    one, other = StandInServer(None), StandInServer(None)
    program = start_operable_program(start_program, one, other, settings=settings(feed={}, old={}))
    waits = program.open_request(traffic_class="old", deadline_ms=1800)
    assert waits.socket.getpeername() and program.connect("PING").read_line() == "PONG"
    said = program.reload(settings=settings(1, feed={"effect": "once"}, new={}))
    assert "settings.policy_limits.max_connects, settings.service_types (+new -old ~feed)" in said
    assert program.open_request(traffic_class="old").read_line() == "ERR"
    one.answer = other.answer = "ERR"
    assert (
        program.open_request(traffic_class="new").read_line().startswith("BUSY")
        and program.open_request().read_line() == "FAIL"
    )
    assert waits.read_line().startswith("BUSY")
    kinds = [
        server.next_opening()[0].split("c=")[1][:4]
        for server in (one, other)
        for _ in range(server.opening_count)
    ]
    assert sorted(kinds) == ["feed", "new,", "old,", "old,", "old,"]


BROKEN = [
    ("\n", "is not JSON"),
    ("{}", "name: missing"),
    ('{"name": "n1", "lis', "is not JSON"),
    ({"settings": None}, "settings: need an object"),
    ({"discovery": None}, "discovery: need an address"),
    ({"limits": {"cores": 1.0}}, "limits.sockets: missing"),
    ({"seed": "many"}, "seed"),
    *(
        ({"settings": settings(feed={"deadline_us": wrong})}, "service_types[0].deadline_us")
        for wrong in ("1800000", True, float("nan"), float("inf"), 0, -5, None, [1])
    ),
    *(
        ({"settings": settings(wrong, feed={})}, "max_connects")
        for wrong in ("3", True, float("nan"), float("inf"), 0, -1, 2.5, None)
    ),
    ({"settings": settings()}, "service_types: need at least one"),
    ({"settings": settings(feed={"effect": "twice"})}, "service_types[0].effect"),
    ({"settings": settings(feed={}, other={"name": "feed"})}, "service_types[1].name: 'feed' is used twice"),
    (
        {"settings": {**PLATFORM_SETTINGS, "policy_limits": {"max_connects": 3}}},
        "policy_limits.may_probe: missing",
    ),
    ({"settings": {**PLATFORM_SETTINGS, "rules": []}}, "settings.rules: need an object"),
    *(
        ({"settings": {**PLATFORM_SETTINGS, **wrong}}, named)
        for wrong, named in (
            ({"specifics": {"mode": "through"}}, "settings.specifics.mode: need one of proxy, pass"),
            ({"beside": 3}, "settings.beside: need an object"),
            ({"beside": {"balancers": -1}}, "settings.beside.balancers: need at least 0"),
            ({"beside": {"balancers": 2, "first": "yes"}}, "settings.beside.first: need true or false"),
            ({"policy_limits": {**PLATFORM_SETTINGS["policy_limits"], "may_probe": 1}}, "may_probe: need"),
            ({"slot_no": 1}, "settings.slot_no: need a number under settings.balancers (1)"),
        )
    ),
]


@pytest.fixture(scope="module")
def standing(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[Program, dict[str, Any]]]:
    """One program for all broken files, and its sound one: none of them may change anything for the next."""
    for run in program_factory(tmp_path_factory.mktemp("broken"), Program):
        program = start_operable_program(run, StandInServer())
        assert program.open_request().read_line() == "UP r1"
        yield program, dict(program.config)


@pytest.mark.parametrize(("wrong", "named"), BROKEN, ids=[f"{n}" for n in range(len(BROKEN))])
def test_nothing_is_taken_of_a_broken_file(
    standing: tuple[Program, dict[str, Any]], wrong: str | dict[str, Any], named: str
) -> None:
    program, sound = standing
    program.config = {**sound, "discovery": "127.0.0.1:9", **(wrong if isinstance(wrong, dict) else {})}
    said = program.reload(wrong if isinstance(wrong, str) else json.dumps(program.config))
    assert "reload: kept as it was: " in said and named in said
    assert (
        program.open_request().read_line() == "UP r1"
        and program.open_request(traffic_class="order").read_line() == "UP r1"
    )


def test_two_calls_to_read_again_in_one_instant_end_at_what_the_file_says(
    start_program: StartProgram,
) -> None:
    program = start_operable_program(start_program, StandInServer())
    assert program.open_request().read_line() == "UP r1"
    for name in ("new", "newer"):
        program.config["settings"] = settings(**{"feed": {}, name: {}})
        program.config_path.write_text(json.dumps(program.config))
        program.process.send_signal(signal.SIGHUP)
    while program.open_request(traffic_class="newer").read_line() != "UP r1":
        pass
    assert program.open_request(traffic_class="new").read_line() == "ERR"
    said = program.reload(settings={**program.config["settings"], "balancers": 7})
    while "wait for a restart: settings.balancers" not in said:
        said = program.next_log_line("reload: ")


class Probed(StandInServer):
    """Keeps the connections of probes, each with its first line."""

    def serve(self, line: LineConnection) -> None:
        first = line.read_line()
        self.openings.put((first, line))
        while first == "PING" and line.read_line() == "PING":
            pass
        self.openings.put(("end", line))


def test_the_permission_to_probe_is_given_and_taken_by_reload(start_program: StartProgram) -> None:
    server = Probed()
    near = {**PLATFORM_SETTINGS, "az": "a"}
    allowed = {**near, "policy_limits": {**PLATFORM_SETTINGS["policy_limits"], "may_probe": True}}
    program = start_operable_program(start_program, server, settings=near)
    assert program.connect("PING").read_line() == "PONG"
    assert "taken up: settings.policy_limits.may_probe" in program.reload(settings=allowed)
    assert server.next_opening()[0] == "PING"
    assert "taken up: settings.policy_limits.may_probe" in program.reload(settings=near)
    assert server.next_opening()[0] == "end"  # the probe under way is closed


def test_counts_and_reasons_of_what_was_done_can_be_read(start_program: StartProgram) -> None:
    one, other = StandInServer("ERR"), StandInServer("UP other")
    program = start_operable_program(start_program, one, other)
    _, watch = program.discovery.accept_watch()
    heard = [program.open_request(f"{key:x}", traffic_class="order").read_line() for key in range(12)]
    assert set(heard) == {"FAIL", "UP other"}
    StandInDiscovery.send_text(
        watch,
        json.dumps(endpoint_list(42, True, s0=(one.address, "draining"), s1=(other.address, "draining"))),
    )
    while "BUSY" not in program.open_request("7").read_line():
        pass
    line = operator_connection(program)
    line.send_line("GET /-/metrics HTTP/1.1\r\nHost: here\r\n")
    text = line.file.read().decode()
    failed = heard.count("FAIL")
    assert f'brambleplank_requests_ended_total{{what="aborted"}} {failed}\n' in text
    assert f'brambleplank_attempts_ended_total{{what="error"}} {failed}\n' in text
    refused = failed + 1  # the last one was rejected
    assert f'brambleplank_requests_refused_total{{what="no-server"}} {refused}\n' in text
    assert 'brambleplank_servers_changed_total{what="draining"} 2\n' in text
    said = program.stop()
    assert "server=s0 result=error delay=0." in said and "server: s0 draining" in said
    assert "why=no-server" in said and "violation of" not in said
