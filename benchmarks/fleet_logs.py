"""Reads the logs of all processes of a fleet into typed records.

A log holds the lines of one process name, over all its restarts. The lines are those of `docs/oncall.md`,
with any text before the time. A number directly before the time is read as the second of the day. A trial
build of the program may add two kinds of lines, which the program itself does not write:

    trace request ID type=TYPE key=KEY tenant=TENANT wait=SECONDS again=0
    trace attempt ID number=0 server=SERVER result=RESULT delay=SECONDS

RESULT is `established` or the way in which the attempt failed.
"""

from __future__ import annotations

import re
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

TIMED = re.compile(r"(?P<before>.*? )??(?P<at>\d{9,}\.\d+) (?P<text>\S.*)")
SECOND_OF_DAY = re.compile(r"(?:.* )?(?P<second>\d+\.\d+) ")
END = re.compile(
    r"end (?P<code>\S+) (?P<id>\S+) server=(?P<server>\S+) connects=(?P<connects>\d+) age=(?P<age>\d+\.\d+)"
)
TRACED_REQUEST = re.compile(
    r"trace request (?P<id>\S+) type=(?P<type>\S+) key=(?P<key>\S+) tenant=(?P<tenant>\S+)"
    r" wait=(?P<wait>\d+\.\d+) again=(?P<again>[01])"
)
TRACED_ATTEMPT = re.compile(
    r"trace attempt (?P<id>\S+) number=(?P<number>\d+) server=(?P<server>\S+) result=(?P<result>\S+)"
    r" delay=(?P<delay>\d+\.\d+)"
)
SERVER_LINE = re.compile(r"(?P<server>\S+) (?P<what>ejected: .+|reinstated|drops connections)")
OTHER_LINE = re.compile(r"(?:concurrency limit|fleet|list|fault|shutdown|start|reload|log)\b.*")
DROPPED = re.compile(r"log: (?P<lines>\d+) lines dropped")

LIMIT_BELOW_ONE = "concurrency limit below one"
LIMIT_RESTORED = "concurrency limit at one again"
STOP_REQUESTED = "shutdown: requested"
STOP_COMPLETED = "shutdown: drained"
LIST_ENDED = "list: ended"  # may follow the end of a graceful shutdown
PING = "pinged"  # the frontend of the bench pings a process once after each start, before it sends clients


class Outcome(Enum):
    """How a request or its session ended."""

    SERVED = "served"
    MOVED = "moved"
    CLIENT_CLOSED = "client-end"
    LOST = "lost"
    REJECTED = "rejected"
    ABORTED = "aborted"
    GAVE_UP = "gave-up"
    BAD_CLIENT = "bad-client"


OUTCOMES = {
    "bye": Outcome.SERVED,
    "moved": Outcome.MOVED,
    "drained": Outcome.MOVED,
    "closed": Outcome.CLIENT_CLOSED,
    "reset": Outcome.CLIENT_CLOSED,
    "broke": Outcome.LOST,
    "error": Outcome.LOST,
    "unplaced": Outcome.LOST,
    "fault": Outcome.LOST,
    "rejected": Outcome.REJECTED,
    "aborted": Outcome.ABORTED,
    "left": Outcome.GAVE_UP,
}  # by reason code; all other codes mean BAD_CLIENT
ESTABLISHED = frozenset({"bye", "moved", "drained", "closed", "reset", "broke", "error"})


@dataclass(eq=False)
class Run:
    """One run of a process, from its start to its end."""

    process: str
    number: int  # 0: the first run in these logs
    started_at: float
    pinged: bool = False
    stop_requested_at: float | None = None
    ended_at: float | None = None
    limit_changes: list[float] = field(
        default_factory=list
    )  # times at which the limit fell below one, recovered, fell below one, ...

    def is_limited(self, at: float) -> bool:
        """Returns whether the concurrency limit was below one at a time."""
        return bisect_right(self.limit_changes, at) % 2 == 1

    def alive(self, at: float) -> bool:
        return self.started_at <= at and (self.ended_at is None or at < self.ended_at)

    def record_limit_change(self, at: float, limited: bool) -> None:
        if limited != (len(self.limit_changes) % 2 == 1):
            self.limit_changes.append(at)


@dataclass(frozen=True, slots=True)
class TracedRequest:
    """The arrival of a request, from the trace of a trial build."""

    at: float
    run: Run
    request_id: str
    service_type: str
    key: str
    tenant: str
    wait: float
    again: bool


@dataclass(frozen=True, slots=True)
class TracedAttempt:
    """The end of one attempt, from the trace of a trial build."""

    at: float
    run: Run
    request_id: str
    server: str
    result: str
    delay: float


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """The end of a client's connection."""

    at: float
    run: Run
    code: str
    request_id: str
    server: str
    attempts: int
    age: float

    @property
    def arrived_at(self) -> float:
        """The time at which the request arrived."""
        return self.at - self.age

    @property
    def outcome(self) -> Outcome:
        return OUTCOMES.get(self.code, Outcome.BAD_CLIENT)

    @property
    def established(self) -> bool:
        return self.code in ESTABLISHED


@dataclass(frozen=True, slots=True)
class OtherLine:
    """Any other known line, about one server or (server `-`) the process."""

    at: float
    run: Run
    server: str
    text: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of the log, to be printed unchanged."""

    at: float
    process: str
    text: str


@dataclass
class FleetLog:
    """The records of all logs of a fleet."""

    day_start: float = 0.0  # Unix time of second 0 of the day
    runs: list[Run] = field(default_factory=list)
    ends: list[RequestEnd] = field(default_factory=list)
    other_lines: list[OtherLine] = field(default_factory=list)
    requests: dict[str, TracedRequest] = field(default_factory=dict)
    attempts: list[TracedAttempt] = field(default_factory=list)
    lines: list[LogLine] = field(default_factory=list)
    dropped: int = 0  # lines that processes dropped, by their own count
    unrecognized: int = 0  # lines of unknown form

    @property
    def traced(self) -> bool:
        return bool(self.requests)


class ProcessReader:
    """Adds the log of one process name to the log of the fleet."""

    def __init__(self, fleet_log: FleetLog, process: str) -> None:
        self.fleet_log, self.process = fleet_log, process
        self.run: Run | None = None

    def read(self, at: float, text: str) -> None:
        """Reads the next line of the log."""
        self.fleet_log.lines.append(LogLine(at, self.process, text))
        end = END.fullmatch(text)
        run = self._run_of(at, text, pinged=end is not None and end["code"] == PING)
        if end:
            self.fleet_log.ends.append(
                RequestEnd(
                    at, run, end["code"], end["id"], end["server"], int(end["connects"]), float(end["age"])
                )
            )
        elif not self._read_trace(at, run, text):
            self._read_other_line(at, run, text)

    def _run_of(self, at: float, text: str, pinged: bool) -> Run:
        """Returns the run that a line belongs to.

        A killed process logs no last line, so its next run is taken to start at the ping, slightly late.
        """
        run = self.run
        if run is None:
            run = self._begin(at, 0)
        elif (run.ended_at is not None and text != LIST_ENDED) or (pinged and run.pinged):
            if run.ended_at is None:
                run.ended_at = at
            run = self._begin(at, run.number + 1)
        run.pinged = run.pinged or pinged
        return run

    def _begin(self, at: float, number: int) -> Run:
        self.run = Run(self.process, number, at)
        self.fleet_log.runs.append(self.run)
        return self.run

    def _read_trace(self, at: float, run: Run, text: str) -> bool:
        if request := TRACED_REQUEST.fullmatch(text):
            self.fleet_log.requests[request["id"]] = TracedRequest(
                at,
                run,
                request["id"],
                request["type"],
                request["key"],
                request["tenant"],
                float(request["wait"]),
                request["again"] == "1",
            )
        elif attempt := TRACED_ATTEMPT.fullmatch(text):
            self.fleet_log.attempts.append(
                TracedAttempt(
                    at, run, attempt["id"], attempt["server"], attempt["result"], float(attempt["delay"])
                )
            )
        return bool(request or attempt)

    def _read_other_line(self, at: float, run: Run, text: str) -> None:
        if about := SERVER_LINE.fullmatch(text):
            self.fleet_log.other_lines.append(OtherLine(at, run, about["server"], about["what"]))
        elif OTHER_LINE.fullmatch(text):
            self.fleet_log.other_lines.append(OtherLine(at, run, "-", text))
            self._update_run(at, run, text)
        else:
            self.fleet_log.unrecognized += 1

    def _update_run(self, at: float, run: Run, text: str) -> None:
        if text.startswith(LIMIT_BELOW_ONE):
            run.record_limit_change(at, limited=True)
        elif text.startswith(LIMIT_RESTORED):
            run.record_limit_change(at, limited=False)
        elif text == STOP_REQUESTED:
            run.stop_requested_at = at
        elif text == STOP_COMPLETED:
            run.ended_at = at
        elif dropped := DROPPED.fullmatch(text):
            self.fleet_log.dropped += int(dropped["lines"])


@dataclass(frozen=True, slots=True)
class _TimedLine:
    """A line of a log with its time and, if present, the second of the day."""

    at: float
    day: float | None
    text: str


def _timed_lines(lines: Iterable[str], fleet_log: FleetLog) -> Iterator[_TimedLine]:
    for line in lines:
        if found := TIMED.fullmatch(line.rstrip()):
            day = SECOND_OF_DAY.fullmatch(found["before"] or "")
            yield _TimedLine(float(found["at"]), float(day["second"]) if day else None, found["text"])
        elif line.strip():
            fleet_log.unrecognized += 1


def read_fleet(folder: Path) -> FleetLog:
    """Reads each file of a folder as the log of the process named by the file name without its suffix."""
    fleet_log = FleetLog()
    zeros: list[float] = []
    for path in filter(Path.is_file, sorted(folder.iterdir())):
        reader = ProcessReader(fleet_log, path.stem)
        for timed_line in _timed_lines(path.read_text(errors="replace").splitlines(), fleet_log):
            reader.read(timed_line.at, timed_line.text)
            zeros.append(timed_line.at - (timed_line.day or 0.0))
    fleet_log.day_start = min(zeros, default=0.0)
    for records in (fleet_log.ends, fleet_log.other_lines, fleet_log.attempts, fleet_log.lines):
        records.sort(key=_record_time)
    return fleet_log


def _record_time(record: RequestEnd | OtherLine | TracedAttempt | LogLine) -> float:
    return record.at
