"""The one clock of a proxy, and its timers."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall

from brambleplank.net.loop import reactor


class Clock:
    """Spans run on the monotonic clock alone; its zero is set once, so that logs read as Unix time."""

    def __init__(self) -> None:
        self.anchor = time.time() - time.monotonic()

    def now(self) -> float:
        return self.anchor + time.monotonic()

    @staticmethod
    def wall() -> float:
        """Unix time as this machine has it now, to understand or write what others write in it.

        It may be stepped at any time, so no rule rests on its difference to `now`.
        """
        return time.time()

    def adopt(self, anchor: float) -> None:
        """Goes on by the clock of another process of this machine, so that times of both can be compared."""
        self.anchor = anchor

    def later(self, delay: float, call: Callable[..., object], *what: Any) -> DelayedCall:
        call_made: DelayedCall = reactor.callLater(max(0.0, delay), call, *what)
        return call_made

    def after_reads(self, delay: float, call: Callable[..., object], *what: Any) -> Later:
        """Calls once what had arrived by then has been read.

        Danger: after a stall of this process timers come first, and would speak of what did come as missing.
        """
        return Later(self, delay, call, what)


class Later:
    """A call that is made one pass of the loop after its time; until then it may be called off."""

    def __init__(
        self, clock: Clock, delay: float, call: Callable[..., object], what: tuple[Any, ...]
    ) -> None:
        self.clock, self.call, self.what = clock, call, what
        self.timer = clock.later(delay, self.reads)

    def reads(self) -> None:
        self.timer = self.clock.later(0, self.call, *self.what)

    def active(self) -> bool:
        return bool(self.timer.active())

    def cancel(self) -> None:
        self.timer.cancel()
