"""Troubles of what surrounds the proxies: discovery, system calls, the wall clock, the network, the load."""

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
PARTITION_LOSS = 0.2  # of datagrams on links that are not cut
SYSTEM_CALLS = (
    ("accept", ("EMFILE", "ENFILE", "ENOBUFS", "ECONNABORTED")),
    ("connect", ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EHOSTUNREACH")),
    ("socket", ("ENFILE", "ENOBUFS")),
    ("sendto", ("ENETUNREACH", "ENOBUFS", "EPERM")),
    ("recv", ("ETIMEDOUT", "EHOSTUNREACH")),
    ("send", ("ENOBUFS",)),
)


class MachineFaults:
    """What happens around the proxies of a run."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.rng = simulation.rng

    async def disturb_discovery(self) -> None:
        """Some agents' watches fall silent or break, or the agents are down, or answer in small pieces."""
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
                    agent, missed, Delivery(now, f"{now:.3f} told at the return")
                )

    def take_down(self, agent: DiscoveryAgent) -> None:
        """An agent is down; what has not reached its proxy counts as known only once it is back."""
        agent.begin_outage(DISCOVERY_OUTAGE)
        for change in self.simulation.records.notifications:
            if change.proxy == agent.proxy and change.notified_at >= agent.undelivered_since:
                change.notified_at = max(change.notified_at, agent.down_until)
                change.delivery += f", not written whole, down until {agent.down_until:.3f}"

    async def fail_system_calls(self) -> None:
        """A system call fails now and then at some proxies, and reads and writes come short."""
        proxies = self.simulation.proxies
        affected = self.rng.sample(proxies, max(1, len(proxies) // 3))
        call, errors = self.rng.choice(SYSTEM_CALLS)
        share = 0.02 if call in ("recv", "send") else self.rng.choice((0.1, 0.5, 1.0))
        share = min(share, 0.5) if call == "accept" else share  # nobody is served while none can be accepted
        plan = {"fail": {call: (share, self.rng.choice(errors))}, "short": self.rng.choice((0.0, 0.5))}
        self.simulation.record_fault(f"system calls {plan} at {proxy_names(affected)}")
        for proxy in affected:
            if proxy.current_run.ready_at < inf:
                proxy.apply_fault_plan(**{**proxy.fault_plan, **plan})
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        for proxy in affected:
            proxy.apply_fault_plan(wall=proxy.fault_plan.get("wall", 0.0))

    async def step_clock(self) -> None:
        """The wall clock of some proxies steps."""
        proxies = self.simulation.proxies
        affected = self.rng.sample(proxies, max(1, len(proxies) // 3))
        step = self.rng.choice(CLOCK_STEPS)
        self.simulation.record_fault(f"wall clock {step:+.0f} s at {proxy_names(affected)}")
        for proxy in affected:
            if proxy.current_run.ready_at < inf:
                wall = proxy.fault_plan.get("wall", 0.0) + step
                proxy.apply_fault_plan(**{**proxy.fault_plan, "wall": wall})

    async def partition(self) -> None:
        """Half of the proxies do not hear the others for a while, and datagrams are lost."""
        relay = self.simulation.relay
        proxies = len(self.simulation.proxies)
        affected = set(self.rng.sample(range(proxies), proxies // 2))
        self.simulation.record_fault("peers are partitioned")
        relay.partition(affected)
        relay.loss = PARTITION_LOSS
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        relay.severed_links = set()
        relay.loss = 0.0

    async def burst(self) -> None:
        """The clients of one second come within half a second more, beside the usual ones."""
        self.simulation.record_fault("burst")
        rate = self.simulation.plan.rate
        for _ in range(round(rate)):
            self.simulation.spawn_task(self.simulation.run_client())
            await asyncio.sleep(1 / rate / 2)
