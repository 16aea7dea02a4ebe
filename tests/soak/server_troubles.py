"""Faults of servers: planned replacements, crashes, bad answers, dropped connections."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from tests.soak.servers import FAILURES, ServerBehaviour
from tests.soak.simulation import Simulation

MIN_READY_SERVERS = 3  # servers that stay ready during a replacement


class ServerFaults:
    """Injects faults into the simulated servers of a run."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.rng = simulation.rng

    async def replace(self) -> None:
        """Drains and removes a server, and starts another one in its zone."""
        simulation = self.simulation
        ready = [server for server in simulation.servers if server.health == "ready"]
        if len(ready) <= MIN_READY_SERVERS:
            return
        old = self.rng.choice(ready)
        old.health = "draining"
        simulation.record_fault(f"{old.name} drains")
        simulation.notify_agents(old)
        new = simulation.new_server(old.zone)
        await new.listen()
        new.record_start()
        simulation.servers.append(new)
        simulation.notify_agents(new)
        await asyncio.sleep(self.rng.uniform(1.5, 4.0))
        old.health = "gone"
        simulation.notify_agents(old)
        await asyncio.sleep(0.5)
        old.finish_drain()
        simulation.servers.remove(old)

    async def crash(self) -> None:
        """Simulates the crash and restart of a server process."""
        server = self.rng.choice(self.simulation.servers)
        if server.health != "ready":
            return
        self.simulation.record_fault(f"{server.name} crashes")
        server.kill()
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        with suppress(OSError):  # if the port has been taken meanwhile, the server stays unreachable
            await server.listen()
        server.record_start()
        self.simulation.notify_agents(server)

    async def misbehave(self) -> None:
        """Makes a quarter of the servers fail for a while, all of them in the same way."""
        behaviour = self.rng.choice(FAILURES)
        servers = self.simulation.servers
        affected = self.rng.sample(servers, max(1, len(servers) // 4))
        names = " ".join(server.name for server in affected)
        self.simulation.record_fault(f"{behaviour.value} at {names}")
        for server in affected:
            server.behaviour = behaviour
            server.is_silent = behaviour is ServerBehaviour.HANG and self.rng.random() < 0.5
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        for server in affected:
            server.behaviour = ServerBehaviour.UP
            server.is_silent = False

    async def drop_connections(self) -> None:
        """Makes a server reset about half of its connections."""
        server = self.rng.choice(self.simulation.servers)
        self.simulation.record_fault(f"{server.name} drops connections")
        server.reset_some(0.5)
