"""Simulated servers, which record each complete OPEN and answer, hang, fail, reset or drain on request."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import suppress
from enum import Enum
from random import Random

from tests.soak.records import Attempt, Records

POLL_INTERVAL = 0.005  # seconds between checks whether the proxy has given up an attempt
MEAN_DELAY = 0.004  # seconds before an answer
SLOW_DELAYS = (0.25, 0.8)  # seconds
SLOW_PROBE_DELAY = 0.1  # seconds
SHARE_ENDING_LINES = 0.02  # of a session's lines; after each of these the server ends the session
BACKLOG = 1024
MALFORMED_ANSWERS = (b"UP\r\n", b"\xff\xfe\r\n", b"UP " + b"x" * 5000, b"HELLO there\r\n", b"U")


class ServerBehaviour(Enum):
    """How a server answers an OPEN."""

    UP = "up"
    HANG = "hang"
    SLOW = "slow"
    BUSY = "busy"
    ERROR = "error"
    RESET = "reset"
    UNREADABLE = "spoilt"
    HALF_ANSWER = "half"


FAILURES = tuple(ServerBehaviour)[1:]


class Server:
    """One server, listening on its own port."""

    def __init__(self, name: str, zone: str, records: Records, rng: Random) -> None:
        self.name = name
        self.zone = zone
        self.records = records
        self.rng = rng
        self.behaviour = ServerBehaviour.UP
        self.is_silent = False  # whether it doesn't echo the lines of established sessions
        self.health = "ready"
        self.born_ms = 0
        self.open_connections: dict[
            asyncio.StreamWriter, str
        ] = {}  # value: request ID of an established session, or ""
        self.listener: asyncio.Server | None = None
        self.port = 0
        records.server_zones[name] = zone

    async def listen(self) -> None:
        """Listens; a restart reuses the port of the first start. Raises OSError if that port is taken."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=BACKLOG)
        self.port = self.listener.sockets[0].getsockname()[1]

    def record_start(self) -> None:
        """Sets the start time that discovery publishes, and records the start."""
        self.born_ms = round(time.time() * 1000)
        self.records.server_starts[self.name] = time.monotonic()

    def entry(self) -> dict[str, object]:
        """Returns its entry in discovery's format."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.zone,
            "class": "m",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles one connection, whose first line is OPEN or PING."""
        self.open_connections[writer] = ""
        attempt = None
        try:
            first = await reader.readexactly(1)
            began_at = time.monotonic()
            line = (first + await reader.readuntil(b"\r\n")).decode()
            if line.startswith("PING"):
                await self.answer_probes(reader, writer)
                return
            _, request_id, _, fields = line.split(" ", 3)
            traffic_class = dict(part.split("=", 1) for part in fields.strip().split(","))["c"]
            attempt = Attempt(request_id, traffic_class, self.name, began_at, time.monotonic())
            self.records.attempts.append(attempt)
            await self.answer(attempt, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            if attempt is not None:
                attempt.ended_at = min(attempt.ended_at, time.monotonic())
            self.open_connections.pop(writer, None)
            writer.close()

    async def answer_probes(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the probes of one connection."""
        while True:
            is_slow = self.behaviour is ServerBehaviour.SLOW
            await asyncio.sleep(SLOW_PROBE_DELAY if is_slow else MEAN_DELAY)
            writer.write(b"PONG\r\n")
            if not (await reader.readline()).startswith(b"PING"):
                return

    async def answer(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers OPEN according to the server's behaviour at the time it arrives."""
        behaviour = self.behaviour
        if behaviour is ServerBehaviour.HANG:
            attempt.answer = "nothing"
            await reader.read()  # until the proxy closes the connection
            return
        if behaviour is ServerBehaviour.SLOW:
            delay = self.rng.uniform(*SLOW_DELAYS)
        else:
            delay = self.rng.expovariate(1 / MEAN_DELAY)
        if await self.is_abandoned(reader, delay):
            attempt.ended_at = time.monotonic()
            attempt.answer = "given up"
            return
        if behaviour in (ServerBehaviour.UP, ServerBehaviour.SLOW):
            attempt.answer = "UP"
            writer.write(f"UP {self.name}-{attempt.request_id}\r\n".encode())
            self.open_connections[writer] = attempt.request_id
            await self.run_session(attempt, reader, writer)
        else:
            await self.fail(behaviour, attempt, reader, writer)

    @staticmethod
    async def is_abandoned(reader: asyncio.StreamReader, delay: float) -> bool:
        """Waits that many seconds. Returns True early if the proxy closes the connection meanwhile."""
        due = time.monotonic() + delay
        while (remaining := due - time.monotonic()) > 0:
            await asyncio.sleep(min(remaining, POLL_INTERVAL))
            if reader.at_eof():
                return True
        return False

    async def fail(
        self,
        behaviour: ServerBehaviour,
        attempt: Attempt,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers as an overloaded, failing or broken server would."""
        if behaviour is ServerBehaviour.BUSY:
            attempt.answer = "BUSY"
            writer.write(b"BUSY\r\n")
            await writer.drain()
            await reader.read()
        elif behaviour is ServerBehaviour.ERROR:
            attempt.answer = "ERR"
            writer.write(b"ERR\r\n")
            await writer.drain()
            await reader.read()
        elif behaviour is ServerBehaviour.RESET:
            attempt.answer = "reset"
            self.reset(writer)
        elif behaviour is ServerBehaviour.UNREADABLE:
            attempt.answer = "spoilt"
            writer.write(self.rng.choice(MALFORMED_ANSWERS))
            await reader.read()
        elif behaviour is ServerBehaviour.HALF_ANSWER:
            attempt.answer = "half"
            writer.write(b"UP r")
            await writer.drain()
            self.reset(writer)

    async def run_session(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Echoes the lines of an established session; ends the session with BYE after a random line."""
        while line := await reader.readline():
            if not line.endswith(b"\n"):
                return
            if not self.is_silent:
                writer.write(line)
                if self.rng.random() < SHARE_ENDING_LINES:
                    self.records.sessions_ended_by_server[attempt.request_id] = time.monotonic()
                    writer.write(b"BYE\r\n")
                    return

    @staticmethod
    def reset(writer: asyncio.StreamWriter) -> None:
        """Closes a connection with RST."""
        sock = writer.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    def reset_some(self, share: float) -> None:
        """Resets each open connection with the probability `share`."""
        for writer, request_id in list(self.open_connections.items()):
            if self.rng.random() < share:
                if request_id:
                    self.records.sessions_ended_by_server[request_id] = time.monotonic()
                self.reset(writer)

    def finish_drain(self) -> None:
        """Ends a drain: stops listening, sends MOVE to all sessions and closes all connections."""
        if self.listener is not None:
            self.listener.close()
        for writer, request_id in list(self.open_connections.items()):
            if request_id:
                self.records.sessions_ended_by_server[request_id] = time.monotonic()
                with suppress(OSError, RuntimeError):
                    writer.write(b"MOVE\r\n")
            writer.close()

    def kill(self) -> None:
        """Simulates the death of its process."""
        if self.listener is not None:
            self.listener.close()
        self.reset_some(1.1)  # above 1: all connections
