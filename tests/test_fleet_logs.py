"""Tables of `benchmarks.fleet` from made-up logs: what they count, by second, process, age and reason."""

from __future__ import annotations

import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from benchmarks.fleet import (
    Grouping,
    Rows,
    add_state,
    attempts_by_result,
    count,
    follow,
    foot,
    happenings,
    reason_of,
    tables,
)
from benchmarks.fleet_logs import FleetLog, read_fleet

START_TIME = 1_700_000_000.0
PING = "end pinged - server=- connects=0 age=0.000"


def log_of(*lines: tuple[float, str]) -> str:
    return "".join(f"{at:.3f} {START_TIME + at:.3f} {text}\n" for at, text in lines)


def end(code: str, request_id: str, attempts: int, age: float, server: str = "s-1") -> str:
    return f"end {code} {request_id} server={server} connects={attempts} age={age:.3f}"


# Restarts at 6.0. In its first run, its concurrency limit is twice logged as below one, which counts as one
# narrow gate until the run ends.
FIRST_LOG = log_of(
    (0.1, PING),
    (2.5, end("bye", "aa", 1, 2.0)),
    (3.2, end("moved", "ab", 3, 0.9)),
    (3.4, "concurrency limit below one: most attempts fail at every server"),
    (3.5, "concurrency limit below one: most attempts fail at every server"),
    (3.6, end("rejected", "ac", 0, 0.0, "-")),
    (3.9, end("rejected", "ad", 2, 1.0)),
    (4.0, "s-1 ejected: silent"),
    (4.1, "shutdown: requested"),
    (4.8, "shutdown: drained"),
    (4.9, "list: ended"),
    (6.0, "reload: taken up: discovery"),
    (6.1, PING),
    (7.0, end("rejected", "ae", 0, 0.0, "-")),
    (9.5, end("bye", "af", 1, 0.2)),
    (9.6, "log: 7 lines dropped"),
)
# Killed between 5.0 and 7.0; only the second ping shows the restart.
SECOND_LOG = log_of(
    (0.2, PING),
    (1.0, "concurrency limit below one: most attempts fail at every server"),
    (2.0, "concurrency limit at one again: attempts are answered"),
    (2.2, end("left", "ba", 1, 0.1)),
    (4.5, end("aborted", "bb", 1, 0.4)),
    (5.0, end("broke", "bc", 1, 3.0)),
    (7.0, PING),
    (7.5, end("garbled", "-", 0, 0.0, "-")),
)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "n1.log").write_text(FIRST_LOG)
    (tmp_path / "n2.log").write_text(SECOND_LOG + "half a li")
    return tmp_path


@pytest.fixture
def log(folder: Path) -> FleetLog:
    return read_fleet(folder)


def by_second(log: FleetLog) -> Rows:
    return count(happenings(log), Grouping(log, 3.0).second)


def counts(row: Counter[str]) -> dict[str, int]:
    return {column: value for column, value in row.items() if value}


def test_runs_begin_after_a_stop_or_at_a_second_ping(log: FleetLog) -> None:
    runs = [(run.process, run.number) for run in log.runs]
    assert runs == [("n1", 0), ("n1", 1), ("n2", 0), ("n2", 1)]
    assert [run.began - START_TIME for run in log.runs] == pytest.approx([0.1, 6.0, 0.2, 7.0])
    assert [run.ended - START_TIME for run in log.runs if run.ended] == pytest.approx([4.8, 7.0])
    assert [run.ended is None for run in log.runs] == [False, True, False, True]


def test_requests_count_when_received_and_ends_when_they_ended(log: FleetLog) -> None:
    rows = by_second(log)
    assert counts(rows["  0"]) == {"asked": 1, "established": 1, "attempts": 1}
    assert counts(rows["  2"]) == {
        "asked": 4,
        "established": 2,
        "tried": 1,
        "gave-up": 1,
        "attempts": 7,
        "failed": 5,
        "ended": 2,
        "served": 1,
    }
    assert counts(rows["  3"]) == {"asked": 1, "no-try": 1, "ended": 3, "moved": 1}
    assert counts(rows["  4"]) == {"asked": 1, "aborted": 1, "attempts": 1, "failed": 1, "ended": 1}
    assert counts(rows["  5"]) == {"ended": 1, "lost": 1}


def test_connections_without_a_request_are_not_counted_as_requests(log: FleetLog) -> None:
    request_count = sum(row["asked"] for row in by_second(log).values())
    assert request_count == sum(request_end.request_id != "-" for request_end in log.ends) == 9


def test_gates_and_processes_are_counted_at_the_end_of_a_second(log: FleetLog) -> None:
    rows: Rows = {f"{second:3d}": Counter() for second in range(8)}
    add_state(log, rows)
    state = {int(second): (row["gates"], row["processes"]) for second, row in rows.items()}
    assert state == {
        0: (1, 2),  # the gate of n2 narrows at 1.0
        1: (0, 2),
        2: (0, 2),
        3: (1, 2),
        4: (0, 1),
        5: (0, 2),
        6: (0, 2),
        7: (0, 2),
    }


def test_rejects_get_the_state_of_their_process_as_reason(log: FleetLog) -> None:
    reasons = {request_end.request_id: reason_of(request_end) for request_end in log.ends}
    assert reasons["ac"] == "rejected, no try, gate narrow"
    assert reasons["ad"] == "rejected, tried, gate narrow"
    assert reasons["ae"] == "rejected, no try, gate open"
    assert reasons["bc"] == "broke"


def test_rejects_during_shutdown_have_their_own_reason(tmp_path: Path) -> None:
    stopping = log_of((0.1, PING), (1.0, "shutdown: requested"), (1.2, end("rejected", "aa", 1, 0.5)))
    (tmp_path / "n1.log").write_text(stopping)
    assert reason_of(read_fleet(tmp_path).ends[-1]) == "rejected, tried, stopping"


def test_requests_are_grouped_by_process_age(log: FleetLog) -> None:
    rows = count(happenings(log), Grouping(log, 3.0).age)
    assert {age: row["asked"] for age, row in rows.items()} == {
        "not restarted": 7,
        "restarted < 3 s": 1,
        "restarted, older": 1,
    }


def test_footer_names_what_the_logs_lack(log: FleetLog) -> None:
    footer = "\n".join(foot(log))
    assert "2 processes, 2 restarts" in footer
    assert "7 lines dropped by processes, 1 of no known form" in footer
    assert "service type, tenant and key" in footer


def test_request_is_followed_by_its_id(log: FleetLog) -> None:
    assert follow(log, "ad") == ["   3.900     n1 " + end("rejected", "ad", 2, 1.0)]
    assert follow(log, "a") == []


TRACED_FIRST_LOG = log_of(
    (0.1, PING),
    (1.0, "trace request aa type=level key=77 tenant=west wait=0.500 again=0"),
    (1.2, "trace attempt aa number=0 server=s-1 result=timeout delay=0.150"),
    (1.5, end("rejected", "aa", 1, 0.5)),
)
TRACED_SECOND_LOG = log_of(
    (0.1, PING),
    (2.0, "trace request ba type=level key=77 tenant=west wait=0.500 again=0"),
    (2.1, "trace attempt ba number=0 server=s-2 result=established delay=0.050"),
    (2.2, "trace request bb type=wind key=78 tenant=west wait=0.500 again=0"),
    (2.3, end("rejected", "bb", 0, 0.1, "-")),
    (3.0, end("bye", "ba", 1, 1.0, "s-2")),
)


@pytest.fixture
def traced(tmp_path: Path) -> FleetLog:
    (tmp_path / "n1.log").write_text(TRACED_FIRST_LOG)
    (tmp_path / "n2.log").write_text(TRACED_SECOND_LOG)
    return read_fleet(tmp_path)


def test_traced_attempts_count_by_result_as_they_began(traced: FleetLog) -> None:
    assert attempts_by_result(traced, by_second=True) == {"  1": {"timeout": 1}, "  2": {"established": 1}}
    assert attempts_by_result(traced, by_second=False) == {"level": {"timeout": 1, "established": 1}}


def test_traced_requests_count_by_service_type(traced: FleetLog) -> None:
    rows = count(happenings(traced), Grouping(traced, 3.0).service_type)
    assert {kind: (row["asked"], row["established"]) for kind, row in rows.items()} == {
        "level": (2, 1),
        "wind": (1, 0),
    }
    assert len(list(tables(traced, Grouping(traced, 3.0), "second", "type"))) == 3


def test_reconnecting_client_is_followed_across_processes(traced: FleetLog) -> None:
    followed = follow(traced, "ba")
    assert [line.split()[1:5] for line in followed] == [
        ["n1", "trace", "request", "aa"],
        ["n1", "trace", "attempt", "aa"],
        ["n1", "end", "rejected", "aa"],
        ["n2", "trace", "request", "ba"],
        ["n2", "trace", "attempt", "ba"],
        ["n2", "end", "bye", "ba"],
    ]


def run_tool(*arguments: str | Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "benchmarks.fleet", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


def test_command_line_prints_tables_and_refuses_a_path_that_is_no_folder(folder: Path) -> None:
    for by in ("second", "age", "type", "server", "process", "reason"):
        completed = run_tool(folder, "--by", by)
        assert completed.returncode == 0 and completed.stdout.splitlines()[0].split()[:2] == [by, "asked"], (
            completed.stderr
        )
    refused = run_tool(folder / "none")
    assert refused.returncode == 2 and len(refused.stderr.splitlines()) == 1


def test_command_line_refuses_a_folder_without_log_lines(tmp_path: Path) -> None:
    refused = run_tool(tmp_path)
    assert refused.returncode == 2 and "no line of a process" in refused.stderr
