"""Local faults: system calls that fail because of this machine and are not attributed to servers."""

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
RETRY_INTERVAL = 0.02  # seconds; only used at startup, while nothing else runs in this process
# Errors of connect that occur before a packet is sent, or for lack of a resource of this machine.
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
# The same for errors that the call returns at once; later, ENETUNREACH comes from the network.
LOCAL_IMMEDIATE_CONNECT_ERRORS = LOCAL_CONNECT_ERRORS | {errno.ENETUNREACH}
# Errors of creating or binding a socket that usually pass soon.
TRANSIENT_ERRORS = frozenset(
    (errno.EADDRINUSE, errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
# Errors of accept that concern a single connection; the next one can be accepted at once.
SINGLE_CONNECTION_ACCEPT_ERRORS = frozenset((errno.ECONNABORTED, errno.EPERM, errno.EPROTO, errno.EINTR))


class LocalConnectError(BrambleplankError, ConnectError):
    """A connect failed on this machine; nothing was sent to the server."""

    ADVICE = "check this machine's descriptors, ports, routes and firewall; servers are not at fault"

    def __init__(self, call: str, error_number: int = 0) -> None:
        super().__init__(f"{call}: {os.strerror(error_number)}")
        self.call = call
        self.error_number = error_number


def retry_transient(create: Callable[[], Created], timeout: float) -> Created:
    """Calls `create`, and retries transient errors of this machine for `timeout` seconds.

    It blocks, so it may only be used at startup. Raises OSError.
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
    """Counts local faults by system call and errno, and logs the 1st, 2nd, 4th, 8th and so on of each."""

    def __init__(self, write_line: Callable[[str], None]) -> None:
        self._write_line = write_line
        self.counts: Counter[tuple[str, str]] = Counter()

    def record(self, call: str, error_number: int | None) -> None:
        """Records a failed system call with its errno."""
        name = errno.errorcode.get(error_number or 0, str(error_number))
        self.counts[call, name] += 1
        count = self.counts[call, name]
        if is_logged_occurrence(count):
            self._write_line(
                f"machine: {call} failed with {name}, {count} so far; not counted against servers"
            )
