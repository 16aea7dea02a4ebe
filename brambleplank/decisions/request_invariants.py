"""Checks the invariants of requests at each irreversible step. No I/O.

The stages of the decisions are meant to ensure these invariants. The checks evaluate them again from the
records, at the time of the step and independent of the stages. A check that fails is one of these:

- a violation: the decisions requested or took a step that breaks an invariant. This is a bug in this program.
  It is counted and reported, and a step that has not been taken yet is refused;
- a crossing: the state has changed between the decision and the step (the server drains, the deduplication
  window ends). The step is refused, and counted separately.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from math import sqrt

from brambleplank.model import AttemptOutcome, DeduplicationScope, EndpointStatus, Idempotency, Settings
from brambleplank.records import Attempt, Request, Server

MAX_STALL = 0.15  # seconds for which this process may stall between reading its clock and writing
MAX_ANSWER_DELAY = 0.1  # seconds after its deadline at which a request without an answer is a violation
FEW_ATTEMPTS = 30  # in an overload window; below that, random variation matters more
MAX_DEVIATIONS_IF_FEW = 3  # allowed standard deviations above the mean, plus as many attempts
MAX_DEVIATIONS = 2  # the same for many attempts
NEVER_RAN = frozenset(
    (AttemptOutcome.FULL, AttemptOutcome.UNREACHABLE, AttemptOutcome.ABANDONED, AttemptOutcome.LOCAL_FAULT)
)


class InvariantKind(Enum):
    """The invariants that are checked."""

    # No attempts at a draining server, none after the final answer, and one at a time.
    SENDING = "sending"
    # No request takes effect twice.
    REPEATING = "repeating"
    # One final answer, in time and without a false promise.
    CLOSING = "closing"
    # No server is overloaded in slow start.
    STARTING = "starting"


class RequestInvariants:
    """Counts violations and crossings by kind of invariant; `report` logs a violation."""

    def __init__(self, settings: Settings, report: Callable[[str], None]) -> None:
        self.settings = settings
        self.report = report
        self.violations: Counter[InvariantKind] = Counter()
        self.crossings: Counter[InvariantKind] = Counter()
        self.sent: dict[Server, deque[float]] = {}  # times in the last window, by server in slow start

    def count_violation(self, invariant: InvariantKind, detail: str) -> None:
        """Counts a violation, and reports it if the count is a power of two."""
        self.violations[invariant] += 1
        count = self.violations[invariant]
        if count & (count - 1) == 0:  # 1, 2, 4, ...
            self.report(f"violation of {invariant.value}: {detail}; {count} so far")

    def summary(self) -> str:
        """Returns all counts, for a log line at exit."""
        broken = sum(self.violations.values())
        crossed = ", ".join(
            f"{invariant.value} {count}" for invariant, count in sorted_counts(self.crossings)
        )
        return f"{broken} violations; crossings: {crossed or 'none'}"

    # SENDING and REPEATING.

    def may_start_attempt(self, now: float, name: str, request: Request) -> bool:
        """Returns whether the request's newest attempt, as just requested by the decisions, may start."""
        attempt = request.attempts[-1]
        reason = self.reason_not_to_send(now, request, attempt)
        if reason:
            self.count_violation(InvariantKind.SENDING, f"{name} at {attempt.server.id}: {reason}")
            return False
        reason = self.reason_not_to_repeat(now, request, attempt)
        if reason:
            self.count_violation(InvariantKind.REPEATING, f"{name} at {attempt.server.id}: {reason}")
        return not reason

    def may_send_request(self, now: float, request: Request, attempt: Attempt) -> bool:
        """Returns whether the request may be written, now that the attempt's connection is established."""
        written_by = now + MAX_STALL
        if self.reason_not_to_send(written_by, request, attempt):
            self.crossings[InvariantKind.SENDING] += 1
            return False
        if self.reason_not_to_repeat(written_by, request, attempt):
            self.crossings[InvariantKind.REPEATING] += 1
            return False
        return True

    def reason_not_to_send(self, now: float, request: Request, attempt: Attempt) -> str:
        """Returns why the attempt must not be sent at that time; empty if it may."""
        server = attempt.server
        if request.answered:
            return "it already has its final answer"
        if any(not other.ended for other in request.attempts if other is not attempt):
            return "another attempt has not ended"
        if (
            server.status is not EndpointStatus.READY
            and now >= server.unready_since + self.settings.drain_grace
        ):
            return f"the server is {server.status.value} and its grace is over"
        return ""

    def reason_not_to_repeat(self, now: float, request: Request, attempt: Attempt) -> str:
        """Returns why the attempt could make the request take effect twice; empty if it cannot."""
        traffic_class = request.traffic_class
        others = [other for other in request.attempts if other is not attempt]
        possible_runs = [other for other in others if other.outcome not in NEVER_RAN]
        if not possible_runs or traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return ""
        first = possible_runs[0]
        if traffic_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return f"it may have run at {first.server.id}"
        if now >= first.sent + traffic_class.deduplication_window:
            return f"the window since {first.server.id} is over"
        if not recognize_repeats(traffic_class.deduplication_scope, first.server, attempt.server):
            scope = traffic_class.deduplication_scope.value
            return f"it may have run at {first.server.id}, in another {scope}"
        return ""

    # CLOSING.

    def request_rejected(self, name: str, request: Request) -> None:
        """Checks a reject, which promises the client that a retry is harmless."""
        traffic_class = request.traffic_class
        if traffic_class.idempotency is Idempotency.IDEMPOTENT or (
            traffic_class.idempotency is Idempotency.IDEMPOTENT_IN_GROUP
            and traffic_class.deduplication_scope is DeduplicationScope.ALL
        ):
            return
        for attempt in request.attempts:
            if attempt.outcome not in NEVER_RAN:
                self.count_violation(
                    InvariantKind.CLOSING, f"{name} rejected, but may have run at {attempt.server.id}"
                )
                return

    def request_unanswered(self, name: str, detail: str) -> None:
        """Counts a request without a final answer by its deadline, or by the end of its connection."""
        self.count_violation(InvariantKind.CLOSING, f"{name} {detail}")

    # STARTING.

    def attempt_started(self, now: float, server: Server, sustainable: float) -> None:
        """Checks an attempt of this process at a server in slow start.

        `sustainable` is the number of attempts per overload window that the server can currently sustain.
        This process alone must not exceed the limit for all proxies together.
        """
        if server not in self.sent:
            self.forget_warm_servers(now)
        sent = self.sent.setdefault(server, deque())
        sent.append(now)
        while sent[0] <= now - self.settings.overload_window:
            sent.popleft()
        deviations = MAX_DEVIATIONS_IF_FEW if sustainable < FEW_ATTEMPTS else MAX_DEVIATIONS
        limit = sustainable + deviations * sqrt(sustainable) + deviations
        if len(sent) > limit:
            self.count_violation(
                InvariantKind.STARTING,
                f"{len(sent)} attempts at {server.id} in slow start, limit for all proxies {limit:.1f}",
            )

    def forget_warm_servers(self, now: float) -> None:
        """Forgets the attempts at servers that are no longer in slow start."""
        for server in [
            server for server in self.sent if now >= server.started + self.settings.slow_start_time
        ]:
            del self.sent[server]


def recognize_repeats(scope: DeduplicationScope, one: Server, other: Server) -> bool:
    """Returns whether the servers drop each other's repeats, given the deduplication scope."""
    if scope is DeduplicationScope.ALL:
        return True
    return one.zone == other.zone if scope is DeduplicationScope.ZONE else one.cell == other.cell


def sorted_counts(counts: Counter[InvariantKind]) -> list[tuple[InvariantKind, int]]:
    """Returns the counts, sorted by name."""
    return sorted(counts.items(), key=lambda item: item[0].value)
