"""Measures discovery through Consul: drains compared with the platform's watch, CPU per change, flapping.

    python -m benchmarks.consul --drains 200     # about three minutes; 1000 drains take a quarter of an hour

Drains run on real sockets and are timed at the stand-in servers: from the change at the stand-in agent (or
discovery) to the last new flow at the draining server; 0 if there was none. The unreliable hour is simulated
in virtual time: a scripted catalog reports health, and rules are compared by the share of flows served well.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.discovery import StandInDiscovery
from brambleplank.decisions.balancer import Balancer
from brambleplank.discovery.consul import answers
from brambleplank.discovery.consul.health import (
    Catalog,
    HealthSettings,
    HealthStatus,
    Instance,
    QueryMetadata,
)
from brambleplank.emulator.clients import Client, RequestRecord
from brambleplank.emulator.consul import ServiceInstance, StandInConsul
from brambleplank.emulator.servers import StandInServer
from brambleplank.model import EndpointStatus
from brambleplank.settings import decode_settings
from brambleplank.sidecar import writer
from brambleplank.sidecar.platform_settings import platform_settings
from brambleplank.sidecar.shapes import Consul, Drain, File, Listen, ServiceType
from brambleplank.tables import Seconds

FILE = File(
    "bench",
    Listen("127.0.0.1:27490"),
    [ServiceType("views", "repeatable", Seconds(0.3), Seconds(1.8))],
    drain=Drain(Seconds(1.0)),
    consul=Consul(["127.0.0.1:8500"], ["feeds"]),
)
FLOW_INTERVAL = 0.003  # seconds between two flows
# Seconds allowed for a drain to take effect. New flows after that, up to the end of the drain, still count.
SETTLING_TIME = 0.35


def given_client(client: Client) -> Client:
    return client


class DrainMeasurement:
    """Opens flows at a steady rate while servers drain one after another."""

    def __init__(self, port: int, count: int) -> None:
        self.port, self.count = port, count
        self.servers = [StandInServer(f"s{n}") for n in range(4)]
        self.times = HdrHistogram(1, 10_000_000, 3)
        self.late_drains = 0
        self.rng = random.Random(1)

    async def open_flows(self) -> None:
        while True:
            record = RequestRecord(f"{self.rng.getrandbits(64):x}", "views", time.time())
            client = Client(record, f"{self.rng.getrandbits(64):x}", 1.8, 0.0, lambda _: None)
            loop = asyncio.get_running_loop()
            await loop.create_connection(partial(given_client, client), "127.0.0.1", self.port)
            await asyncio.sleep(FLOW_INTERVAL)

    async def run_drains(self, change: Any) -> None:
        opener = asyncio.create_task(self.open_flows())
        await asyncio.sleep(1.0)
        for n in range(self.count):
            server = self.servers[n % len(self.servers)]
            at = time.time()
            change(server.name, True)
            await asyncio.sleep(SETTLING_TIME + self.rng.uniform(0, 0.1))
            last = server.open_records[-1].at - at if server.open_records else 0.0
            self.times.record_value(max(1, round(last * 1e6)))
            self.late_drains += last > FILE.drain.window
            change(server.name, False)
            await asyncio.sleep(0.15)
        opener.cancel()


async def measure_drains(count: int, folder: Path) -> dict[str, DrainMeasurement]:
    measurements = {}
    for source_name, port in (("consul", 27490), ("platform's watch", 27491)):
        drains = measurements[source_name] = DrainMeasurement(port, count)
        for server in drains.servers:
            await server.listen()
        command = [sys.executable, "-m", "brambleplank"]
        environment = dict(os.environ)
        if source_name == "consul":
            agent = StandInConsul()
            await agent.listen()
            for server in drains.servers:
                agent.update_service("feeds", ServiceInstance(server.name, server.address))
            assert FILE.consul
            FILE.consul.agents = [agent.address]
            (folder / "b.toml").write_text(writer.file_text(FILE))
            command = [sys.executable, "-m", "brambleplank.cli", "run", str(folder / "b.toml")]

            def change(name: str, drain: bool, agent: StandInConsul = agent) -> None:
                agent.services["feeds"][name].maintenance = drain
                agent.mark_changed("feeds")
        else:
            discovery = StandInDiscovery({server.name: server.address for server in drains.servers})
            await discovery.listen()
            config = {
                "name": "n1",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "1f",
                "limits": {"sockets": 1024},
                "known": discovery.known(),
                "settings": platform_settings(FILE),
            }
            (folder / "config.json").write_text(json.dumps(config))
            environment["ROUTER_CONFIG"] = str(folder / "config.json")

            def change(name: str, drain: bool, source: StandInDiscovery = discovery) -> None:  # type: ignore[misc]
                source.set(name, "draining" if drain else "ready")

        process = subprocess.Popen(command, env=environment, stderr=subprocess.DEVNULL)
        try:
            await wait_until_ready(port)
            await drains.run_drains(change)
        finally:
            process.kill()
            process.wait()
    return measurements


async def wait_until_ready(port: int) -> None:
    for _ in range(1000):
        try:
            reader, out = await asyncio.open_connection("127.0.0.1", port)
            out.write(b"PING\r\n")
            answer = await reader.readline()
            out.close()
            if answer == b"PONG\r\n":
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)
    raise RuntimeError("the program did not start")


class NullHost:
    """A host that does nothing, so that only the work of the decisions is timed."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_: 1.0


def cpu_per_change(count: int, rounds: int = 60) -> tuple[float, float, float]:
    """Returns CPU milliseconds per changed server of `count`: decoding, evaluating health, the ring."""
    members = [
        ServiceInstance(f"x{n}", f"127.0.{n // 250}.{n % 250 + 1}:7501", "abc"[n % 3]) for n in range(count)
    ]
    null_host: Any = NullHost()
    balancer = Balancer(null_host, decode_settings(platform_settings(FILE), sockets=True), 1)
    catalog, reader = Catalog(HealthSettings()), answers.AnswerDecoder(answers.MetadataKeys())
    spent = [0.0, 0.0, 0.0]
    for round_number in range(rounds + 1):
        members[round_number % count].maintenance = round_number % 2 == 1
        body = json.dumps([member.health_entry() for member in members]).encode()
        times = [time.process_time()]
        instances, _ = reader.decode(body)
        times.append(time.process_time())
        catalog.answer_received(round_number * 1.0, "feeds", instances, QueryMetadata(0, round_number + 1))
        changes = catalog.changes(round_number * 1.0)
        times.append(time.process_time())
        balancer.endpoints_received(round_number * 1.0, [change.endpoint for change in changes], False)
        times.append(time.process_time())
        if round_number:
            spent = [
                sum(pair)
                for pair in zip(spent, (b - a for a, b in zip(times, times[1:], strict=False)), strict=True)
            ]
    decode, evaluate, ring = (each / rounds * 1000 for each in spent)
    return decode, evaluate, ring


def simulate_unreliable_hour(
    settings: HealthSettings, passing_only: bool = False, seed: int = 1
) -> tuple[float, int]:
    """Returns the share of flows served well in a scripted hour, and how many servers were added or removed.

    A flow is served well if its server is alive and has capacity left.

    There are twelve servers in three zones, each with capacity for a sixth of the flows. What Consul reports
    differs from the truth: checks flap while servers are alive, a check common to one zone fails for ten
    minutes, all servers are critical for half a minute, and now and then a server really dies, which its
    check reports a second later.
    """
    rng = random.Random(seed)
    names = [f"s{n}" for n in range(12)]
    zones = {name: "abc"[n % 3] for n, name in enumerate(names)}
    dead_until, flap_until = dict.fromkeys(names, -1.0), dict.fromkeys(names, -1.0)
    dead_since = dict.fromkeys(names, -1.0)
    catalog = Catalog(settings)
    state = dict.fromkeys(names, EndpointStatus.READY)
    well_served, flow_count, change_count, previously_used = 0.0, 0.0, 0, set(names)
    for tick in range(36_000):
        now = tick / 10
        for name in names:
            if now >= flap_until[name] and rng.random() < 0.1 / 40:
                flap_until[name] = now + rng.uniform(0.2, 0.9)
            if now >= dead_until[name] and rng.random() < 0.1 / 1800:
                dead_since[name], dead_until[name] = now, now + rng.uniform(10, 60)

        def reported_status(name: str, now: float = now) -> HealthStatus:
            zone_critical = 1200 <= now < 1800 and zones[name] == "b"
            all_critical = 2700 <= now < 2730
            known_dead = dead_since[name] + 1 <= now < dead_until[name]
            return (
                HealthStatus.CRITICAL
                if zone_critical or all_critical or known_dead or now < flap_until[name]
                else HealthStatus.PASSING
            )

        reported = {name: reported_status(name) for name in names}
        catalog.answer_received(
            now,
            "feeds",
            [
                Instance(name, ("127.0.0.1", 7000 + n), zones[name], status=reported[name])
                for n, name in enumerate(names)
            ],
            QueryMetadata(0, tick + 1),
        )
        for change in catalog.changes(now):
            state[change.endpoint.id] = change.endpoint.status
        used = [
            name
            for name in names
            if (
                reported[name] is HealthStatus.PASSING
                if passing_only
                else state[name] is EndpointStatus.READY
            )
        ]
        change_count += len(previously_used ^ set(used))
        previously_used = set(used)
        flow_count += 1
        if used:
            sound_servers = sum(now >= dead_until[name] for name in used)
            # A flow fails if both its attempts reach a dead server; fewer than six live ones lack capacity.
            dead = 1 - sound_servers / len(used)
            well_served += (1 - dead * dead) * min(1.0, sound_servers / 6)
    return well_served / flow_count, change_count


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--drains", type=int, default=200)
    count = parser.parse_args().drains
    with tempfile.TemporaryDirectory() as folder:
        drains = asyncio.run(measure_drains(count, Path(folder)))
    print("| source | drains | last new flow after the change, ms: p50 / p99 / max | later than the window |")
    print("| --- | --- | --- | --- |")
    for source_name, each in drains.items():
        times = " / ".join(
            f"{value / 1000:.1f}"
            for value in (
                each.times.get_value_at_percentile(50),
                each.times.get_value_at_percentile(99),
                each.times.get_max_value(),
            )
        )
        print(f"| {source_name} | {each.count} | {times} | {each.late_drains} |")
    print("\n| servers | decoding an answer, ms | evaluating health, ms | list and ring, ms |")
    print("| --- | --- | --- | --- |")
    for servers in (100, 1000, 5000):
        print(f"| {servers} | " + " | ".join(f"{value:.2f}" for value in cpu_per_change(servers)) + " |")
    print("\n| rule | flows served well in unreliable hour | servers added or removed |\n| --- | --- | --- |")
    for name, (share, change_count) in (
        (
            "passing only",
            simulate_unreliable_hour(
                HealthSettings(min_healthy_share=0.0, settle_time=0.0, recovery_time=0.0), True
            ),
        ),
        ("no damping", simulate_unreliable_hour(HealthSettings(settle_time=0.0, recovery_time=0.0))),
        (
            "no minimum share of healthy servers",
            simulate_unreliable_hour(HealthSettings(min_healthy_share=0.0)),
        ),
        ("defaults", simulate_unreliable_hour(HealthSettings())),
    ):
        print(f"| {name} | {share:.4f} | {change_count} |")


if __name__ == "__main__":
    main()
