"""Tests of ids that come again: a request that may have run is never sent to a server a second time."""

from __future__ import annotations

import signal
import socket
from contextlib import closing
from types import SimpleNamespace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from brambleplank.frontends.line.client_connections import LineClientConnection
from brambleplank.net.admission import ID_LIFETIME, MAX_IDS, ConnectionAdmission, IdStatus
from tests.overrides import override
from tests.stand_ins import StandInServer
from tests.test_sockets import StartProgram, server_list
from tests.test_upgrade import first, wait_until_ready

CLIENT: Any = object()
SMALL_TABLE = override("brambleplank.net.admission:MAX_IDS", 4)


class IdTable:
    """An admission on a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 1000.0
        clock: Any = SimpleNamespace(now=lambda: self.now)
        self.admission = ConnectionAdmission(clock, descriptors=256)

    def open(self, request_id: str) -> IdStatus:
        return self.admission.request_opened(CLIENT, request_id)

    def play(self, request_id: str, was_attempted: bool = True) -> IdStatus:
        """Opens a request and ends it at once."""
        status = self.open(request_id)
        if status is IdStatus.ACCEPTED:
            self.admission.request_ended(request_id, was_attempted)
        return status


def test_id_is_refused_for_its_whole_lifetime_whatever_comes_meanwhile() -> None:
    # Guards against a request that runs twice, as its id was forgotten behind 8,192 others.
    table = IdTable()
    assert table.play("first") is IdStatus.ACCEPTED
    for number in range(20_000):
        table.now += 0.9 * ID_LIFETIME / 20_000
        assert table.play(f"{number:x}") is IdStatus.ACCEPTED
        assert number % 500 or table.open("first") is IdStatus.DUPLICATE
    table.now = 1000.0 + ID_LIFETIME
    assert table.open("first") is IdStatus.ACCEPTED


def test_full_table_turns_new_requests_away_and_forgets_no_id() -> None:
    # Guards against the same at any other bound of the table.
    table = IdTable()
    for number in range(MAX_IDS):
        assert table.play(f"{number:x}") is IdStatus.ACCEPTED
    assert table.play("one-more") is IdStatus.TABLE_FULL
    assert table.open("0") is IdStatus.DUPLICATE
    assert len(table.admission.recent_ids) == MAX_IDS
    table.now += ID_LIFETIME
    assert table.play("one-more") is IdStatus.ACCEPTED
    assert len(table.admission.recent_ids) == 1


def test_requests_without_an_attempt_take_no_room() -> None:
    # Guards against a flood of requests that are turned away and push out the ids of those that ran.
    table = IdTable()
    table.play("ran")
    for number in range(MAX_IDS + 10):
        assert table.play(f"{number:x}", was_attempted=False) is IdStatus.ACCEPTED
    assert table.open("ran") is IdStatus.DUPLICATE
    assert len(table.admission.recent_ids) == 1


ID_EVENTS = st.lists(
    st.tuples(st.sampled_from(["a", "b", "c", "d"]), st.sampled_from(["play", "reserve"]), st.floats(0, 40)),
    max_size=40,
)


@given(ID_EVENTS)
def test_ids_are_free_just_when_their_last_lifetime_has_passed(events: list[tuple[str, str, float]]) -> None:
    # Guards against an id that is released again, keeps its place and holds up or loses the ones behind it.
    table = IdTable()
    free_at: dict[str, float] = {}
    for request_id, event, pause in events:
        table.now += pause
        is_free = table.now >= free_at.get(request_id, 0.0)
        if event == "reserve":
            table.admission.reserve_ids([request_id])
        else:
            assert table.play(request_id) is (IdStatus.ACCEPTED if is_free else IdStatus.DUPLICATE)
        if event == "reserve" or is_free:
            free_at[request_id] = table.now + ID_LIFETIME
    table.open("last")
    assert set(table.admission.recent_ids) == {each for each, end in free_at.items() if table.now < end}


def test_request_at_a_full_table_is_answered_busy_and_reaches_no_server(start_program: StartProgram) -> None:
    # Guards against a full table that fails requests, or serves them without keeping their ids.
    server = StandInServer()
    program = start_program(server_list(server), patch=SMALL_TABLE)
    for _ in range(4):
        client = program.open_request()
        assert client.read_line() == "UP r1"
        client.close()
    assert program.open_request().read_line() == "BUSY"
    again = program.connect(f"OPEN {program.request_id(1)} 7f c=feed,t=acme,d=900")
    assert again.read_line() == "ERR"
    assert server.opening_count == 4
    assert "end id_limit " in program.stop()


def test_client_that_has_left_is_seen_behind_bytes_that_are_not_read_yet() -> None:
    # Guards against an attempt for a client that closed its connection with much still unread.
    with closing(socket.create_server(("127.0.0.1", 0))) as listener:
        peer = socket.create_connection(listener.getsockname())
        with closing(listener.accept()[0]) as accepted:
            client = LineClientConnection(SimpleNamespace())  # type: ignore[arg-type]
            client.transport = SimpleNamespace(socket=accepted, disconnected=False)
            peer.sendall(b"x" * 20_000)
            assert not client.has_ended()
            peer.close()
            assert client.has_ended()


def test_id_of_a_request_that_is_out_at_the_old_process_is_refused_by_the_next(
    start_program: StartProgram,
) -> None:
    # Guards against an id that runs twice, at the two processes of an upgrade.
    server = StandInServer(answer=None)
    program = first(start_program, server)
    wait_until_ready(program)
    client = program.open_request()
    _, server_side = server.next_opening()
    successor = wait_until_ready(program.upgrade())
    again = successor.connect(f"OPEN {program.request_id(1)} 7f c=feed,t=acme,d=900")
    assert again.read_line() == "ERR"
    program.process.send_signal(signal.SIGTERM)
    again = successor.connect(f"OPEN {program.request_id(1)} 7f c=feed,t=acme,d=900")
    assert again.read_line() == "ERR" and server.opening_count == 1
    server_side.send_line("UP r1")
    assert client.read_line() == "UP r1"
    program.remaining_log()
    again = successor.connect(f"OPEN {program.request_id(1)} 7f c=feed,t=acme,d=900")
    assert again.read_line() == "ERR" and server.opening_count == 1
