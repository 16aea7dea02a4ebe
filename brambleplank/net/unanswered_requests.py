"""Detects requests that the decisions did not answer in time, and answers them."""

from __future__ import annotations

from collections.abc import Callable, Collection

from brambleplank.decisions.request_invariants import MAX_ANSWER_DELAY, RequestInvariants
from brambleplank.interfaces import ClientConnection
from brambleplank.net.clock import Clock
from brambleplank.net.message_times import SWEEP_INTERVAL


class UnansweredRequests:
    """Sweeps the clients for overdue requests; `answer` gives a client its final answer."""

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
        self._suspects: set[ClientConnection] = set()  # overdue at the last sweep

    def sweep(self) -> None:
        """Answers requests that are overdue in two consecutive sweeps, and schedules the next sweep.

        After a stall of this process, timers run before I/O, so the first sweep may precede the reading of an
        answer.
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
