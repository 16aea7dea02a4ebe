"""Faults of the machine against the real program: wall clock steps and failing system calls."""

from __future__ import annotations

import errno
import json
import re
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from brambleplank.net.fleet_link import FleetDatagramProtocol
from tests.faults import FaultInjector
from tests.ports import unused_address
from tests.programs import Program, start_process
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import StandInDiscovery, StandInServer
from tests.test_operating import send_command, start_operable_program
from tests.waiting import TEST_TIMEOUT

StartProgram = Callable[..., Program]
HOUR = 3600.0
REQUESTS = 90
REQUESTS_PER_SECOND = 45


def complete_list(servers: list[StandInServer], **changes: Any) -> dict[str, Any]:
    return endpoint_list(41, True, **{f"s{i}": server.address for i, server in enumerate(servers)})


def first_replies(program: Program, count: int, interval: float = 0.0) -> list[str]:
    """Opens requests one after another, each on a new connection; returns the first line of each reply."""
    pause = threading.Event()
    replies = []
    for number in range(count):
        client = program.open_request(key=f"{number:x}")
        replies.append(client.read_line())
        client.socket.close()
        pause.wait(interval)
    return replies


@pytest.mark.parametrize("step", [-HOUR, -5.0, 5.0, HOUR])
def test_wall_clock_step_does_not_affect_deadlines(
    start_program: StartProgram, tmp_path: Path, step: float
) -> None:
    faults = FaultInjector(tmp_path)
    silent_server = StandInServer(None)
    program = start_program(complete_list([silent_server]), patch=faults.patch)
    client = program.open_request(traffic_class="order", deadline_ms=900)
    silent_server.next_opening()
    started_at = time.monotonic()
    faults.set(program.process, wall=step)
    assert client.read_line() == "FAIL"
    assert 0.2 < time.monotonic() - started_at < 1.4


@pytest.mark.parametrize(
    "initial_step, later_step", [(0.0, 0.0), (HOUR, HOUR), (0.0, -HOUR), (-HOUR, -HOUR), (0.0, HOUR)]
)
def test_wall_clock_step_does_not_bypass_slow_start(
    start_program: StartProgram, tmp_path: Path, initial_step: float, later_step: float
) -> None:
    faults = FaultInjector(tmp_path, wall=initial_step)
    servers = [StandInServer() for _ in range(5)]
    rules = {**PLATFORM_SETTINGS["rules"], "overload_factor": 1.5, "cold_from": 0.1}
    settings = {**PLATFORM_SETTINGS, "rules": rules}
    program = start_program(complete_list(servers[:4]), patch=faults.patch, settings=settings)
    watch_request, watch = program.discovery.accept_watch()
    faults.set(program.process, wall=later_step)
    change = endpoint_list(42, False, s4=servers[4].address)
    # If the clock is stepped while the process runs, it is stepped on the machine that reports the start too.
    change["hosts"][0]["born_ms"] = round((time.time() + later_step - initial_step) * 1000)
    StandInDiscovery.send_text(watch, json.dumps(change))
    started_at = time.monotonic()
    replies = first_replies(program, REQUESTS, 1 / REQUESTS_PER_SECOND)
    duration_factor = max(
        1.0, (time.monotonic() - started_at) * REQUESTS_PER_SECOND / REQUESTS
    )  # on a busy machine
    assert {answer.split(" ")[0] for answer in replies} == {"UP"}
    # A warmed-up server gets a fifth of the requests; one in slow start sustains 0.15 to 0.3 of that here.
    assert 0 < servers[4].opening_count <= 0.4 * REQUESTS / 5 * duration_factor


def test_connections_wait_in_the_kernel_while_accept_fails(
    start_program: StartProgram, tmp_path: Path
) -> None:
    faults = FaultInjector(tmp_path)
    program = start_program(complete_list([StandInServer(), StandInServer()]), patch=faults.patch)
    assert first_replies(program, 1) == ["UP r1"]
    for name in ("EMFILE", "ENFILE", "ENOBUFS", "ECONNABORTED"):
        faults.set(program.process, fail={"accept": (0.5, name)})
        assert first_replies(program, 25) == ["UP r1"] * 25, name
    faults.set(program.process)
    assert "fault" not in program.stop()


@pytest.mark.parametrize("name", ["ENOBUFS", "ENFILE", "EMFILE"])
def test_start_survives_a_transient_socket_failure(
    start_program: StartProgram, tmp_path: Path, name: str
) -> None:
    faults = FaultInjector(tmp_path, fail={"socket": (0.7, name)})
    limits = {**PLATFORM_SETTINGS["policy_limits"], "peers": True}
    operator_address = ":".join(map(str, unused_address()))
    program = start_program(
        complete_list([StandInServer()]),
        patch=faults.patch,
        settings={**PLATFORM_SETTINGS, "balancers": 2, "policy_limits": limits},
        peer_listen=":".join(map(str, unused_address())),
        peers=["127.0.0.1:9", "127.0.0.1:10"],
        peers_all="127.0.0.1:10",
        mgmt=operator_address,
    )
    assert program.open_request().read_line() == "UP r1"
    assert send_command(program, "/-/ready", "GET") == 200


def bind_peer_socket() -> tuple[socket.socket, str]:
    """Binds the datagram socket of another proxy. Returns it and its address."""
    peer_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peer_socket.bind(("127.0.0.1", 0))
    peer_socket.settimeout(TEST_TIMEOUT)
    return peer_socket, f"127.0.0.1:{peer_socket.getsockname()[1]}"


@pytest.mark.parametrize("name", ["ENETUNREACH", "ENOBUFS", "EPERM"])
def test_unsent_datagram_does_not_affect_others(
    start_program: StartProgram, tmp_path: Path, name: str
) -> None:
    faults = FaultInjector(tmp_path)
    server = StandInServer()
    peer_socket, address = bind_peer_socket()
    limits = {**PLATFORM_SETTINGS["policy_limits"], "peers": True, "may_probe": True}
    program = start_program(
        complete_list([server]),
        patch=faults.patch,
        settings={**PLATFORM_SETTINGS, "balancers": 2, "policy_limits": limits},
        peer_listen=":".join(map(str, unused_address())),
        peers=["127.0.0.1:9", address],
        peers_all=address,
    )
    assert first_replies(program, 1) == ["UP r1"] and peer_socket.recv(300)
    faults.set(program.process, fail={"sendto": (1.0, name)})
    assert name in program.next_log_line("machine: sendto failed")
    assert first_replies(program, 3) == ["UP r1"] * 3
    faults.set(program.process)
    peer_socket.setblocking(False)
    with suppress(BlockingIOError):
        while peer_socket.recv(300):
            pass
    peer_socket.settimeout(TEST_TIMEOUT)
    assert peer_socket.recv(300)
    assert "fault " not in program.stop()
    peer_socket.close()


def test_unreachable_member_does_not_keep_datagrams_from_others() -> None:
    addresses = (("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1))
    recipients: list[object] = []

    def write(data: bytes, address: object) -> None:
        if address == addresses[1]:
            raise OSError(errno.EHOSTUNREACH, "no route")
        recipients.append(address)

    datagrams = FleetDatagramProtocol(addresses, 0)
    datagrams.transport = SimpleNamespace(write=write)
    datagrams.send(b"all", None)
    assert recipients == [addresses[2]]


@pytest.mark.parametrize(
    "call, name",
    [("connect", "EADDRNOTAVAIL"), ("connect", "ENETUNREACH"), ("connect", "ENOBUFS"), ("socket", "ENFILE")],
)
def test_local_connect_failure_is_no_evidence_against_servers(
    start_program: StartProgram, tmp_path: Path, call: str, name: str
) -> None:
    faults = FaultInjector(tmp_path)
    program = start_program(complete_list([StandInServer() for _ in range(4)]), patch=faults.patch)
    assert first_replies(program, 1) == ["UP r1"]
    faults.set(program.process, fail={call: (0.5, name)})
    assert first_replies(program, 60) == ["UP r1"] * 60
    faults.set(program.process, fail={call: (1.0, name)})
    client = program.open_request(traffic_class="order", deadline_ms=1500)
    assert name in program.next_log_line(f"machine: {call} failed")
    faults.set(program.process)
    assert client.read_line() == "UP r1"
    assert " ejected: " not in program.stop()


def test_lasting_local_fault_is_answered_in_time_with_bounded_retries(
    start_program: StartProgram, tmp_path: Path
) -> None:
    faults = FaultInjector(tmp_path)
    server = StandInServer()
    program = start_program(complete_list([server]), patch=faults.patch)
    assert first_replies(program, 1) == ["UP r1"]
    faults.set(program.process, fail={"connect": (1.0, "EADDRNOTAVAIL")})
    started_at = time.monotonic()
    client = program.open_request(traffic_class="order", deadline_ms=900)
    assert client.read_line().startswith("BUSY")
    assert time.monotonic() - started_at < 0.95
    ended = program.next_log_line("end rejected")
    assert int(re.findall(r"connects=(\d+)", ended)[0]) <= 20
    assert " ejected: " not in program.stop()


def test_command_that_cannot_be_persisted_is_reported_and_written_later(
    start_program: StartProgram, tmp_path: Path
) -> None:
    first_server = StandInServer("UP one")
    other_server = StandInServer("UP other")
    program = start_operable_program(start_program, first_server, other_server)
    assert send_command(program, "/-/ready", "GET") == 200
    rotation_path = next(tmp_path.glob("*.sock")).with_suffix(".words")
    blocking_directory = Path(f"{rotation_path}.{program.process.pid}.new")
    blocking_directory.mkdir()
    assert send_command(program, "/-/servers/s0/disable") == 503  # applied, but lost on a restart
    blocking_directory.rmdir()
    program.next_log_line("operator: written")
    assert send_command(program, "/-/servers/s0/disable") == 200
    program.process.kill()
    program.process.wait()
    program.process = start_process(program.config_path)
    program.log_lines = []
    assert {program.open_request(f"{key:x}").read_line() for key in range(16)} == {"UP other"}


def test_broken_connection_is_logged_with_its_error(start_program: StartProgram, tmp_path: Path) -> None:
    faults = FaultInjector(tmp_path)
    program = start_program(complete_list([StandInServer()]), patch=faults.patch)
    client = program.open_request()
    assert client.read_line() == "UP r1"
    faults.set(program.process, fail={"recv": (1.0, "ETIMEDOUT")}, times=1)
    client.send_line("M 1")
    assert "why=ETIMEDOUT" in program.next_log_line("end reset")


def test_server_start_by_a_slow_clock_is_not_before_the_last_list_without_it(
    start_program: StartProgram,
) -> None:
    program = start_program(complete_list([StandInServer()]))
    _, watch = program.discovery.accept_watch()
    for number, lag in (
        (1, 0.0),
        (2, HOUR),
    ):  # the first, by a clock that is right, proves nothing of the next
        change = endpoint_list(41 + number, False, **{f"s{number}": StandInServer().address})
        change["hosts"][0]["born_ms"] = round((time.time() - lag) * 1000)
        StandInDiscovery.send_text(watch, json.dumps(change))
        assert f"server: s{number} ready, started 0." in program.next_log_line(f"server: s{number}")
