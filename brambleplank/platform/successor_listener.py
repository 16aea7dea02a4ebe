"""The Unix socket that accepts the takeover request of the next process of this proxy."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from typing import Any

from twisted.internet import unix
from twisted.internet.protocol import Factory

from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy
from brambleplank.platform.socket_path import ShortSocketPath

RETRY_INTERVAL = 1.0  # seconds until the next attempt, if the socket cannot be opened
BACKLOG = 4


class SuccessorListener:
    """Listens for the successor at a path that all processes of this proxy use in turn."""

    def __init__(self, proxy: Proxy, path: str, channels: Factory) -> None:
        self.proxy = proxy
        self.path = path
        self.channels = channels
        self.port: Any = None  # a Twisted port; ports made from a descriptor have no type hints

    def listen(self) -> None:
        """Listens for a successor; called again after a successor that had taken the path has ended."""
        if self.port:
            self.port.stopListening()
        try:
            listening = self.listening_socket()
        except OSError as error:
            self.proxy.log(f"upgrade: cannot listen for the next process: {error.strerror}; trying again")
            self.port = None
            self.proxy.clock.call_later(RETRY_INTERVAL, self.listen)
            return
        adopt: Any = unix.Port._fromListeningDescriptor
        self.port = adopt(reactor, listening.fileno(), self.channels)
        # Keeps Twisted from removing the path at the end, as it may belong to the successor by then.
        self.port._bindPath = b"\0"
        self.port.startListening()
        listening.close()

    def listening_socket(self) -> socket.socket:
        """Returns a socket, bound under another name and renamed to the path, which so always exists."""
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        with ShortSocketPath(f"{self.path}.{os.getpid()}") as short_path:
            with suppress(FileNotFoundError):
                os.unlink(short_path)
            listening.bind(short_path)
            os.chmod(short_path, 0o600)
            listening.listen(BACKLOG)
            listening.setblocking(False)
            os.rename(short_path, os.path.join(os.path.dirname(short_path), os.path.basename(self.path)))
        return listening
