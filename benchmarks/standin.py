"""Runs one stand-in server as a process: prints its port, and exits when standard input is closed."""

from __future__ import annotations

import asyncio
import sys

from brambleplank.emulator.servers import StandInServer


async def main() -> None:
    """Serves until standard input is closed."""
    server = StandInServer("feed1")
    await server.listen()
    print(server.port, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main())
