"""A process that is stopped for a moment does not take its own stall for slowness of servers."""

from __future__ import annotations

import os
import signal
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

from brambleplank.net.message_times import MessageTimes
from tests.sample_settings import DECODED_SETTINGS
from tests.stand_ins import StandInServer
from tests.test_sockets import StartProgram, server_list

SESSIONS = 8
STALLS = 4
STALL_TIME = 0.5  # seconds; the message latency objective is 0.3 s


def test_lines_answered_during_a_stall_move_no_session(start_program: StartProgram) -> None:
    # Guards against sessions that are moved off a healthy server: the check of unanswered lines ran before
    # the answers were read that had arrived while this process was stopped.
    server = StandInServer()
    program = start_program(server_list(server))
    clients = [program.open_request(f"{key:x}") for key in range(SESSIONS)]
    assert {client.read_line() for client in clients} == {"UP r1"}
    there = {opening.split(" ")[2]: line for opening, line in (server.next_opening() for _ in clients)}
    for _ in range(STALLS):
        for key, client in enumerate(clients):
            client.send_line("M 1")
            assert there[f"{key:x}"].read_line() == "M 1"
        os.kill(program.process.pid, signal.SIGSTOP)
        os.waitid(os.P_PID, program.process.pid, os.WSTOPPED | os.WNOWAIT)
        for line in there.values():
            line.send_line("M 1")
        assert not clients[0].is_closed(within=STALL_TIME)
        os.kill(program.process.pid, signal.SIGCONT)
        assert [client.read_line() for client in clients] == ["M 1"] * SESSIONS
        assert not any(client.is_closed(within=0.02) for client in clients)
    assert "end moved" not in program.kept_log()


def test_line_of_an_adopted_session_counts_once_its_socket_was_read() -> None:
    # Guards against sessions that are moved as they are adopted: their answers wait in their sockets, and the
    # check of unanswered lines ran before those were read for the first time.
    reported: list[float] = []
    balancer: Any = SimpleNamespace(
        servers={}, session_silent=lambda _now, _request, waited: reported.append(waited)
    )
    clock: Any = SimpleNamespace(now=lambda: 10.0, call_after_reads=lambda *_: None)
    adopted: Any = Mock(endpoint="s0", ended=False, unanswered_since=7.0)
    client: Any = SimpleNamespace(established_upstream=adopted, request=object())
    message_times = MessageTimes(clock, DECODED_SETTINGS, balancer, [client])
    assert message_times.longest_waits(10.0) == {} and not reported
    assert message_times.longest_waits(10.1) == {"s0": 10.1 - 7.0} and reported
    adopted.unanswered_since = 0.0  # answered
    assert message_times.longest_waits(10.2) == {}
    adopted.unanswered_since = 10.2
    assert message_times.longest_waits(10.3) == {}
