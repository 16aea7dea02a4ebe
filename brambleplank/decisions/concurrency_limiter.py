"""A limit on concurrent attempts over all servers, and a retry budget."""

from __future__ import annotations

from brambleplank.decisions.context import Context
from brambleplank.decisions.stage import Place, Stage
from brambleplank.model import AttemptOutcome
from brambleplank.records import Attempt, DecayingCounter, Request

INITIAL_FLEET_LIMIT = 128  # concurrent attempts of all proxies at a start
MIN_FLEET_LIMIT = 16  # lowest limit, in concurrent attempts of all proxies; one per proxy if that is less
MAX_RETRY_BUDGET = 4.0  # retries that may be saved up
RETRIES_PER_ESTABLISHED_ATTEMPT = 1 / 8  # retries that an established attempt adds to the budget
LATE_DEADLINE_SHARE = 1 / 2  # share of the deadline after which an established attempt counts as late
FAILURES = (AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED)


class ConcurrencyLimiter(Stage):
    """Limits concurrent attempts to what is answered in time; other requests wait in a queue.

    The servers share a backend. Once that is overloaded, retries would keep it overloaded even after the
    cause has gone.
    """

    def __init__(self, context: Context, place: Place) -> None:
        super().__init__(context)
        self.place = place
        self.concurrent_attempts = 0
        self.limit = max(1.0, INITIAL_FLEET_LIMIT / self.settings.proxies)
        self.timely_attempts = DecayingCounter()
        self.late_attempts = DecayingCounter()
        self.halved_at = 0.0
        self.paused_until = 0.0  # a limit below one attempt is applied as pauses between attempts
        self.retry_budget = MAX_RETRY_BUDGET / self.settings.proxies
        self.queue: dict[Request, None] = {}

    def restore_limit(self, limit: float) -> None:
        """Restores the limit of a previous process of this proxy."""
        self.limit = limit

    def has_capacity(self, now: float) -> bool:
        """Returns whether another attempt may be started."""
        return now >= self.paused_until and self.concurrent_attempts < self.limit

    def admit(self, now: float, request: Request) -> bool:
        """Queues the request if the limit is reached, unless it is a resumed session's first attempt."""
        if self.has_capacity(now) or (request.resumed and not request.attempts):
            return True
        self.queue[request] = None
        return False

    def remove(self, request: Request) -> bool:
        """Removes the request from the queue. Returns whether it was queued."""
        was_queued = request in self.queue
        self.queue.pop(request, None)
        return was_queued

    def admit_queued(self, now: float) -> None:
        """Places queued requests as far as the limit allows."""
        while self.queue and self.has_capacity(now):
            # Newest first: the oldest may no longer be answered in time.
            newest, _ = self.queue.popitem()
            self.place(now, newest)

    def spend_retry(self) -> None:
        """Takes one retry from the budget."""
        self.retry_budget -= 1

    def attempt_started(self) -> None:
        """Counts a new attempt."""
        self.concurrent_attempts += 1

    def attempt_established(self, now: float, attempt: Attempt, delay: float) -> None:
        """Adds to the retry budget; raises the limit if it is reached and the attempt met its objective."""
        self.retry_budget = min(
            MAX_RETRY_BUDGET, max(0.0, self.retry_budget) + RETRIES_PER_ESTABLISHED_ATTEMPT
        )
        traffic_class = attempt.request.traffic_class
        if delay > traffic_class.deadline * LATE_DEADLINE_SHARE:
            self.count_late_attempt(now, attempt)
        else:
            self.timely_attempts.add(now, traffic_class.deadline)
            if delay <= traffic_class.latency_objective and self.concurrent_attempts >= self.limit:
                self.raise_limit()
        self.release()

    def raise_limit(self) -> None:
        """Raises the limit by one attempt, or doubles a limit below one."""
        if self.limit < 1 <= 2 * self.limit:
            self.host.log("concurrency limit at one again: attempts are answered")
        self.limit += min(1.0, self.limit)

    def attempt_ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome, _delay: float) -> None:
        """Counts the end of an attempt that was never established."""
        if attempt.established:
            return
        if outcome in FAILURES:
            self.count_late_attempt(now, attempt)
        self.release()

    def release(self) -> None:
        """Counts an answered or failed attempt, and schedules queued requests."""
        self.concurrent_attempts -= 1
        if self.queue:
            self.host.call_later(0.0, self.admit_queued)

    def count_late_attempt(self, now: float, attempt: Attempt) -> None:
        """Counts a failed or late attempt, and halves the limit if most attempts are.

        Attempts sent before the limit was last halved do not halve it again.
        """
        deadline = attempt.request.traffic_class.deadline
        self.late_attempts.add(now, deadline)
        if self.is_congested(now, deadline) and attempt.sent >= self.halved_at:
            self.halve_limit(now, deadline)

    def halve_limit(self, now: float, deadline: float) -> None:
        """Halves the limit, down to the minimum; if it is below one attempt, pauses new attempts."""
        min_limit = min(1.0, MIN_FLEET_LIMIT / self.settings.proxies)
        previous_limit = self.limit
        self.halved_at = now
        self.limit = max(min_limit, self.limit / 2)
        if self.limit < 1 <= previous_limit:
            self.host.log("concurrency limit below one: most attempts fail at every server")
        if self.limit < 1:
            pause = deadline * (1 / self.limit - 1) * self.context.rng.uniform(0.5, 1.5)
            self.paused_until = now + pause
            self.host.call_later(pause, self.admit_queued)

    def is_congested(self, now: float, period: float) -> bool:
        """Returns whether most recent attempts, at all servers, failed or were late."""
        return self.late_attempts.value(now, period) > self.timely_attempts.value(now, period)
