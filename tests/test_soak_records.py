"""Tests of the soak itself: its records of injected faults, and the checks that use them."""

from __future__ import annotations

import asyncio
import json
import shutil
import socket
import struct
import time
from collections.abc import Callable, Coroutine
from math import inf
from pathlib import Path
from random import Random
from typing import Any

import pytest

from tests.soak import clients
from tests.soak.discovery import SILENCE_DETECTED_AFTER, DiscoveryAgent, Entry
from tests.soak.drawn_settings import draw_settings
from tests.soak.judge import RecordChecker, Violation
from tests.soak.proxies import Proxy
from tests.soak.records import Attempt, ClientRecord, NotifiedChange, ProcessRun, Records
from tests.soak.run import keep_logs
from tests.soak.simulation import SimulationPlan, Subnet
from tests.waiting import POLL_INTERVAL, TEST_TIMEOUT

UNREACHABLE = {"fail": {"connect": (1.0, "ENETUNREACH")}}


@pytest.fixture
def proxy(tmp_path: Path) -> Proxy:
    """A proxy with the record of one process, which isn't actually started."""
    proxy = Proxy(0, tmp_path, ("127.0.0.1", 1), DiscoveryAgent(0), Records())
    proxy.runs.append(ProcessRun(0, 0.0))
    return proxy


def test_span_of_failing_connects_closes_although_the_plan_changed_meanwhile(proxy: Proxy) -> None:
    # Guards against a span that is never closed: the checker would excuse all later drain violations.
    proxy.apply_fault_plan(**UNREACHABLE)
    proxy.apply_fault_plan(**UNREACHABLE, wall=5.0)
    proxy.apply_fault_plan(wall=5.0)
    spans = proxy.current_run.unreachable_spans
    assert len(spans) == 1 and spans[0][1] < inf


async def open_watch(agent: DiscoveryAgent) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a watch and reads the response head and the initial list."""
    host, port = agent.address.split(":")
    reader, writer = await clients.open_connection(host, int(port))
    writer.write(b"GET /discovery/hosts?watch=1 HTTP/1.1\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    await read_line(reader)
    return reader, writer


async def read_line(reader: asyncio.StreamReader) -> Any:
    """Reads the next chunk of a watch and decodes its JSON."""
    size = int(await reader.readline(), 16)
    line = await reader.readexactly(size)
    assert await reader.readline() == b"\r\n"
    return json.loads(line)


def entry(name: str) -> Entry:
    return {"host": name, "dial": "127.0.0.1:1", "site": "a", "health": "draining", "padding": "." * 200}


def run_with_agent(scenario: Callable[[DiscoveryAgent], Coroutine[Any, Any, None]]) -> None:
    """Runs a scenario with a listening agent."""

    async def run() -> None:
        agent = DiscoveryAgent(0)
        await agent.listen()
        await asyncio.wait_for(scenario(agent), TEST_TIMEOUT)
        assert agent.listener is not None
        agent.listener.close()

    asyncio.run(run())


def test_changes_sent_in_pieces_arrive_in_order() -> None:
    # Guards against pieces of consecutive changes being interleaved, which the soak would report as a fault
    # of the proxy.
    async def scenario(agent: DiscoveryAgent) -> None:
        reader, _ = await open_watch(agent)
        agent.sends_pieces = True
        for number in range(5):
            agent.receive_changes([entry(f"s{number}")])
        assert agent.undelivered_since < inf
        for number in range(5):
            assert (await read_line(reader))["hosts"] == [entry(f"s{number}")]
        assert agent.undelivered_since == inf

    run_with_agent(scenario)


def test_change_that_is_cut_off_in_pieces_counts_as_undelivered() -> None:
    # Guards against a drain that counts from a change of which the proxy got only a part.
    async def scenario(agent: DiscoveryAgent) -> None:
        await open_watch(agent)
        agent.sends_pieces = True
        notified_at = agent.receive_changes([entry("s0")]).notified_at
        assert agent.undelivered_since <= notified_at
        agent.reset_watches()
        assert agent.undelivered_since <= notified_at

    run_with_agent(scenario)


def test_silent_watch_counts_as_open_until_its_proxy_closes_it() -> None:
    # Guards against a proxy that counts as notified before a change was made, or late with no watch open.
    async def scenario(agent: DiscoveryAgent) -> None:
        _, writer = await open_watch(agent)
        agent.silence_watches()
        silent = time.monotonic()
        notified_at = agent.receive_changes([entry("s0")]).notified_at
        assert notified_at == pytest.approx(silent + SILENCE_DETECTED_AFTER, abs=0.5)
        for watch in agent.watches:
            watch.silent_since -= 2 * SILENCE_DETECTED_AFTER
        assert agent.receive_changes([entry("s1")]).notified_at >= silent
        writer.close()
        while agent.watches:
            await asyncio.sleep(POLL_INTERVAL)
        assert agent.undelivered_since < inf

    run_with_agent(scenario)


def test_agent_is_down_until_its_last_outage_ends() -> None:
    # Guards against an agent that serves during an outage, and changes counted as delivered before its end.
    agent = DiscoveryAgent(0)
    agent.begin_outage(3.0)
    agent.begin_outage(3.0)
    assert agent.receive_changes([entry("s0")]).notified_at == inf
    assert agent.end_outage() == [] and agent.is_down
    assert agent.end_outage() == [entry("s0")] and not agent.is_down
    assert agent.entries["s0"][1] == entry("s0")


Lags = list[tuple[float, float]]


def violations_of_two_attempts(
    end_seen_at: float, lags: Lags, small_lags: Lags | None = None
) -> list[Violation]:
    """Checks a request with two attempts, the second of which was received at 10.0 s."""
    records = Records(
        lags=lags, small_lags=small_lags or [], processes=[ProcessRun(0, 0.0, log_path="/dev/null")]
    )
    records.clients.append(ClientRecord("1", "feed", 0, 0, 1.0, sent_at=9.5, answers=[(10.1, "BUSY")]))
    records.attempts.append(Attempt("1", "feed", "s1", 9.6, 9.6, "nothing", ended_at=end_seen_at))
    records.attempts.append(Attempt("1", "feed", "s2", 10.0, 10.0, "BUSY", ended_at=10.1))
    return RecordChecker(records, draw_settings(Random(1), 6), 40.0, 6).check_all()


def test_overlapping_attempts_are_reported_except_within_the_checkers_lag() -> None:
    # Guards against false reports of overlapping attempts that are due to lag of the simulating process.
    assert not violations_of_two_attempts(10.04, [])
    assert [violation.rule for violation in violations_of_two_attempts(10.08, [])] == ["two attempts out"]
    assert "short delays of this process: none" in violations_of_two_attempts(10.08, [])[0].details
    assert not violations_of_two_attempts(10.08, [(10.01, 0.06)])
    assert [violation.rule for violation in violations_of_two_attempts(10.18, [(10.01, 0.06)])] == [
        "two attempts out"
    ]
    assert [violation.rule for violation in violations_of_two_attempts(10.08, [(10.09, 0.06)])] == [
        "two attempts out"
    ]


def test_short_delays_count_only_between_the_overlapping_attempts() -> None:
    # Guards against blaming a proxy for an end that this process read some milliseconds too late.
    assert not violations_of_two_attempts(10.055, [], [(10.01, 0.021)])
    assert violations_of_two_attempts(10.08, [], [(10.01, 0.021)])
    assert violations_of_two_attempts(10.055, [], [(9.7, 0.021)])
    assert violations_of_two_attempts(10.055, [], [(10.06, 0.021)])


def session_violations(reset_run: int, run_ended_at: float) -> list[str]:
    """Checks a session that is cut off at 13.0 s; the proxy's second process adopted it at 11.0 s.

    Reads fail in one of the processes when the session ends.
    """
    records = Records()
    stopped: dict[str, Any] = {"stop_requested_at": 11.5, "exit_code": 0, "log_path": "/dev/null"}
    records.processes.append(ProcessRun(0, 0.0, ended_at=12.0, **stopped))
    records.processes.append(ProcessRun(0, 11.0, ended_at=run_ended_at, **stopped))
    records.processes[reset_run].reset_spans.append((12.5, 13.5))
    answers = [(10.1, "UP s1-1")]
    client = ClientRecord("1", "feed", 0, 0, 1.0, sent_at=10.0, answers=answers, ended_at=13.0)
    client.was_cut_off = True
    records.clients.append(client)
    records.attempts.append(Attempt("1", "feed", "s1", 10.0, 10.0, "UP", ended_at=13.0))
    checker = RecordChecker(records, draw_settings(Random(1), 6), 40.0, 6)
    return [violation.rule for violation in checker.check_all()]


def test_session_ends_by_failing_reads_in_the_process_that_adopted_it() -> None:
    # Guards against blaming a proxy for a session whose adopting process had failing reads played on it.
    assert session_violations(reset_run=1, run_ended_at=inf) == []
    assert session_violations(reset_run=0, run_ended_at=inf) == ["cut off without MOVE"]
    assert session_violations(reset_run=1, run_ended_at=12.0) == ["cut off without MOVE"]


def slow_start_violations(proxies_notified: int) -> list[str]:
    """Checks a server in slow start that gets 12 attempts from each of three proxies, some not notified."""
    records = Records(server_starts={"s1": 10.0})
    for proxy in range(3):
        records.processes.append(ProcessRun(proxy, 0.0, log_path="/dev/null"))
        for number in range(12):
            name = f"{proxy}-{number}"
            at = 10.1 + number / 50
            records.clients.append(ClientRecord(name, "feed", proxy, 0, 1.0, at, [(at, "BUSY")]))
            records.attempts.append(Attempt(name, "feed", "s1", at, at, "BUSY", ended_at=at))
    for proxy in range(proxies_notified):
        records.notifications.append(NotifiedChange(proxy, "s1", 10.0, "", is_ready=True))
    checker = RecordChecker(records, draw_settings(Random(1), 3), 12.0, 6)
    return [violation.rule for violation in checker.check_all()]


def test_slow_start_violation_requires_proxies_notified_of_the_start() -> None:
    # Guards against blaming proxies for overloading a server of whose start they weren't notified yet.
    assert slow_start_violations(proxies_notified=3) == ["slow start"]
    assert slow_start_violations(proxies_notified=2) == []


def test_concurrent_runs_use_different_subnets() -> None:
    # Guards against concurrent runs whose proxies listen on the same addresses and serve the wrong clients.
    first = Subnet(7)
    second = Subnet(7)
    assert first.number != second.number
    first.close()
    reused = Subnet(7)
    assert reused.number == first.number
    reused.close()
    second.close()


def test_logs_of_a_run_with_violations_are_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a violation that cannot be traced, as the next run has removed its logs.
    folder = tmp_path / "seed"
    (folder / "n0").mkdir(parents=True)
    (folder / "n0" / "log").write_text("12.0 end broke 1a\n")
    monkeypatch.chdir(folder)  # the path of a Unix socket is short
    socket.socket(socket.AF_UNIX).bind("n0.sock")
    kept = keep_logs(SimulationPlan(7, folder, 6, 6, 7.0, 40.0), Records(injected_faults=[(1.5, "kill n0")]))
    try:
        shutil.rmtree(folder)
        assert (kept / "n0" / "log").read_text() == "12.0 end broke 1a\n"
        assert (kept / "faults").read_text() == "1.500 kill n0\n"
    finally:
        shutil.rmtree(kept.parent)


def test_answer_is_read_although_a_write_has_failed() -> None:
    # Guards against a client that is judged to be reset without an answer, when its BUSY was in its buffer.
    async def play() -> tuple[bytes, str]:
        closed = asyncio.Event()

        async def answer_and_reset(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"PONG\r\nBUSY\r\n")
            await writer.drain()
            await closed.wait()
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

        server = await asyncio.start_server(answer_and_reset, "127.0.0.1", 0)
        reader, writer = await clients.open_connection(*server.sockets[0].getsockname())
        writer.write(b"OPEN 1a 7f c=fe")
        assert await reader.readline() == b"PONG\r\n"  # and BUSY has come with it
        closed.set()
        while reader.connection_error is None:
            writer.write(b"ed\r\n")
            await asyncio.sleep(0)
        line = await reader.readline()
        try:
            rest = (await reader.readline()).decode()
        except ConnectionError as error:
            rest = type(error).__name__
        writer.close()
        server.close()
        return line, rest

    line, rest = asyncio.run(asyncio.wait_for(play(), TEST_TIMEOUT))
    assert line == b"BUSY\r\n" and rest in ("ConnectionResetError", "BrokenPipeError")
