"""Prints tables for a whole fleet, summed over the logs of its processes.

    python -m benchmarks.fleet LOGS [--by second|age|type|server|process|reason]
        [--split age|type] [--young 3]
    python -m benchmarks.fleet LOGS --request ID

LOGS is a folder with one log per process; `benchmarks/fleet_logs.py` describes the lines that are read.
`--split` prints one table for each process age or each service type. `--young` is the number of seconds for
which a process counts as just restarted. `--request` prints all lines of one request in order of time, each
with its process. If the logs have trace lines, it also prints those of the same client's other requests,
since a reconnecting client has a new request id.

Columns counted when a request arrives: asked (requests), established, rejected without any attempt (no-try)
or after some (tried), aborted, gave-up (the client left before an answer), attempts, and failed attempts.
Columns counted when a connection ends: ended, served, moved, client-end, lost. limited, processes: the number
of processes whose concurrency limit is below one, and of running processes, at the end of the second.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from benchmarks.fleet_logs import FleetLog, Outcome, RequestEnd, Run, read_fleet

MAX_COLUMN_WIDTH, MIN_COLUMN_WIDTH = 24, 6  # characters of a column
MAX_COLUMNS = 14  # of a table without given columns
DEFAULT_YOUNG_AGE = 3.0  # seconds for which a process counts as just restarted
NOT_RESTARTED, RESTARTED = "not restarted", "restarted"
UNKNOWN = "unknown"
ARRIVAL_COLUMNS = ("asked", "established", "no-try", "tried", "aborted", "gave-up", "attempts", "failed")
END_COLUMNS = ("ended", "served", "moved", "client-end", "lost")
PROCESS_COLUMNS = ("limited", "processes")
NOT_LOGGED = (
    "sessions that were open at the end of the logs, or in a process that was killed",
    "the time at which a session was established: it counts in the second in which its request arrived",
)
NOT_LOGGED_UNTRACED = (
    "service type, tenant and key of a request",
    "time, server and result of each attempt: all but the last of an established request count as failed,"
    " in the second in which the request arrived",
    "why a request was rejected: the reason given is the state of its process at that moment",
)


@dataclass(frozen=True)
class CountedEvent:
    """An event that a table counts: its column, its time, and the request it belongs to."""

    column: str
    at: float
    end: RequestEnd
    count: int = 1


@dataclass(frozen=True)
class Grouping:
    """The keys by which events are grouped into rows, or into tables."""

    log: FleetLog
    young: float

    def age(self, event: CountedEvent) -> str:
        """Returns whether the process was restarted, and whether that was just before the event."""
        run = event.end.run
        if run.number == 0:
            return NOT_RESTARTED
        is_young = event.at - run.started_at < self.young
        return f"{RESTARTED} < {self.young:g} s" if is_young else f"{RESTARTED}, older"

    def service_type(self, event: CountedEvent) -> str:
        return type_of(self.log, event.end.request_id)

    def second(self, event: CountedEvent) -> str:
        return second_of(self.log, event.at)

    def server(self, event: CountedEvent) -> str:
        return event.end.server

    def process(self, event: CountedEvent) -> str:
        return event.end.run.process

    def reason(self, event: CountedEvent) -> str:
        return reason_of(event.end)


def second_of(log: FleetLog, at: float) -> str:
    """Returns the row name of a time: the second of the day."""
    return f"{int(at - log.day_start):3d}"


def type_of(log: FleetLog, request_id: str) -> str:
    """Returns the service type of a request, if it was traced."""
    request = log.requests.get(request_id)
    return request.service_type if request else UNKNOWN


def reason_of(end: RequestEnd) -> str:
    """Returns why a request ended, as far as the log of its process shows."""
    if end.outcome is not Outcome.REJECTED:
        return end.code
    run, tries = end.run, "tried" if end.attempts else "no try"
    if run.is_limited(end.at):
        state = "limit below one"
    elif run.stop_requested_at is not None and end.at >= run.stop_requested_at:
        state = "stopping"
    elif run.is_limited(end.arrived_at):
        state = "limit below one on arrival"
    else:
        state = "limit at least one"
    return f"rejected, {tries}, {state}"


def arrival_column(end: RequestEnd) -> str | None:
    """Returns the column, beside `asked`, that counts a request in the second of its arrival."""
    if end.established:
        return "established"
    if end.outcome is Outcome.REJECTED:
        return "tried" if end.attempts else "no-try"
    return end.outcome.value if end.outcome.value in ARRIVAL_COLUMNS else None


def counted_events(log: FleetLog) -> Iterator[CountedEvent]:
    """Yields the events that tables count. Connections that never sent a valid request are left out."""
    for end in log.ends:
        if end.outcome is Outcome.BAD_CLIENT:
            continue
        yield CountedEvent("asked", end.arrived_at, end)
        if column := arrival_column(end):
            yield CountedEvent(column, end.arrived_at, end)
        yield CountedEvent("attempts", end.arrived_at, end, end.attempts)
        yield CountedEvent("failed", end.arrived_at, end, end.attempts - end.established)
        yield CountedEvent("ended", end.at, end)
        if end.outcome.value in END_COLUMNS:
            yield CountedEvent(end.outcome.value, end.at, end)


Rows = dict[str, Counter[str]]


def count(found: Iterator[CountedEvent], key: Callable[[CountedEvent], str]) -> Rows:
    """Counts events in rows by key, sorted by row name."""
    rows: Rows = {}
    for event in found:
        rows.setdefault(key(event), Counter())[event.column] += event.count
    return dict(sorted(rows.items()))


def add_process_counts(log: FleetLog, rows: Rows) -> None:
    """Adds the numbers of running processes and of limited ones at the end of each second."""
    for second, row in rows.items():
        at = log.day_start + int(second) + 1
        alive = [run for run in log.runs if run.alive(at)]
        row["processes"] = len(alive)
        row["limited"] = sum(run.is_limited(at) for run in alive)


def attempts_by_result(log: FleetLog, by_second: bool) -> Rows:
    """Counts traced attempts by result, in rows by the second of their start or by service type."""
    rows: Rows = {}
    for attempt in log.attempts:
        key = second_of(log, attempt.at - attempt.delay) if by_second else type_of(log, attempt.request_id)
        rows.setdefault(key, Counter())[attempt.result] += 1
    return dict(sorted(rows.items()))


def other_lines_by_second(log: FleetLog) -> Rows:
    """Counts other log lines by second, each shortened to the text before a colon."""
    rows: Rows = {}
    for other_line in log.other_lines:
        words = other_line.text.partition(":")[0] if other_line.server == "-" else other_line.text
        rows.setdefault(second_of(log, other_line.at), Counter())[words] += 1
    return dict(sorted(rows.items()))


def table(rows: Rows, name: str, columns: tuple[str, ...] = (), without_total: tuple[str, ...] = ()) -> str:
    """Formats rows and their total. Without given columns, those with the largest totals are shown."""
    total: Counter[str] = sum(rows.values(), Counter())
    columns = columns or tuple(column for column, _ in total.most_common(MAX_COLUMNS))
    for column in without_total:
        total[column] = 0
    width = max(len(label) for label in (name, "all", *rows))
    widths = {column: max(len(column[:MAX_COLUMN_WIDTH]), MIN_COLUMN_WIDTH) for column in columns}
    lines = [
        f"{name:>{width}} " + " ".join(f"{column[:MAX_COLUMN_WIDTH]:>{widths[column]}}" for column in columns)
    ]
    for key, row in [*rows.items(), ("all", total)]:
        cells = (f"{row[column] or '':>{widths[column]}}" for column in columns)
        lines.append(f"{key:>{width}} " + " ".join(cells))
    return "\n".join(lines)


def request_lines(log: FleetLog, request_id: str) -> list[str]:
    """Returns all lines of a request, and of others with the same key if traced, in order of time."""
    request_ids = {request_id}
    if request := log.requests.get(request_id):
        request_ids |= {each.request_id for each in log.requests.values() if each.key == request.key}
    return [
        f"{line.at - log.day_start:8.3f} {line.process:>6} {line.text}"
        for line in log.lines
        if request_ids.intersection(line.text.split())
    ]


def process_counts(runs: list[Run]) -> str:
    """Returns the numbers of processes and of restarts, as text."""
    return f"{sum(run.number == 0 for run in runs)} processes, {sum(run.number > 0 for run in runs)} restarts"


def missing_data_lines(log: FleetLog) -> list[str]:
    """Returns the lines below the tables: counts of processes and unread lines, and what the logs lack."""
    lines = [process_counts(log.runs)]
    if log.dropped or log.unrecognized:
        lines.append(f"{log.dropped} lines dropped by processes, {log.unrecognized} of unknown form")
    missing = NOT_LOGGED if log.traced else NOT_LOGGED + NOT_LOGGED_UNTRACED
    return lines + [f"not in these logs: {what}" for what in missing]


def tables(log: FleetLog, grouping: Grouping, by: str, split: str | None) -> Iterator[str]:
    """Yields the requested tables."""
    keys: dict[str, Callable[[CountedEvent], str]] = {
        "second": grouping.second,
        "age": grouping.age,
        "type": grouping.service_type,
        "server": grouping.server,
        "process": grouping.process,
        "reason": grouping.reason,
    }
    found = list(counted_events(log))
    parts = sorted({keys[split](each) for each in found}) if split else [""]
    for part in parts:
        rows = count((each for each in found if not split or keys[split](each) == part), keys[by])
        state = PROCESS_COLUMNS if by == "second" and not split else ()
        if state:
            add_process_counts(log, rows)
        yield (f"{part}\n" if part else "") + table(
            rows, by, ARRIVAL_COLUMNS + END_COLUMNS + state, PROCESS_COLUMNS
        )
    if log.attempts and by in ("second", "type"):
        yield "attempts by result\n" + table(attempts_by_result(log, by == "second"), by)
    if by == "second" and log.other_lines:
        yield "other lines\n" + table(other_lines_by_second(log), by)


def read_arguments() -> argparse.Namespace:
    """Parses the command line; exits with code 2 if LOGS is not a folder."""
    form = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=form)
    parser.add_argument("logs", type=Path)
    rows = ("second", "age", "type", "server", "process", "reason")
    parser.add_argument("--by", choices=rows, default="second")
    parser.add_argument("--split", choices=("age", "type"))
    parser.add_argument("--young", type=float, default=DEFAULT_YOUNG_AGE)
    parser.add_argument("--request")
    arguments = parser.parse_args()
    if not arguments.logs.is_dir():
        parser.exit(2, f"{arguments.logs}: not a folder\n")
    return arguments


def main() -> None:
    """Prints the requested tables or lines; exits with code 2 if there are no log lines."""
    arguments = read_arguments()
    log = read_fleet(arguments.logs)
    if not log.lines:
        print(f"{arguments.logs}: no log line of a process found", file=sys.stderr)
        raise SystemExit(2)
    if arguments.request:
        lines = request_lines(log, arguments.request)
        print("\n".join(lines) or f"{arguments.request}: found in no line")
        return
    for each in tables(log, Grouping(log, arguments.young), arguments.by, arguments.split):
        print(each, end="\n\n")
    print("\n".join(missing_data_lines(log)))


if __name__ == "__main__":
    main()
