"""The clock and the timers of a proxy."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall

from brambleplank.net.loop import reactor

MAX_SLEW = 2.0  # seconds; a larger advance of the wall clock counts as a step
STEP_SETTLED_AFTER = 900.0  # seconds that a forward step must persist before dates follow it


class Clock:
    """A monotonic clock, offset once at the start so that its times read as Unix time in logs.

    All delays and durations use this clock.
    """

    def __init__(self) -> None:
        self.epoch_offset = time.time() - time.monotonic()
        self.settled_offset = self.epoch_offset  # settled wall time minus monotonic time
        # The offset after a forward step that is not settled yet, and the monotonic time of the step.
        self.pending_step: tuple[float, float] | None = None

    def now(self) -> float:
        """Returns the monotonic time in seconds, offset to read as Unix time."""
        return self.epoch_offset + time.monotonic()

    @staticmethod
    def wall_time() -> float:
        """Returns this machine's current Unix time, for timestamps exchanged with others.

        The wall clock may be stepped at any time, so no rule may depend on its difference to `now`.
        """
        return time.time()

    def settled_wall_time(self) -> float:
        """Returns Unix time for scheduled dates: a forward step takes effect after `STEP_SETTLED_AFTER`.

        A backward step takes effect at once: a late start is safe, while an early one cannot be undone.
        """
        monotonic = time.monotonic()
        offset = self.wall_time() - monotonic
        if offset <= self.settled_offset + MAX_SLEW:
            self.settled_offset = offset
            self.pending_step = None
        elif self.pending_step is None or abs(offset - self.pending_step[0]) > MAX_SLEW:
            self.pending_step = offset, monotonic
        elif monotonic >= self.pending_step[1] + STEP_SETTLED_AFTER:
            self.settled_offset = offset
            self.pending_step = None
        return self.settled_offset + monotonic

    def adopt_epoch_offset(self, epoch_offset: float) -> None:
        """Adopts the offset of another process of this machine, so that times of both are comparable."""
        self.epoch_offset = epoch_offset

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> DelayedCall:
        """Schedules a call after a delay in seconds."""
        delayed_call: DelayedCall = reactor.callLater(max(0.0, delay), callback, *args)
        return delayed_call

    def call_after_reads(self, delay: float, callback: Callable[..., object], *args: Any) -> CallAfterReads:
        """Schedules a call after a delay in seconds, once data that has arrived by then has been read.

        After a stall of this process, timers run before I/O, and would take data that did arrive for missing.
        """
        return CallAfterReads(self, delay, callback, args)


class CallAfterReads:
    """A scheduled call that runs one iteration of the event loop after its time; it can be cancelled."""

    def __init__(
        self, clock: Clock, delay: float, callback: Callable[..., object], args: tuple[Any, ...]
    ) -> None:
        self.clock = clock
        self.callback = callback
        self.args = args
        self.timer = clock.call_later(delay, self._call_after_next_read)

    def _call_after_next_read(self) -> None:
        """Defers the call by one iteration of the event loop, which reads first."""
        self.timer = self.clock.call_later(0, self.callback, *self.args)

    def active(self) -> bool:
        """Returns whether the call is still pending."""
        return bool(self.timer.active())

    def cancel(self) -> None:
        """Cancels the call."""
        self.timer.cancel()
