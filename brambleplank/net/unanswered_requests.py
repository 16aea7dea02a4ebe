"""Finds requests that the decisions have left without an answer, and has each answered."""

from __future__ import annotations

from collections.abc import Callable, Collection

from brambleplank.decisions.request_invariants import MAX_ANSWER_DELAY, RequestInvariants
from brambleplank.interfaces import ClientConnection
from brambleplank.net.clock import Clock
from brambleplank.net.message_times import SWEEP_INTERVAL


class UnansweredRequests:
    """Looks for such requests; `answer` gives one its final answer."""

    def __init__(
        self,
        clock: Clock,
        invariants: RequestInvariants,
        clients: Collection[ClientConnection],
        answer: Callable[[ClientConnection], None],
    ) -> None:
        self._clock = clock
        self._invariants = invariants
        self._clients = clients
        self._answer = answer
        self._suspects: set[ClientConnection] = set()  # that were overdue at the last sweep

    def sweep(self) -> None:
        """Answers what is overdue twice in a row; repeats itself.

        After a stall of this process timers come first: the first look is made before answers are read.
        """
        self._clock.call_later(SWEEP_INTERVAL, self.sweep)
        now = self._clock.now()
        suspects = self._suspects
        self._suspects = set()
        for client in list(self._clients):
            if (
                now < client.answer_deadline + MAX_ANSWER_DELAY
                or client.end_code
                or client.established_upstream is not None
            ):
                continue
            if client not in suspects:
                self._suspects.add(client)
                continue
            self._invariants.request_unanswered(
                client.id, f"had no answer {now - client.answer_deadline:.3f} s after its time"
            )
            self._answer(client)
