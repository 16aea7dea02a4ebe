"""Stand-in servers of the line protocol that record each OPEN; one process can run many.

They listen on loopback only, on ports that the kernel chooses.
"""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import dataclass
from typing import Any

OPEN_LINE = re.compile(rb"OPEN ([0-9a-fA-F]+) ([0-9a-fA-F]+) (\S+)")
MAX_LINE_LENGTH = 4096  # bytes


@dataclass(frozen=True)
class OpenRecord:
    """One OPEN as a server received it."""

    at: float  # Unix time, seconds
    request_id: str
    service_type: str
    server: str


class StandInServer:
    """One server: it listens, answers and records each OPEN."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.open_reply = b"UP"  # the reply to an OPEN, with an argument after UP; empty: no reply
        self.reply_delay = 0.0  # seconds before that reply
        self.open_records: list[OpenRecord] = []
        self.connections: set[ServerConnection] = set()
        self.listener: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        """Starts listening; after a restart, on the same port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The server's address."""
        return f"127.0.0.1:{self.port}"

    def kill(self) -> None:
        """Behaves as if its process had been killed: resets its connections and stops listening."""
        if self.listener:
            self.listener.close()
        for each in list(self.connections):
            each.transport.abort()

    def shut_down(self) -> None:
        """Shuts down as a drained server does: ends its sessions with BYE and stops listening."""
        if self.listener:
            self.listener.close()
        for each in list(self.connections):
            if each.is_established:
                each.send_line(b"BYE")
            each.transport.close()


class ServerConnection(asyncio.Protocol):
    """One connection to a stand-in server."""

    transport: Any

    def __init__(self, server: StandInServer) -> None:
        self.server = server
        self.buffer = b""
        self.is_established = False

    def connection_made(self, transport: Any) -> None:
        """Adds the connection to those of the server."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  the base class's argument
        """Removes the connection from those of the server."""
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Splits the received data into lines; resets the connection if an unfinished line is too long."""
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self.line_received(line)
        if len(self.buffer) > MAX_LINE_LENGTH:
            self.transport.abort()

    def line_received(self, line: bytes) -> None:
        """Answers a probe or an OPEN, and echoes the lines of a session."""
        if self.is_established:
            self.send_line(line)
        elif line == b"PING":
            self.send_line(b"PONG")
        elif match := OPEN_LINE.fullmatch(line):
            fields = dict(part.split(b"=", 1) for part in match[3].split(b",") if b"=" in part)
            service_type = fields.get(b"c", b"").decode(errors="replace")
            self.server.open_records.append(
                OpenRecord(time.time(), match[1].decode(), service_type, self.server.name)
            )
            if self.server.open_reply:
                asyncio.get_running_loop().call_later(self.server.reply_delay, self.reply_to_open)
        else:
            self.send_line(b"SYNTAX")
            self.transport.close()

    def reply_to_open(self) -> None:
        """Replies to the OPEN, unless the connection is closing."""
        if self.transport.is_closing():
            return
        word = self.server.open_reply
        self.send_line(b"UP r%d" % len(self.server.open_records) if word == b"UP" else word)
        self.is_established = word == b"UP"
        if not self.is_established:
            self.transport.close()

    def send_line(self, line: bytes) -> None:
        """Sends a line, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(line + b"\r\n")
