"""Race conditions forced on the real program: disconnects, closes, shutdowns, starts, descriptor limits."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from brambleplank.net.graceful_shutdown import READ_GRACE
from tests.overrides import override
from tests.ports import unused_address
from tests.programs import Program, start_process
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import StandInDiscovery, StandInServer
from tests.test_sockets import StartProgram, server_list
from tests.waiting import TEST_TIMEOUT


class PausedProcess:
    """Suspends the process (SIGSTOP), so that it finds all events of that time at once when it resumes."""

    def __init__(self, program: Program) -> None:
        self.program = program

    def __enter__(self) -> None:
        self.program.process.send_signal(signal.SIGSTOP)
        while self.state() != "T":
            pass

    def state(self) -> str:
        with open(f"/proc/{self.program.process.pid}/stat") as file:
            return file.read().rpartition(") ")[2][0]

    def __exit__(self, *_: object) -> None:
        self.program.process.send_signal(signal.SIGCONT)


def start_ready(start_program: StartProgram, *servers: StandInServer, **options: Any) -> Program:
    program = start_program(server_list(*servers), **options)
    assert program.connect("PING").read_line() == "PONG"
    return program


def test_client_that_ends_with_its_opening_reaches_no_server(
    start_each_kind: StartProgram,
) -> None:
    server = StandInServer()
    program = start_ready(start_each_kind, server)
    with PausedProcess(program):
        for _ in range(3):
            program.open_request().close()
    assert program.open_request().read_line() == "UP r1" and server.connection_count == 1
    assert program.stop().count("end left") == 3


DELAYED_CONNECTION = """
import select, sys
from brambleplank.frontends.line.upstream_connections import LineUpstreamConnection
original = LineUpstreamConnection.connectionMade
def delayed(self):
    LineUpstreamConnection.connectionMade = original
    print("the connection is up", file=sys.stderr, flush=True)
    select.select([self.client.transport.socket], [], [], 10)  # the client has closed; not read yet
    original(self)
LineUpstreamConnection.connectionMade = delayed
"""


def test_opening_is_not_written_once_its_client_has_disconnected(
    start_program: StartProgram,
) -> None:
    server = StandInServer()
    program = start_ready(start_program, server, patch=DELAYED_CONNECTION)
    client = program.open_request()
    program.next_log_line("the connection is up")
    client.close()
    assert program.open_request().read_line() == "UP r1" and server.opening_count == 1
    assert " ejected: " not in program.stop()


def test_up_without_a_receipt_is_an_error(start_each_kind: StartProgram) -> None:
    for answer in ("UP", "UP ", "UP r1 r2", "UPr1"):
        program = start_each_kind(server_list(StandInServer(answer)))
        client = program.open_request(traffic_class="order")
        assert (client.read_line(), client.read_line()) == ("FAIL", "")
        program.stop()


SHORT_FIRST_LINE_TIMEOUT = override("brambleplank.frontends.line.client_connections:FIRST_LINE_TIMEOUT", 0.3)
LONG_LINGER = override("brambleplank.frontends.line.client_connections:SHORT_LINGER", 9)


def test_opening_during_idle_close_is_neither_reset_nor_forwarded(
    start_program: StartProgram,
) -> None:
    server = StandInServer()
    program = start_ready(start_program, server, patch=SHORT_FIRST_LINE_TIMEOUT)
    idle = program.connect()
    assert idle.read_line() == ""
    for n in range(3):  # OPEN lines in flight; after a reset, a later send would fail
        idle.send_line(f"OPEN 1{n} 7f c=feed,d=900")
    assert program.open_request().read_line() == "UP r1"
    assert idle.read_line() == "" and server.opening_count == 1


def test_idle_client_is_answered_before_shutdown_ends(
    start_program: StartProgram,
) -> None:
    program = start_ready(start_program, StandInServer())
    idle = program.connect()
    assert program.open_request().read_line() == "UP r1"
    program.process.send_signal(signal.SIGTERM)
    assert (idle.read_line(), idle.read_line()) == ("BUSY", "")
    program.remaining_log()
    assert program.process.returncode == 0


@pytest.mark.parametrize("where", ["configuration.read", "Program.begin"])
def test_stop_during_the_start_exits_with_zero(start_program: StartProgram, where: str) -> None:
    patch = f"""
import os, signal
from brambleplank.platform import configuration, run
from brambleplank.platform.run import Program
original = {where}
def stopped(*what):
    os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGTERM)
    return original(*what)
{where} = stopped
"""
    program = start_program(server_list(StandInServer()), patch=patch)
    log = program.remaining_log()
    assert program.process.returncode == 0 and "Traceback" not in log
    assert ("shutdown: drained" in log) == (where == "Program.begin")


SIGTERM_DURING_IMPORTS = """
import os, signal, sys
class Stop:
    def find_spec(self, name, *_):
        if name == "brambleplank.sidecar.run":
            os.kill(os.getpid(), signal.SIGTERM)
sys.meta_path.insert(0, Stop())
sys.argv = ["brambleplank", "run", "/nowhere/maps.toml"]
from brambleplank.cli import main
main()
"""


def test_stop_during_the_imports_of_a_sidecar_exits_with_zero() -> None:
    process = start_process(None, SIGTERM_DURING_IMPORTS)
    log = process.communicate(timeout=TEST_TIMEOUT)[1]
    assert process.returncode == 0 and log == ""


@pytest.mark.parametrize("where", ["run.read", "Sidecar.join_fleet", "Sidecar.listen", "Sidecar.begin"])
def test_stop_during_the_start_of_a_sidecar_exits_with_zero(start_sidecar: StartProgram, where: str) -> None:
    patch = f"""
import os, signal
from brambleplank.sidecar import run
from brambleplank.sidecar.run import Sidecar
original = {where}
def stopped(*what):
    os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGTERM)
    return original(*what)
{where} = stopped
"""
    program = start_sidecar(server_list(StandInServer()), patch=patch)
    log = program.remaining_log()
    assert program.process.returncode == 0 and "Traceback" not in log
    assert where not in ("Sidecar.join_fleet", "Sidecar.listen") or "shutdown: drained" in log


@pytest.mark.parametrize("setting", ["listen", "peer_listen"])
def test_start_waits_for_an_address_in_use(start_program: StartProgram, setting: str) -> None:
    where = unused_address()
    kind = socket.SOCK_STREAM if setting == "listen" else socket.SOCK_DGRAM
    holder = socket.socket(socket.AF_INET, kind)
    holder.bind(where)
    if setting == "listen":
        holder.listen()
    address = f"127.0.0.1:{where[1]}"
    settings = {**PLATFORM_SETTINGS, "policy_limits": {**PLATFORM_SETTINGS["policy_limits"], "peers": True}}
    own = f"127.0.0.1:{unused_address()[1]}" if setting == "listen" else address
    program = start_program(
        server_list(StandInServer()),
        settings=settings,
        peer_listen=own,
        peers=[own],
        peers_all="127.0.0.1:9",
        **({"listen": address} if setting == "listen" else {}),
    )
    program.next_log_line("is in use; retrying")
    holder.close()
    program.address = where if setting == "listen" else program.address
    assert program.open_request().read_line() == "UP r1"


def test_drain_is_followed_though_idle_clients_fill_the_descriptors(
    start_program: StartProgram,
) -> None:
    one = StandInServer()
    other = StandInServer("UP r2")
    low_limit = "import resource\nresource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))"
    program = start_program(server_list(one, other), limits={"sockets": 64}, patch=low_limit)
    program.discovery.requests.get(timeout=15)  # not answered, as if discovery were down
    idle_clients = [program.connect() for _ in range(150)]
    for _ in range(3):
        program.discovery.requests.get(timeout=15)
    idle_clients += [program.connect() for _ in range(150)]
    _, watch = program.discovery.accept_watch()
    StandInDiscovery.send_text(watch, json.dumps(endpoint_list(42, False, s0=(one.address, "draining"))))
    started_at = time.monotonic()
    while (
        program.open_request("ab").read_line() != "UP r2" or program.open_request("cd").read_line() != "UP r2"
    ):
        assert time.monotonic() < started_at + 3.0
    assert "fault" not in program.stop()


def test_probes_leave_descriptors_for_requests(start_program: StartProgram) -> None:
    server = StandInServer()
    limits = {**PLATFORM_SETTINGS["policy_limits"], "may_probe": True}
    program = start_program(
        endpoint_list(41, True, **{f"s{n}": server.address for n in range(70)}),
        limits={"sockets": 64},
        settings={**PLATFORM_SETTINGS, "az": "a", "policy_limits": limits},
    )
    ends_at = time.monotonic() + 2.5  # seconds in which all servers would be probed
    answers: list[str] = []
    while time.monotonic() < ends_at:
        client = program.open_request()
        answers.append(client.read_line())
        with suppress(OSError):
            client.close()
    assert set(answers) == {"UP r1"}


def test_shutdown_waits_for_clients_that_read_their_answer(start_program: StartProgram) -> None:
    program = start_ready(start_program, StandInServer(), patch=LONG_LINGER)
    invalid_client = program.connect("frob")
    assert invalid_client.read_line() == "ERR"
    program.process.send_signal(signal.SIGTERM)
    with pytest.raises(subprocess.TimeoutExpired):
        program.process.wait(1.2)  # no other client is left, and new ones are accepted for 0.5 s only
    invalid_client.close()
    assert program.process.wait(TEST_TIMEOUT) == 0


def test_nine_in_ten_of_thirty_processes_started_at_once_are_ready_in_time(tmp_path: Path) -> None:
    server = StandInServer()
    programs = list[Program]()
    started_at = time.monotonic()
    try:
        for n in range(30):
            (tmp_path / str(n)).mkdir()
            # Discovery accepts requests and sends no list.
            programs.append(Program(tmp_path / str(n), server_list(server)))
        in_time = 0
        for program in programs:
            while (answers := program.connect("PING").read_line()) != "PONG":
                assert answers == "NO"
            in_time += time.monotonic() < started_at + 10.0
        assert in_time >= 27  # the operators ask for nine in ten within 10 s
    finally:
        for program in programs:
            program.process.kill()
            program.process.wait()


def test_shutdown_answers_a_resumed_session_whose_server_hangs(start_program: StartProgram) -> None:
    silent = StandInServer(None)
    program = start_program(endpoint_list(41, True, s0=silent.address))
    client = program.open_request(extra_fields=",at=s0")
    silent.next_opening()
    started_at = time.monotonic()
    program.process.send_signal(signal.SIGTERM)
    assert client.read_line() == "FAIL"
    assert program.process.wait(TEST_TIMEOUT) == 0
    assert time.monotonic() - started_at < 3.7


LONG_ANSWER_LINGER = override("brambleplank.frontends.line.client_connections:LINGER_TIMEOUT", 9)
SCHEDULING_MARGIN = 1.5  # seconds, on a busy machine


def test_attempt_ends_with_the_answer_to_its_resumed_session(start_program: StartProgram) -> None:
    # Guards against an attempt that stays at its server after the client was told FAIL.
    silent = StandInServer(None)
    program = start_program(endpoint_list(41, True, s0=silent.address), patch=LONG_ANSWER_LINGER)
    client = program.open_request(extra_fields=",at=s0")
    _, attempt = silent.next_opening()
    program.process.send_signal(signal.SIGTERM)
    assert client.read_line() == "FAIL"
    assert attempt.is_closed(0.3) and program.process.poll() is None


def test_shutdown_waits_no_longer_than_its_grace_for_clients_to_read(start_program: StartProgram) -> None:
    # Guards against a shutdown that waits for the end of an answered client's connection.
    silent = StandInServer(None)
    program = start_program(endpoint_list(41, True, s0=silent.address), patch=LONG_ANSWER_LINGER)
    client = program.open_request(extra_fields=",at=s0")
    silent.next_opening()
    program.process.send_signal(signal.SIGTERM)
    assert client.read_line() == "FAIL"
    answered_at = time.monotonic()
    program.next_log_line("shutdown: drained")
    assert time.monotonic() - answered_at < READ_GRACE + SCHEDULING_MARGIN


FAILING_FIRST_CONNECTION = """
from brambleplank.frontends.line import client_connections
begin, raised = client_connections.LineClientConnection.connectionMade, []
def once(self):
    if not raised:
        raised.append(True)
        raise OSError(107, "not connected")
    begin(self)
client_connections.LineClientConnection.connectionMade = once
"""


def test_connection_that_fails_at_its_begin_costs_no_other(start_program: StartProgram) -> None:
    program = start_program(
        endpoint_list(41, True, s0=StandInServer().address), patch=FAILING_FIRST_CONNECTION
    )
    first = program.connect()
    assert first.read_line() in ("", "reset")
    assert [program.open_request(f"{key:x}").read_line() for key in range(20)] == ["UP r1"] * 20
    assert "fault OSError" in program.stop()


def test_reload_with_an_address_in_use_blocks_no_client(start_program: StartProgram) -> None:
    limits = {**PLATFORM_SETTINGS["policy_limits"], "peers": True}
    holder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    holder.bind(("127.0.0.1", 0))
    peer_address = f"127.0.0.1:{holder.getsockname()[1]}"
    program = start_program(
        endpoint_list(41, True, s0=StandInServer().address),
        peer_listen=peer_address,
        peers=["127.0.0.1:9", "127.0.0.1:10"],
        peers_all="127.0.0.1:10",
        settings={**PLATFORM_SETTINGS, "balancers": 2},
    )
    assert program.open_request().read_line() == "UP r1"
    started_at = time.monotonic()
    program.reload(settings={**PLATFORM_SETTINGS, "balancers": 2, "policy_limits": limits})
    assert program.open_request().read_line() == "UP r1"
    assert time.monotonic() - started_at < 2.0
    program.next_log_line("reload: peer_listen")
    holder.close()
