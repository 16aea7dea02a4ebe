"""Starts and stops the application of a sidecar, and notifies the service manager."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet import error
from twisted.internet.protocol import ProcessProtocol

from brambleplank.net.loop import reactor

SIGNAL_CODE_BASE = 128  # added to the signal number for the exit code of a killed process, as shells do


class Application(ProcessProtocol):
    """The application's process, which inherits the standard streams of the sidecar."""

    transport: Any

    def __init__(self, ended: Callable[[int], None]) -> None:
        self.ended = ended

    def start(self, command: list[str]) -> None:
        """Starts the process."""
        streams = {0: 0, 1: 1, 2: 2}
        reactor.spawnProcess(self, command[0], command, env=dict(os.environ), childFDs=streams)

    def signal(self, name: str) -> None:
        """Sends a signal, unless the process has ended."""
        with suppress(error.ProcessExitedAlready):
            self.transport.signalProcess(name)

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Reports the exit code."""
        code = reason.value.exitCode
        self.ended(code if code is not None else SIGNAL_CODE_BASE + (reason.value.signal or 0))


def notify(state: str) -> None:
    """Sends a state to the service manager, if one started this process (sd_notify(3))."""
    path = os.environ.get("NOTIFY_SOCKET")
    if not path or path[0] not in "/@":
        return
    address = "\0" + path[1:] if path[0] == "@" else path
    with suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC) as out:
        out.setblocking(False)
        out.sendto(state.encode(), address)
