"""Signals at the start or the end of a process, where its reactor does not run yet, or no longer."""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

from brambleplank.net.loop import reactor


class EarlyReload:
    """Remembers a SIGHUP that comes before the configuration can be read again.

    Otherwise it would be lost, and this process would go on with a file that was replaced in between.
    """

    def __init__(self) -> None:
        self.pending = False
        signal.signal(signal.SIGHUP, self.handle_signal)

    def handle_signal(self, number: int, frame: FrameType | None) -> None:  # noqa: ARG002
        """Handles the signal."""
        self.pending = True

    def install(self, reload: Callable[[], None]) -> None:
        """From here on has the reactor read it again, and once at its start if a signal came meanwhile."""
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
        if self.pending:
            reactor.callFromThread(reload)


def block_exit_signals() -> None:
    """Blocks signals: Python restores their default action as it ends; one more would set the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))
