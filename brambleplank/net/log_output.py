"""Writes log lines to a pipe or socket without ever waiting for its reader."""

from __future__ import annotations

import os
import select
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from stat import S_ISFIFO, S_ISSOCK

MAX_BUFFERED_BYTES = 256 * 1024
MAX_EXIT_WAIT = 0.2  # seconds that the process waits at its end for a reader that does not read


class LogOutput:
    """Buffers lines while the reader does not read, up to a limit.

    A blocking write would stop the process, and so all its clients, for as long as the pipe is full.
    """

    def __init__(self, descriptor: int, send: Callable[[bytes], int]) -> None:
        """`send` writes what it can to the descriptor, and raises BlockingIOError if that is nothing."""
        self._descriptor = descriptor
        self._send = send
        self._buffer = b""

    def write_line(self, line: str) -> bool:
        """Writes or buffers a line; returns False if the buffer is full and the line was dropped."""
        data = f"{line}\n".encode(errors="replace")
        self.flush()
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            return False
        self._buffer += data
        self.flush()
        return True

    def flush(self) -> None:
        """Writes as much of the buffer as the reader has room for."""
        if not self._buffer:
            return
        try:
            sent = self._send(self._buffer)
        except BlockingIOError:
            return
        except OSError:
            sent = len(self._buffer)  # the reader is gone
        self._buffer = self._buffer[sent:]

    def drain(self) -> None:
        """Writes the buffer at the end of the process; gives up if the reader does not read."""
        poller = select.poll()
        poller.register(self._descriptor, select.POLLOUT)
        deadline = time.monotonic() + MAX_EXIT_WAIT
        while self._buffer and (time_left := deadline - time.monotonic()) > 0:
            poller.poll(time_left * 1000)
            self.flush()


def open_log_output(descriptor: int) -> LogOutput | None:
    """Returns an output to the same pipe or socket; None for a file or terminal, or if there is no reader.

    The descriptor itself stays as it is: other processes may share its flags, and would fail to write if it
    did not block.
    """
    mode = os.fstat(descriptor).st_mode
    if S_ISSOCK(mode):
        shared = socket.socket(fileno=os.dup(descriptor))
        return LogOutput(shared.fileno(), lambda data: shared.send(data, socket.MSG_DONTWAIT))
    if not S_ISFIFO(mode):
        return None
    with suppress(OSError):
        own = os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK)
        return LogOutput(own, lambda data: os.write(own, data))
    return None
