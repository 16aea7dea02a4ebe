"""A stand-in for the platform's discovery: one list, told to whoever watches."""

from __future__ import annotations

import asyncio
import json
from typing import Any


class StandInDiscovery:
    """Tells each change to all watches at once."""

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
        self.seq, self.port = 1, 0
        self.watches: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.alive = asyncio.create_task(self.beat())

    def known(self, whole: bool = True, names: tuple[str, ...] = ()) -> dict[str, Any]:
        hosts = [host for name, host in self.hosts.items() if whole or name in names]
        return {"seq": self.seq, "whole": whole, "hosts": hosts}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.add(writer)
            self.tell(writer, json.dumps(self.known()))
            await reader.read()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the watch broke, or whoever started this ends
        finally:
            self.watches.discard(writer)
            writer.close()

    @staticmethod
    def tell(writer: asyncio.StreamWriter, text: str) -> None:
        writer.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode()))

    def set(self, name: str, health: str) -> None:
        self.hosts[name]["health"] = health
        self.seq += 1
        for writer in self.watches:
            self.tell(writer, json.dumps(self.known(False, (name,))))

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(2)
            for writer in self.watches:
                self.tell(writer, "")
