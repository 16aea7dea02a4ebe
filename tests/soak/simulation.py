"""Runs the servers, discovery agents, proxies and clients of one seed, with the faults injected meanwhile."""

from __future__ import annotations

import asyncio
import resource
import signal
import socket
import time
import zlib
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from math import inf
from pathlib import Path
from random import Random
from typing import Any

from tests.relay import DatagramRelay
from tests.soak.clients import Client
from tests.soak.discovery import Delivery, DiscoveryAgent, Entry, current_entries
from tests.soak.drawn_settings import bind_repeats_to_zone, draw_settings
from tests.soak.proxies import Proxy
from tests.soak.records import ClientRecord, Misbehaviour, NotifiedChange, Records
from tests.soak.servers import Server

READY_TIMEOUT = 30.0  # seconds
MAX_STOP_DEADLINE = 3.0  # seconds; the platform waits no longer for deadlines after SIGTERM
KILL_AFTER_DEADLINE = 0.7  # seconds between the end of that wait and SIGKILL
PROBE_TIMEOUT = 1.0  # seconds
TASKS_END_TIMEOUT = 12.0  # seconds for clients to finish after all proxies have stopped
FAULTS_END_TIMEOUT = 8.0  # seconds for injected faults to finish when the run is ending
MAX_SIGNALS_BEFORE_STOP = 3  # SIGHUP
MAX_SIGNALS_AFTER_STOP = 4  # SIGHUP or SIGTERM
MAX_SIGNAL_PAUSE = 0.3  # seconds between the signals of a stop
LAG_SAMPLE_INTERVAL = 0.02  # seconds
MIN_RECORDED_LAG = 0.04  # seconds
MIN_SMALL_LAG = 0.003  # seconds; delays between the two are recorded apart
DESCRIPTOR_LIMIT = 16384  # of this process
SUBNETS = 250  # 127.N.1.0/24 to 127.N.250.0/24, where N is 20, or higher beyond 200 proxies
LOCK_HOST = 254  # no proxy has this address
LOCK_PORT = 4999
ZONES = ("a", "b")
SHARE_SHORT_DEADLINE = 0.1  # of requests
SHARE_MISBEHAVING = 0.05  # of clients
SHARE_RUNS_WITH_CROWDS = 0.3  # of runs in which crowds of idle clients are frequent
SHARE_LATE_NOTIFICATION = 0.1  # of changes, at each agent
LATE_NOTIFICATION = (0.05, 0.8)  # seconds


class Troubles(Enum):
    """Which faults a run draws from. Each kind has its own generator, so that seeds play on as they did."""

    MIXED = "mixed"
    SLOW_DISCOVERY = "slow-discovery"
    DAMAGED_RELOADS = "damaged-reloads"
    HELD_UP_UPGRADES = "held-up-upgrades"


@dataclass(frozen=True)
class SimulationPlan:
    """Parameters of one run. `patch` is code that each proxy process runs before the program."""

    seed: int
    folder: Path
    proxies: int
    servers: int
    seconds: float
    rate: float  # requests per second over all proxies
    patch: str = ""
    troubles: Troubles = Troubles.MIXED


class Subnet:
    """A loopback subnet that is reserved for this run among concurrent runs on the machine.

    The reservation is a socket listening on a fixed address of the subnet.
    """

    def __init__(self, preferred: int) -> None:
        """Reserves the preferred subnet, or the next one that is free. Raises RuntimeError if none is."""
        for step in range(SUBNETS):
            self.number = 1 + (preferred + step) % SUBNETS
            try:
                self._lock = socket.create_server((f"127.20.{self.number}.{LOCK_HOST}", LOCK_PORT))
                return
            except OSError:
                continue
        raise RuntimeError("all loopback subnets are in use by concurrent runs")

    def close(self) -> None:
        """Releases the subnet."""
        self._lock.close()


class Simulation:
    """Simulates servers, discovery and clients around real proxy processes, and records what they observe."""

    def __init__(self, plan: SimulationPlan) -> None:
        self.plan = plan
        self.rng = Random(plan.seed)
        self.subnet = Subnet(zlib.crc32(str(plan.folder).encode()))
        self.records = Records()
        self.settings = draw_settings(self.rng, plan.proxies)
        if plan.troubles is Troubles.DAMAGED_RELOADS:
            bind_repeats_to_zone(self.settings)
        # Uses its own generator: a draw from `self.rng` would change the faults that existing seeds produce.
        self.has_crowds = Random(f"crowds {plan.seed}").random() < SHARE_RUNS_WITH_CROWDS
        self.servers = [self.new_server(ZONES[n % 2]) for n in range(plan.servers)]
        self.agents = [DiscoveryAgent(n) for n in range(plan.proxies)]
        self.relay = DatagramRelay(plan.proxies)
        self.proxies: list[Proxy] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.fault_tasks: set[asyncio.Task[Any]] = set()
        self.is_ending = False  # no new clients and faults are started

    @property
    def kill_after(self) -> float:
        """The shortest time in seconds that the platform may leave between SIGTERM and SIGKILL."""
        longest: float = max(each["deadline_us"] for each in self.settings["service_types"]) / 1e6
        return min(MAX_STOP_DEADLINE, longest) + KILL_AFTER_DEADLINE

    # Start.

    def new_server(self, zone: str) -> Server:
        """Returns a new server, which isn't listening yet."""
        name = f"s{len(self.records.server_zones)}"
        return Server(name, zone, self.records, Random(self.rng.random()))

    async def start(self) -> None:
        """Starts servers, agents and proxies, and waits until the proxies are ready."""
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTOR_LIMIT, hard), hard))
        for server in self.servers:
            await server.listen()
        for agent in self.agents:
            await agent.listen()
            agent.load(self.servers)
        has_upgrades = self.rng.random() < 0.5 or self.plan.troubles is Troubles.HELD_UP_UPGRADES
        for number, agent in enumerate(self.agents):
            proxy = self.new_proxy(number, agent, has_upgrades)
            proxy.start()
            self.proxies.append(proxy)
        await asyncio.gather(*(self.wait_until_ready(proxy) for proxy in self.proxies))

    def new_proxy(self, number: int, agent: DiscoveryAgent, has_upgrades: bool) -> Proxy:
        """Returns a configured proxy, which isn't started yet."""
        peers, peers_all = self.relay.peer_addresses(number)
        address = f"127.{20 + number // 200}.{self.subnet.number}.{1 + number % 200}", 5000
        folder = self.plan.folder / f"p{number}"
        proxy = Proxy(number, folder, address, agent, self.records, self.plan.patch)
        proxy.configure(
            name=f"n{number}",
            listen=address_text(address),
            limits={"cores": 1.0, "memory_mb": 256, "sockets": 256},
            settings={**self.settings, "slot_no": number, "az": ZONES[number % 2]},
            peer_listen=address_text(self.relay.member_addresses[number]),
            peers=peers,
            peers_all=peers_all,
        )
        if has_upgrades:
            proxy.configure(mgmt=f"{address[0]}:5001")
        return proxy

    async def wait_until_ready(self, proxy: Proxy) -> None:
        """Probes a proxy's newest process until it answers PONG, then adds the proxy to the rotation."""
        run = proxy.current_run
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until and proxy.current_run is run and run.ended_at == inf:
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                connecting = asyncio.open_connection(*proxy.address)
                reader, writer = await asyncio.wait_for(connecting, PROBE_TIMEOUT)
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), PROBE_TIMEOUT)
                writer.close()
                if answer == b"PONG\r\n":
                    run.ready_at = time.monotonic()
                    proxy.is_in_rotation = run.killed_at == inf and run.stop_requested_at == inf
                    return
            await asyncio.sleep(0.05)

    async def wait_for_end(self, proxy: Proxy, within: float) -> None:
        """Waits for the exit of a proxy's newest process; kills the process after `within` seconds."""
        until = time.monotonic() + within
        while proxy.is_running and time.monotonic() < until:
            await asyncio.sleep(0.02)
            proxy.observe()
        if proxy.is_running:
            proxy.kill()
            while proxy.is_running:
                await asyncio.sleep(0.01)
                proxy.observe()

    async def stop(self, proxy: Proxy) -> None:
        """Stops a proxy gracefully, with further signals around SIGTERM, and kills its process `kill_after`
        seconds after SIGTERM.

        Waits for a process that isn't ready yet: SIGTERM ends Python before its handler is installed.
        """
        if proxy.current_run.ready_at == inf:
            await self.wait_until_ready(proxy)
        signal_rng = Random(f"signals {self.plan.seed} {proxy.number} {len(proxy.runs)}")
        for _ in range(signal_rng.randrange(MAX_SIGNALS_BEFORE_STOP + 1)):
            proxy.send_signal(signal.SIGHUP)
            await asyncio.sleep(signal_rng.uniform(0.0, MAX_SIGNAL_PAUSE))
        proxy.request_stop()
        kill_at = time.monotonic() + self.kill_after
        for _ in range(signal_rng.randrange(MAX_SIGNALS_AFTER_STOP + 1)):
            await asyncio.sleep(signal_rng.uniform(0.0, MAX_SIGNAL_PAUSE))
            proxy.send_signal(signal_rng.choice((signal.SIGHUP, signal.SIGTERM)))
        await self.wait_for_end(proxy, kill_at - time.monotonic())

    # Clients.

    def spawn_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Starts a task that the run waits for at its end."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def spawn_fault(self, fault: Coroutine[Any, Any, None]) -> None:
        """Starts a fault as a task that the run waits for before it stops the proxies."""
        task = asyncio.ensure_future(fault)
        self.fault_tasks.add(task)
        task.add_done_callback(self.fault_tasks.discard)

    def choose_proxy(self) -> Proxy | None:
        """Draws a proxy from the rotation. Returns None if there is none."""
        now = time.monotonic()
        in_rotation = [
            proxy for proxy in self.proxies if proxy.is_in_rotation and now < proxy.leaves_rotation_at
        ]
        return self.rng.choice(in_rotation) if in_rotation else None

    async def run_client(self, is_retry: bool = False) -> None:
        """Runs a client; if it is migrated or, on its first try, rejected, starts another one afterwards."""
        proxy = self.choose_proxy()
        if proxy is None:
            return
        traffic_class = self.rng.choice(("feed", "feed", "order", "ref"))
        longest = self.settings["service_types"][0]["deadline_us"] / 1e6
        has_short_deadline = self.rng.random() >= 1 - SHARE_SHORT_DEADLINE
        time_allowed = self.rng.uniform(0.02, 0.3) if has_short_deadline else longest
        misbehaves = self.rng.random() < SHARE_MISBEHAVING
        misbehaviour = self.rng.choice(tuple(Misbehaviour)) if misbehaves else None
        rng = Random(self.rng.random())
        client = Client(proxy, self.records, rng, traffic_class, time_allowed, misbehaviour)
        try:
            record: ClientRecord = await client.run()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        was_rejected = bool(record.answers) and record.answers[-1][1].startswith("BUSY")
        if record.was_migrated or (was_rejected and not is_retry):
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            if not self.is_ending:
                self.spawn_task(self.run_client(is_retry=True))

    async def generate_arrivals(self) -> None:
        """Starts clients at random intervals (a Poisson process) until the run is ending."""
        while not self.is_ending:
            await asyncio.sleep(self.rng.expovariate(self.plan.rate))
            self.spawn_task(self.run_client())

    # Discovery.

    def notify_agents(self, *changed: Server) -> None:
        """Sends changed servers to all agents, to a random share of them with a delay."""
        for agent in self.agents:
            if self.rng.random() < SHARE_LATE_NOTIFICATION:
                self.spawn_task(self.notify_late(agent, changed, self.rng.uniform(*LATE_NOTIFICATION)))
            else:
                self.notify(agent, current_entries(changed))

    async def notify_late(self, agent: DiscoveryAgent, changed: tuple[Server, ...], wait: float) -> None:
        """Sends servers in their state after the delay, so that an older state never follows a newer one."""
        await asyncio.sleep(wait)
        self.notify(agent, current_entries(changed))

    def notify(self, agent: DiscoveryAgent, entries: list[Entry]) -> None:
        """Sends changes to an agent, and records when its proxy counts as notified."""
        self.record_notifications(agent, entries, agent.receive_changes(entries))

    def record_notifications(self, agent: DiscoveryAgent, entries: list[Entry], delivery: Delivery) -> None:
        """Records when an agent's proxy counts as notified of changes.

        Changes without a known time of delivery are recorded only when the agent's outage ends.
        """
        self.records.notifications += [
            NotifiedChange(
                agent.proxy, entry["host"], delivery.notified_at, delivery.text, entry["health"] == "ready"
            )
            for entry in entries
            if delivery.notified_at < inf
        ]

    def record_fault(self, text: str) -> None:
        """Records a fault that is injected now."""
        self.records.injected_faults.append((time.monotonic(), text))

    # The run.

    async def monitor(self) -> None:
        """Records delays of this process, and from time to time the state of the proxy processes."""
        while not self.is_ending:
            before = time.monotonic()
            await asyncio.sleep(LAG_SAMPLE_INTERVAL)
            late = time.monotonic() - before - LAG_SAMPLE_INTERVAL
            if late > MIN_RECORDED_LAG:
                self.records.lags.append((before, late))
            elif late > MIN_SMALL_LAG:
                self.records.small_lags.append((before, late))
            if round(before * 50) % 10 == 0:
                for proxy in self.proxies:
                    proxy.observe()

    async def run(self, faults: Coroutine[Any, Any, None]) -> Records:
        """Runs the simulation while `faults` injects faults; returns the records."""
        asyncio.get_running_loop().set_exception_handler(ignore_lost_connections)
        try:
            await self.start()
            background = [
                asyncio.ensure_future(work) for work in (self.generate_arrivals(), faults, self.monitor())
            ]
            await asyncio.sleep(self.plan.seconds)
            self.is_ending = True
            await asyncio.wait(background, timeout=FAULTS_END_TIMEOUT)
            if self.fault_tasks:
                await asyncio.wait(set(self.fault_tasks), timeout=FAULTS_END_TIMEOUT)
            # Established sessions stay in use during the stops, until they are migrated or cut off.
            for proxy in self.proxies:
                proxy.send_signal(signal.SIGCONT)
            await asyncio.gather(*(self.stop(proxy) for proxy in self.proxies))
            if self.tasks:
                await asyncio.wait(set(self.tasks), timeout=TASKS_END_TIMEOUT)
            return self.records
        finally:
            self.close()

    def close(self) -> None:
        """Kills all processes and closes the relay, the subnet's reservation and the servers' listeners."""
        for proxy in self.proxies:
            proxy.send_signal(signal.SIGCONT)
            proxy.kill()
            proxy.signal_predecessors(signal.SIGKILL)
        self.relay.close()
        self.subnet.close()
        for server in self.servers:
            if server.listener is not None:
                server.listener.close()


def ignore_lost_connections(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Suppresses the errors of connections of this process that are cut off at the end of a run."""
    if not isinstance(context.get("exception"), (asyncio.CancelledError, ConnectionError)):
        loop.default_exception_handler(context)


def address_text(address: tuple[str, int]) -> str:
    """Returns an address in the format of configuration files."""
    return f"{address[0]}:{address[1]}"
