"""Tests of requests that come behind a crowd of idle clients, while sessions hold many descriptors."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import pytest

from brambleplank.net.admission import IDLE_GRACE, ConnectionAdmission
from tests.flood import Flood, Kind
from tests.stand_ins import StandInServer
from tests.test_sockets import StartProgram, server_list

DESCRIPTORS = 128
STANDING_SESSIONS = 37  # clients may hold a third of the descriptors
IDLE_CLIENTS = 900  # fewer than the kernel's queue holds
CROWD_TIME = 20.0  # seconds after which the crowd ends by itself
LATEST_ANSWER = (
    1.8 + 0.5 + 0.05
)  # seconds: the class's deadline, half a second more, and the slack on sockets


class WaitingClient:
    """A client without a complete line."""

    def __init__(self, has_unread_line: bool = False) -> None:
        self.is_line_unread = has_unread_line
        self.evicted = False

    def has_unread_line(self) -> bool:
        return self.is_line_unread

    def evict(self, others_wait: bool = False) -> None:
        self.evicted = True


def test_time_in_the_queue_counts_and_a_line_that_has_arrived_is_read() -> None:
    # Guards against a crowd whose clients are waited for once more each, and against requests that are
    # turned away unread with it.
    clock: Any = SimpleNamespace(now=lambda: 1000.0, call_after_reads=lambda *_: None)
    admission = ConnectionAdmission(clock, DESCRIPTORS)
    admission.descriptors_changed(DESCRIPTORS)
    clients: list[Any] = [WaitingClient(), WaitingClient(), WaitingClient(has_unread_line=True)]
    for client, queue_time in zip(clients, (0.0, 2 * IDLE_GRACE, 2 * IDLE_GRACE), strict=True):
        admission.pending.clear()
        admission.client_connected(client, queue_time)
    assert [client.evicted for client in clients] == [False, True, False]


@pytest.mark.parametrize("kind", [Kind.IDLE, Kind.STAYING])
def test_requests_behind_a_crowd_of_idle_clients_are_answered_in_time(
    start_program: StartProgram, kind: Kind
) -> None:
    # Guards against requests that wait in the kernel's queue for longer than their clients do.
    program = start_program(server_list(StandInServer(), StandInServer()), limits={"sockets": DESCRIPTORS})
    sessions = [program.open_request(f"{key:x}") for key in range(STANDING_SESSIONS)]
    assert {session.read_line() for session in sessions} == {"UP r1"}
    with Flood("clients", kind, IDLE_CLIENTS, CROWD_TIME, ":".join(map(str, program.address))) as crowd:
        assert crowd.first_line() == IDLE_CLIENTS
        for key in range(3):
            sent_at = time.monotonic()
            client = program.open_request(f"{key:x}")
            client.read_line()  # an answer, or the end: in a crowd, a connection may be shut unread
            assert time.monotonic() < sent_at + LATEST_ANSWER
            client.close()
    log = program.stop()
    assert "violation of" not in log and log.count("end moved") == STANDING_SESSIONS
