"""Discovery's agents, one beside each proxy: lists by watches that may fall silent or break."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from math import inf
from typing import Any

from tests.soak.servers import Server

KEEPALIVE_INTERVAL = 2.0  # seconds
SILENCE_DETECTED_AFTER = 6.0  # seconds until what a silent watch misses counts as known to its proxy
PIECE_SIZE = 97  # bytes
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
Entry = dict[str, Any]  # of one server, as discovery writes it


@dataclass(frozen=True)
class Delivery:
    """From when changes count as known to an agent's proxy, and what became of them at the agent."""

    notified_at: float
    text: str


class Watch:
    """One open watch, as its agent has it."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.silent_since = inf
        self.unsent: deque[bytes] = deque()  # chunks that are not written whole
        self.unsent_since = inf
        self.sending: asyncio.Task[None] | None = None  # asyncio itself keeps no reference to a task

    def send(self, text: str, in_pieces: bool) -> None:
        """Writes a line as one chunk, at once or in pieces, after all that is not written yet."""
        data = encode_chunk(text)
        if not in_pieces and not self.unsent:
            self.writer.write(data)
            return
        self.unsent.append(data)
        self.unsent_since = min(self.unsent_since, time.monotonic())
        if self.sending is None:
            self.sending = asyncio.ensure_future(self.send_pieces())

    async def send_pieces(self) -> None:
        """Writes all that is not written yet, in small pieces."""
        while self.unsent and not self.writer.is_closing():
            data = self.unsent[0]
            for at in range(0, len(data), PIECE_SIZE):
                self.writer.write(data[at : at + PIECE_SIZE])
                await asyncio.sleep(0)
            self.unsent.popleft()
        if not self.unsent:
            self.unsent_since = inf
        self.sending = None


class DiscoveryAgent:
    """The agent of one proxy. While `is_down` it answers nobody and learns nothing."""

    def __init__(self, proxy: int) -> None:
        self.proxy = proxy
        self.version = 1
        self.entries: dict[str, tuple[int, Entry]] = {}  # by server: the version of its last change, entry
        self.watches: set[Watch] = set()  # that are open
        self.outages = 0  # that last
        self.sends_pieces = False
        self.missed_changes: list[Entry] = []  # while it was down
        self.down_until = 0.0
        self.unwatched_since = 0.0  # from when on no watch was open; infinite while one is
        self.listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listens at a port that the kernel chooses."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=64)

    @property
    def address(self) -> str:
        """Where it listens, as configurations write it."""
        assert self.listener is not None
        host, port = self.listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def is_down(self) -> bool:
        """Whether it answers nobody and learns nothing."""
        return self.outages > 0

    def load(self, servers: Iterable[Server]) -> None:
        """Sets the list that it begins with."""
        self.entries = {entry["host"]: (1, entry) for entry in entries_of(servers)}

    def full_list(self) -> dict[str, Any]:
        """Returns the list as a proxy's configuration has it, and as a first answer does."""
        return {"seq": self.version, "whole": True, "hosts": [entry for _, entry in self.entries.values()]}

    def changes_since(self, version: int) -> dict[str, Any]:
        """Returns the entries that have changed since a version."""
        entries = [entry for changed_at, entry in self.entries.values() if changed_at > version]
        return {"seq": self.version, "whole": False, "hosts": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one call and keeps its watch alive until it breaks."""
        watch = Watch(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            if self.is_down:
                await reader.read()
                return
            writer.write(RESPONSE_HEAD)
            since = re.search(r"from=(\d+)", head)
            answer = self.changes_since(int(since[1])) if since else self.full_list()
            self.watches.add(watch)
            self.unwatched_since = inf
            watch.send(json.dumps(answer, indent=1 if self.sends_pieces else None), self.sends_pieces)
            # A proxy sends nothing more on a watch, but its end: also that of a watch that has fallen silent.
            while not await wait_for_eof(reader, KEEPALIVE_INTERVAL):
                if watch.silent_since == inf and not self.is_down:
                    watch.send("", self.sends_pieces)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.remove_watch(watch)
            writer.close()

    def remove_watch(self, watch: Watch) -> None:
        """A watch is open no longer; what was not written whole has reached nobody."""
        if watch in self.watches:
            self.watches.remove(watch)
            if not self.watches:
                self.unwatched_since = min(self.unwatched_since, time.monotonic(), watch.unsent_since)

    @property
    def undelivered_since(self) -> float:
        """From when on changes may not have reached its proxy; infinite if all of them have."""
        return min(self.unwatched_since, *(watch.unsent_since for watch in self.watches), inf)

    def receive_changes(self, entries: Iterable[Entry]) -> Delivery:
        """Takes up changes and sends them on."""
        now = time.monotonic()
        if self.is_down:
            self.missed_changes += entries
            # Not known at all until the return, which may be put off by a further outage.
            return Delivery(inf, f"{now:.3f} missed, down until {self.down_until:.3f}")
        self.version += 1
        changed = list(entries)
        for entry in changed:
            self.entries[entry["host"]] = (self.version, entry)
        text = json.dumps({"seq": self.version, "whole": False, "hosts": changed})
        live = [watch for watch in self.watches if watch.silent_since == inf]
        for watch in live:
            with suppress(RuntimeError, OSError):
                watch.send(text, self.sends_pieces)
        in_pieces = " in pieces" if self.sends_pieces else ""
        text = f"{now:.3f} sent{in_pieces} to {len(live)} of {len(self.watches)} watches"
        if live or not self.watches:
            return Delivery(now, text)
        silent_since = max(watch.silent_since for watch in self.watches)
        notified_at = max(now, silent_since + SILENCE_DETECTED_AFTER)
        return Delivery(notified_at, f"{text}, silent since {silent_since:.3f}")

    def silence_watches(self) -> None:
        """All open watches fall silent, and stay open."""
        now = time.monotonic()
        for watch in self.watches:
            watch.silent_since = min(watch.silent_since, now)

    def reset_watches(self) -> None:
        """All open watches break; none is open from this instant on."""
        for watch in list(self.watches):
            watch.writer.transport.abort()
            self.remove_watch(watch)

    def begin_outage(self, seconds: float) -> None:
        """Answers nobody for so many seconds, until one `come_back` for each call."""
        self.outages += 1
        self.down_until = max(self.down_until, time.monotonic() + seconds)

    def end_outage(self) -> list[Entry]:
        """Serves again, unless another outage lasts; returns the changes that it had missed.

        All its watches are broken then.
        """
        self.outages -= 1
        if self.is_down:
            return []
        self.reset_watches()
        missed = self.missed_changes
        self.missed_changes = []
        if missed:
            self.receive_changes(missed)
        return missed


async def wait_for_eof(reader: asyncio.StreamReader, within: float) -> bool:
    """Waits for the other side's end for so many seconds; whether it came."""
    with suppress(TimeoutError):
        return not await asyncio.wait_for(reader.read(1), within)
    return False


def encode_chunk(text: str) -> bytes:
    """Returns a line as one chunk of an HTTP answer."""
    return b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode())


def entries_of(servers: Iterable[Server]) -> list[Entry]:
    """Returns the entries of servers as they are now."""
    return [server.entry() for server in servers]
