"""Clients: they open, talk, leave, come again, and some of them keep to no protocol."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import suppress
from itertools import count
from random import Random

from tests.soak.proxies import Proxy
from tests.soak.records import Records, Request

BAD = ("half", "garbage", "flood", "early", "idle", "gone", "twice")
NUMBERS = count(1)


class Client:
    """One connection of one client, noted as a `Request`."""

    def __init__(
        self, proxy: Proxy, records: Records, rng: Random, kind: str, wait: float, bad: str = ""
    ) -> None:
        self.proxy, self.records, self.rng, self.bad = proxy, records, rng, bad
        self.flow = f"{next(NUMBERS):012x}"
        self.request = Request(self.flow, kind, proxy.number, len(proxy.lives) - 1, wait, bad=bad)
        self.group = rng.randrange(40)
        self.leaves_after = wait * rng.uniform(0.02, 0.9) if rng.random() < 0.12 else 0.0
        self.talks = rng.uniform(0.2, 4.0)

    async def play(self) -> Request:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.proxy.address), 2.0)
        request = self.request
        self.records.requests.append(request)
        held = writer.get_extra_info("socket")
        held.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            if self.bad and await self.misbehave(reader, writer):
                return request
            await self.open(writer)
            await self.answer(reader, writer)
            if request.answers and request.answers[-1][1].startswith("UP"):
                await self.talk(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, BrokenPipeError):
            request.ended, request.reset = min(request.ended, time.monotonic()), True
        finally:
            if request.ended == float("inf"):
                request.left = min(request.left, time.monotonic())
            writer.close()
            with suppress(Exception):
                await writer.wait_closed()
        return request

    async def open(self, writer: asyncio.StreamWriter) -> None:
        wait = round(self.request.wait * 1000)
        fields = f"c={self.request.service_type},d={wait},g={self.group:x}"
        line = f"OPEN {self.flow} {self.group:x} {fields}\r\n".encode()
        if self.rng.random() < 0.1:
            cut = self.rng.randrange(1, len(line))
            writer.write(line[:cut])
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            line = line[cut:]
        self.request.sent = time.monotonic()
        writer.write(line)

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = self.request
        patience = self.leaves_after or request.wait + 4.0
        try:
            line = await asyncio.wait_for(reader.readline(), patience)
        except TimeoutError:
            request.left = time.monotonic()
            if self.rng.random() < 0.5:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()
            return
        if not line:
            request.ended = time.monotonic()
            return
        request.answers.append((time.monotonic(), line.decode(errors="replace").strip()))
        if not line.startswith(b"UP"):
            rest = await asyncio.wait_for(reader.read(), 5.0)
            request.ended = time.monotonic()
            if rest:
                request.answers.append((time.monotonic(), rest.decode(errors="replace")))

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request, until = self.request, time.monotonic() + self.talks
        while time.monotonic() < until:
            asked = time.monotonic()
            writer.write(b"M 1\r\n")
            try:
                line = await asyncio.wait_for(reader.readline(), 8.0)
            except TimeoutError:
                request.slowest_echo = 8.0
                return
            if line.strip() in (b"MOVE", b"BYE"):
                request.moved = line.strip() == b"MOVE"
                request.ended = time.monotonic()
                return
            if not line:
                request.ended, request.cut_off = time.monotonic(), True
                return
            request.slowest_echo = max(request.slowest_echo, time.monotonic() - asked)
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))

    async def misbehave(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """What a bad client does in place of a request; whether that was all."""
        if self.bad == "half":
            writer.write(f"OPEN {self.flow} 7f c=feed,d=".encode())
        elif self.bad == "garbage":
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
        elif self.bad == "flood":
            writer.write(b"OPEN " + b"x" * 20000)
        elif self.bad == "gone":
            await self.open(writer)
            self.request.left = time.monotonic()
            writer.close()
            return True
        elif self.bad == "early":
            await self.open(writer)
            writer.write(b"M 1\r\n")
        elif self.bad == "twice":
            await self.open(writer)
            await self.open(writer)
        begun = time.monotonic()
        with suppress(TimeoutError):
            await asyncio.wait_for(reader.read(), 5.0)
            self.request.ended = time.monotonic()
        self.request.slowest_echo = time.monotonic() - begun  # how long it was kept waiting for its end
        return True
