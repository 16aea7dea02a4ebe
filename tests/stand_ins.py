"""Stand-ins for what the program speaks to, on loopback: servers, discovery, and a client's connection."""

from __future__ import annotations

import json
import queue
import re
import select
import socket
import struct
import threading
from contextlib import suppress

from tests.sample_settings import endpoint_list
from tests.waiting import TEST_TIMEOUT


class LineConnection:
    """One end of a connection, read by lines."""

    def __init__(self, connected: socket.socket) -> None:
        self.socket = connected
        self.socket.settimeout(TEST_TIMEOUT)
        self.file = connected.makefile("rb")

    def send_line(self, line: str) -> None:
        """Sends a line and its end."""
        self.socket.sendall(line.encode() + b"\r\n")

    def read_line(self) -> str:
        """Returns the next line; "" at the end of the connection, "reset" if it was reset."""
        try:
            return self.file.readline().decode().rstrip("\r\n")
        except ConnectionResetError:
            return "reset"

    def is_closed(self, within: float = 0.0) -> bool:
        """Whether the other side has closed it or does so in that many seconds, all lines being read."""
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        with suppress(OSError):
            return bool(poller.poll(within * 1000)) and not self.socket.recv(1, socket.MSG_PEEK)
        return True

    def close(self, reset: bool = False) -> None:
        """Closes it, or resets it."""
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        else:
            self.socket.shutdown(socket.SHUT_RDWR)
        self.file.close()
        self.socket.close()


class StandInServer:
    """A server: it answers each OPEN with `answer`, then gives the connection to the test.

    An answer of None is silence; one of "" closes the connection.
    """

    def __init__(self, answer: str | None = "UP r1", at: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.answer = answer
        self.listener = socket.create_server(at)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.openings: queue.Queue[tuple[str, LineConnection]] = queue.Queue()
        self.opening_count = 0
        self.connection_count = 0  # whether or not an opening came
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serves each connection in a thread of its own."""
        with suppress(OSError):
            while True:
                connection = LineConnection(self.listener.accept()[0])
                self.connection_count += 1
                threading.Thread(target=self.serve, args=[connection], daemon=True).start()

    def serve(self, connection: LineConnection) -> None:
        """Answers one connection's opening."""
        opening = connection.read_line()
        if not opening.startswith("OPEN "):
            return
        self.opening_count += 1
        if self.answer:
            connection.send_line(self.answer)
        elif self.answer is not None:
            connection.close()
        self.openings.put((opening, connection))

    def next_opening(self) -> tuple[str, LineConnection]:
        """Returns the next opening and its connection; waits for it."""
        return self.openings.get(timeout=TEST_TIMEOUT)

    def close(self) -> None:
        """Stops listening; connections stay."""
        self.listener.shutdown(socket.SHUT_RDWR)  # a thread that waits in accept would keep it open
        self.listener.close()


class StandInDiscovery:
    """Discovery: each watch stays open and gets what the test sends."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.requests: queue.Queue[tuple[str, LineConnection]] = queue.Queue()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Reads the head of each request, one after another."""
        with suppress(OSError):
            while True:
                connection = LineConnection(self.listener.accept()[0])
                request_line = connection.read_line()
                while connection.read_line():
                    pass
                self.requests.put((request_line, connection))

    def accept_watch(self) -> tuple[str, LineConnection]:
        """Returns the next request for a watch, answered as discovery does: at once, with what has changed.

        A request for the whole list is left for the test to answer.
        """
        request_line, connection = self.requests.get(timeout=TEST_TIMEOUT)
        while (
            connection.is_closed()
        ):  # nobody waits for its answer any more: it came too late, on a busy machine
            request_line, connection = self.requests.get(timeout=TEST_TIMEOUT)
        connection.socket.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if since := re.search(r"from=(\d+)", request_line):
            self.send_text(connection, json.dumps(endpoint_list(int(since[1]), False)))
        return request_line, connection

    @staticmethod
    def send_text(watch: LineConnection, text: str) -> None:
        """Sends a text and the end of its line as one chunk."""
        watch.socket.sendall(b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode()))
