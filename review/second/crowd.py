"""Idle clients: `crowd.py HOST PORT NUMBER SECONDS` connects them, and they send nothing.

Each reads what it is sent, and closes its connection when the proxy has answered or ended it.
"""

from __future__ import annotations

import select
import socket
import sys
import time
from contextlib import suppress

POLL_TIME = 0.2  # seconds


def main(host: str, port: int, number: int, seconds: float) -> None:
    """Connects all clients at once, and ends after a time or when no client is left."""
    poller = select.epoll()
    clients: dict[int, socket.socket] = {}
    for _ in range(number):
        client = socket.socket()
        client.setblocking(False)
        with suppress(BlockingIOError):
            client.connect((host, port))
        clients[client.fileno()] = client
        poller.register(client.fileno(), select.EPOLLIN)
    until = time.monotonic() + seconds
    while clients and time.monotonic() < until:
        for descriptor, _ in poller.poll(POLL_TIME):
            with suppress(OSError):
                clients[descriptor].recv(100)
            poller.unregister(descriptor)
            clients.pop(descriptor).close()


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
