"""One stand-in server in a process of its own; it prints its port and ends with its standard input."""

from __future__ import annotations

import asyncio
import sys

from brambleplank.emulator.servers import StandInServer


async def main() -> None:
    """Serves until standard input ends."""
    server = StandInServer("feed1")
    await server.listen()
    print(server.port, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main())
