"""Tests of clients and servers that send at full speed: others are answered in time."""

from __future__ import annotations

import threading
import time
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.protocols.basic import LineReceiver

from brambleplank.frontends.line.client_connections import MAX_PINGS_PER_PASS, LineClientConnection
from brambleplank.frontends.line.session_lines import MAX_LINE_SIZE, last_line, split_data
from brambleplank.frontends.line.upstream_connections import LineUpstreamConnection
from brambleplank.net.buffers import BUFFER_SIZE
from tests.flood import SHORT_LINES, Flood, Kind
from tests.programs import Program
from tests.sample_settings import endpoint_list
from tests.test_sockets import StartProgram

LATENCY_OBJECTIVE = 0.3  # seconds; of the class `feed`
DEADLINE = 1.8  # seconds; of the same class
SHARE_IN_TIME = 0.9  # of the requests beside a flood
REQUEST_COUNT = 40
REQUEST_INTERVAL = 0.05  # seconds
FLOOD_TIME = 20.0  # seconds after which a flood ends by itself

LINE_BYTES = st.lists(st.sampled_from([b"\r\n", b"\r", b"\n", b"x", b"ab" * 900, b"y" * 4093]), max_size=60)


class ReferenceReceiver(LineReceiver):
    """Splits lines one by one, as Twisted does."""

    MAX_LENGTH = MAX_LINE_SIZE - 2

    def __init__(self) -> None:
        self.lines = b""
        self.overlong: bytes | None = None

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        self.lines += line + b"\r\n"

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.overlong = line
        self.setRawMode()  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Drops what follows."""


@given(LINE_BYTES)
def test_data_is_split_at_the_same_places_as_line_by_line(parts: list[bytes]) -> None:
    # Guards against lines that are cut, lost or too long once whole pieces are forwarded.
    data = b"".join(parts)
    reference = ReferenceReceiver()
    reference.dataReceived(data)  # type: ignore[no-untyped-call]
    split = split_data(data)
    assert split.whole_lines == reference.lines
    assert split.is_overlong == (reference.overlong is not None)
    assert split.whole_lines + split.rest == data
    if split.whole_lines:
        assert last_line(split.whole_lines) == split.whole_lines.split(b"\r\n")[-2]


def established_client(forwarded: list[bytes]) -> LineClientConnection:
    """Returns a client whose session forwards its data to a list."""
    client = LineClientConnection(SimpleNamespace())  # type: ignore[arg-type]
    client.opening_line = b"OPEN"
    client.transport = SimpleNamespace(registerProducer=lambda *_: None)
    upstream: Any = SimpleNamespace(transport=client.transport, forward=forwarded.append)
    client.join_upstream(upstream)
    return client


def test_short_lines_of_one_read_are_forwarded_in_one_piece() -> None:
    # Guards against a step per line: thousands of them in one read held up all other clients.
    forwarded: list[bytes] = []
    client = established_client(forwarded)
    data = SHORT_LINES[:BUFFER_SIZE]
    client.dataReceived(data)
    client.dataReceived(data)
    assert len(forwarded) == 2
    assert b"".join(forwarded) + client.clearLineBuffer() == data + data


def test_short_lines_of_a_server_are_forwarded_in_one_piece_behind_its_answer() -> None:
    # Guards against the same in the other direction, also for lines that come together with UP.
    written: list[bytes] = []
    client: Any = SimpleNamespace(
        opening_line=b"OPEN", end_code="", transport=SimpleNamespace(write=written.append)
    )
    client.upstream_established = lambda upstream, line: written.append(line + b"\r\n")
    proxy: Any = SimpleNamespace(clock=SimpleNamespace(now=lambda: 1.0))
    proxy.requests = SimpleNamespace(upstream_established=lambda upstream: None)
    upstream = LineUpstreamConnection(proxy, client, 0, SimpleNamespace(name="s0"))
    upstream.transport = SimpleNamespace(disconnecting=False)
    data = SHORT_LINES[:BUFFER_SIZE]
    upstream.dataReceived(b"UP r1\r\n" + data)  # type: ignore[no-untyped-call]
    upstream.dataReceived(data)  # type: ignore[no-untyped-call]
    assert len(written) == 3
    assert b"".join(written) + upstream.clearLineBuffer() == b"UP r1\r\n" + data + data


def test_pings_are_answered_a_few_at_a_time_and_only_to_a_client_that_reads() -> None:
    # Guards against thousands of answers in one pass, and against answers that pile up unread.
    calls: list[Any] = []
    written: list[bytes] = []
    unsent = [False]
    clock = SimpleNamespace(call_later=lambda delay, call: calls.append(call))
    client = LineClientConnection(SimpleNamespace(clock=clock, accepts_requests=lambda: True))  # type: ignore[arg-type]
    client.transport = SimpleNamespace(
        disconnecting=False,
        disconnected=False,
        pauseProducing=lambda: None,
        resumeProducing=lambda: None,
        writeSequence=lambda parts: written.append(b"".join(parts)),
        write=written.append,
        has_unsent_data=lambda: unsent[0],
    )
    client.dataReceived(b"PING\r\n" * 100)
    assert b"".join(written) == b"PONG\r\n" * MAX_PINGS_PER_PASS
    unsent[0] = True
    calls.pop()()
    assert b"".join(written) == b"PONG\r\n" * MAX_PINGS_PER_PASS
    unsent[0] = False
    while calls:
        calls.pop()()
    assert b"".join(written) == b"PONG\r\n" * 100


def start_with_servers(start_program: StartProgram, servers: Flood, sockets: int) -> Program:
    """Starts a program with the servers of a flood."""
    addresses = {f"s{number}": address for number, address in enumerate(servers.first_line())}
    return start_program(endpoint_list(41, True, **addresses), limits={"sockets": sockets})


def answer_times(program: Program) -> list[float]:
    """Returns the times to the answers of requests at a steady rate; infinite without UP."""
    times = []
    pause = threading.Event()
    due = time.monotonic()
    for number in range(REQUEST_COUNT):
        pause.wait(max(0.0, due - time.monotonic()))
        sent_at = time.monotonic()
        client = program.open_request(f"{number:x}")
        answer = client.read_line()
        times.append(time.monotonic() - sent_at if answer.startswith("UP ") else float("inf"))
        client.close()
        due = max(due + REQUEST_INTERVAL, time.monotonic())
    return times


@pytest.mark.parametrize(("kind", "number"), [(Kind.LINES, 1), (Kind.LINES, 20), (Kind.PINGS, 20)])
def test_others_are_answered_in_time_beside_clients_that_send_short_lines_at_full_speed(
    start_program: StartProgram, kind: Kind, number: int
) -> None:
    # Guards against one connection that takes a whole pass of the event loop for itself.
    with Flood("servers", Kind.ECHO, 4, FLOOD_TIME) as servers:
        program = start_with_servers(start_program, servers, sockets=512)
        program.open_request().close()
        address = ":".join(map(str, program.address))
        with Flood("clients", kind, number, FLOOD_TIME, address) as clients:
            assert clients.first_line() == number
            times = sorted(answer_times(program))
    assert times[int(SHARE_IN_TIME * REQUEST_COUNT) - 1] <= LATENCY_OBJECTIVE, times
    assert times[-1] <= DEADLINE, times
