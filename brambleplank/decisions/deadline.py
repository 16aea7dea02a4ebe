"""Ensures one final answer to each request before its deadline."""

from __future__ import annotations

from functools import partial

from brambleplank.decisions.concurrency_limiter import ConcurrencyLimiter
from brambleplank.decisions.context import Context
from brambleplank.decisions.final_answers import FinalAnswers
from brambleplank.decisions.stage import Place, Stage
from brambleplank.model import AttemptOutcome, RejectReason
from brambleplank.records import Attempt, Request

MAX_LOCAL_FAULTS = 16  # attempts of a request that may fail on this machine
RESERVED_DESCRIPTOR_SHARE = 1 / 8  # share of all descriptors, reserved for answers and the endpoint list


class DeadlineStage(Stage):
    """Retries failed attempts, and answers a request as soon as no further attempt is possible."""

    def __init__(
        self, context: Context, place: Place, answers: FinalAnswers, limiter: ConcurrencyLimiter
    ) -> None:
        super().__init__(context)
        self.place = place
        self.answers = answers
        self.limiter = limiter
        self.delayed_retries: dict[Request, None] = {}  # requests, after a local fault

    def admit(self, now: float, request: Request) -> bool:
        """Gives a request its final answer if it may have no further attempt."""
        reason = self.find_reject_reason(now, request)
        if reason is not None:
            self.answers.reject_or_abort(request, reason)
        return reason is None

    def find_reject_reason(self, now: float, request: Request) -> RejectReason | None:
        """Returns why the request may have no further attempt; None if it may."""
        # Without a descriptor left, the proxy could neither connect, accept, nor follow the endpoint list.
        if self.host.free_descriptor_share() <= RESERVED_DESCRIPTOR_SHARE:
            return RejectReason.DESCRIPTORS
        if request.deadline - self.context.deadline_margin - now <= 0:
            return RejectReason.DEADLINE
        if request.attempts_sent >= request.traffic_class.max_attempts:
            return RejectReason.ATTEMPTS
        return None

    def start_timer(self, now: float, request: Request) -> None:
        """Schedules the expiry of the request shortly before its deadline."""
        time_left = max(0.0, request.deadline - self.context.deadline_margin - now)
        self.expire_after(time_left, request)

    def expire_after(self, seconds: float, request: Request) -> None:
        """Schedules the expiry of the request after that many seconds."""
        self.host.call_later(seconds, partial(self.expire, request=request))

    def expire(self, _now: float, request: Request) -> None:
        """Gives an expired request its final answer, unless it is established or answered."""
        attempt = request.active_attempt
        if request.answered or (attempt and attempt.established):
            return
        was_queued = self.limiter.remove(request)
        if attempt and self.settings.may_cancel_attempts:
            self.host.cancel_attempt(request, len(request.attempts) - 1)
        self.answers.reject_or_abort(
            request, RejectReason.CONCURRENCY_LIMIT if was_queued else RejectReason.DEADLINE
        )

    def attempt_ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome, _delay: float) -> None:
        """Retries the request, unless it failed with an error and the retry budget is exhausted."""
        request = attempt.request
        if request.answered:
            return
        if outcome is AttemptOutcome.LOCAL_FAULT:
            self.retry_after_local_fault(request)
            return
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT):
            self.limiter.spend_retry()
        if outcome is AttemptOutcome.ERROR and self.limiter.retry_budget < 0:
            self.answers.reject_or_abort(request, RejectReason.RETRY_BUDGET)
        else:
            self.place(now, request)

    def retry_after_local_fault(self, request: Request) -> None:
        """Retries after an attempt that failed on this machine: at once, then after doubling delays."""
        if request.local_faults > MAX_LOCAL_FAULTS:
            self.answers.reject_or_abort(request, RejectReason.LOCAL_FAULTS)
            return
        pause = 0.0
        if request.local_faults > 1:
            max_pause = request.traffic_class.deadline / MAX_LOCAL_FAULTS
            pause = min(max_pause, self.settings.tick * 2 ** (request.local_faults - 1))
        self.delayed_retries[request] = None
        self.host.call_later(pause, partial(self.resume, request=request))

    def resume(self, now: float, request: Request) -> None:
        """Places a request whose delay is over."""
        self.delayed_retries.pop(request, None)
        if not request.answered:
            self.place(now, request)
