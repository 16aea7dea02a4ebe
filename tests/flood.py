"""Clients and servers that send at full speed, in processes of their own, bounded in number and time.

    python -m tests.flood servers KIND NUMBER SECONDS            prints a JSON list of their addresses
    python -m tests.flood clients KIND NUMBER SECONDS ADDRESS    prints how many were established, then floods

`Flood` starts these processes from a test.
"""

from __future__ import annotations

import json
import select
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from contextlib import suppress
from enum import Enum
from types import TracebackType
from typing import Any

SHORT_LINES = b"\r\n1\r\n" * 20_000
PINGS = b"PING\r\n" * 10_000
SEND_SIZE = 64 * 1024  # bytes
SMALL_BUFFER = 4096  # bytes that the system keeps for a side that does not read
POLL_TIME = 0.1  # seconds
CLIENT_TIMEOUT = 5.0  # seconds for the answer to OPEN


class Kind(Enum):
    """What one side does once a session is established, or instead of opening one."""

    ECHO = "echo"  # servers: send back what they receive
    UNREAD = "unread"  # send short lines and read nothing
    LINES = "lines"  # clients: send short lines and read what comes back
    PINGS = "pings"  # clients: send PING without a session, and read the answers
    IDLE = "idle"  # clients: connect, send nothing, and close once the proxy has answered or ended it
    STAYING = "staying"  # clients: the same, but they never close


class Flood:
    """A process of this module, which is killed at the end of the `with` statement."""

    def __init__(self, side: str, kind: Kind, number: int, seconds: float, *address: str) -> None:
        command = [sys.executable, "-B", "-m", "tests.flood", side, kind.value, str(number), str(seconds)]
        self.process = subprocess.Popen([*command, *address], stdout=subprocess.PIPE, text=True)

    def first_line(self) -> Any:
        """Waits for the JSON value that the process prints once it is ready, and returns it."""
        assert self.process.stdout
        return json.loads(self.process.stdout.readline())

    def __enter__(self) -> Flood:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.process.kill()
        self.process.wait()
        assert self.process.stdout
        self.process.stdout.close()


class Sender:
    """Sends data again and again on non-blocking sockets, and reads what comes if `reads`."""

    def __init__(self, data: bytes, reads: bool) -> None:
        self.data = data
        self.reads = reads
        self.sockets: dict[int, socket.socket] = {}
        self.positions: dict[int, int] = {}
        self.poller = select.epoll()

    def add(self, opened: socket.socket) -> None:
        """Adds a socket."""
        opened.setblocking(False)
        self.sockets[opened.fileno()] = opened
        self.positions[opened.fileno()] = 0
        self.poller.register(opened.fileno(), select.EPOLLOUT | (select.EPOLLIN if self.reads else 0))

    def handle(self, descriptor: int, event: int) -> None:
        """Reads and sends once; removes a socket that has ended."""
        opened = self.sockets[descriptor]
        try:
            if event & select.EPOLLIN and not opened.recv(4 * SEND_SIZE):
                raise ConnectionResetError
            if event & select.EPOLLOUT:
                begin = self.positions[descriptor]
                sent = opened.send(self.data[begin : begin + SEND_SIZE])
                self.positions[descriptor] = (begin + sent) % len(self.data)
        except BlockingIOError:
            return
        except OSError:
            self.poller.unregister(descriptor)
            self.sockets.pop(descriptor).close()

    def run(self, until: float) -> None:
        """Sends until a monotonic time, or until no socket is left."""
        while self.sockets and time.monotonic() < until:
            for descriptor, event in self.poller.poll(POLL_TIME):
                self.handle(descriptor, event)


def read_line(opened: socket.socket) -> bytes:
    """Reads up to the first line feed, or to the end."""
    line = b""
    while not line.endswith(b"\n") and (byte := opened.recv(1)):
        line += byte
    return line


def open_session(address: tuple[str, int], number: int, kind: Kind) -> socket.socket | None:
    """Returns an established session; None if it was not established."""
    opened = socket.socket()
    if kind is Kind.UNREAD:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    opened.settimeout(CLIENT_TIMEOUT)
    opened.connect(address)
    if kind is Kind.PINGS:
        return opened
    key = number * 0x9E3779B97F4A7C15 % 2**64
    opened.sendall(b"OPEN f100d%011x %016x c=feed,t=acme,d=1800\r\n" % (number, key))
    with suppress(OSError):
        if read_line(opened).startswith(b"UP "):
            return opened
    opened.close()
    return None


def run_idle_clients(number: int, until: float, address: tuple[str, int], closes: bool) -> None:
    """Connects all clients at once, and closes each when something has come on it, if `closes`."""
    poller = select.epoll()
    clients: dict[int, socket.socket] = {}
    for _ in range(number):
        client = socket.socket()
        client.setblocking(False)
        with suppress(BlockingIOError):
            client.connect(address)
        clients[client.fileno()] = client
        poller.register(client.fileno(), select.EPOLLIN)
    print(len(clients), flush=True)
    while clients and time.monotonic() < until:
        for descriptor, _ in poller.poll(POLL_TIME):
            poller.unregister(descriptor)
            if closes:
                clients.pop(descriptor).close()


def run_clients(kind: Kind, number: int, until: float, address: tuple[str, int]) -> None:
    """Opens all sessions, then floods."""
    sender = Sender(PINGS if kind is Kind.PINGS else SHORT_LINES, reads=kind is not Kind.UNREAD)
    for index in range(number):
        if opened := open_session(address, index, kind):
            sender.add(opened)
    print(len(sender.sockets), flush=True)
    sender.run(until)


def listening_sockets(kind: Kind, number: int) -> Iterable[socket.socket]:
    """Yields sockets that listen on free ports."""
    for _ in range(number):
        listener = socket.socket()
        if kind is Kind.UNREAD:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1024)
        yield listener


class Servers:
    """Servers that answer each OPEN with UP, and then echo or flood."""

    def __init__(self, kind: Kind, number: int) -> None:
        self.kind = kind
        self.listeners = {each.fileno(): each for each in listening_sockets(kind, number)}
        self.opened: dict[int, socket.socket] = {}
        self.sender = Sender(SHORT_LINES, reads=False)
        self.poller = select.epoll()
        for descriptor in self.listeners:
            self.poller.register(descriptor, select.EPOLLIN)

    def handle(self, descriptor: int) -> None:
        """Accepts a connection, answers OPEN or sends data back."""
        if descriptor in self.listeners:
            accepted = self.listeners[descriptor].accept()[0]
            accepted.settimeout(CLIENT_TIMEOUT)
            self.opened[accepted.fileno()] = accepted
            self.poller.register(accepted.fileno(), select.EPOLLIN)
            return
        opened = self.opened[descriptor]
        with suppress(OSError):
            data = opened.recv(4 * SEND_SIZE)
            if data.startswith(b"OPEN "):
                opened.sendall(b"UP r1\r\n")
                if self.kind is Kind.UNREAD:
                    self.poller.unregister(descriptor)
                    self.sender.add(self.opened.pop(descriptor))
                return
            if data:
                opened.sendall(data)
                return
        self.poller.unregister(descriptor)
        self.opened.pop(descriptor).close()

    def run(self, until: float) -> None:
        """Serves until a monotonic time."""
        addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in self.listeners.values()]
        print(json.dumps(addresses), flush=True)
        while time.monotonic() < until:
            for descriptor, _ in self.poller.poll(POLL_TIME):
                self.handle(descriptor)
            for descriptor, event in self.sender.poller.poll(0):
                self.sender.handle(descriptor, event)


def main(side: str, kind: Kind, number: int, seconds: float, address: str = "") -> None:
    """Runs one side until its time is over."""
    until = time.monotonic() + seconds
    if side == "servers":
        Servers(kind, number).run(until)
        return
    host, port = address.split(":")
    if kind in (Kind.IDLE, Kind.STAYING):
        run_idle_clients(number, until, (host, int(port)), closes=kind is Kind.IDLE)
    else:
        run_clients(kind, number, until, (host, int(port)))


if __name__ == "__main__":
    main(sys.argv[1], Kind(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]), *sys.argv[5:])
