"""The last stage of the chain, which starts the attempts."""

from __future__ import annotations

from brambleplank.decisions.concurrency_limiter import ConcurrencyLimiter
from brambleplank.decisions.context import Context
from brambleplank.decisions.outlier_ejection import OutlierEjection
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.decisions.sessions import Sessions
from brambleplank.decisions.stage import Stage
from brambleplank.model import AttemptOutcome
from brambleplank.records import Attempt, Request

MAX_WAIT_RESPONSE_TIMES = 4  # usual response times that an attempt may take if that exceeds the objective
NEVER_RAN = frozenset(
    (AttemptOutcome.FULL, AttemptOutcome.UNREACHABLE, AttemptOutcome.ABANDONED, AttemptOutcome.LOCAL_FAULT)
)


class Dispatcher(Stage):
    """Starts attempts and records their outcomes."""

    def __init__(
        self,
        context: Context,
        server_pool: ServerPool,
        limiter: ConcurrencyLimiter,
        outlier_ejection: OutlierEjection,
        sessions: Sessions,
    ) -> None:
        super().__init__(context)
        self.server_pool = server_pool
        self.limiter = limiter
        self.outlier_ejection = outlier_ejection
        self.sessions = sessions

    def admit(self, now: float, request: Request) -> bool:
        """Starts an attempt at the request's target."""
        attempt = Attempt(request, request.target, now)
        request.attempts.append(attempt)
        request.may_have_run = request.may_have_run or attempt
        attempt.server.pending_attempts[attempt] = None
        self.server_pool.counts.add(attempt.server, 1)
        self.limiter.attempt_started()
        self.host.start_attempt(request, attempt.server, self.max_wait(now, request))
        return True

    def max_wait(self, now: float, request: Request) -> float:
        """Returns the timeout of the newest attempt, in seconds."""
        time_left = request.deadline - self.context.deadline_margin - now
        is_last = request.attempts_sent >= request.traffic_class.max_attempts
        if is_last or self.limiter.retry_budget < 1:
            return time_left  # An early timeout would load a slow shared backend twice.
        usual = MAX_WAIT_RESPONSE_TIMES * self.outlier_ejection.usual_response_time
        return min(max(request.traffic_class.latency_objective, usual), time_left / 2)

    def attempt_established(self, now: float, attempt: Attempt, _delay: float) -> None:
        """Removes the attempt from the pending ones and counts its session."""
        attempt.server.pending_attempts.pop(attempt, None)
        self.sessions.session_established(now, attempt)

    def attempt_ended(self, _now: float, attempt: Attempt, outcome: AttemptOutcome, _delay: float) -> None:
        """Records the outcome. From here on, the request no longer resumes its previous session."""
        request = attempt.request
        attempt.outcome = outcome
        attempt.ended = True
        request.resumed = False
        if outcome is AttemptOutcome.LOCAL_FAULT:
            request.local_faults += 1
        self.server_pool.groups.leave(request)
        attempt.server.pending_attempts.pop(attempt, None)
        self.server_pool.counts.add(attempt.server, -1)
        if request.may_have_run is attempt and outcome in NEVER_RAN:
            request.may_have_run = None
