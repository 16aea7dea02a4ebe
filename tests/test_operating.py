"""Operating a running proxy: operator requests, rotation, drains, reloads, metrics."""

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
    """Starts a program with an operator address."""
    host, port = unused_address()
    known = endpoint_list(41, True, **{f"s{i}": server.address for i, server in enumerate(servers)})
    return start_program(known, mgmt=f"{host}:{port}", **changes)


def operator_connection(program: Program) -> LineConnection:
    host, port = program.config["mgmt"].rsplit(":", 1)
    while True:
        try:
            return LineConnection(socket.create_connection((host, int(port))))
        except ConnectionRefusedError:
            assert program.process.poll() is None, program.remaining_log()  # not listening yet


def send_command(program: Program, path: str, method: str = "PUT") -> int:
    """Sends an operator request and returns the status of the response, which closes the connection."""
    connection = operator_connection(program)
    connection.send_line(f"{method} {path} HTTP/1.1\r\nHost: here\r\n")
    answer = connection.file.read().decode()
    assert "Connection: close" in answer and answer.endswith("\n")
    return int(answer.split(" ")[1])


def test_server_out_of_rotation_gets_no_requests_until_enabled(
    start_program: StartProgram,
) -> None:
    first_server, other_server = StandInServer("UP one"), StandInServer("UP other")
    program = start_operable_program(start_program, first_server, other_server)
    _, watch = program.discovery.accept_watch()
    clients = [program.open_request(f"{key:x}") for key in range(16)]
    assert {client.read_line() for client in clients} == {"UP one", "UP other"}
    assert (
        send_command(program, "/-/servers/s0/disable")
        == send_command(program, "/-/servers/s%30/disable")
        == 200
    )
    both = {"s0": first_server.address, "s1": other_server.address}
    for sequence, listed in enumerate(({"s0": first_server.address}, {"s1": other_server.address}, both), 42):
        StandInDiscovery.send_text(watch, json.dumps(endpoint_list(sequence, sequence != 42, **listed)))
        assert {program.open_request(f"{key:x}").read_line() for key in range(16)} == {"UP other"}
    assert (
        send_command(program, "/-/servers/s9/disable") == send_command(program, "/-/servers/s9/enable") == 404
    )
    assert send_command(program, "/-/servers/s0/enable") == 200
    while program.open_request("ab").read_line() != "UP one":
        pass
    assert program.stop().count("end moved") >= first_server.opening_count - 1


def test_drain_answers_no_migrates_sessions_and_ends_on_resume(
    start_program: StartProgram,
) -> None:
    server = StandInServer()
    program = start_operable_program(start_program, server)
    health_check, client = program.connect("PING"), program.open_request()
    assert (health_check.read_line(), client.read_line()) == ("PONG", "UP r1")
    assert [send_command(program, f"/-/{command}") for command in ("resume", "drain", "drain")] == [200] * 3
    health_check.send_line("PING")
    client_during_drain = program.open_request()
    assert (health_check.read_line(), client_during_drain.read_line()) == ("NO", "UP r1")
    assert (
        client.read_line(),
        client.read_line(),
        client_during_drain.read_line(),
        client_during_drain.read_line(),
    ) == (
        "MOVE",
        "",
        "MOVE",
        "",
    )
    assert send_command(program, "/-/ready", "GET") == send_command(program, "/-/resume") == 200
    health_check.send_line("PING")
    client_after_resume = program.open_request()
    assert (health_check.read_line(), client_after_resume.read_line()) == ("PONG", "UP r1")
    upstream = [server.next_opening()[1] for _ in range(3)][-1]
    client_after_resume.send_line("M 1")
    assert upstream.read_line() == "M 1"


@pytest.mark.parametrize(
    ("sent", "status"),
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
def test_operator_request_is_answered_once_however_it_is_split(
    start_program: StartProgram, sent: bytes, status: int
) -> None:
    program = start_operable_program(start_program, StandInServer())
    unsplit, split = operator_connection(program), operator_connection(program)
    unsplit.socket.sendall(sent)
    assert int(unsplit.file.read().split(b" ")[1]) == status
    for byte in sent[:60]:
        split.socket.sendall(bytes([byte]))
    split.socket.sendall(sent[60:])
    answer = split.file.read()
    assert int(answer.split(b" ")[1]) == status and answer.count(b"HTTP/1.") == 1
    assert program.open_request().read_line() == "UP r1" and "fault" not in program.stop()


def test_operator_request_is_answered_in_time_under_client_load(
    start_program: StartProgram,
) -> None:
    program = start_operable_program(start_program, StandInServer(), limits={"cores": 1.0, "sockets": 400})
    assert send_command(program, "/-/ready", "GET") == 200
    silent_connections, stop_event = [operator_connection(program) for _ in range(4)], threading.Event()

    def send_garbage() -> None:
        while not stop_event.is_set():
            with suppress(OSError), socket.create_connection(program.address) as client:
                client.settimeout(0.2)
                client.sendall(b"x" * 20_000)
                client.recv(100)

    threads = [threading.Thread(target=send_garbage) for _ in range(40)]
    idle_clients = [socket.create_connection(program.address) for _ in range(300)]
    for client_thread in threads:
        client_thread.start()
    try:
        for command in ("drain", "resume") * 5:
            started_at = time.monotonic()
            assert send_command(program, f"/-/{command}") == 200 and time.monotonic() < started_at + 1.0
    finally:
        stop_event.set()
        for thread in threads:
            thread.join()
    assert [connection.socket.send(b"GET") for connection in silent_connections] == [3] * 4 and idle_clients


def test_resume_stops_migrations_and_shutdown_ends_a_drain(
    start_program: StartProgram,
) -> None:
    program = start_operable_program(start_program, StandInServer())
    clients = [program.open_request(f"{key:x}") for key in range(24)]
    assert {client.read_line() for client in clients} == {"UP r1"}
    assert send_command(program, "/-/drain") == 200
    program.next_log_line("end moved")
    assert send_command(program, "/-/resume") == 200
    time.sleep(2.0)  # the longest that a drain takes
    assert send_command(program, "/-/drain") == send_command(program, "/-/drain") == 200
    output = program.stop()
    assert program.process.returncode == 0 and "operator: drain (it was)" in output
    before, _, after = output.partition("operator: resume")
    assert 0 < before.count("end moved") < 24 == output.count("end moved")
    assert "end moved" not in after.partition("operator: drain")[0]
    assert {client.read_line() for client in clients} == {"MOVE"}


def test_requests_are_rejected_at_once_when_all_servers_are_out_of_rotation(
    start_program: StartProgram,
) -> None:
    program = start_operable_program(start_program, StandInServer(), StandInServer())
    assert (
        send_command(program, "/-/servers/s0/disable")
        == send_command(program, "/-/servers/s1/disable")
        == 200
    )
    started_at = time.monotonic()
    assert program.open_request().read_line().startswith("BUSY") and time.monotonic() < started_at + 0.5
    assert send_command(program, "/-/ready", "GET") == 200


def test_silent_operator_connections_do_not_block_others(start_program: StartProgram) -> None:
    program = start_operable_program(start_program, StandInServer())
    silent_connections = [operator_connection(program) for _ in range(40)]
    silent_connections[-1].socket.sendall(b"PUT /-/dra")
    assert send_command(program, "/-/ready", "GET") == 200
    assert silent_connections[0].read_line().startswith("HTTP/1.1 503")


def settings_with(max_connects: Any = 3, **service_types: Any) -> dict[str, Any]:
    """Returns settings with these service types; each value overrides the default fields."""
    defaults = {"effect": "repeatable", "setup_target_us": 300000, "deadline_us": 1800000}
    listed = [{"name": name, **defaults, **fields} for name, fields in service_types.items()]
    limits = {**PLATFORM_SETTINGS["policy_limits"], "max_connects": max_connects}
    return {**PLATFORM_SETTINGS, "policy_limits": limits, "service_types": listed}


def test_reloaded_settings_apply_to_new_requests_only(
    start_program: StartProgram,
) -> None:
    first_server, other_server = StandInServer(None), StandInServer(None)
    program = start_operable_program(
        start_program, first_server, other_server, settings=settings_with(feed={}, old={})
    )
    waiting_client = program.open_request(traffic_class="old", deadline_ms=1800)
    assert waiting_client.socket.getpeername() and program.connect("PING").read_line() == "PONG"
    output = program.reload(settings=settings_with(1, feed={"effect": "once"}, new={}))
    assert "settings.policy_limits.max_connects, settings.service_types (+new -old ~feed)" in output
    assert program.open_request(traffic_class="old").read_line() == "ERR"
    first_server.answer = other_server.answer = "ERR"
    assert (
        program.open_request(traffic_class="new").read_line().startswith("BUSY")
        and program.open_request().read_line() == "FAIL"
    )
    assert waiting_client.read_line().startswith("BUSY")
    service_types = [
        server.next_opening()[0].split("c=")[1][:4]
        for server in (first_server, other_server)
        for _ in range(server.opening_count)
    ]
    assert sorted(service_types) == ["feed", "new,", "old,", "old,", "old,"]


INVALID_CONFIGURATIONS = [
    ("\n", "is not JSON"),
    ("{}", "name: missing"),
    ('{"name": "n1", "lis', "is not JSON"),
    ({"settings": None}, "settings: need an object"),
    ({"discovery": None}, "discovery: need an address"),
    ({"limits": {"cores": 1.0}}, "limits.sockets: missing"),
    ({"seed": "many"}, "seed"),
    *(
        ({"settings": settings_with(feed={"deadline_us": change})}, "service_types[0].deadline_us")
        for change in ("1800000", True, float("nan"), float("inf"), 0, -5, None, [1])
    ),
    *(
        ({"settings": settings_with(change, feed={})}, "max_connects")
        for change in ("3", True, float("nan"), float("inf"), 0, -1, 2.5, None)
    ),
    ({"settings": settings_with()}, "service_types: need at least one"),
    ({"settings": settings_with(feed={"effect": "twice"})}, "service_types[0].effect"),
    (
        {"settings": settings_with(feed={}, other={"name": "feed"})},
        "service_types[1].name: 'feed' is used twice",
    ),
    (
        {"settings": {**PLATFORM_SETTINGS, "policy_limits": {"max_connects": 3}}},
        "policy_limits.may_probe: missing",
    ),
    ({"settings": {**PLATFORM_SETTINGS, "rules": []}}, "settings.rules: need an object"),
    *(
        ({"settings": {**PLATFORM_SETTINGS, **change}}, expected)
        for change, expected in (
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
def running_program(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[Program, dict[str, Any]]]:
    """One program for all invalid files, with its valid configuration, which has to stay in force."""
    for run in program_factory(tmp_path_factory.mktemp("broken"), Program):
        program = start_operable_program(run, StandInServer())
        assert program.open_request().read_line() == "UP r1"
        yield program, dict(program.config)


@pytest.mark.parametrize(
    ("change", "expected"), INVALID_CONFIGURATIONS, ids=[f"{n}" for n in range(len(INVALID_CONFIGURATIONS))]
)
def test_invalid_configuration_changes_nothing(
    running_program: tuple[Program, dict[str, Any]], change: str | dict[str, Any], expected: str
) -> None:
    program, valid_config = running_program
    program.config = {
        **valid_config,
        "discovery": "127.0.0.1:9",
        **(change if isinstance(change, dict) else {}),
    }
    output = program.reload(change if isinstance(change, str) else json.dumps(program.config))
    assert "reload: kept as it was: " in output and expected in output
    assert (
        program.open_request().read_line() == "UP r1"
        and program.open_request(traffic_class="order").read_line() == "UP r1"
    )


def test_simultaneous_reloads_apply_the_latest_file(
    start_program: StartProgram,
) -> None:
    program = start_operable_program(start_program, StandInServer())
    assert program.open_request().read_line() == "UP r1"
    for name in ("new", "newer"):
        program.config["settings"] = settings_with(**{"feed": {}, name: {}})
        program.config_path.write_text(json.dumps(program.config))
        program.process.send_signal(signal.SIGHUP)
    while program.open_request(traffic_class="newer").read_line() != "UP r1":
        pass
    assert program.open_request(traffic_class="new").read_line() == "ERR"
    output = program.reload(settings={**program.config["settings"], "balancers": 7})
    while "wait for a restart: settings.balancers" not in output:
        output = program.next_log_line("reload: ")


class ProbedServer(StandInServer):
    """Records each connection with its first line, answers probes, and records the end of the connection."""

    def serve(self, connection: LineConnection) -> None:
        first = connection.read_line()
        self.openings.put((first, connection))
        while first == "PING" and connection.read_line() == "PING":
            pass
        self.openings.put(("end", connection))


def test_reload_enables_and_disables_probes(start_program: StartProgram) -> None:
    server = ProbedServer()
    base_settings = {**PLATFORM_SETTINGS, "az": "a"}
    allowed = {**base_settings, "policy_limits": {**PLATFORM_SETTINGS["policy_limits"], "may_probe": True}}
    program = start_operable_program(start_program, server, settings=base_settings)
    assert program.connect("PING").read_line() == "PONG"
    assert "taken up: settings.policy_limits.may_probe" in program.reload(settings=allowed)
    assert server.next_opening()[0] == "PING"
    assert "taken up: settings.policy_limits.may_probe" in program.reload(settings=base_settings)
    assert server.next_opening()[0] == "end"  # the probe under way is closed


def test_metrics_and_log_report_counts_and_reasons(start_program: StartProgram) -> None:
    first_server, other_server = StandInServer("ERR"), StandInServer("UP other")
    program = start_operable_program(start_program, first_server, other_server)
    _, watch = program.discovery.accept_watch()
    replies = [program.open_request(f"{key:x}", traffic_class="order").read_line() for key in range(12)]
    assert set(replies) == {"FAIL", "UP other"}
    StandInDiscovery.send_text(
        watch,
        json.dumps(
            endpoint_list(
                42, True, s0=(first_server.address, "draining"), s1=(other_server.address, "draining")
            )
        ),
    )
    while "BUSY" not in program.open_request("7").read_line():
        pass
    connection = operator_connection(program)
    connection.send_line("GET /-/metrics HTTP/1.1\r\nHost: here\r\n")
    metrics = connection.file.read().decode()
    failed = replies.count("FAIL")
    assert f'brambleplank_requests_ended_total{{what="aborted"}} {failed}\n' in metrics
    assert f'brambleplank_attempts_ended_total{{what="error"}} {failed}\n' in metrics
    refused = failed + 1  # the last request was rejected
    assert f'brambleplank_requests_refused_total{{what="no-server"}} {refused}\n' in metrics
    assert 'brambleplank_servers_changed_total{what="draining"} 2\n' in metrics
    output = program.stop()
    assert "server=s0 result=error delay=0." in output and "server: s0 draining" in output
    assert "why=no-server" in output and "violation of" not in output
