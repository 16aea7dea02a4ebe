"""The clock of a proxy, and its timers."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall

from brambleplank.net.loop import reactor

MAX_SLEW = 2.0  # seconds by which the wall clock gets ahead without having been stepped
STEP_SETTLED_AFTER = 900.0  # seconds for which a step forward must hold until dates follow it


class Clock:
    """Spans run on the monotonic clock alone; its zero is set once, so that logs read as Unix time."""

    def __init__(self) -> None:
        self.epoch_offset = time.time() - time.monotonic()
        self.date_offset = self.epoch_offset  # of dates to the monotonic clock
        self.stepped: tuple[float, float] | None = None  # an offset that is waited out, and since when

    def now(self) -> float:
        """Returns seconds on the monotonic clock, from a zero that lets them read as Unix time."""
        return self.epoch_offset + time.monotonic()

    @staticmethod
    def wall_time() -> float:
        """Returns Unix time as this machine has it now, to read or write what others write in it.

        It may be stepped at any time, so no rule rests on its difference to `now`.
        """
        return time.time()

    def settled_wall_time(self) -> float:
        """Returns Unix time for dates at which something begins: a step forward counts once it has held.

        A step back counts at once, as later than its date nothing begins that cannot be undone.
        """
        monotonic = time.monotonic()
        offset = self.wall_time() - monotonic
        if offset <= self.date_offset + MAX_SLEW:
            self.date_offset = offset
            self.stepped = None
        elif self.stepped is None or abs(offset - self.stepped[0]) > MAX_SLEW:
            self.stepped = offset, monotonic
        elif monotonic >= self.stepped[1] + STEP_SETTLED_AFTER:
            self.date_offset = offset
            self.stepped = None
        return self.date_offset + monotonic

    def adopt_epoch_offset(self, epoch_offset: float) -> None:
        """Goes on by the clock of another process of this machine, so that times of both can be compared."""
        self.epoch_offset = epoch_offset

    def call_later(self, delay: float, call: Callable[..., object], *what: Any) -> DelayedCall:
        """Calls after a delay in seconds."""
        call_made: DelayedCall = reactor.callLater(max(0.0, delay), call, *what)
        return call_made

    def call_after_reads(self, delay: float, call: Callable[..., object], *what: Any) -> CallAfterReads:
        """Calls after a delay in seconds, once what had arrived by then has been read.

        After a stall of this process timers come first, and would take what did arrive for missing.
        """
        return CallAfterReads(self, delay, call, what)


class CallAfterReads:
    """A call that is made one pass of the loop after its time; until then it can be cancelled."""

    def __init__(
        self, clock: Clock, delay: float, call: Callable[..., object], what: tuple[Any, ...]
    ) -> None:
        self.clock = clock
        self.call = call
        self.what = what
        self.timer = clock.call_later(delay, self.reads)

    def reads(self) -> None:
        """Lets the loop read before the call."""
        self.timer = self.clock.call_later(0, self.call, *self.what)

    def active(self) -> bool:
        """Returns whether the call is still to come."""
        return bool(self.timer.active())

    def cancel(self) -> None:
        """Drops the call."""
        self.timer.cancel()
