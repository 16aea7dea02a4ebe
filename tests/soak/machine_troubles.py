"""Faults in the proxies' environment: discovery, system calls, the wall clock, the network, the load."""

from __future__ import annotations

import asyncio
import time
from math import inf

from tests.soak.discovery import Delivery, DiscoveryAgent
from tests.soak.proxy_troubles import proxy_names
from tests.soak.simulation import Simulation

DISCOVERY_OUTAGE = 3.0  # seconds
DISCOVERY_FAULTS = ("silence", "reset", "down", "pieces")
CLOCK_STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # seconds
PARTITION_LOSS = 0.2  # of datagrams, on the links that are not severed
SYSTEM_CALLS = (
    ("accept", ("EMFILE", "ENFILE", "ENOBUFS", "ECONNABORTED")),
    ("connect", ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EHOSTUNREACH")),
    ("socket", ("ENFILE", "ENOBUFS")),
    ("sendto", ("ENETUNREACH", "ENOBUFS", "EPERM")),
    ("recv", ("ETIMEDOUT", "EHOSTUNREACH")),
    ("send", ("ENOBUFS",)),
)


class MachineFaults:
    """Injects faults into the environment of a run's proxies."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.rng = simulation.rng

    async def disturb_discovery(self) -> None:
        """Silences or resets the watches of half of the agents, or takes these agents down, or toggles
        whether they write in small pieces.
        """
        agents = self.simulation.agents
        affected = self.rng.sample(agents, max(1, len(agents) // 2))
        fault = self.rng.choice(DISCOVERY_FAULTS)
        self.simulation.record_fault(f"discovery {fault} at {len(affected)}")
        for agent in affected:
            if fault == "silence":
                agent.silence_watches()
            elif fault == "reset":
                agent.reset_watches()
            elif fault == "pieces":
                agent.sends_pieces = not agent.sends_pieces
            else:
                self.take_down(agent)
        if fault == "down":
            await asyncio.sleep(DISCOVERY_OUTAGE)
            for agent in affected:
                missed = agent.end_outage()
                now = time.monotonic()
                self.simulation.record_notifications(
                    agent, missed, Delivery(now, f"{now:.3f} delivered after the outage")
                )

    def take_down(self, agent: DiscoveryAgent) -> None:
        """Begins an outage of an agent.

        Changes that may not have reached its proxy count as notified only from the end of the outage.
        """
        agent.begin_outage(DISCOVERY_OUTAGE)
        for change in self.simulation.records.notifications:
            if change.proxy == agent.proxy and change.notified_at >= agent.undelivered_since:
                change.notified_at = max(change.notified_at, agent.down_until)
                change.delivery += f", possibly undelivered, down until {agent.down_until:.3f}"

    async def fail_system_calls(self) -> None:
        """Makes a share of one system call fail in a third of the proxies, sometimes with short I/O too."""
        proxies = self.simulation.proxies
        affected = self.rng.sample(proxies, max(1, len(proxies) // 3))
        call, errors = self.rng.choice(SYSTEM_CALLS)
        share = 0.02 if call in ("recv", "send") else self.rng.choice((0.1, 0.5, 1.0))
        share = min(share, 0.5) if call == "accept" else share  # no client is served if every accept fails
        plan = {"fail": {call: (share, self.rng.choice(errors))}, "short": self.rng.choice((0.0, 0.5))}
        self.simulation.record_fault(f"system calls {plan} at {proxy_names(affected)}")
        for proxy in affected:
            if proxy.current_run.ready_at < inf:
                proxy.apply_fault_plan(**{**proxy.fault_plan, **plan})
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        for proxy in affected:
            proxy.apply_fault_plan(wall=proxy.fault_plan.get("wall", 0.0))

    async def step_clock(self) -> None:
        """Steps the wall clock of a third of the proxies."""
        proxies = self.simulation.proxies
        affected = self.rng.sample(proxies, max(1, len(proxies) // 3))
        step = self.rng.choice(CLOCK_STEPS)
        self.simulation.record_fault(f"wall clock {step:+.0f} s at {proxy_names(affected)}")
        for proxy in affected:
            if proxy.current_run.ready_at < inf:
                wall = proxy.fault_plan.get("wall", 0.0) + step
                proxy.apply_fault_plan(**{**proxy.fault_plan, "wall": wall})

    async def partition(self) -> None:
        """Cuts the links between two halves of the proxies for a while; other links lose some datagrams."""
        relay = self.simulation.relay
        proxies = len(self.simulation.proxies)
        affected = set(self.rng.sample(range(proxies), proxies // 2))
        self.simulation.record_fault("partition between peers")
        relay.partition(affected)
        relay.loss = PARTITION_LOSS
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        relay.severed_links = set()
        relay.loss = 0.0

    async def burst(self) -> None:
        """Starts one second's worth of additional clients within half a second."""
        self.simulation.record_fault("burst")
        rate = self.simulation.plan.rate
        for _ in range(round(rate)):
            self.simulation.spawn_task(self.simulation.run_client())
            await asyncio.sleep(1 / rate / 2)
