"""Upgrades whose new process is held up, stopped or killed while connections are in transit to it."""

from __future__ import annotations

import os
import signal
import threading
import time

import pytest

from tests.programs import Program
from tests.stand_ins import LineConnection, StandInServer
from tests.test_operating import send_command, settings_with
from tests.test_upgrade import LONG_DEADLINES, LONG_FIRST_LINE_TIMEOUTS, StartProgram, first, wait_until_ready

SESSIONS = 24  # more than may be in transit at once
HOLD_UP = 0.5  # seconds; longer than the 0.15 s of the pages, and less than the wait for an acknowledgement
SHORT_DEADLINES = {"setup_target_us": 1_000_000, "deadline_us": 1_800_000}
MAX_STOP_TIME = 1.8 + 0.7  # seconds from SIGTERM to SIGKILL: the longest deadline, and 0.7 s

# The new process sends itself a signal when it is about to adopt a connection, or has just done so.
SIGNAL_AT_STEP = """
import os, signal
from brambleplank.platform.connection_transfer import ConnectionTransfer
adopt = ConnectionTransfer.adopt
seen = []
def adopt_and_signal(self, channel, message):
    seen.append(message)
    if {before}:
        adopt(self, channel, message)
    if len(seen) == {number}:
        os.kill(os.getpid(), signal.{signal})
    if not {before}:
        adopt(self, channel, message)
ConnectionTransfer.adopt = adopt_and_signal
"""


def signal_at(number: int, signal_name: str, before: bool = False) -> str:
    """Returns a patch that sends a signal at one connection, before it is acknowledged or after."""
    return LONG_FIRST_LINE_TIMEOUTS + SIGNAL_AT_STEP.format(
        number=number, signal=signal_name, before=not before
    )


class Reader(threading.Thread):
    """A client that reads one line and then closes its connection."""

    def __init__(self, client: LineConnection) -> None:
        super().__init__(daemon=True)
        self.client = client
        self.line: str | None = None
        self.start()

    def run(self) -> None:
        self.line = self.client.read_line()
        self.client.close(reset=self.line != "MOVE")


def start_ready(start_program: StartProgram, deadlines: dict[str, int]) -> tuple[Program, StandInServer]:
    """Starts a process with one server."""
    server = StandInServer()
    settings = settings_with(feed=deadlines)
    program = first(start_program, server, settings=settings, patch=LONG_FIRST_LINE_TIMEOUTS)
    return wait_until_ready(program), server


def start_with_sessions(start_program: StartProgram) -> tuple[Program, list[LineConnection]]:
    """Starts a process with established sessions."""
    program, _ = start_ready(start_program, SHORT_DEADLINES)
    clients = [program.open_request(f"{key:x}") for key in range(SESSIONS)]
    assert {client.read_line() for client in clients} == {"UP r1"}
    return program, clients


def stop_in_time(program: Program) -> str:
    """Stops a process with SIGTERM, and checks that it ends by itself before it would be killed."""
    begun = time.monotonic()
    log = program.stop()
    assert program.process.returncode == 0 and time.monotonic() < begun + MAX_STOP_TIME, log
    return log


def resume_later(process_id: int, delay: float) -> None:
    """Lets a stopped process go on after a delay."""
    threading.Timer(delay, os.kill, [process_id, signal.SIGCONT]).start()


@pytest.mark.parametrize("sessions", [2, 6, SESSIONS])
def test_no_session_is_lost_if_the_new_process_is_held_up_during_the_handoff(
    start_program: StartProgram, sessions: int
) -> None:
    # Guards against an old process that ends when it has sent its last connection: the new one, held up,
    # could not acknowledge what it then read, and the kernel closed the connections behind it.
    program, server = start_ready(start_program, LONG_DEADLINES)
    server.answer = None
    clients = [program.open_request(f"{key:x}", deadline_ms=30_000) for key in range(sessions)]
    there = {opening.split(" ")[2]: line for opening, line in (server.next_opening() for _ in clients)}
    new = wait_until_ready(program.upgrade(patch=LONG_FIRST_LINE_TIMEOUTS))
    program.process.send_signal(signal.SIGTERM)
    program.next_log_line("shutdown: requested")
    os.kill(new.process.pid, signal.SIGSTOP)
    resume_later(new.process.pid, HOLD_UP)
    for line in there.values():
        line.send_line("UP late")
        send_command(program, "/-/ready", "GET")  # answered once the line was read, so each is sent by itself
    for key, client in enumerate(clients):
        assert client.read_line() == "UP late"
        client.send_line("M 1")
        assert there[f"{key:x}"].read_line() == "M 1"
        there[f"{key:x}"].send_line("M 1")
        assert client.read_line() == "M 1"
    program.remaining_log()
    assert program.process.returncode == 0


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("number", [1, 8])
def test_sessions_are_moved_in_time_if_the_new_process_is_stopped_during_the_handoff(
    start_program: StartProgram, number: int, before: bool
) -> None:
    # Guards against connections that nobody answers while the new process is stopped.
    program, clients = start_with_sessions(start_program)
    new = wait_until_ready(program.upgrade(patch=signal_at(number, "SIGSTOP", before)))
    readers = [Reader(client) for client in clients]
    log = stop_in_time(program)
    assert "the next process does not answer" in log and "fault" not in log
    adopted = number - before
    moved = [reader for reader in readers if not reader.is_alive()]
    assert [reader.line for reader in moved] == ["MOVE"] * (SESSIONS - adopted)
    os.kill(new.process.pid, signal.SIGCONT)  # it finds the connections that were taken back at their end
    assert program.open_request("ab").read_line() == "UP r1"
    assert sum(reader.is_alive() for reader in readers) == adopted
    assert "fault" not in new.stop()


def test_sessions_are_moved_if_the_new_process_is_stopped_before_the_handoff(
    start_program: StartProgram,
) -> None:
    # Guards against the same for a process that reads nothing of the transfer.
    program, clients = start_with_sessions(start_program)
    pending = program.connect()
    pending.socket.sendall(b"OPEN 1a 7f c=fe")
    new = wait_until_ready(program.upgrade())
    os.kill(new.process.pid, signal.SIGSTOP)
    readers = [Reader(client) for client in [*clients, pending]]
    stop_in_time(program)
    assert [reader.line for reader in readers] == ["MOVE"] * SESSIONS + ["BUSY"]
    os.kill(new.process.pid, signal.SIGCONT)


@pytest.mark.parametrize("before", [True, False])
def test_connections_in_transit_are_moved_if_the_new_process_dies_during_the_handoff(
    start_program: StartProgram, before: bool
) -> None:
    # Guards against connections in transit that are closed when the process dies that they were sent to.
    program, clients = start_with_sessions(start_program)
    wait_until_ready(program.upgrade(patch=signal_at(1, "SIGKILL", before)))
    readers = [Reader(client) for client in clients]
    assert "end moved" in stop_in_time(program)
    lines = [reader.line for reader in readers]
    assert lines.count("MOVE") >= SESSIONS - (not before) and set(lines) <= {"MOVE", "", "reset"}
