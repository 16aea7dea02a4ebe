"""Listening on a Unix socket; a stale socket of a killed process is replaced, one in use is not."""

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
    """The socket path cannot be used; the text gives the reason."""

    ADVICE = "stop the program that listens there, or configure another path"


class UnixClientTransport(PooledConnection, unix.Server):
    """The transport of a client connection on a Unix socket."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Does nothing: TCP_NODELAY does not apply to Unix sockets."""


class UnixListener(PausableListener, unix.Port):
    """Accepts client connections on a Unix socket."""

    transport = UnixClientTransport


class SocketPathLock:
    """An exclusive lock on a socket path, held on a file beside it until it is released or the process ends.

    Without it, two sidecars that find a stale socket could each remove the other's new one. The kernel
    releases the lock when its holder is killed, so a socket whose lock is free is stale.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self.lock_descriptor = os.open(f"{path}.lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise SocketPathError(f"{path}.lock: {error.strerror}") from None
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.remove_stale_socket()
        except OSError:
            os.close(self.lock_descriptor)
            raise SocketPathError(f"{path}: in use by another sidecar") from None
        except SocketPathError:
            os.close(self.lock_descriptor)
            raise

    def remove_stale_socket(self) -> None:
        """Removes a socket that a killed sidecar left at the path, nothing else. Raises SocketPathError."""
        try:
            mode = os.lstat(self.path).st_mode
        except FileNotFoundError:
            return
        if not stat.S_ISSOCK(mode):
            raise SocketPathError(f"{self.path}: exists and is not a socket")
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
            client.settimeout(0.2)
            try:
                client.connect(self.path)
            except ConnectionRefusedError:
                Path(self.path).unlink()
                return
            except OSError as error:
                raise SocketPathError(f"{self.path}: {error.strerror or 'does not answer'}") from None
        raise SocketPathError(f"{self.path}: another program listens there")

    def release(self) -> None:
        """Releases the lock. Its file stays: another process could lock a file that was just removed."""
        os.close(self.lock_descriptor)


def create_unix_listener(
    path_lock: SocketPathLock, factory: Any, backlog: int, mode: int, reactor: Any
) -> UnixListener:
    """Returns a listener at a locked path; `mode` is the mode of the socket file."""
    path: Any = path_lock.path  # Twisted's types require bytes, its code accepts both
    return UnixListener(path, factory, backlog, mode, reactor)
