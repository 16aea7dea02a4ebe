"""Simulated clients, which send requests and use sessions; some leave early or violate the protocol."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import suppress
from itertools import count
from math import inf
from random import Random

from tests.soak.proxies import Proxy
from tests.soak.records import ClientRecord, Misbehaviour, Records

REQUEST_NUMBERS = count(1)
AFFINITY_GROUPS = 40
SHARE_LEAVING = 0.12  # of clients that give up before their deadline
SHARE_IN_PIECES = 0.1  # of OPEN lines sent in two pieces
SHARE_LONG_SESSIONS = 0.4  # of sessions
SHORT_SESSION = (0.2, 4.0)  # seconds
LONG_SESSION = (6.0, 25.0)  # seconds; many of these last until their proxy is stopped
CONNECT_TIMEOUT = 2.0  # seconds
ANSWER_TIMEOUT = 4.0  # seconds a client waits beyond its deadline
ECHO_TIMEOUT = 8.0  # seconds
CLOSE_TIMEOUT = 5.0  # seconds
LONG_LINE = 20000  # bytes


class BufferedReader(asyncio.StreamReader):
    """A reader that returns what has been received before it raises the error that ended the connection.

    A write to a connection that the other side has closed fails. asyncio's reader raises that error at once,
    and an answer that came before it would be lost.
    """

    connection_error: Exception | None = None

    def set_exception(self, exc: Exception) -> None:
        """Ends the stream; the error is raised after the last byte."""
        self.connection_error = exc
        self.feed_eof()

    async def readline(self) -> bytes:
        """Returns the next line, or raises the error that ended the connection."""
        return self.checked(await super().readline())

    async def read(self, n: int = -1) -> bytes:
        """Returns up to `n` bytes, or raises the error that ended the connection."""
        return self.checked(await super().read(n))

    def checked(self, data: bytes) -> bytes:
        """Returns the data. At the end of the stream, raises the error that ended the connection."""
        if not data and self.connection_error is not None:
            raise self.connection_error
        return data


async def open_connection(host: str, port: int) -> tuple[BufferedReader, asyncio.StreamWriter]:
    """Connects, like asyncio.open_connection, with a reader that loses no answer. Raises OSError."""
    loop = asyncio.get_running_loop()
    reader = BufferedReader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class Client:
    """A client with a single connection, and its record."""

    def __init__(
        self,
        proxy: Proxy,
        records: Records,
        rng: Random,
        traffic_class: str,
        time_allowed: float,
        misbehaviour: Misbehaviour | None = None,
    ) -> None:
        self.proxy = proxy
        self.records = records
        self.rng = rng
        self.misbehaviour = misbehaviour
        self.request_id = f"{next(REQUEST_NUMBERS):012x}"
        self.record = ClientRecord(
            self.request_id,
            traffic_class,
            proxy.number,
            len(proxy.runs) - 1,
            time_allowed,
            misbehaviour=misbehaviour,
        )
        self.group = rng.randrange(AFFINITY_GROUPS)
        self.leaves_after = 0.0  # seconds; 0: doesn't leave early
        if rng.random() < SHARE_LEAVING:
            self.leaves_after = time_allowed * rng.uniform(0.02, 0.9)
        self.session_time = rng.uniform(*SHORT_SESSION)
        if rng.random() < SHARE_LONG_SESSIONS:
            self.session_time = rng.uniform(*LONG_SESSION)

    async def run(self) -> ClientRecord:
        """Runs the connection from start to end and returns its record. Raises OSError or TimeoutError."""
        connecting = open_connection(*self.proxy.address)
        reader, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT)
        record = self.record
        self.records.clients.append(record)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            if self.misbehaviour is not None and await self.misbehave(reader, writer):
                return record
            await self.send_open(writer)
            await self.read_answer(reader, writer)
            if record.answers and record.answers[-1][1].startswith("UP"):
                await self.run_session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, BrokenPipeError):
            record.ended_at = min(record.ended_at, time.monotonic())
            record.was_reset = True
            record.was_cut_off = record.is_established
        finally:
            if record.ended_at == inf:
                record.left_at = min(record.left_at, time.monotonic())
            writer.close()
            with suppress(Exception):
                await writer.wait_closed()
        return record

    async def send_open(self, writer: asyncio.StreamWriter) -> None:
        """Sends OPEN, at random in two pieces."""
        deadline_ms = round(self.record.time_allowed * 1000)
        fields = f"c={self.record.traffic_class},d={deadline_ms},g={self.group:x}"
        line = f"OPEN {self.request_id} {self.group:x} {fields}\r\n".encode()
        if self.rng.random() < SHARE_IN_PIECES:
            cut = self.rng.randrange(1, len(line))
            writer.write(line[:cut])
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            line = line[cut:]
        self.record.sent_at = time.monotonic()
        writer.write(line)

    async def read_answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Records the final answer, or closes the connection if none arrives in time."""
        record = self.record
        timeout = self.leaves_after or record.time_allowed + ANSWER_TIMEOUT
        try:
            line = await asyncio.wait_for(reader.readline(), timeout)
        except TimeoutError:
            record.left_at = time.monotonic()
            if self.rng.random() < 0.5:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()
            return
        if not line:
            record.ended_at = time.monotonic()
            return
        record.answers.append((time.monotonic(), line.decode(errors="replace").strip()))
        if not line.startswith(b"UP"):
            rest = await asyncio.wait_for(reader.read(), CLOSE_TIMEOUT)
            record.ended_at = time.monotonic()
            if rest:
                record.answers.append((time.monotonic(), rest.decode(errors="replace")))

    async def run_session(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Exchanges lines with the server until the session time is over or the session ends."""
        record = self.record
        until = time.monotonic() + self.session_time
        while time.monotonic() < until:
            sent_at = time.monotonic()
            writer.write(b"M 1\r\n")
            try:
                line = await asyncio.wait_for(reader.readline(), ECHO_TIMEOUT)
            except TimeoutError:
                record.slowest_echo = ECHO_TIMEOUT
                return
            if line.strip() in (b"MOVE", b"BYE"):
                record.was_migrated = line.strip() == b"MOVE"
                record.ended_at = time.monotonic()
                return
            if not line:
                record.ended_at = time.monotonic()
                record.was_cut_off = True
                return
            record.slowest_echo = max(record.slowest_echo, time.monotonic() - sent_at)
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))

    async def misbehave(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Performs the misbehaviour, then waits for the proxy to close the connection, unless the client has
        closed it. Always returns True.
        """
        if self.misbehaviour is Misbehaviour.HALF_LINE:
            writer.write(f"OPEN {self.request_id} 7f c=feed,d=".encode())
        elif self.misbehaviour is Misbehaviour.NO_PROTOCOL:
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
        elif self.misbehaviour is Misbehaviour.LONG_LINE:
            writer.write(b"OPEN " + b"x" * LONG_LINE)
        elif self.misbehaviour is Misbehaviour.CLOSE_AT_ONCE:
            await self.send_open(writer)
            self.record.left_at = time.monotonic()
            writer.close()
            return True
        elif self.misbehaviour is Misbehaviour.EARLY_LINE:
            await self.send_open(writer)
            writer.write(b"M 1\r\n")
        elif self.misbehaviour is Misbehaviour.SECOND_OPEN:
            await self.send_open(writer)
            await self.send_open(writer)
        began = time.monotonic()
        with suppress(TimeoutError):
            await asyncio.wait_for(reader.read(), CLOSE_TIMEOUT)
            self.record.ended_at = time.monotonic()
        self.record.slowest_echo = time.monotonic() - began
        return True
