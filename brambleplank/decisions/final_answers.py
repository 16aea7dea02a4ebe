"""The final answer to a request that gets no further attempt."""

from __future__ import annotations

from brambleplank.decisions.context import Context
from brambleplank.model import DeduplicationScope, Idempotency, RejectReason
from brambleplank.records import Request

SHORTEST_PAUSE_SHARE = 0.5  # of the longest retry-after; the rest is random, to spread the retries


class FinalAnswers:
    """Rejects or aborts requests."""

    def __init__(self, context: Context) -> None:
        self.context = context

    def reject_or_abort(self, request: Request, reason: RejectReason) -> None:
        """Rejects the request if a retry is harmless; else aborts it, which promises nothing."""
        request.answered = True
        request.reject_reason = reason
        if is_retry_harmless(request):
            self.context.host.reject(request, self.retry_after())
        else:
            self.context.host.abort(request)

    def retry_after(self) -> float:
        """Returns the seconds after which the client should retry; 0 if the settings allow no such advice."""
        settings = self.context.settings
        if not settings.may_send_retry_after:
            return 0.0
        return self.context.rng.uniform(SHORTEST_PAUSE_SHARE, 1.0) * settings.max_retry_after


def is_retry_harmless(request: Request) -> bool:
    """Returns whether the client can retry the request without it taking effect twice."""
    traffic_class = request.traffic_class
    if traffic_class.idempotency is Idempotency.IDEMPOTENT or request.may_have_run is None:
        return True
    return (
        traffic_class.idempotency is Idempotency.IDEMPOTENT_IN_GROUP
        and traffic_class.deduplication_scope is DeduplicationScope.ALL
    )
