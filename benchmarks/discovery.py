"""A stand-in for the platform's discovery that sends one endpoint list to every watch."""

from __future__ import annotations

import asyncio
import json
from typing import Any

EMPTY_LINE_INTERVAL = 2  # seconds


class StandInDiscovery:
    """Sends each change to all watches at once."""

    def __init__(self, hosts: dict[str, str]) -> None:
        self.hosts = {
            name: {
                "host": name,
                "dial": dial,
                "site": "",
                "class": "",
                "block": 0,
                "health": "ready",
                "share": 1.0,
                "born_ms": 0,
            }
            for name, dial in hosts.items()
        }
        self.seq = 1
        self.port = 0
        self.watches: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listens on a port chosen by the kernel."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.heartbeat = asyncio.create_task(self.send_heartbeats())

    def known(self, whole: bool = True, names: tuple[str, ...] = ()) -> dict[str, Any]:
        """Returns the whole list, or only the entries of `names`."""
        hosts = [host for name, host in self.hosts.items() if whole or name in names]
        return {"seq": self.seq, "whole": whole, "hosts": hosts}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers a request with the whole list, and keeps the watch open for later changes."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.add(writer)
            self.send_text(writer, json.dumps(self.known()))
            await reader.read()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the watch was disconnected, or the benchmark is ending
        finally:
            self.watches.discard(writer)
            writer.close()

    @staticmethod
    def send_text(writer: asyncio.StreamWriter, text: str) -> None:
        """Sends a line of text as one HTTP chunk."""
        writer.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode()))

    def set(self, name: str, health: str) -> None:
        """Changes the health of a server and sends the change to all watches."""
        self.hosts[name]["health"] = health
        self.seq += 1
        for writer in self.watches:
            self.send_text(writer, json.dumps(self.known(False, (name,))))

    async def send_heartbeats(self) -> None:
        """Sends an empty line to all watches periodically, so that clients do not time them out."""
        while True:
            await asyncio.sleep(EMPTY_LINE_INTERVAL)
            for writer in self.watches:
                self.send_text(writer, "")
