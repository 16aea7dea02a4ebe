"""Stand-in servers of the line protocol, many in one process, that keep a record of what they were asked.

They listen on loopback only, at ports that the kernel chooses, and take no longer than they are told to.
"""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import dataclass
from typing import Any

OPENING = re.compile(rb"OPEN ([0-9a-fA-F]+) ([0-9a-fA-F]+) (\S+)")
LONGEST_LINE = 4096


@dataclass(frozen=True)
class Opening:
    """One OPEN as a server had it."""

    at: float  # Unix time, seconds
    flow: str
    service_type: str
    server: str


class StandIn:
    """One server: it listens, answers and remembers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.answer = b"UP"  # the word it answers an OPEN with; b"" for silence
        self.delay = 0.0  # seconds it takes for that
        self.openings: list[Opening] = []
        self.open: set[Conversation] = set()
        self.listener: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Conversation(self), "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def kill(self) -> None:
        """As if its process had died: what is open is reset, and nobody listens."""
        if self.listener:
            self.listener.close()
        for each in list(self.open):
            each.transport.abort()

    def finish(self) -> None:
        """As a drained server does in the end: what is open gets BYE."""
        if self.listener:
            self.listener.close()
        for each in list(self.open):
            if each.up:
                each.say(b"BYE")
            each.transport.close()


class Conversation(asyncio.Protocol):
    """One connection to a stand-in."""

    transport: Any

    def __init__(self, server: StandIn) -> None:
        self.server, self.rest, self.up = server, b"", False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.server.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.open.discard(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self.line(line)
        if len(self.rest) > LONGEST_LINE:
            self.transport.abort()

    def line(self, line: bytes) -> None:
        if self.up:
            self.say(line)
        elif line == b"PING":
            self.say(b"PONG")
        elif match := OPENING.fullmatch(line):
            fields = dict(part.split(b"=", 1) for part in match[3].split(b",") if b"=" in part)
            kind = fields.get(b"c", b"").decode(errors="replace")
            self.server.openings.append(Opening(time.time(), match[1].decode(), kind, self.server.name))
            if self.server.answer:
                asyncio.get_running_loop().call_later(self.server.delay, self.answer)
        else:
            self.say(b"SYNTAX")
            self.transport.close()

    def answer(self) -> None:
        if self.transport.is_closing():
            return
        word = self.server.answer
        self.say(b"UP r%d" % len(self.server.openings) if word == b"UP" else word)
        self.up = word == b"UP"
        if not self.up:
            self.transport.close()

    def say(self, line: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(line + b"\r\n")
