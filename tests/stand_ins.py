"""Stand-ins on loopback for the peers of the program: clients, servers and discovery."""

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
    """One end of a line-based connection."""

    def __init__(self, connected: socket.socket) -> None:
        self.socket = connected
        self.socket.settimeout(TEST_TIMEOUT)
        self.file = connected.makefile("rb")

    def send_line(self, line: str) -> None:
        """Sends a line with its CRLF."""
        self.socket.sendall(line.encode() + b"\r\n")

    def read_line(self) -> str:
        """Returns the next line; "" at the end of the stream, "reset" after a reset."""
        try:
            return self.file.readline().decode().rstrip("\r\n")
        except ConnectionResetError:
            return "reset"

    def is_closed(self, within: float = 0.0) -> bool:
        """Whether the other side has closed the connection, or closes it within that many seconds.

        All lines must have been read before the call.
        """
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        with suppress(OSError):
            return bool(poller.poll(within * 1000)) and not self.socket.recv(1, socket.MSG_PEEK)
        return True

    def close(self, reset: bool = False) -> None:
        """Closes or resets the connection."""
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        else:
            self.socket.shutdown(socket.SHUT_RDWR)
        self.file.close()
        self.socket.close()


class StandInServer:
    """A server that answers each OPEN with `answer` and then hands the connection to the test.

    If `answer` is None, it sends nothing; if it is "", it closes the connection.
    """

    def __init__(self, answer: str | None = "UP r1", at: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.answer = answer
        self.listener = socket.create_server(at)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.openings: queue.Queue[tuple[str, LineConnection]] = queue.Queue()
        self.opening_count = 0
        self.connection_count = 0  # of all accepted connections, with an OPEN or without
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accepts connections, and serves each in its own thread."""
        with suppress(OSError):
            while True:
                connection = LineConnection(self.listener.accept()[0])
                self.connection_count += 1
                threading.Thread(target=self.serve, args=[connection], daemon=True).start()

    def serve(self, connection: LineConnection) -> None:
        """Reads the OPEN line of a connection and answers it."""
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
        """Waits for the next OPEN; returns the line and its connection."""
        return self.openings.get(timeout=TEST_TIMEOUT)

    def close(self) -> None:
        """Stops listening; open connections are kept."""
        self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread in accept, which would keep the port open
        self.listener.close()


class StandInDiscovery:
    """Discovery; each watch stays open, and the test sends lists on it."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.requests: queue.Queue[tuple[str, LineConnection]] = queue.Queue()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accepts connections and reads the request headers of each in turn."""
        with suppress(OSError):
            while True:
                connection = LineConnection(self.listener.accept()[0])
                request_line = connection.read_line()
                while connection.read_line():
                    pass
                self.requests.put((request_line, connection))

    def accept_watch(self) -> tuple[str, LineConnection]:
        """Waits for the next request for a watch; returns its request line and its connection.

        Answers at once, as discovery does: with the headers, and with an empty list of changes if the request
        names a version. The test sends the whole list if that was requested.
        """
        request_line, connection = self.requests.get(timeout=TEST_TIMEOUT)
        # Skips requests that timed out before they were read here, on a busy machine.
        while connection.is_closed():
            request_line, connection = self.requests.get(timeout=TEST_TIMEOUT)
        connection.socket.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if since := re.search(r"from=(\d+)", request_line):
            self.send_text(connection, json.dumps(endpoint_list(int(since[1]), False)))
        return request_line, connection

    @staticmethod
    def send_text(watch: LineConnection, text: str) -> None:
        """Sends a text and a line feed as one HTTP chunk."""
        watch.socket.sendall(b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode()))
