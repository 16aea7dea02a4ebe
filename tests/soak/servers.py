"""Stand-in servers that answer, hang, fail, reset and drain as they are told, and note each whole OPEN."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import suppress
from random import Random

from tests.soak.records import Attempt, Records

MODES = ("up", "hang", "slow", "busy", "error", "reset", "spoilt", "half")
LOOK_EVERY = 0.005  # seconds
SPOILT = (b"UP\r\n", b"\xff\xfe\r\n", b"UP " + b"x" * 5000, b"HELLO there\r\n", b"U")


class Server:
    """One server at a port of its own."""

    def __init__(self, name: str, zone: str, records: Records, rng: Random) -> None:
        self.name, self.zone, self.records, self.rng = name, zone, records, rng
        self.mode = "up"
        self.delay = 0.004
        self.silent = False  # established connections get no line back either
        self.health = "ready"
        self.born_ms = 0
        self.writers: dict[asyncio.StreamWriter, str] = {}  # open connections, and the flows that stand there
        self.listener: asyncio.Server | None = None
        self.port = 0
        records.zones[name] = zone

    async def listen(self) -> None:
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
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
        self.writers[writer] = ""
        attempt = None
        try:
            first = await reader.readexactly(1)
            begun = time.monotonic()
            line = (first + await reader.readuntil(b"\r\n")).decode()
            if line.startswith("PING"):
                await self.probes(reader, writer)
                return
            _, flow, _, fields = line.split(" ", 3)
            kind = dict(part.split("=", 1) for part in fields.strip().split(","))["c"]
            attempt = Attempt(flow, kind, self.name, begun, time.monotonic())
            self.records.attempts.append(attempt)
            await self.answer(attempt, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            if attempt is not None:
                attempt.ended = min(attempt.ended, time.monotonic())
            self.writers.pop(writer, None)
            writer.close()

    async def probes(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(self.delay if self.mode != "slow" else 0.1)
            writer.write(b"PONG\r\n")
            if not (await reader.readline()).startswith(b"PING"):
                return

    async def answer(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        mode = self.mode
        if mode == "hang":
            attempt.answer = "nothing"
            await reader.read()  # until the proxy gives it up
            return
        delay = self.rng.uniform(0.25, 0.8) if mode == "slow" else self.rng.expovariate(1 / self.delay)
        due = time.monotonic() + delay
        while (left := due - time.monotonic()) > 0:
            await asyncio.sleep(min(left, LOOK_EVERY))
            if reader.at_eof():  # given up
                attempt.ended, attempt.answer = time.monotonic(), "given up"
                return
        if mode == "busy":
            attempt.answer = "BUSY"
            writer.write(b"BUSY\r\n")
        elif mode == "error":
            attempt.answer = "ERR"
            writer.write(b"ERR\r\n")
        elif mode == "reset":
            attempt.answer = "reset"
            self.reset(writer)
            return
        elif mode == "spoilt":
            attempt.answer = "spoilt"
            writer.write(self.rng.choice(SPOILT))
            await reader.read()
            return
        elif mode == "half":
            attempt.answer = "half"
            writer.write(b"UP r")
            await writer.drain()
            self.reset(writer)
            return
        else:
            attempt.answer = "UP"
            writer.write(f"UP {self.name}-{attempt.flow}\r\n".encode())
            self.writers[writer] = attempt.flow
            await self.established(attempt, reader, writer)
            return
        await writer.drain()
        await reader.read()

    async def established(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            if not line.endswith(b"\n"):
                return
            if not self.silent:
                writer.write(line)
                if self.rng.random() < 0.02:  # its session is over
                    self.records.server_ends[attempt.flow] = time.monotonic()
                    writer.write(b"BYE\r\n")
                    return

    @staticmethod
    def reset(writer: asyncio.StreamWriter) -> None:
        held = writer.get_extra_info("socket")
        if held is not None:
            with suppress(OSError):
                held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    def drop(self, share: float) -> None:
        """Resets some of what is open."""
        for writer, flow in list(self.writers.items()):
            if self.rng.random() < share:
                if flow:
                    self.records.server_ends[flow] = time.monotonic()
                self.reset(writer)

    def finish(self) -> None:
        """The end of a drain: what stands is sent away, and nobody listens."""
        if self.listener is not None:
            self.listener.close()
        for writer, flow in list(self.writers.items()):
            if flow:
                self.records.server_ends[flow] = time.monotonic()
                with suppress(OSError, RuntimeError):
                    writer.write(b"MOVE\r\n")
            writer.close()

    def kill(self) -> None:
        """Its process has died."""
        if self.listener is not None:
            self.listener.close()
        self.drop(1.1)
