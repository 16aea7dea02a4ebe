"""Discovery whose agent takes long until the first byte of each answer: changes still arrive in time."""

from __future__ import annotations

import json
import re
import threading
import time
from contextlib import suppress

import pytest

from tests.programs import Program
from tests.sample_settings import endpoint_list
from tests.stand_ins import LineConnection, StandInDiscovery, StandInServer
from tests.test_sockets import StartProgram, server_list

MAX_PROPAGATION_TIME = 6.0  # seconds; by then a change counts as received
HEARTBEAT_INTERVAL = 1.0  # seconds
REQUEST_INTERVAL = 1 / 3  # seconds between requests to a silent agent, given the drain grace of 1 s
UNANSWERED = 60.0  # seconds; longer than any test


class SlowDiscovery(StandInDiscovery):
    """Answers each request after the next of `delays`, in seconds, or after the last one, with all changes.

    With `delays_body`, the head of the answer comes at once, and only its body is late.
    """

    def __init__(self, *delays: float, delays_body: bool = False) -> None:
        self.delays = list(delays)
        self.delays_body = delays_body
        self.changes = endpoint_list(41, False)
        self.request_times: list[float] = []
        self.watches: list[LineConnection] = []
        self.is_silent = False
        super().__init__()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def accept(self) -> None:
        """Accepts connections, and answers the request of each after its delay."""
        with suppress(OSError):
            while True:
                connection = LineConnection(self.listener.accept()[0])
                while connection.read_line():
                    pass
                self.request_times.append(time.monotonic())
                delay = self.delays.pop(0) if len(self.delays) > 1 else self.delays[0]
                if self.delays_body:
                    self.send_head(connection)
                timer = threading.Timer(delay, self.answer, [connection])
                timer.daemon = True
                timer.start()

    @staticmethod
    def send_head(connection: LineConnection) -> None:
        with suppress(OSError):
            connection.socket.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def answer(self, connection: LineConnection) -> None:
        """Sends the changes, and keeps the connection as a watch."""
        with suppress(OSError):
            if not self.delays_body:
                self.send_head(connection)
            self.send_text(connection, json.dumps(self.changes))
            self.watches.append(connection)

    def send_heartbeats(self) -> None:
        """Sends an empty line on each watch at intervals, while the agent is not silent."""
        pause = threading.Event()
        while not pause.wait(HEARTBEAT_INTERVAL):
            for watch in [] if self.is_silent else list(self.watches):
                with suppress(OSError):
                    self.send_text(watch, "")

    def break_watches(self) -> None:
        """Resets all watches."""
        watches = self.watches
        self.watches = []
        for watch in watches:
            with suppress(OSError):
                watch.close(reset=True)


def start_with(start_program: StartProgram, discovery: SlowDiscovery) -> Program:
    program = start_program(server_list(StandInServer()), discovery=discovery.address)
    assert program.open_request().read_line() == "UP r1"
    return program


def wait_for_drain(program: Program, changed_at: float) -> None:
    """Waits until the program knows that a server drains; it must not take longer than a change may."""
    program.next_log_line("server: s0 draining")
    assert time.monotonic() < changed_at + MAX_PROPAGATION_TIME


@pytest.mark.parametrize("delays_body", [False, True], ids=["head", "body"])
@pytest.mark.parametrize("delay", [0.0, 0.3, 0.45, 0.8, 1.5, 3.0])
def test_change_arrives_in_time_from_discovery_that_is_slow_from_the_start(
    start_program: StartProgram, delay: float, delays_body: bool
) -> None:
    # Guards against requests that are all given up before discovery answers, so that no list ever arrives.
    discovery = SlowDiscovery(delay, delays_body=delays_body)
    discovery.changes = endpoint_list(42, False, s0=("127.0.0.1:9", "draining"))
    started = time.monotonic()
    program = start_program(server_list(StandInServer()), discovery=discovery.address)
    program.next_log_line("server: s0 draining")
    first_request = discovery.request_times[0]
    assert started < first_request < time.monotonic() < first_request + MAX_PROPAGATION_TIME
    assert len(discovery.request_times) <= 1 + delay / REQUEST_INTERVAL


@pytest.mark.parametrize("end", ["reset", "silent"])
@pytest.mark.parametrize("delay", [0.45, 1.5, 3.0])
def test_change_arrives_in_time_if_discovery_becomes_slow_and_the_watch_ends(
    start_program: StartProgram, delay: float, end: str
) -> None:
    # Guards against the same while the program runs: the watch ends, and each request is given up.
    discovery = SlowDiscovery(0.0)
    program = start_with(start_program, discovery)
    discovery.delays = [delay]
    while not discovery.watches:
        assert program.process.poll() is None
    discovery.changes = endpoint_list(42, False, s0=("127.0.0.1:9", "draining"))
    discovery.is_silent = True  # from now on, on the old watch
    if end == "silent":
        discovery.watches.clear()
    changed_at = time.monotonic()
    discovery.break_watches()
    wait_for_drain(program, changed_at)
    assert "discovery: slow: " in program.kept_log()


def test_quick_answer_is_used_while_others_are_slow(start_program: StartProgram) -> None:
    # Guards against waiting for a slow answer when a later request is answered at once.
    discovery = SlowDiscovery(UNANSWERED, 3.0, 0.0)
    discovery.changes = endpoint_list(42, False, s0=("127.0.0.1:9", "draining"))
    program = start_program(server_list(StandInServer()), discovery=discovery.address)
    program.next_log_line("server: s0 draining")
    assert time.monotonic() < discovery.request_times[0] + 3.0


def test_slow_discovery_is_logged_once_and_so_is_its_end(start_program: StartProgram) -> None:
    # Guards against discovery that is slow for hours without anybody being told.
    discovery = SlowDiscovery(0.8)
    program = start_program(server_list(StandInServer()), discovery=discovery.address)
    program.next_log_line("discovery: slow: ")
    for delay in (0.8, 0.0, 0.0):
        while not discovery.watches:
            assert program.process.poll() is None
        discovery.delays = [delay]
        discovery.break_watches()
    program.next_log_line("discovery: answers within")
    log = program.stop()
    assert log.count("discovery: slow") == 1 and len(re.findall("discovery: answers", log)) == 1
