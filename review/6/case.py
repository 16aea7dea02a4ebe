"""Case 6: discovery needs a second for the list that each of its answers begins with.

One proxy starts with the list as it last had it, and one of its servers drains; another proxy is new and has
had no list.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from second.world import HOST, CouldNotRunError, ProxyProcess, World, free_port, open_session, play

LIST_TIME = 1.0  # seconds from the first byte of an answer's list to its last
QUIET_TIME = 3.0  # seconds before the server drains
TOLD_WITHIN = 6.0  # seconds from when discovery has a change until the proxy counts as told, from the page
READY_WITHIN = 30.0  # seconds from the start of a proxy, from the page
SLACK = 0.05  # seconds, which the protocol page adds to each limit on sockets
WATCHED_FOR = 30.0  # seconds from the change
REQUEST_INTERVAL = 0.2  # seconds
SESSION_TIME = 1.0  # seconds
NO_LIST = {"seq": 0, "whole": True, "hosts": []}


async def use(world: World) -> None:
    """Opens a connection and leaves it after a while."""
    session = await open_session(world)
    await asyncio.sleep(SESSION_TIME)
    session.cancel()


async def offer_load(world: World, until: float) -> None:
    """Opens connections at a steady rate."""
    clients = []
    while time.monotonic() < until:
        clients.append(asyncio.ensure_future(use(world)))
        await asyncio.sleep(REQUEST_INTERVAL)
    for result in await asyncio.gather(*clients, return_exceptions=True):
        if isinstance(result, BaseException):
            raise CouldNotRunError(f"a client failed: {result}")


async def time_to_ready(proxy: ProxyProcess) -> float:
    """Returns the seconds until the proxy answers PONG; one more than the limit if it does not."""
    began = time.monotonic()
    while time.monotonic() < began + READY_WITHIN + SLACK:
        answer = await proxy.ping()
        proxy.world.record.note(f"{proxy.name} answers {answer!r}")
        if answer == "PONG":
            return time.monotonic() - began
        await asyncio.sleep(1.0)
    return READY_WITHIN + 1.0


async def late_openings(world: World) -> list[str]:
    """Drains one server under load; returns each OPEN that it gets too late."""
    await offer_load(world, time.monotonic() + QUIET_TIME)
    drained = world.servers[0]
    drained.health = "draining"
    world.discovery.tell(drained)
    changed_at = time.monotonic()
    await offer_load(world, changed_at + WATCHED_FOR)
    grace = world.settings["rules"]["stop_sending_within_us"] / 1e6
    late = changed_at + TOLD_WITHIN + grace + 2 * SLACK  # two limits
    breaks = []
    for opening in drained.openings:
        if opening.first_byte_at > late:
            when = f"{opening.first_byte_at - changed_at:.2f} s after it began to drain"
            limit = f"the rule ends new work after {late - changed_at:.2f} s"
            breaks.append(f"{drained.name} got OPEN {opening.request_id} {when}; {limit}")
    return breaks


async def story(world: World, trouble: bool) -> list[str]:
    """Starts both proxies, and looks whether the new one serves and the other one heeds the drain."""
    world.discovery.list_time = LIST_TIME if trouble else 0.0
    world.settings["balancers"] = 2
    proxy = await world.start_proxy("n1")
    await proxy.wait_until_ready()
    settings = {**world.settings, "slot_no": 1}
    listen = f"{HOST}:{free_port()}"
    new = await world.start_proxy("n2", name="n2", listen=listen, known=NO_LIST, settings=settings)
    breaks, waited = await asyncio.gather(late_openings(world), time_to_ready(new))
    if waited > READY_WITHIN:
        breaks.insert(
            0, f"n2 was not ready {READY_WITHIN} s after its start, with {len(world.servers)} servers"
        )
    return breaks


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, story)
