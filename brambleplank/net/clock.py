"""The one clock of a proxy, and its timers."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall

from brambleplank.net.loop import reactor


class Clock:
    """Unix time, since servers' starts are told in it, but never set back."""

    def __init__(self) -> None:
        self.anchor = time.time() - time.monotonic()

    def now(self) -> float:
        return self.anchor + time.monotonic()

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
