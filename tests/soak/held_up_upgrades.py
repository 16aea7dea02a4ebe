"""A run of upgrades, one after another, whose new process is held up while it takes connections over."""

from __future__ import annotations

import asyncio
import signal
import time
from math import inf
from pathlib import Path
from random import Random

from tests.soak.proxies import Proxy
from tests.soak.servers import ServerBehaviour
from tests.soak.simulation import Simulation

HOLD_AFTER = (0.05, 0.22)  # seconds from SIGTERM at the old process
HOLD_TIME = 0.13  # seconds, less than the 0.15 s for which a proxy may be held up
READY_WITHIN = 6.0  # seconds, due for the yes of the new process
PAUSE = (0.3, 1.0)  # seconds between two upgrades
LISTENING = "upgrade: taken over"  # logged by a new process that serves


async def upgrade_and_hold_up(simulation: Simulation) -> None:
    """Upgrades proxies in turn until the run ends; servers are slow, so that requests are out meanwhile."""
    rng = Random(f"held-up upgrades {simulation.plan.seed}")
    for server in simulation.servers[::2]:
        server.behaviour = ServerBehaviour.SLOW
    while not simulation.is_ending:
        await asyncio.sleep(rng.uniform(*PAUSE))
        proxy = rng.choice(simulation.proxies)
        if proxy.current_run.ready_at < inf:
            await upgrade(simulation, proxy, rng.uniform(*HOLD_AFTER))


async def upgrade(simulation: Simulation, proxy: Proxy, hold_after: float) -> None:
    """Starts a new process, stops the old one once the new one serves, and holds the new one up."""
    proxy.is_upgrading = True
    simulation.record_fault(f"upgrade n{proxy.number}, held up {hold_after:.3f} s after SIGTERM")
    proxy.upgrade()
    await wait_until_taken_over(proxy)
    await simulation.wait_until_ready(proxy)
    proxy.signal_predecessors(signal.SIGTERM)
    kill_at = time.monotonic() + simulation.kill_after
    await asyncio.sleep(hold_after)
    began = time.monotonic()
    if proxy.send_signal(signal.SIGSTOP):
        await asyncio.sleep(HOLD_TIME)
        proxy.send_signal(signal.SIGCONT)
        proxy.current_run.suspensions.append((began, time.monotonic()))
    while any(run.ended_at == inf for _, run in proxy.predecessors) and time.monotonic() < kill_at:
        await asyncio.sleep(0.02)
        proxy.observe()
    proxy.signal_predecessors(signal.SIGKILL)
    proxy.is_upgrading = False


async def wait_until_taken_over(proxy: Proxy) -> None:
    """Waits until the log of the newest process says that it has taken over; the old one answers PING too."""
    log = Path(proxy.current_run.log_path)
    until = time.monotonic() + READY_WITHIN
    while LISTENING not in log.read_text(errors="replace") and time.monotonic() < until:
        await asyncio.sleep(0.05)
