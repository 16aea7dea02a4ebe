"""Signal handling at the start and the end of a process, while its reactor is not running."""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

from brambleplank.net.loop import reactor


class EarlyReload:
    """Records a SIGHUP received before the process can reload its configuration.

    Otherwise the signal would be lost, and the process would run with a configuration that has been replaced.
    """

    def __init__(self) -> None:
        self.pending = False
        signal.signal(signal.SIGHUP, self.handle_signal)

    def handle_signal(self, signal_number: int, frame: FrameType | None) -> None:  # noqa: ARG002
        """Records the signal."""
        self.pending = True

    def install(self, reload: Callable[[], None]) -> None:
        """Makes SIGHUP call `reload` in the reactor, and calls it once if a signal was received before."""
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
        if self.pending:
            reactor.callFromThread(reload)


def block_exit_signals() -> None:
    """Blocks SIGHUP and SIGTERM: at exit, Python restores their defaults, and one would set the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))
