"""A Unix socket to listen on: one that a killed proxy left behind is replaced, one that is in use is not."""

from __future__ import annotations

import fcntl
import os
import socket
import stat
from pathlib import Path
from typing import Any

from twisted.internet import unix

from brambleplank.errors import BrambleplankError
from brambleplank.net.buffers import PausableListener, PooledConnection


class SocketPathError(BrambleplankError):
    """The path is not free; the text says why."""

    ADVICE = "end what listens there, or name another path"


class UnixIncoming(PooledConnection, unix.Server):
    """A client's connection on a Unix socket."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Does nothing: a Unix socket delays nothing."""


class UnixListener(PausableListener, unix.Port):
    """Accepts as many connections as its factory has room for; the others wait in the kernel."""

    transport = UnixIncoming


class SocketPathLock:
    """The right to a path, held by a lock beside it for as long as this process lives.

    Two sidecars that both found a socket left behind would otherwise each remove the other's. The kernel
    releases the lock when its holder is killed, so a socket without a holder is known to be left behind.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self.lock = os.open(f"{path}.lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise SocketPathError(f"{path}.lock: {error.strerror}") from None
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.remove_stale_socket()
        except OSError:
            os.close(self.lock)
            raise SocketPathError(f"{path}: held by a living sidecar") from None
        except SocketPathError:
            os.close(self.lock)
            raise

    def remove_stale_socket(self) -> None:
        """Removes the socket that a killed sidecar left at the path. Raises SocketPathError."""
        try:
            kind = os.lstat(self.path).st_mode
        except FileNotFoundError:
            return
        if not stat.S_ISSOCK(kind):
            raise SocketPathError(f"{self.path}: there, and no socket")
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as caller:
            caller.settimeout(0.2)
            try:
                caller.connect(self.path)
            except ConnectionRefusedError:
                Path(self.path).unlink()
                return
            except OSError as error:
                raise SocketPathError(f"{self.path}: {error.strerror or 'does not answer'}") from None
        raise SocketPathError(f"{self.path}: another program listens there")

    def release(self) -> None:
        """Releases the path. The lock's file stays: another process could hold a lock on a removed one."""
        os.close(self.lock)


def create_unix_listener(
    claim: SocketPathLock, factory: Any, backlog: int, mode: int, reactor: Any
) -> UnixListener:
    """Returns a unix_listener at a claimed path; `mode` is that of the socket's file."""
    path: Any = claim.path  # Twisted's types ask for bytes, its code takes both
    return UnixListener(path, factory, backlog, mode, reactor)
