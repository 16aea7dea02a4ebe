"""Tables over a whole fleet from its processes' logs: what each did alone, added up.

    python -m benchmarks.fleet LOGS [--by second|age|type|server|process|reason]
        [--split age|type] [--young 3]
    python -m benchmarks.fleet LOGS --request ID

LOGS is a folder with one log a process; `benchmarks/fleet_logs.py` says what is read. `--split` prints one
table for each age of process, or for each service type. `--young` is how many seconds a process counts as
just restarted. `--request` prints all lines of one request in order of time, each with its process; where
the logs are a trial's with trace lines, also those of the same client's other requests, as a client that
comes again has a new id.

Columns by the time at which a request came in: asked, established, rejected without any attempt (no-try) or
after some (tried), aborted, gave-up (the client, before an answer), attempts and how many of them failed.
Columns by the time of an end: ended, served, moved, client-end, lost. gates, processes: at the end of the
second, how many processes have a narrow gate, and how many run.
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
MAX_COLUMNS = 14  # of a table whose columns are not given
DEFAULT_YOUNG_AGE = 3.0  # seconds for which a process counts as just restarted
NOT_RESTARTED, RESTARTED = "not restarted", "restarted"
UNKNOWN = "unknown"
ARRIVAL_COLUMNS = ("asked", "established", "no-try", "tried", "aborted", "gave-up", "attempts", "failed")
END_COLUMNS = ("ended", "served", "moved", "client-end", "lost")
PROCESS_COLUMNS = ("gates", "processes")
NOT_LOGGED = (
    "sessions that stood at the end of the logs, or in a process that was killed, have no line",
    "when a session was established is not told: it counts in the second in which its request came in",
)
NOT_LOGGED_UNTRACED = (
    "service type, tenant and key of a request",
    "time, server and result of each attempt: all but an established request's last are taken as failed,"
    " in the second in which the request came in",
    "why a request was rejected: the reason is what its process said of itself at that moment",
)


@dataclass(frozen=True)
class CountedEvent:
    """Something that a table counts: in which column, when, and of which request."""

    column: str
    at: float
    end: RequestEnd
    count: int = 1


@dataclass(frozen=True)
class Grouping:
    """By what the rows of a table are told apart, or tables from one another."""

    log: FleetLog
    young: float

    def age(self, event: CountedEvent) -> str:
        """Whether its process has just been restarted."""
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
    """The second of the day, as rows are named."""
    return f"{int(at - log.day_start):3d}"


def type_of(log: FleetLog, request_id: str) -> str:
    """The service type of a request, where a trace tells it."""
    request = log.requests.get(request_id)
    return request.service_type if request else UNKNOWN


def reason_of(end: RequestEnd) -> str:
    """Why a request ended as it did, as far as its process's log tells."""
    if end.outcome is not Outcome.REJECTED:
        return end.code
    run, tries = end.run, "tried" if end.attempts else "no try"
    if run.is_limited(end.at):
        state = "gate narrow"
    elif run.stop_requested_at is not None and end.at >= run.stop_requested_at:
        state = "stopping"
    elif run.is_limited(end.arrived_at):
        state = "gate narrow as it came"
    else:
        state = "gate open"
    return f"rejected, {tries}, {state}"


def arrival_column(end: RequestEnd) -> str | None:
    """Where a request counts by the second in which it came in, beside `asked`."""
    if end.established:
        return "established"
    if end.outcome is Outcome.REJECTED:
        return "tried" if end.attempts else "no-try"
    return end.outcome.value if end.outcome.value in ARRIVAL_COLUMNS else None


def counted_events(log: FleetLog) -> Iterator[CountedEvent]:
    """All that a table counts of requests. Connections that never brought a request are left out."""
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
    """Rows by key, in the order of their names."""
    rows: Rows = {}
    for event in found:
        rows.setdefault(key(event), Counter())[event.column] += event.count
    return dict(sorted(rows.items()))


def add_process_counts(log: FleetLog, rows: Rows) -> None:
    """How many processes run, and how many with a narrow gate, at the end of each second of a table."""
    for second, row in rows.items():
        at = log.day_start + int(second) + 1
        alive = [run for run in log.runs if run.alive(at)]
        row["processes"] = len(alive)
        row["gates"] = sum(run.is_limited(at) for run in alive)


def attempts_by_result(log: FleetLog, by_second: bool) -> Rows:
    """Traced attempts by the second in which they began, or by whose service type, and by result."""
    rows: Rows = {}
    for attempt in log.attempts:
        key = second_of(log, attempt.at - attempt.delay) if by_second else type_of(log, attempt.request_id)
        rows.setdefault(key, Counter())[attempt.result] += 1
    return dict(sorted(rows.items()))


def other_lines_by_second(log: FleetLog) -> Rows:
    """What processes said otherwise, shortened to its first words, by second."""
    rows: Rows = {}
    for other_line in log.other_lines:
        words = other_line.text.partition(":")[0] if other_line.server == "-" else other_line.text
        rows.setdefault(second_of(log, other_line.at), Counter())[words] += 1
    return dict(sorted(rows.items()))


def table(rows: Rows, name: str, columns: tuple[str, ...] = (), without_total: tuple[str, ...] = ()) -> str:
    """Rows and their total; with no columns given, those with the largest totals."""
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
    """All lines of a request and, where keys are traced, of the same client's others, in order of time."""
    request_ids = {request_id}
    if request := log.requests.get(request_id):
        request_ids |= {each.request_id for each in log.requests.values() if each.key == request.key}
    return [
        f"{line.at - log.day_start:8.3f} {line.process:>6} {line.text}"
        for line in log.lines
        if request_ids.intersection(line.text.split())
    ]


def process_counts(runs: list[Run]) -> str:
    """How many processes started, and were started anew."""
    return f"{sum(run.number == 0 for run in runs)} processes, {sum(run.number > 0 for run in runs)} restarts"


def missing_data_lines(log: FleetLog) -> list[str]:
    """What the logs do not have."""
    lines = [process_counts(log.runs)]
    if log.dropped or log.unrecognized:
        lines.append(f"{log.dropped} lines dropped by processes, {log.unrecognized} of no known form")
    missing = NOT_LOGGED if log.traced else NOT_LOGGED + NOT_LOGGED_UNTRACED
    return lines + [f"not in these logs: {what}" for what in missing]


def tables(log: FleetLog, grouping: Grouping, by: str, split: str | None) -> Iterator[str]:
    """The tables that were asked for."""
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
    """The command line; exit code 2 where the folder is none."""
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
        parser.exit(2, f"{arguments.logs}: no folder of logs\n")
    return arguments


def main() -> None:
    """Print what was asked for; exit code 2 if there is nothing to print."""
    arguments = read_arguments()
    log = read_fleet(arguments.logs)
    if not log.lines:
        print(f"{arguments.logs}: no line of a process in it", file=sys.stderr)
        raise SystemExit(2)
    if arguments.request:
        lines = request_lines(log, arguments.request)
        print("\n".join(lines) or f"{arguments.request}: in no line")
        return
    for each in tables(log, Grouping(log, arguments.young), arguments.by, arguments.split):
        print(each, end="\n\n")
    print("\n".join(missing_data_lines(log)))


if __name__ == "__main__":
    main()
