"""Case 8: an operator drains the proxy, and an upgrade begins while the drain goes on."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from second.world import Client, CouldNotRunError, ProxyProcess, World, open_session, play

SESSIONS = 40
NEXT_PROCESS_AFTER = 1.5  # seconds from the call to the start of the next process
READY_WITHIN = 6.0  # seconds, the page's limit for the yes of the next process
DRAINED_WITHIN = 4.0  # seconds from the call, from the page
SLACK = 0.05  # seconds, which the protocol page adds to each limit on sockets
WATCHED_FOR = 6.0  # seconds from the call


async def upgrade(world: World, old: ProxyProcess) -> None:
    """Starts the next process, and sends SIGTERM to the one before at its yes."""
    new = await world.start_proxy("new", with_operators=True)
    until = time.monotonic() + READY_WITHIN
    while await new.call("GET", "/-/ready") != 200:
        if time.monotonic() > until:
            raise CouldNotRunError("the next process was not ready in time")
        await asyncio.sleep(0.05)
    old.send_signal(signal.SIGTERM)


def held_too_long(client: Client, called_at: float) -> bool:
    """Returns whether the client's connection was neither moved nor ended when the time was over."""
    gone_at = client.moved_at or client.ended_at
    return not gone_at or gone_at > called_at + DRAINED_WITHIN + SLACK


async def story(world: World, trouble: bool) -> list[str]:
    """Opens connections, drains the proxy, and looks when each client was moved."""
    old = await world.start_proxy("old", with_operators=True)
    await old.wait_until_ready()
    for _ in range(SESSIONS):
        await open_session(world)
    await asyncio.sleep(1.0)
    if await old.call("PUT", "/-/drain") != 200:
        raise CouldNotRunError("the drain was not answered with yes")
    called_at = time.monotonic()
    await asyncio.sleep(NEXT_PROCESS_AFTER)
    if trouble:
        await upgrade(world, old)
    await asyncio.sleep(max(0.0, called_at + WATCHED_FOR - time.monotonic()))
    breaks = []
    for client in world.clients:
        if held_too_long(client, called_at):
            after = f"{client.moved_at - called_at:.2f} s" if client.moved_at else "never"
            breaks.append(f"client {client.request_id} was held; moved after the drain's yes: {after}")
    return breaks


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, story)
