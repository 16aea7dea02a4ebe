"""Simulated discovery agents, one per proxy, which serve the server list over watches.

Watches can be silenced or reset, and agents can be taken down.
"""

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
SILENCE_DETECTED_AFTER = 6.0  # seconds in which a proxy must detect a silent watch and replace it
PIECE_SIZE = 97  # bytes per write, when an agent writes in pieces
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NOTIFIED_WITHIN = 6.0  # seconds from when an agent has a change until its proxy counts as notified
Entry = dict[str, Any]  # a server in discovery's format


@dataclass(frozen=True)
class AnswerDelays:
    """How long a slow agent takes for each answer, in seconds."""

    first_byte: float
    list_time: float  # from the first byte of the list to its last


@dataclass(frozen=True)
class Delivery:
    """When an agent's proxy counts as notified of changes, and how the agent handled them."""

    notified_at: float
    text: str


class Watch:
    """The agent's side of a watch."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.silent_since = inf
        self.unsent: deque[bytes] = deque()  # chunks not yet written completely
        self.unsent_since = inf
        self.sending: asyncio.Task[None] | None = None  # asyncio holds only weak references to tasks

    def send(self, text: str, in_pieces: bool, since: float | None = None) -> None:
        """Sends a line as one chunk, at once or in pieces, after any unsent chunks.

        `since` is when the text came to be, if it counts as unsent from then on; otherwise from now on.
        """
        data = encode_chunk(text)
        if not in_pieces and not self.unsent:
            self.writer.write(data)
            return
        self.unsent.append(data)
        self.unsent_since = min(self.unsent_since, time.monotonic() if since is None else since)
        if self.sending is None:
            self.sending = asyncio.ensure_future(self.send_pieces())

    async def send_pieces(self) -> None:
        """Writes the unsent chunks in small pieces."""
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
    """The agent of one proxy. While it is down, it answers no calls and receives no changes."""

    def __init__(self, proxy: int) -> None:
        self.proxy = proxy
        self.version = 1
        self.entries: dict[str, tuple[int, Entry]] = {}  # version of the last change and entry, by server
        self.watches: set[Watch] = set()  # the open ones
        self.outages = 0  # how many are in progress; they may overlap
        self.sends_pieces = False
        self.delays: AnswerDelays | None = None  # None: answers at once
        self.missed_changes: list[Entry] = []  # changes made during an outage
        self.down_until = 0.0
        self.unwatched_since = 0.0  # infinite while a watch is open
        self.listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listens on a port chosen by the kernel."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=64)

    @property
    def address(self) -> str:
        """The address of the listener, in the format of configuration files."""
        assert self.listener is not None
        host, port = self.listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def is_down(self) -> bool:
        """Whether an outage is in progress."""
        return self.outages > 0

    def load(self, servers: Iterable[Server]) -> None:
        """Sets the initial server list."""
        self.entries = {entry["host"]: (1, entry) for entry in current_entries(servers)}

    def full_list(self) -> dict[str, Any]:
        """Returns the complete list, in the format of the first response and of a proxy's configuration."""
        return {"seq": self.version, "whole": True, "hosts": [entry for _, entry in self.entries.values()]}

    def changes_since(self, version: int) -> dict[str, Any]:
        """Returns the entries changed since a version, in the format of a response."""
        entries = [entry for changed_at, entry in self.entries.values() if changed_at > version]
        return {"seq": self.version, "whole": False, "hosts": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles one connection: sends the list, then keeps the watch alive until the proxy closes it."""
        watch = Watch(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            if self.is_down:
                await reader.read()
                return
            since = re.search(r"from=(\d+)", head)
            version = int(since[1]) if since else None
            if self.delays is not None:
                version = await self.send_list_slowly(writer, version, self.delays)
            else:
                writer.write(RESPONSE_HEAD)
            answer = self.full_list() if version is None else self.changes_since(version)
            self.watches.add(watch)
            self.unwatched_since = inf
            if self.delays is None or version != self.version:
                watch.send(json.dumps(answer, indent=1 if self.sends_pieces else None), self.sends_pieces)
            # The proxy sends nothing after its request, so a read returns only at its close. Silent watches
            # are read as well, so that their close is noticed.
            while not await wait_for_eof(reader, KEEPALIVE_INTERVAL):
                if watch.silent_since == inf and not self.is_down:
                    watch.send("", self.sends_pieces)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.remove_watch(watch)
            writer.close()

    async def send_list_slowly(
        self, writer: asyncio.StreamWriter, since: int | None, delays: AnswerDelays
    ) -> int:
        """Sends the first list of an answer in two parts; returns its version."""
        await asyncio.sleep(delays.first_byte)
        writer.write(RESPONSE_HEAD)
        version = self.version
        data = encode_chunk(json.dumps(self.full_list() if since is None else self.changes_since(since)))
        writer.write(data[: len(data) // 2])
        await asyncio.sleep(delays.list_time)
        writer.write(data[len(data) // 2 :])
        return version

    def remove_watch(self, watch: Watch) -> None:
        """Removes a closed watch.

        If it was the last one, changes count as undelivered from now on, or from its first unsent chunk on.
        """
        if watch in self.watches:
            self.watches.remove(watch)
            if not self.watches:
                self.unwatched_since = min(self.unwatched_since, time.monotonic(), watch.unsent_since)

    @property
    def undelivered_since(self) -> float:
        """The time from which on changes may not have reached the proxy; infinite if all have."""
        return min(self.unwatched_since, *(watch.unsent_since for watch in self.watches), inf)

    def receive_changes(self, entries: Iterable[Entry]) -> Delivery:
        """Applies changes to the list and sends them to the watches that aren't silent."""
        now = time.monotonic()
        if self.is_down:
            self.missed_changes += entries
            # The time of delivery is unknown yet: another outage may extend this one.
            return Delivery(inf, f"{now:.3f} missed, down until {self.down_until:.3f}")
        self.version += 1
        changed = list(entries)
        for entry in changed:
            self.entries[entry["host"]] = (self.version, entry)
        text = json.dumps({"seq": self.version, "whole": False, "hosts": changed})
        live = [watch for watch in self.watches if watch.silent_since == inf]
        for watch in live:
            with suppress(RuntimeError, OSError):
                watch.send(text, self.sends_pieces, now)
        in_pieces = " in pieces" if self.sends_pieces else ""
        text = f"{now:.3f} sent{in_pieces} to {len(live)} of {len(self.watches)} watches"
        if self.delays is not None:
            return Delivery(now + NOTIFIED_WITHIN, f"{text}, answers take {self.delays}")
        if live or not self.watches:
            return Delivery(now, text)
        silent_since = max(watch.silent_since for watch in self.watches)
        notified_at = max(now, silent_since + SILENCE_DETECTED_AFTER)
        return Delivery(notified_at, f"{text}, silent since {silent_since:.3f}")

    def silence_watches(self) -> None:
        """Stops sending on all open watches, without closing them."""
        now = time.monotonic()
        for watch in self.watches:
            watch.silent_since = min(watch.silent_since, now)

    def reset_watches(self) -> None:
        """Aborts the connections of all open watches and removes them at once."""
        for watch in list(self.watches):
            watch.writer.transport.abort()
            self.remove_watch(watch)

    def begin_outage(self, seconds: float) -> None:
        """Begins an outage expected to last that many seconds; each needs its own call of `end_outage`."""
        self.outages += 1
        self.down_until = max(self.down_until, time.monotonic() + seconds)

    def end_outage(self) -> list[Entry]:
        """Ends one outage. If no other is in progress, resets all watches and applies the missed changes.

        Returns the changes that were applied.
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
    """Waits up to that many seconds for the peer to close; returns whether it did."""
    with suppress(TimeoutError):
        return not await asyncio.wait_for(reader.read(1), within)
    return False


def encode_chunk(text: str) -> bytes:
    """Returns a line as a chunk of a chunked HTTP response."""
    return b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode())


def current_entries(servers: Iterable[Server]) -> list[Entry]:
    """Returns the current entries of servers."""
    return [server.entry() for server in servers]
