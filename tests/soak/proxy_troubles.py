"""Faults of proxy processes: stops, kills, upgrades, reloads, suspensions, crowds of idle clients."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import suppress
from math import inf

from tests.soak.proxies import Proxy
from tests.soak.simulation import Simulation

KILL_SEEN_WITHIN = 5.0  # seconds from SIGKILL until the process must have exited
IDLE_CLIENTS = 280  # exceeds the descriptor limit of a proxy
SUSPENSION = (0.02, 0.13)  # seconds


class ProxyFaults:
    """Injects faults into the proxy processes of a run."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.rng = simulation.rng

    def choose_stable(self) -> Proxy | None:
        """Draws a proxy from the rotation. Returns None if it is being upgraded or stopped."""
        proxy = self.simulation.choose_proxy()
        if proxy is None or proxy.is_upgrading or proxy.current_run.stop_requested_at < inf:
            return None
        return proxy

    async def stop_and_start(self) -> None:
        """Stops a proxy as planned and starts a new process."""
        proxy = self.choose_stable()
        if proxy is None:
            return
        self.simulation.record_fault(f"SIGTERM n{proxy.number}")
        await self.simulation.stop(proxy)
        proxy.start()
        await self.simulation.wait_until_ready(proxy)

    async def kill_and_start(self) -> None:
        """Kills a proxy's process and starts a new one."""
        proxy = self.choose_stable()
        if proxy is None:
            return
        self.simulation.record_fault(f"SIGKILL n{proxy.number}")
        proxy.kill()
        await self.simulation.wait_for_end(proxy, KILL_SEEN_WITHIN)
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        proxy.start()
        await self.simulation.wait_until_ready(proxy)

    async def upgrade(self) -> None:
        """Starts a new process next to the current one, which is stopped once the new one serves."""
        proxy = self.choose_stable()
        if proxy is None or "mgmt" not in proxy.config or proxy.current_run.ready_at == inf:
            return
        proxy.is_upgrading = True
        self.simulation.record_fault(f"upgrade n{proxy.number}")
        proxy.upgrade()
        await self.simulation.wait_until_ready(proxy)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        proxy.signal_predecessors(signal.SIGTERM)
        until = time.monotonic() + self.simulation.kill_after
        while any(run.ended_at == inf for _, run in proxy.predecessors) and time.monotonic() < until:
            await asyncio.sleep(0.02)
            proxy.observe()
        proxy.signal_predecessors(signal.SIGKILL)
        proxy.is_upgrading = False

    async def suspend(self) -> None:
        """Suspends a quarter of the proxies ten times, each for a moment (SIGSTOP, then SIGCONT)."""
        proxies = self.simulation.proxies
        affected = self.rng.sample(proxies, max(1, len(proxies) // 4))
        self.simulation.record_fault(f"suspended: {proxy_names(affected)}")
        for _ in range(10):
            for proxy in affected:
                await self.suspend_once(proxy)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def suspend_once(self, proxy: Proxy) -> None:
        """Suspends a proxy's newest process for a moment and records the span."""
        began = time.monotonic()
        process = proxy.process
        run = proxy.current_run
        if process is not None and run.ended_at == inf and proxy.send_signal(signal.SIGSTOP):
            await asyncio.sleep(self.rng.uniform(*SUSPENSION))
            process.send_signal(signal.SIGCONT)  # not via the proxy, which may have a newer process now
            run.suspensions.append((began, time.monotonic()))

    async def reload(self) -> None:
        """Changes and reloads the configuration of a third of the proxies, one to three times in a row."""
        proxies = self.simulation.proxies
        affected = self.rng.sample(proxies, max(1, len(proxies) // 3))
        self.simulation.record_fault(f"SIGHUP {proxy_names(affected)}")
        for number in range(self.rng.randrange(1, 4)):
            for proxy in affected:
                if proxy.current_run.ended_at < inf:
                    continue
                settings = {**proxy.config["settings"], "an_unknown_key": number}
                limits = {**proxy.config["limits"], "sockets": 256 + number}
                proxy.configure(settings=settings, limits=limits)
                proxy.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.uniform(0.0, 0.4))

    async def crowd(self) -> None:
        """Opens idle connections to one proxy until its descriptors are exhausted."""
        proxy = self.simulation.choose_proxy()
        if proxy is None:
            return
        self.simulation.record_fault(f"crowd of idle clients at n{proxy.number}")
        run = proxy.current_run
        began = time.monotonic()
        writers = []
        for _ in range(IDLE_CLIENTS):
            with suppress(OSError, TimeoutError):
                _, writer = await asyncio.wait_for(asyncio.open_connection(*proxy.address), 0.5)
                writers.append(writer)
        await asyncio.sleep(1.0)
        for writer in writers:
            writer.close()
        run.crowded_spans.append((began, time.monotonic()))


def proxy_names(proxies: list[Proxy]) -> str:
    """Returns the names of proxies for the record of a fault."""
    return " ".join(f"n{proxy.number}" for proxy in proxies)
