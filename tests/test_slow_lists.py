"""Discovery whose lists take long from the first byte to the last: changes still arrive in time.

The property runs in virtual time, with drawn splits of the agent's time over all parts of its answers. The
tests after it run the real program.
"""

from __future__ import annotations

import json
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from twisted.internet import defer, task

from brambleplank.discovery.platform.discovery import Discovery
from tests.sample_settings import endpoint_list
from tests.stand_ins import LineConnection, StandInServer
from tests.test_slow_discovery import MAX_PROPAGATION_TIME, SlowDiscovery, start_with, wait_for_drain
from tests.test_sockets import StartProgram, server_list

HEARTBEAT_INTERVAL = 2.0  # seconds between empty lines of a watch that has nothing else to send
MAX_AGENT_TIME = 3.0  # seconds that the agent may need for an answer and for a change that follows it
RESOLUTION = 0.05  # seconds that the real program and the test may add
# Requests beside the one that would do, each time that a watch has to be opened: one each 0.5 s.
MAX_EXTRA_REQUESTS = 6
KNOWN = endpoint_list(41, True)


@dataclass(frozen=True)
class AnswerTimes:
    """How an agent spends its time on an answer, in seconds."""

    connect: float
    first_byte: float
    list_time: float  # from the first byte of a list to its last
    pause: float  # before a change that comes after the first list
    parts: int  # in which a list is sent, two or more


class SlowAgent:
    """An agent in virtual time, in place of the HTTP service; all its answers take the same times."""

    address = ("127.0.0.1", 1)

    def __init__(self, clock: task.Clock, times: AnswerTimes) -> None:
        self.clock = clock
        self.times = times
        self.version = 41
        self.request_count = 0
        self.answers: list[SlowAnswer] = []

    def request_watch(self, version: int | None) -> defer.Deferred[Any]:
        """Answers a request for a watch."""
        self.request_count += 1
        answer = SlowAnswer(self, version)
        self.answers.append(answer)
        return answer.response

    def change(self) -> None:
        """Makes a change, which the open watches send after the pause."""
        self.version += 1
        for answer in self.answers:
            if answer.is_idle:
                self.clock.callLater(self.times.pause, answer.send_changes)

    def end_watches(self, silently: bool) -> None:
        """Resets all open connections, or sends nothing more on them."""
        for answer in self.answers:
            answer.is_silent = True
            if not silently and answer.body is not None and not answer.closed:
                answer.closed = True
                answer.body.connectionLost()


class SlowAnswer:
    """One answer, which becomes a watch after its first list."""

    code = 200

    def __init__(self, agent: SlowAgent, since: int | None) -> None:
        self.agent = agent
        self.sent = since  # newest version that the client has
        self.closed = False
        self.is_silent = False
        self.is_idle = False  # the first list was sent, and no other one is being sent
        self.body: Any = None
        self.response: defer.Deferred[Any] = defer.Deferred(lambda _: setattr(self, "closed", True))
        agent.clock.callLater(agent.times.connect, self.send_head)

    def send_head(self) -> None:
        if not (self.closed or self.is_silent):
            self.response.callback(self)

    def deliverBody(self, body: Any) -> None:  # noqa: N802  as in Twisted's response
        """Begins with the first list after the agent's time to the first byte."""
        self.body = body
        body.makeConnection(SimpleNamespace(loseConnection=self.lose_connection, disconnecting=False))
        self.agent.clock.callLater(self.agent.times.first_byte, self.send_changes)

    def lose_connection(self) -> None:
        self.closed = True

    def send_changes(self) -> None:
        """Sends the list as it is now, in parts."""
        version = self.agent.version
        self.is_idle = False
        listed = endpoint_list(version, self.sent is None, s0="127.0.0.1:9")
        text = json.dumps(listed).encode() + b"\n"  # longer than it has parts
        self.sent = version
        times = self.agent.times
        for number in range(times.parts):
            begin, end = (len(text) * n // times.parts for n in (number, number + 1))
            delay = times.list_time * number / (times.parts - 1)
            self.agent.clock.callLater(delay, self.send, text[begin:end])
        self.agent.clock.callLater(times.list_time, self.list_sent)

    def list_sent(self) -> None:
        """Goes on with a change that was made meanwhile, or with heartbeats."""
        if self.sent != self.agent.version:
            self.agent.clock.callLater(self.agent.times.pause, self.send_changes)
            return
        self.is_idle = True
        self.agent.clock.callLater(HEARTBEAT_INTERVAL, self.send_heartbeat, self.sent)

    def send_heartbeat(self, version: int) -> None:
        if self.is_idle and self.sent == version:
            self.send(b"\n")
            self.agent.clock.callLater(HEARTBEAT_INTERVAL, self.send_heartbeat, version)

    def send(self, data: bytes) -> None:
        if not (self.closed or self.is_silent):
            self.body.dataReceived(data)


class FollowedList:
    """A `Discovery` in virtual time, and the versions that it passes to its proxy."""

    def __init__(self, times: AnswerTimes, known: dict[str, Any] | None) -> None:
        self.clock = task.Clock()
        self.clock.advance(1000.0)
        self.agent = SlowAgent(self.clock, times)
        self.lists: list[Any] = []
        clock = SimpleNamespace(
            now=self.clock.seconds, call_later=self.clock.callLater, call_after_reads=self.clock.callLater
        )
        proxy: Any = SimpleNamespace(
            clock=clock,
            settings=SimpleNamespace(drain_grace=3.0),
            log=lambda text: None,
            endpoints_received=lambda *update: self.lists.append(update),
            endpoint_list_confirmed=lambda: None,
            endpoint_list_failed=lambda why: None,
        )
        self.discovery = Discovery(proxy, self.agent.address)
        self.discovery.service = self.agent  # type: ignore[assignment]
        if known is not None:
            self.discovery.apply_initial_list(known)
        self.discovery.ensure_watching()

    @property
    def version(self) -> int:
        """The version of the applied list; 0 if there is none."""
        return self.discovery.newest_version

    def advance(self, seconds: float) -> None:
        self.clock.pump([0.01] * round(seconds / 0.01))


@st.composite
def answer_times(draw: st.DrawFn) -> AnswerTimes:
    """Splits up to MAX_AGENT_TIME over all parts of an answer and a change after it."""
    total = draw(st.floats(0.0, MAX_AGENT_TIME))
    cuts = sorted(draw(st.lists(st.floats(0.0, 1.0), min_size=3, max_size=3)))
    shares = [end - begin for begin, end in zip([0.0, *cuts], [*cuts, 1.0], strict=True)]
    connect, first_byte, list_time, pause = (total * share for share in shares)
    return AnswerTimes(connect, first_byte, list_time, pause, draw(st.integers(2, 10)))


SLOWEST_LIST = AnswerTimes(0.0, 0.0, MAX_AGENT_TIME, 0.0, parts=10)


@given(answer_times(), st.booleans(), st.floats(0.0, 4.0))
@example(AnswerTimes(0.0, 0.0, 1.0, 0.0, 2), False, 0.0)
@example(SLOWEST_LIST, False, 0.1)
@settings(max_examples=300, deadline=None)
def test_any_split_of_the_time_of_a_first_answer_ends_in_its_list(
    times: AnswerTimes, knows_a_list: bool, changed_after: float
) -> None:
    # Guards against answers that are dropped while their list arrives, so that no list ever does.
    followed = FollowedList(times, KNOWN if knows_a_list else None)
    followed.advance(changed_after)
    followed.agent.change()
    followed.advance(MAX_PROPAGATION_TIME + RESOLUTION)
    assert followed.version == 42
    assert followed.agent.request_count <= 1 + MAX_EXTRA_REQUESTS


@given(answer_times(), st.booleans(), st.floats(0.0, 4.0), st.floats(0.0, 4.0))
@example(AnswerTimes(0.0, 0.0, 1.0, 0.0, 2), False, 0.0, 0.0)
@example(SLOWEST_LIST, True, 0.0, 0.0)
@example(SLOWEST_LIST, False, 3.0, 0.1)
@settings(max_examples=300, deadline=None)
def test_any_split_of_the_time_of_an_answer_after_a_watch_ends_in_its_list(
    times: AnswerTimes, silently: bool, ended_after: float, changed_after: float
) -> None:
    # Guards against the same while the program runs: a watch ends, before a change or while it is sent.
    followed = FollowedList(times, KNOWN)
    followed.advance(ended_after)
    followed.agent.end_watches(silently)
    followed.advance(changed_after)
    followed.agent.change()
    followed.advance(MAX_PROPAGATION_TIME + RESOLUTION)
    assert followed.version == 42
    assert followed.agent.request_count <= 2 * (1 + MAX_EXTRA_REQUESTS)


@given(answer_times(), st.lists(st.floats(0.0, 5.0), min_size=1, max_size=4))
@settings(max_examples=200, deadline=None)
def test_changes_on_a_slow_watch_arrive_in_time_and_it_stays_open(
    times: AnswerTimes, intervals: list[float]
) -> None:
    # Guards against a watch that is closed while a change arrives on it.
    followed = FollowedList(times, KNOWN)
    followed.advance(10.0)
    for interval in intervals:
        followed.agent.change()
        followed.advance(interval)
    followed.advance(2 * MAX_PROPAGATION_TIME)  # a change waits for the ones before it
    assert followed.version == 41 + len(intervals)
    request_count = followed.agent.request_count
    followed.advance(20.0)
    assert followed.agent.request_count == request_count


@pytest.mark.parametrize("list_time", [8.0, 20.0])
def test_lists_slower_than_any_change_may_be_are_still_received(list_time: float) -> None:
    # Guards against a fixed limit, beyond which a slow agent is never heard at all.
    followed = FollowedList(AnswerTimes(0.0, 0.0, list_time, 0.0, parts=10), None)
    followed.advance(list_time + 1.0)
    assert followed.version == 41
    followed = FollowedList(AnswerTimes(0.0, list_time, 0.0, 0.0, 2), None)
    followed.advance(list_time + 1.0)
    assert followed.version == 41


def test_answers_that_never_end_are_bounded_in_number() -> None:
    # Guards against connections that pile up while answers trickle in without end.
    followed = FollowedList(AnswerTimes(0.0, 0.0, 1000.0, 0.0, parts=60), None)
    for _ in range(120):
        followed.advance(1.0)
        assert sum(not answer.closed for answer in followed.agent.answers) <= 5


class SlowListDiscovery(SlowDiscovery):
    """Answers each request at once, and sends its first list in parts over `list_time` seconds.

    A change that is made meanwhile follows the list at once.
    """

    def __init__(self, list_time: float, parts: int = 2) -> None:
        self.list_time = list_time
        self.parts = parts
        super().__init__(0.0)

    def answer(self, connection: LineConnection) -> None:
        """Sends the head and the list, and keeps the connection as a watch."""
        with suppress(OSError):
            self.send_head(connection)
            changes = self.changes
            text = json.dumps(changes).encode() + b"\n"
            for number in range(self.parts):
                begin, end = (len(text) * n // self.parts for n in (number, number + 1))
                connection.socket.sendall(b"%x\r\n%b\r\n" % (end - begin, text[begin:end]))
                if number + 1 < self.parts:
                    threading.Event().wait(self.list_time / (self.parts - 1))
            if changes is not self.changes:
                self.send_text(connection, json.dumps(self.changes))
            self.watches.append(connection)


@pytest.mark.parametrize(("list_time", "parts"), [(1.0, 2), (3.0, 10)])
def test_new_program_is_ready_with_the_first_slow_list_and_logs_its_wait(
    start_program: StartProgram, list_time: float, parts: int
) -> None:
    # Guards against a program that is never ready, and does not say why.
    server = StandInServer()
    discovery = SlowListDiscovery(list_time, parts)
    discovery.changes = server_list(server)
    program = start_program(endpoint_list(0, True), discovery=discovery.address)
    assert program.next_log_line("discovery: ").endswith(
        f"no server is known; not ready until {discovery.address} has sent a list\n"
    )
    program.next_log_line("discovery: slow: ")
    assert time.monotonic() < discovery.request_times[0] + MAX_PROPAGATION_TIME
    assert program.open_request().read_line() == "UP r1"
    assert len(discovery.request_times) <= 1 + MAX_EXTRA_REQUESTS


@pytest.mark.parametrize(("list_time", "parts"), [(1.0, 2), (3.0, 10)])
def test_drain_arrives_in_time_if_lists_become_slow_and_the_watch_ends(
    start_program: StartProgram, list_time: float, parts: int
) -> None:
    # Guards against a drain that is never learnt, as each list is cut off on its way.
    discovery = SlowListDiscovery(0.0)
    program = start_with(start_program, discovery)
    while not discovery.watches:
        assert program.process.poll() is None
    discovery.list_time = list_time
    discovery.parts = parts
    discovery.break_watches()
    changed_at = time.monotonic()
    discovery.changes = endpoint_list(42, False, s0=("127.0.0.1:9", "draining"))
    wait_for_drain(program, changed_at)
    assert "discovery: slow: " in program.stop()
