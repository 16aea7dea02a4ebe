"""Schedules the faults of a run: the seed decides which ones are injected, and when."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from tests.soak.machine_troubles import MachineFaults
from tests.soak.proxy_troubles import ProxyFaults
from tests.soak.server_troubles import ServerFaults
from tests.soak.simulation import Simulation

INITIAL_QUIET_TIME = 6.0  # seconds before the first fault, in runs with a quiet start
EXTRA_CROWD_ENTRIES = 4  # of `crowd` in the list of faults, in runs where crowds are frequent
SHARE_QUIET_START = 0.4  # of runs

Fault = Callable[[], Coroutine[Any, Any, None]]


def all_faults(simulation: Simulation) -> tuple[Fault, ...]:
    """Returns the faults to draw from; a fault listed twice is drawn twice as often."""
    servers = ServerFaults(simulation)
    proxies = ProxyFaults(simulation)
    machine = MachineFaults(simulation)
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
        *([proxies.crowd] * EXTRA_CROWD_ENTRIES if simulation.has_crowds else []),
    )


async def inject_faults(simulation: Simulation) -> None:
    """Starts one to three faults at a time, without waiting for earlier ones, until the run is ending."""
    rng = simulation.rng
    faults = all_faults(simulation)
    if rng.random() < SHARE_QUIET_START:
        await asyncio.sleep(INITIAL_QUIET_TIME)
    while not simulation.is_ending:
        for _ in range(rng.choice((1, 2, 3))):
            simulation.spawn_fault(rng.choice(faults)())
        await asyncio.sleep(rng.uniform(0.2, 1.5))
