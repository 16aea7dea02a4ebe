"""Faults of this machine: system calls that fail for want of something here, which is no server's doing."""

from __future__ import annotations

import errno
import os
import time
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from twisted.internet.error import ConnectError

from brambleplank.errors import BrambleplankError
from brambleplank.net.log import is_logged_occurrence

Created = TypeVar("Created")
RETRY_INTERVAL = 0.02  # seconds, at a start; nothing else runs in this process yet
# Of a connect call: raised before anything left this machine, or for want of something that only it has.
LOCAL_CONNECT_ERRORS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENETDOWN,
        errno.EACCES,
        errno.EPERM,
        errno.EINTR,
    )
)
# The same if the call itself fails; of a connection that was on its way they come from the network.
LOCAL_IMMEDIATE_CONNECT_ERRORS = LOCAL_CONNECT_ERRORS | {errno.ENETUNREACH}
# Of a socket that is made or bound: usually over soon.
TRANSIENT_ERRORS = frozenset(
    (errno.EADDRINUSE, errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
# Of an accept: of the one connection that was to be accepted.
SINGLE_CONNECTION_ACCEPT_ERRORS = frozenset((errno.ECONNABORTED, errno.EPERM, errno.EPROTO, errno.EINTR))


class LocalConnectError(BrambleplankError, ConnectError):
    """A connect call failed on this machine; nothing of it has reached a server."""

    ADVICE = "look at this machine's descriptors, ports, routes and firewall; servers are not at fault"

    def __init__(self, call: str, number: int = 0) -> None:
        super().__init__(f"{call}: {os.strerror(number)}")
        self.call = call
        self.number = number


def retry_transient(create: Callable[[], Created], timeout: float) -> Created:
    """Calls again for `within` seconds while a transient fault of this machine is in the way.

    It blocks, so only a start may use it. Raises OSError.
    """
    deadline = time.monotonic() + timeout
    while True:
        try:
            return create()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= deadline:
                raise
        time.sleep(RETRY_INTERVAL)


class LocalFaults:
    """Counts them, and logs the first, the second, the fourth and so on of each kind."""

    def __init__(self, write_line: Callable[[str], None]) -> None:
        self._write_line = write_line
        self.counts: Counter[tuple[str, str]] = Counter()

    def record(self, call: str, number: int | None) -> None:
        """Counts a system call of this name that failed with this errno."""
        name = errno.errorcode.get(number or 0, str(number))
        self.counts[call, name] += 1
        count = self.counts[call, name]
        if is_logged_occurrence(count):
            self._write_line(f"machine: {call} failed with {name}, {count} so far; no server is judged by it")
