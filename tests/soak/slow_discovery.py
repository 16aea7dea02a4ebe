"""A run in which all agents of discovery become slow, their watches end, and servers begin to drain."""

from __future__ import annotations

import asyncio
from random import Random

from tests.soak.discovery import AnswerDelays
from tests.soak.proxy_troubles import ProxyFaults
from tests.soak.server_troubles import MIN_READY_SERVERS
from tests.soak.servers import Server
from tests.soak.simulation import Simulation

MAX_AGENT_TIME = 3.0  # seconds that an agent may take for an answer, to its first byte and for its list
START = (0.5, 1.5)  # seconds until the agents become slow
DRAIN_AFTER = (0.0, 1.0)  # seconds from then until servers begin to drain
DRAINING_SERVERS = 2
PAUSE = (0.5, 2.0)  # seconds between further faults


async def slow_discovery_down(simulation: Simulation) -> None:
    """Slows all agents down, ends their watches and drains servers; suspends proxies meanwhile."""
    rng = Random(f"slow discovery {simulation.plan.seed}")
    await asyncio.sleep(rng.uniform(*START))
    slow_agents_down(simulation, rng)
    await asyncio.sleep(rng.uniform(*DRAIN_AFTER))
    for server in rng.sample(simulation.servers, min(DRAINING_SERVERS, ready_count(simulation))):
        drain(simulation, server)
    proxies = ProxyFaults(simulation)
    while not simulation.is_ending:
        await asyncio.sleep(rng.uniform(*PAUSE))
        fault = rng.choice((proxies.suspend, proxies.reload, proxies.upgrade, proxies.kill_and_start))
        simulation.spawn_fault(fault())


def ready_count(simulation: Simulation) -> int:
    """Returns how many servers may begin to drain."""
    ready = sum(server.health == "ready" for server in simulation.servers)
    return max(0, ready - MIN_READY_SERVERS)


def slow_agents_down(simulation: Simulation, rng: Random) -> None:
    """Draws the delays of each agent, and resets or silences its watches."""
    for agent in simulation.agents:
        first_byte = rng.choice((0.0, rng.uniform(0.0, MAX_AGENT_TIME / 2)))
        agent.delays = AnswerDelays(first_byte, rng.uniform(0.0, MAX_AGENT_TIME / 2))
        is_silent = rng.random() < 0.5
        simulation.record_fault(f"agent of n{agent.proxy} slow {agent.delays}, silent watch {is_silent}")
        if is_silent:
            agent.silence_watches()
        else:
            agent.reset_watches()


def drain(simulation: Simulation, server: Server) -> None:
    """Has a server drain for the rest of the run."""
    server.health = "draining"
    simulation.record_fault(f"{server.name} drains")
    for agent in simulation.agents:
        simulation.notify(agent, [server.entry()])
