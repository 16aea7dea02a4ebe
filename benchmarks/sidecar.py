"""The sidecar beside a direct connection and a bare relay: time, CPU and memory, in one run.

    python -m benchmarks.sidecar            # about a minute; needs the extra `bench`

All on loopback. CPU and memory are the kernel's account of the process in the middle; times are the client's.
"""

from __future__ import annotations

import asyncio
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from itertools import count
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from brambleplank.discovery.file.server_file import Server
from brambleplank.sidecar import writer
from brambleplank.sidecar.rules import descriptors_for
from brambleplank.sidecar.shapes import File, Limits, Listen, Servers, ServiceType
from brambleplank.tables import Seconds, Size

FLOWS, AT_ONCE = 3000, 10
STANDING, LINES = 50, 200
HELD = 1000
ROUNDS = 3
VIEWS = ServiceType("views", "repeatable", Seconds(0.3), Seconds(1.8))
NUMBERS = count(1)  # an id is used once
TICKS = os.sysconf("SC_CLK_TCK")


class Client(asyncio.Protocol):
    """Opens, then sends a line for each that comes back."""

    transport: Any

    def __init__(self, flow: int, lines: int, times: tuple[HdrHistogram, HdrHistogram]) -> None:
        self.flow, self.lines, self.times = flow, lines, times
        self.up: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.over: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.began = time.perf_counter()
        self.sent = 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.write(b"OPEN %x %x c=views,d=1800\r\n" % (self.flow, self.flow * 7919 % 2**32))

    def data_received(self, data: bytes) -> None:
        now = time.perf_counter()
        if not self.up.done():
            if not data.startswith(b"UP"):
                self.up.set_exception(RuntimeError(data.decode()))
                return
            self.times[0].record_value(round((now - self.began) * 1e6))
            self.up.set_result(None)
        else:
            self.times[1].record_value(round((now - self.sent) * 1e6))
        if self.lines:
            self.lines -= 1
            self.sent = time.perf_counter()
            self.transport.write(b"M 1 0123456789abcdef0123456789abcdef\r\n")
        elif not self.over.done():
            self.over.set_result(None)


class Way:
    """One way to the server: its port, and the process in the middle, if there is one."""

    def __init__(self, name: str, port: int, pid: int = 0) -> None:
        self.name, self.port, self.pid = name, port, pid
        self.times = HdrHistogram(1, 10_000_000, 3), HdrHistogram(1, 10_000_000, 3)
        self.per_flow: list[float] = []
        self.per_line: list[float] = []
        self.per_connection = 0.0

    def cpu(self) -> float:
        if not self.pid:
            return 0.0
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory(self) -> int:
        if not self.pid:
            return 0
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * resource.getpagesize()

    async def client(self, lines: int = 0) -> Client:
        loop, number = asyncio.get_running_loop(), next(NUMBERS)
        _, client = await loop.create_connection(
            lambda: Client(number, lines, self.times), "127.0.0.1", self.port
        )
        await asyncio.wait_for(client.up, 5)
        return client

    async def some_flows(self, several: int) -> None:
        for _ in range(several):
            (await self.client()).transport.close()

    async def flow_round(self) -> None:
        before = self.cpu()
        await asyncio.gather(*(self.some_flows(FLOWS // AT_ONCE) for _ in range(AT_ONCE)))
        await asyncio.sleep(0.2)
        self.per_flow.append((self.cpu() - before) / FLOWS)

    async def line_round(self) -> None:
        clients = [await self.client() for _ in range(STANDING)]
        before = self.cpu()
        for client in clients:
            client.over = asyncio.get_running_loop().create_future()
            client.lines = LINES - 1
            client.sent = time.perf_counter()
            client.transport.write(b"M 1 0123456789abcdef0123456789abcdef\r\n")
        await asyncio.wait_for(asyncio.gather(*(client.over for client in clients)), 60)
        self.per_line.append((self.cpu() - before) / (STANDING * LINES))
        for client in clients:
            client.transport.close()

    async def hold(self) -> None:
        before = self.memory()
        clients = []
        for _ in range(HELD):
            clients.append(await self.client())
        await asyncio.sleep(0.5)
        self.per_connection = (self.memory() - before) / HELD
        for client in clients:
            client.transport.close()
        await asyncio.sleep(0.5)


def told_port(process: subprocess.Popen[str]) -> int:
    assert process.stdout
    return int(process.stdout.readline())


def start_sidecar(folder: Path, server: int, port: int) -> tuple[subprocess.Popen[str], float]:
    """A sidecar, and the time from its start to its first UP."""
    (folder / "b.servers.toml").write_text(writer.servers_text([Server("feed1", f"127.0.0.1:{server}")]))
    file = File(
        "bench",
        Listen(f"127.0.0.1:{port}"),
        [VIEWS],
        limits=Limits(HELD, descriptors_for(HELD, 0), Size(512 * 1024**2)),
        servers=Servers("b.servers.toml"),
    )
    (folder / "b.toml").write_text(writer.file_text(file))
    began = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-m", "brambleplank.cli", "run", str(folder / "b.toml")],
        stderr=subprocess.DEVNULL,
        text=True,
    )
    return process, asyncio.run(first_up(port, began))


async def first_up(port: int, began: float) -> float:
    way = Way("", port)
    while time.perf_counter() < began + 20:
        try:
            (await way.client()).transport.close()
            return time.perf_counter() - began
        except (OSError, RuntimeError):
            await asyncio.sleep(0.002)
    raise RuntimeError("the sidecar did not start")


def check_seconds(folder: Path) -> list[float]:
    """Whole-process times of `check` on 2,000 servers."""
    servers = [Server(f"feed{n}", f"127.0.{n // 250}.{n % 250 + 1}:7501") for n in range(2000)]
    (folder / "many.servers.toml").write_text(writer.servers_text(servers))
    file = File(
        "many",
        Listen("127.0.0.1:7400"),
        [VIEWS],
        limits=Limits(memory=Size(256 * 1024**2)),
        servers=Servers("many.servers.toml"),
    )
    (folder / "many.toml").write_text(writer.file_text(file))
    times = []
    for _ in range(7):
        began = time.perf_counter()
        subprocess.run(
            [sys.executable, "-m", "brambleplank.cli", "check", str(folder / "many.toml")],
            check=True,
            stdout=subprocess.DEVNULL,
        )
        times.append(time.perf_counter() - began)
    return times


async def measure(ways: list[Way]) -> None:
    for way in ways:
        await way.hold()  # first: later on, memory that was given back would be taken up again
    for _ in range(ROUNDS):  # in turn, so that a drift of the machine meets all of them
        for way in ways:
            await way.flow_round()
            await way.line_round()


def table(ways: list[Way], starts: list[float], checks: list[float]) -> str:
    def times(histogram: HdrHistogram) -> str:
        return " / ".join(f"{histogram.get_value_at_percentile(p) / 1000:.2f}" for p in (50, 99, 99.9))

    lines = [
        "| way | setup p50 / p99 / p99.9, ms | line and back, ms | CPU a flow, µs | CPU a line, µs "
        "| memory a connection, KiB |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for way in ways:
        cpu = [
            statistics.median(way.per_flow) * 1e6,
            statistics.median(way.per_line) * 1e6,
            way.per_connection / 1024,
        ]
        said = [f"{value:.1f}" if way.pid else "-" for value in cpu]
        lines.append(f"| {way.name} | {times(way.times[0])} | {times(way.times[1])} | {' | '.join(said)} |")
    beside, bare = ways[1], ways[2]
    lines += [
        "",
        f"Times the bare relay: CPU a flow "
        f"{statistics.median(beside.per_flow) / statistics.median(bare.per_flow):.2f}, a line "
        f"{statistics.median(beside.per_line) / statistics.median(bare.per_line):.2f}, memory a connection "
        f"{beside.per_connection / bare.per_connection:.2f}.",
        f"Start to first UP: median {statistics.median(starts):.2f} s of {len(starts)}; check of 2,000 "
        f"servers: median {statistics.median(checks):.2f} s of {len(checks)}, whole process.",
    ]
    return "\n".join(lines)


def main() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    here = Path(__file__).parent
    started: list[subprocess.Popen[str]] = []
    with tempfile.TemporaryDirectory() as name:
        try:
            server = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.standin"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            started.append(server)
            port = told_port(server)
            relay = subprocess.Popen(
                [sys.executable, str(here / "relay.py"), str(port)], stdout=subprocess.PIPE, text=True
            )
            started.append(relay)
            starts = []
            for n in range(5):
                sidecar, took = start_sidecar(Path(name), port, 27400 + n)
                starts.append(took)
                started.append(sidecar)
                if n < 4:
                    sidecar.terminate()
                    sidecar.wait(10)
            ways = [
                Way("direct", port),
                Way("sidecar", 27404, sidecar.pid),
                Way("bare relay", told_port(relay), relay.pid),
            ]
            asyncio.run(measure(ways))
            print(table(ways, starts, check_seconds(Path(name))))
        finally:
            for process in started:
                if process.poll() is None:
                    process.kill()
                    process.wait()


if __name__ == "__main__":
    main()
