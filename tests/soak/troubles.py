"""The troubles of a run: which ones the seed draws, and when."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from tests.soak.machine_troubles import MachineTroubles
from tests.soak.proxy_troubles import ProxyTroubles
from tests.soak.server_troubles import ServerTroubles
from tests.soak.simulation import Simulation

QUIET_BEGINNING = 6.0  # seconds before the first trouble
CROWDS_WHERE_FREQUENT = 4  # more entries of this trouble, in runs that have crowds
SHARE_QUIET = 0.4  # of runs, that begin so

Trouble = Callable[[], Coroutine[Any, Any, None]]


def all_troubles(simulation: Simulation) -> tuple[Trouble, ...]:
    """Returns what may be drawn; one that stands twice comes twice as often."""
    servers = ServerTroubles(simulation)
    proxies = ProxyTroubles(simulation)
    machine = MachineTroubles(simulation)
    return (
        servers.replace,
        servers.replace,
        servers.crash,
        servers.misbehave,
        servers.misbehave,
        servers.drop_connections,
        proxies.stop_and_start,
        proxies.stop_and_start,
        proxies.kill_and_start,
        proxies.upgrade,
        proxies.upgrade,
        proxies.suspend,
        proxies.reload,
        machine.disturb_discovery,
        machine.disturb_discovery,
        machine.fail_system_calls,
        machine.fail_system_calls,
        machine.step_clock,
        machine.partition,
        machine.burst,
        proxies.crowd,
        *([proxies.crowd] * CROWDS_WHERE_FREQUENT if simulation.has_crowds else []),
    )


async def play_troubles(simulation: Simulation) -> None:
    """Begins one to three troubles at a time, whatever still goes on, until nothing new begins."""
    rng = simulation.rng
    troubles = all_troubles(simulation)
    if rng.random() < SHARE_QUIET:
        await asyncio.sleep(QUIET_BEGINNING)
    while not simulation.is_over:
        for _ in range(rng.choice((1, 2, 3))):
            simulation.spawn_trouble(rng.choice(troubles)())
        await asyncio.sleep(rng.uniform(0.2, 1.5))
