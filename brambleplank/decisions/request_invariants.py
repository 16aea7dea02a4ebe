"""Checks of the rules at each step that cannot be taken back. Free of I/O.

The decisions keep the rules by their own stages. These checks work them out anew from the records, at the
moment of the step, and know nothing of the stages. Two things come of it:

- a violation: a step that the decisions asked for, or have taken, against a rule. It is a fault of this
  program; it is counted and reported, and a step that has not been taken yet is refused;
- a crossing: between the decision and the step something has changed (the server drains, the window closes).
  The step is refused, and counted apart.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from math import sqrt

from brambleplank.model import AttemptOutcome, EndpointStatus, Idempotency, Settings
from brambleplank.records import Attempt, Request, Server

MAX_STALL = 0.15  # seconds for which this process may be held up between reading its clock and writing
MAX_ANSWER_DELAY = 0.1  # seconds after its deadline from which a request without an answer is a violation
FEW_ATTEMPTS = 30  # in an overload window, under which chance weighs more
ROOTS_IF_FEW = 3  # standard deviations over the mean that are allowed, and as many attempts more
ROOTS = 2  # the same of many attempts
NEVER_RAN = frozenset(
    (AttemptOutcome.FULL, AttemptOutcome.UNREACHABLE, AttemptOutcome.ABANDONED, AttemptOutcome.LOCAL_FAULT)
)


class InvariantKind(Enum):
    """What is guarded."""

    # Nothing new to a server that drains, nothing after the answer, one attempt at a time.
    SENDING = "sending"
    # No effect twice.
    REPEATING = "repeating"
    # One final answer, in time, that promises nothing false.
    CLOSING = "closing"
    # No server in slow start is pushed over.
    STARTING = "starting"


class RequestInvariants:
    """Counts violations and crossings by rule; `report` writes a line about a violation."""

    def __init__(self, settings: Settings, report: Callable[[str], None]) -> None:
        self.settings = settings
        self.report = report
        self.violations: Counter[InvariantKind] = Counter()
        self.crossings: Counter[InvariantKind] = Counter()
        self.sent: dict[Server, deque[float]] = {}  # when, in the last overload window; in slow start

    def violated(self, rule: InvariantKind, detail: str) -> None:
        """Counts a violation, and reports it if the count has doubled."""
        self.violations[rule] += 1
        count = self.violations[rule]
        if count & (count - 1) == 0:  # the first, the second, the fourth, ...
            self.report(f"violation of {rule.value}: {detail}; {count} so far")

    def summary(self) -> str:
        """Returns all counts, for a log line at the end."""
        broken = sum(self.violations.values())
        crossed = ", ".join(f"{rule.value} {count}" for rule, count in sorted_counts(self.crossings))
        return f"{broken} violations; crossings: {crossed or 'none'}"

    # Sending and repeating.

    def may_start_attempt(self, now: float, name: str, request: Request) -> bool:
        """Returns whether the newest attempt of a request may begin; the decisions have just asked for it."""
        attempt = request.attempts[-1]
        reason = self.reason_not_to_send(now, request, attempt)
        if reason:
            self.violated(InvariantKind.SENDING, f"{name} at {attempt.server.id}: {reason}")
            return False
        reason = self.reason_not_to_repeat(now, request, attempt)
        if reason:
            self.violated(InvariantKind.REPEATING, f"{name} at {attempt.server.id}: {reason}")
        return not reason

    def may_send_request(self, now: float, request: Request, attempt: Attempt) -> bool:
        """Returns whether the request may be written, now that the attempt's connection is up."""
        written_by = now + MAX_STALL
        if self.reason_not_to_send(written_by, request, attempt):
            self.crossings[InvariantKind.SENDING] += 1
            return False
        if self.reason_not_to_repeat(written_by, request, attempt):
            self.crossings[InvariantKind.REPEATING] += 1
            return False
        return True

    def reason_not_to_send(self, now: float, request: Request, attempt: Attempt) -> str:
        """Returns why the attempt may not be sent at that time; empty if it may."""
        server = attempt.server
        if request.answered:
            return "it has its final answer"
        if any(not other.ended for other in request.attempts if other is not attempt):
            return "another attempt is out"
        if (
            server.status is not EndpointStatus.READY
            and now >= server.unready_since + self.settings.drain_grace
        ):
            return f"the server is {server.status.value} and its grace is over"
        return ""

    def reason_not_to_repeat(self, now: float, request: Request, attempt: Attempt) -> str:
        """Returns why the attempt might run a second time what has run before; empty if it cannot."""
        traffic_class = request.traffic_class
        others = [other for other in request.attempts if other is not attempt]
        ran = [other for other in others if other.outcome not in NEVER_RAN]
        if not ran or traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return ""
        first = ran[0]
        if traffic_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return f"it may have run at {first.server.id}"
        if now >= first.sent + traffic_class.deduplication_window:
            return f"the window since {first.server.id} is over"
        if not recognize_repeats(traffic_class.deduplication_scope, first.server, attempt.server):
            return f"it may have run at {first.server.id}, of another {traffic_class.deduplication_scope}"
        return ""

    # Closing.

    def request_rejected(self, name: str, request: Request) -> None:
        """Checks a reject, which promises the client that a retry is harmless."""
        traffic_class = request.traffic_class
        if traffic_class.idempotency is Idempotency.IDEMPOTENT or (
            traffic_class.idempotency is Idempotency.IDEMPOTENT_IN_GROUP
            and traffic_class.deduplication_scope == "all"
        ):
            return
        for attempt in request.attempts:
            if attempt.outcome not in NEVER_RAN:
                self.violated(
                    InvariantKind.CLOSING, f"{name} rejected, but may have run at {attempt.server.id}"
                )
                return

    def request_unanswered(self, name: str, how: str) -> None:
        """Counts a request that has no final answer at its deadline, or at its connection's end."""
        self.violated(InvariantKind.CLOSING, f"{name} {how}")

    # Starting.

    def attempt_started(self, now: float, server: Server, sustainable: float) -> None:
        """Checks an attempt of this process at a server in slow start.

        `sustainable` is how many attempts it bears now in an overload window. This process alone must not
        send more than all proxies may together.
        """
        if server not in self.sent:
            self.forget_warm_servers(now)
        sent = self.sent.setdefault(server, deque())
        sent.append(now)
        while sent[0] <= now - self.settings.overload_window:
            sent.popleft()
        roots = ROOTS_IF_FEW if sustainable < FEW_ATTEMPTS else ROOTS
        most = sustainable + roots * sqrt(sustainable) + roots
        if len(sent) > most:
            self.violated(
                InvariantKind.STARTING, f"{len(sent)} at {server.id} in slow start, all may send {most:.1f}"
            )

    def forget_warm_servers(self, now: float) -> None:
        """Forgets the attempts at servers that are no longer in slow start."""
        for server in [
            server for server in self.sent if now >= server.started + self.settings.slow_start_time
        ]:
            del self.sent[server]


def recognize_repeats(scope: str, one: Server, other: Server) -> bool:
    """Returns whether both servers drop each other's repeats, in a deduplication scope."""
    if scope == "all":
        return True
    return one.zone == other.zone if scope == "zone" else one.cell == other.cell


def sorted_counts(counts: Counter[InvariantKind]) -> list[tuple[InvariantKind, int]]:
    """Returns the counts by the rules' names."""
    return sorted(counts.items(), key=lambda item: item[0].value)
