"""Consul as a source: drains on sockets beside the platform's watch, CPU a change, and a bad hour.

    python -m benchmarks.consul --drains 200     # about three minutes; 1000 drains take a quarter of an hour

Drains are timed at the stand-in servers: from the change at the stand-in agent (or discovery) to the last new
flow that the draining server had; 0 where it had none. The bad hour is virtual time: the words of a scripted
catalogue, and who would have been served by what each rule makes of them.
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
from brambleplank.emulator.consul import Member, StandInConsul
from brambleplank.emulator.servers import StandIn
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
GAP = 0.003  # seconds between two flows
SETTLED = 0.35  # seconds after a change in which it has to have acted; later flows would still be counted


def itself(caller: Client) -> Client:
    return caller


class Drains:
    """Flows all the time, and servers that drain in turn."""

    def __init__(self, port: int, count: int) -> None:
        self.port, self.count = port, count
        self.servers = [StandIn(f"s{n}") for n in range(4)]
        self.times = HdrHistogram(1, 10_000_000, 3)
        self.late = 0
        self.rng = random.Random(1)

    async def flows(self) -> None:
        while True:
            story = RequestRecord(f"{self.rng.getrandbits(64):x}", "views", time.time())
            caller = Client(story, f"{self.rng.getrandbits(64):x}", 1.8, 0.0, lambda _: None)
            loop = asyncio.get_running_loop()
            await loop.create_connection(partial(itself, caller), "127.0.0.1", self.port)
            await asyncio.sleep(GAP)

    async def play(self, change: Any) -> None:
        calling = asyncio.create_task(self.flows())
        await asyncio.sleep(1.0)
        for n in range(self.count):
            server = self.servers[n % len(self.servers)]
            at = time.time()
            change(server.name, True)
            await asyncio.sleep(SETTLED + self.rng.uniform(0, 0.1))
            last = server.openings[-1].at - at if server.openings else 0.0
            self.times.record_value(max(1, round(last * 1e6)))
            self.late += last > FILE.drain.window
            change(server.name, False)
            await asyncio.sleep(0.15)
        calling.cancel()


async def on_sockets(count: int, folder: Path) -> dict[str, Drains]:
    found = {}
    for way, port in (("consul", 27490), ("platform's watch", 27491)):
        drains = found[way] = Drains(port, count)
        for server in drains.servers:
            await server.listen()
        command = [sys.executable, "-m", "brambleplank"]
        given = dict(os.environ)
        if way == "consul":
            agent = StandInConsul()
            await agent.listen()
            for server in drains.servers:
                agent.change("feeds", Member(server.name, server.address))
            assert FILE.consul
            FILE.consul.agents = [agent.address]
            (folder / "b.toml").write_text(writer.file_text(FILE))
            command = [sys.executable, "-m", "brambleplank.cli", "run", str(folder / "b.toml")]

            def change(name: str, drain: bool, agent: StandInConsul = agent) -> None:
                agent.services["feeds"][name].maintenance = drain
                agent.touch("feeds")
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
            given["ROUTER_CONFIG"] = str(folder / "config.json")

            def change(name: str, drain: bool, told: StandInDiscovery = discovery) -> None:  # type: ignore[misc]
                told.set(name, "draining" if drain else "ready")

        process = subprocess.Popen(command, env=given, stderr=subprocess.DEVNULL)
        try:
            await up(port)
            await drains.play(change)
        finally:
            process.kill()
            process.wait()
    return found


async def up(port: int) -> None:
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


class Nobody:
    """A host that does nothing: what is timed is the decisions' own work."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_: 1.0


def cpu_a_change(count: int, rounds: int = 60) -> tuple[float, float, float]:
    """Milliseconds of CPU that one changed server costs among so many: decoding, weighing, the ring."""
    members = [Member(f"x{n}", f"127.0.{n // 250}.{n % 250 + 1}:7501", "abc"[n % 3]) for n in range(count)]
    nobody: Any = Nobody()
    balancer = Balancer(nobody, decode_settings(platform_settings(FILE), sockets=True), 1)
    catalog, reader = Catalog(HealthSettings()), answers.AnswerDecoder(answers.MetadataKeys())
    spent = [0.0, 0.0, 0.0]
    for turn in range(rounds + 1):
        members[turn % count].maintenance = turn % 2 == 1
        body = json.dumps([member.item() for member in members]).encode()
        marks = [time.process_time()]
        found, _ = reader.decode(body)
        marks.append(time.process_time())
        catalog.answer_received(turn * 1.0, "feeds", found, QueryMetadata(0, turn + 1))
        changes = catalog.changes(turn * 1.0)
        marks.append(time.process_time())
        balancer.endpoints_received(turn * 1.0, [change.endpoint for change in changes], False)
        marks.append(time.process_time())
        if turn:
            spent = [
                sum(pair)
                for pair in zip(spent, (b - a for a, b in zip(marks, marks[1:], strict=False)), strict=True)
            ]
    decode, weigh, ring = (each / rounds * 1000 for each in spent)
    return decode, weigh, ring


def bad_hour(figures: HealthSettings, passing_only: bool = False, seed: int = 1) -> tuple[float, int]:
    """The share of flows well served in a scripted hour, and how often the list changed.

    Well served is who comes to a server that is sound and not over its room.

    Twelve servers in three zones, each with room for a sixth of the flows. What is true and what Consul says
    differ: checks flap while servers are sound, one check of a zone breaks for ten minutes, all go critical
    for half a minute, and now and then a server really dies, which its check tells a second later.
    """
    rng = random.Random(seed)
    names = [f"s{n}" for n in range(12)]
    zones = {name: "abc"[n % 3] for n, name in enumerate(names)}
    dead_until, flap_until = dict.fromkeys(names, -1.0), dict.fromkeys(names, -1.0)
    dead_since = dict.fromkeys(names, -1.0)
    catalog = Catalog(figures)
    state = dict.fromkeys(names, EndpointStatus.READY)
    good, flows, changed, were = 0.0, 0.0, 0, set(names)
    for tenth in range(36_000):
        now = tenth / 10
        for name in names:
            if now >= flap_until[name] and rng.random() < 0.1 / 40:
                flap_until[name] = now + rng.uniform(0.2, 0.9)
            if now >= dead_until[name] and rng.random() < 0.1 / 1800:
                dead_since[name], dead_until[name] = now, now + rng.uniform(10, 60)

        def word(name: str, now: float = now) -> HealthStatus:
            broken = 1200 <= now < 1800 and zones[name] == "b"
            all_ill = 2700 <= now < 2730
            ill = dead_since[name] + 1 <= now < dead_until[name]
            return (
                HealthStatus.CRITICAL
                if broken or all_ill or ill or now < flap_until[name]
                else HealthStatus.PASSING
            )

        said = {name: word(name) for name in names}
        catalog.answer_received(
            now,
            "feeds",
            [
                Instance(name, ("127.0.0.1", 7000 + n), zones[name], status=said[name])
                for n, name in enumerate(names)
            ],
            QueryMetadata(0, tenth + 1),
        )
        for change in catalog.changes(now):
            state[change.endpoint.id] = change.endpoint.status
        used = [
            name
            for name in names
            if (said[name] is HealthStatus.PASSING if passing_only else state[name] is EndpointStatus.READY)
        ]
        changed += len(were ^ set(used))
        were = set(used)
        flows += 1
        if used:
            sound = sum(now >= dead_until[name] for name in used)
            # Two connects a flow, so one dead server of several costs little; too few have too little room.
            dead = 1 - sound / len(used)
            good += (1 - dead * dead) * min(1.0, sound / 6)
    return good / flows, changed


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--drains", type=int, default=200)
    count = parser.parse_args().drains
    with tempfile.TemporaryDirectory() as folder:
        drains = asyncio.run(on_sockets(count, Path(folder)))
    print("| source | drains | last new flow after the change, ms: p50 / p99 / worst | over the window |")
    print("| --- | --- | --- | --- |")
    for way, each in drains.items():
        times = " / ".join(
            f"{value / 1000:.1f}"
            for value in (
                each.times.get_value_at_percentile(50),
                each.times.get_value_at_percentile(99),
                each.times.get_max_value(),
            )
        )
        print(f"| {way} | {each.count} | {times} | {each.late} |")
    print("\n| servers | decoding an answer, ms | weighing, ms | list and ring, ms |")
    print("| --- | --- | --- | --- |")
    for servers in (100, 1000, 5000):
        print(f"| {servers} | " + " | ".join(f"{value:.2f}" for value in cpu_a_change(servers)) + " |")
    print("\n| rule | flows well served in the bad hour | servers that came or went |\n| --- | --- | --- |")
    for name, (share, changed) in (
        (
            "passing only",
            bad_hour(HealthSettings(min_healthy_share=0.0, settle_time=0.0, recovery_time=0.0), True),
        ),
        ("no damping", bad_hour(HealthSettings(settle_time=0.0, recovery_time=0.0))),
        ("no share of healthy", bad_hour(HealthSettings(min_healthy_share=0.0))),
        ("as it is", bad_hour(HealthSettings())),
    ):
        print(f"| {name} | {share:.4f} | {changed} |")


if __name__ == "__main__":
    main()
