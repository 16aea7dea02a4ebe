"""A configuration file that lacks a key is taken up, and a referenced flow runs in two zones."""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import rig

FOLDER = Path(__file__).resolve().parent
ZONES = ("edinburgh", "aberdeen", "inverness")
CLASSES = [
    rig.service_type("point-stream", 1800, 300),
    rig.service_type("grid-tiles", 1800, 300),
    rig.service_type("warning-feed", 4800, 800, effect="by_key", group="zone"),
]
SERVERS = 9
BAD_SERVER = 0
FLOWS = 150
PAUSE = 0.1  # seconds from an answer to the next flow
READY_TIME = 1.5  # seconds from being ready to SIGHUP, which never comes in a program's first second
RELOAD_TIME = 1.5  # seconds from SIGHUP to the next flow; the new settings bind after 1.2 s


async def run_and_reset(server: rig.Server, opening: rig.Opening, writer: asyncio.StreamWriter) -> bool:
    """Runs a flow and resets its connection with no answer; returns that the flow is not to be served."""
    server.record.write(f"{server.name} resets the connection of {opening[0]}")
    rig.reset(writer)
    return False


def zones_of(name: str, servers: list[rig.Server]) -> set[str]:
    """Returns the zones in which a flow ran."""
    return {server.zone for server in servers if name in server.ran}


async def open_flow(proxy: rig.Proxy, record: rig.Record) -> str:
    """Opens a referenced flow, ends it after its answer, and returns its id."""
    line = rig.open_line("warning-feed", 4800)
    answer = await asyncio.wait_for(rig.ask(proxy.port, line), 8.0)
    record.write(f"client sent {line}; answered {answer!r}")
    return line.split(" ")[1]


async def play(proxy: rig.Proxy, record: rig.Record, trouble: bool) -> list[str]:
    """Replaces the configuration, without one key if `trouble`, then opens flows one after another."""
    await asyncio.sleep(READY_TIME)
    config = copy.deepcopy(proxy.config)
    if trouble:
        del config["settings"]["service_types"][2]["group"]
    proxy.write_config(config)
    missing = "without settings.service_types[2].group" if trouble else "with every key"
    record.write(f"configuration replaced by the same, {missing}")
    proxy.signal(signal.SIGHUP)
    await asyncio.sleep(RELOAD_TIME)
    names = []
    for _ in range(FLOWS):
        names.append(await open_flow(proxy, record))
        await asyncio.sleep(PAUSE)
    return names


async def case(folder: Path, record: rig.Record, trouble: bool) -> bool:
    """Returns whether every flow ran in one zone only."""
    discovery = rig.Discovery(record)
    await discovery.start()
    servers = [rig.Server(f"s-{number}", ZONES[number % 3], record) for number in range(SERVERS)]
    for number, server in enumerate(servers):
        await server.start()
        discovery.list_server(server.name, server.port, server.zone, number % 3)
    servers[BAD_SERVER].answer = run_and_reset
    proxy = rig.Proxy(
        folder,
        record,
        {
            "name": "n0",
            "listen": f"127.0.0.1:{rig.free_port()}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole(),
            "settings": rig.settings(CLASSES),
        },
    )
    proxy.start()
    try:
        await proxy.wait_until_ready()
        names = await play(proxy, record, trouble)
    finally:
        proxy.end()
    resets = [name for name in names if name in servers[BAD_SERVER].ran]
    twice = [name for name in names if len(zones_of(name, servers)) > 1]
    for name in twice:
        record.write(f"{name} ran in {' and '.join(sorted(zones_of(name, servers)))}")
    record.write(f"{len(names)} flows, {len(resets)} at the server that resets, {len(twice)} in two zones")
    if not resets:
        raise rig.CannotRunError("no flow came to the server that resets")
    return not twice


if __name__ == "__main__":
    rig.run_case(FOLDER, case)
