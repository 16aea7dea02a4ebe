"""Compares the sidecar with a direct connection and a plain TCP relay: latency, CPU and memory, in one run.

    python -m benchmarks.sidecar            # about a minute; needs the extra `bench`

All traffic is on loopback. CPU and memory of the process in the middle are read from /proc; latencies are
measured at the client.
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

FLOWS, CONCURRENCY = 3000, 10
SESSIONS, LINES_PER_SESSION = 50, 200
IDLE_CONNECTIONS = 1000
ROUNDS = 3
SERVICE_TYPE = ServiceType("views", "repeatable", Seconds(0.3), Seconds(1.8))
FLOW_IDS = count(1)  # request ids; none is used twice
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Client(asyncio.Protocol):
    """Opens a session, then answers each received line with the next one, `lines` times."""

    transport: Any

    def __init__(self, flow_id: int, lines: int, latencies: tuple[HdrHistogram, HdrHistogram]) -> None:
        self.flow_id, self.lines, self.latencies = flow_id, lines, latencies
        self.established: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.started_at = time.perf_counter()
        self.sent_at = 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.write(b"OPEN %x %x c=views,d=1800\r\n" % (self.flow_id, self.flow_id * 7919 % 2**32))

    def data_received(self, data: bytes) -> None:
        now = time.perf_counter()
        if not self.established.done():
            if not data.startswith(b"UP"):
                self.established.set_exception(RuntimeError(data.decode()))
                return
            self.latencies[0].record_value(round((now - self.started_at) * 1e6))
            self.established.set_result(None)
        else:
            self.latencies[1].record_value(round((now - self.sent_at) * 1e6))
        if self.lines:
            self.lines -= 1
            self.sent_at = time.perf_counter()
            self.transport.write(b"M 1 0123456789abcdef0123456789abcdef\r\n")
        elif not self.finished.done():
            self.finished.set_result(None)


class Target:
    """What clients connect to: a port, and the process in the middle (pid 0: none, a direct connection)."""

    def __init__(self, name: str, port: int, pid: int = 0) -> None:
        self.name, self.port, self.pid = name, port, pid
        self.latencies = HdrHistogram(1, 10_000_000, 3), HdrHistogram(1, 10_000_000, 3)
        self.per_flow: list[float] = []
        self.per_line: list[float] = []
        self.per_connection = 0.0

    def cpu(self) -> float:
        if not self.pid:
            return 0.0
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def memory(self) -> int:
        if not self.pid:
            return 0
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * resource.getpagesize()

    async def connect(self, lines: int = 0) -> Client:
        loop, number = asyncio.get_running_loop(), next(FLOW_IDS)
        _, client = await loop.create_connection(
            lambda: Client(number, lines, self.latencies), "127.0.0.1", self.port
        )
        await asyncio.wait_for(client.established, 5)
        return client

    async def open_flows(self, total: int) -> None:
        for _ in range(total):
            (await self.connect()).transport.close()

    async def measure_flows(self) -> None:
        before = self.cpu()
        await asyncio.gather(*(self.open_flows(FLOWS // CONCURRENCY) for _ in range(CONCURRENCY)))
        await asyncio.sleep(0.2)
        self.per_flow.append((self.cpu() - before) / FLOWS)

    async def measure_lines(self) -> None:
        clients = [await self.connect() for _ in range(SESSIONS)]
        before = self.cpu()
        for client in clients:
            client.finished = asyncio.get_running_loop().create_future()
            client.lines = LINES_PER_SESSION - 1
            client.sent_at = time.perf_counter()
            client.transport.write(b"M 1 0123456789abcdef0123456789abcdef\r\n")
        await asyncio.wait_for(asyncio.gather(*(client.finished for client in clients)), 60)
        self.per_line.append((self.cpu() - before) / (SESSIONS * LINES_PER_SESSION))
        for client in clients:
            client.transport.close()

    async def measure_connection_memory(self) -> None:
        before = self.memory()
        clients = []
        for _ in range(IDLE_CONNECTIONS):
            clients.append(await self.connect())
        await asyncio.sleep(0.5)
        self.per_connection = (self.memory() - before) / IDLE_CONNECTIONS
        for client in clients:
            client.transport.close()
        await asyncio.sleep(0.5)


def read_port(process: subprocess.Popen[str]) -> int:
    assert process.stdout
    return int(process.stdout.readline())


def start_sidecar(folder: Path, server: int, port: int) -> tuple[subprocess.Popen[str], float]:
    """Returns a new sidecar and the seconds from its start to the first UP."""
    (folder / "b.servers.toml").write_text(writer.servers_text([Server("feed1", f"127.0.0.1:{server}")]))
    file = File(
        "bench",
        Listen(f"127.0.0.1:{port}"),
        [SERVICE_TYPE],
        limits=Limits(IDLE_CONNECTIONS, descriptors_for(IDLE_CONNECTIONS, 0), Size(512 * 1024**2)),
        servers=Servers("b.servers.toml"),
    )
    (folder / "b.toml").write_text(writer.file_text(file))
    started_at = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-m", "brambleplank.cli", "run", str(folder / "b.toml")],
        stderr=subprocess.DEVNULL,
        text=True,
    )
    return process, asyncio.run(time_to_first_answer(port, started_at))


async def time_to_first_answer(port: int, started_at: float) -> float:
    target = Target("", port)
    while time.perf_counter() < started_at + 20:
        try:
            (await target.connect()).transport.close()
            return time.perf_counter() - started_at
        except (OSError, RuntimeError):
            await asyncio.sleep(0.002)
    raise RuntimeError("the sidecar did not start")


def check_times(folder: Path) -> list[float]:
    """Returns the run times, in seconds, of the command `check` on a list of 2,000 servers."""
    servers = [Server(f"feed{n}", f"127.0.{n // 250}.{n % 250 + 1}:7501") for n in range(2000)]
    (folder / "many.servers.toml").write_text(writer.servers_text(servers))
    file = File(
        "many",
        Listen("127.0.0.1:7400"),
        [SERVICE_TYPE],
        limits=Limits(memory=Size(256 * 1024**2)),
        servers=Servers("many.servers.toml"),
    )
    (folder / "many.toml").write_text(writer.file_text(file))
    durations = []
    for _ in range(7):
        started_at = time.perf_counter()
        subprocess.run(
            [sys.executable, "-m", "brambleplank.cli", "check", str(folder / "many.toml")],
            check=True,
            stdout=subprocess.DEVNULL,
        )
        durations.append(time.perf_counter() - started_at)
    return durations


async def measure(targets: list[Target]) -> None:
    for target in targets:
        # Measured first: connections opened later would reuse memory that earlier ones have freed.
        await target.measure_connection_memory()
    for _ in range(ROUNDS):  # interleaved, so that changes in the machine's speed affect all targets
        for target in targets:
            await target.measure_flows()
            await target.measure_lines()


def table(targets: list[Target], start_times: list[float], checks: list[float]) -> str:
    def percentiles(histogram: HdrHistogram) -> str:
        return " / ".join(f"{histogram.get_value_at_percentile(p) / 1000:.2f}" for p in (50, 99, 99.9))

    lines = [
        "| target | setup p50 / p99 / p99.9, ms | line round trip, ms | CPU per flow, µs | CPU per line, µs "
        "| memory per connection, KiB |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for target in targets:
        cpu = [
            statistics.median(target.per_flow) * 1e6,
            statistics.median(target.per_line) * 1e6,
            target.per_connection / 1024,
        ]
        cells = [f"{value:.1f}" if target.pid else "-" for value in cpu]
        lines.append(
            f"| {target.name} | {percentiles(target.latencies[0])} | {percentiles(target.latencies[1])} "
            f"| {' | '.join(cells)} |"
        )
    sidecar, relay = targets[1], targets[2]
    lines += [
        "",
        "Sidecar relative to the bare relay: CPU per flow "
        f"{statistics.median(sidecar.per_flow) / statistics.median(relay.per_flow):.2f}, per line "
        f"{statistics.median(sidecar.per_line) / statistics.median(relay.per_line):.2f}, "
        f"memory per connection {sidecar.per_connection / relay.per_connection:.2f}.",
        f"Start to first UP: median {statistics.median(start_times):.2f} s of {len(start_times)}; "
        f"check of 2,000 servers: median {statistics.median(checks):.2f} s of {len(checks)}, whole process.",
    ]
    return "\n".join(lines)


def main() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    folder = Path(__file__).parent
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
            port = read_port(server)
            relay = subprocess.Popen(
                [sys.executable, str(folder / "relay.py"), str(port)], stdout=subprocess.PIPE, text=True
            )
            started.append(relay)
            start_times = []
            for n in range(5):
                sidecar, start_time = start_sidecar(Path(name), port, 27400 + n)
                start_times.append(start_time)
                started.append(sidecar)
                if n < 4:
                    sidecar.terminate()
                    sidecar.wait(10)
            targets = [
                Target("direct", port),
                Target("sidecar", 27404, sidecar.pid),
                Target("bare relay", read_port(relay), relay.pid),
            ]
            asyncio.run(measure(targets))
            print(table(targets, start_times, check_times(Path(name))))
        finally:
            for process in started:
                if process.poll() is None:
                    process.kill()
                    process.wait()


if __name__ == "__main__":
    main()
