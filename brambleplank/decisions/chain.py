"""The chain of stages that a request passes on its way to a server."""

from __future__ import annotations

from brambleplank.decisions.capacity_shortage import CapacityShortage
from brambleplank.decisions.concurrency_limiter import ConcurrencyLimiter
from brambleplank.decisions.context import Context
from brambleplank.decisions.deadline import DeadlineStage
from brambleplank.decisions.dispatch import Dispatcher
from brambleplank.decisions.draining import DrainStage
from brambleplank.decisions.final_answers import FinalAnswers
from brambleplank.decisions.idempotency import IdempotencyStage
from brambleplank.decisions.load_relief import LoadRelief
from brambleplank.decisions.migration import Migration
from brambleplank.decisions.outlier_ejection import OutlierEjection
from brambleplank.decisions.overload import OverloadDetector
from brambleplank.decisions.placement import Placement
from brambleplank.decisions.recovery_ramp import RecoveryRamp
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.decisions.sessions import Sessions
from brambleplank.decisions.slow_start import SlowStart, SlowStartBudget
from brambleplank.decisions.stage import Stage
from brambleplank.model import AttemptOutcome
from brambleplank.records import Attempt, Request


class StageChain:
    """Passes requests through the stages in order, and outcomes of attempts in reverse order."""

    def __init__(
        self, context: Context, server_pool: ServerPool, sessions: Sessions, migration: Migration
    ) -> None:
        answers = FinalAnswers(context)
        self.shortage = CapacityShortage(context, server_pool)
        self.concurrency_limiter = ConcurrencyLimiter(context, self.admit)
        self.deadline = DeadlineStage(context, self.admit, answers, self.concurrency_limiter)
        self.slow_start = SlowStart(context, self.admit, server_pool, SlowStartBudget(context, server_pool))
        self.outlier_ejection = OutlierEjection(context, server_pool.endpoints, self.concurrency_limiter)
        relief = LoadRelief(context, server_pool, self.shortage, migration)
        self.overload = OverloadDetector(context, server_pool, self.shortage, relief, migration)
        later_stages: list[Stage] = [
            DrainStage(context),
            IdempotencyStage(context),
            self.slow_start,
            self.outlier_ejection,
            self.overload,
            RecoveryRamp(context),
            Dispatcher(context, server_pool, self.concurrency_limiter, self.outlier_ejection, sessions),
        ]
        placement = Placement(context, answers, server_pool, self.shortage, later_stages)
        self.stages: list[Stage] = [self.deadline, self.concurrency_limiter, placement, *later_stages]

    def admit(self, now: float, request: Request) -> None:
        """Passes the request through the stages, until one of them queues or ends it."""
        for stage in self.stages:
            if not stage.admit(now, request):
                return

    def attempt_established(self, now: float, attempt: Attempt, delay: float) -> None:
        """Notifies the stages, last one first, of an established attempt."""
        for stage in reversed(self.stages):
            stage.attempt_established(now, attempt, delay)

    def attempt_ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome, delay: float) -> None:
        """Notifies the stages, last one first, of the end of an attempt or its session."""
        for stage in reversed(self.stages):
            stage.attempt_ended(now, attempt, outcome, delay)
