"""Measures one process of a fleet of 1,024 with 1,024 servers, and of smaller fleets: start, ring, memory.

    python -m benchmarks.large_fleet        # takes some seconds

The process is real and runs on loopback; its memory is read from /proc. Then it receives a load report from
every other process with one connection at each server, as an aggregator does.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from brambleplank.decisions.hash_ring import HashRing
from brambleplank.peer_messages import PeerMessenger
from brambleplank.records import Server
from brambleplank.server_tags import ServerTags

SIZES = ((3, 32), (230, 400), (1024, 1024))  # processes, servers
ROUNDS = 5
START_TIMEOUT = 30.0  # seconds
PEER_PORT = 7946
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
SETTINGS: dict[str, Any] = {
    "slot_no": 0,
    "tick_us": 5000,
    "discovery": "push",
    "policy_limits": {
        "max_connects": 3,
        "may_probe": False,
        "cancelling": True,
        "retry_after": True,
        "max_retry_after_us": 2000000,
        "connect_timeout_us": 150000,
        "peers": True,
    },
    "rules": {
        "stop_sending_within_us": 1000000,
        "ask_within_us": 10000000,
        "cold_from": 0.2,
        "ramp_time_us": 20000000,
        "overload_factor": 3,
        "fall_us": 2000000,
    },
    "service_types": [
        {"name": "feed", "effect": "repeatable", "setup_target_us": 300000, "deadline_us": 1800000}
    ],
}


def peer_host(number: int) -> str:
    return f"127.77.{number // 250}.{1 + number % 250}"


def unused_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as spare:
        port: int = spare.getsockname()[1]
        return port


def hosts(servers: int) -> list[dict[str, Any]]:
    common_fields = {"site": "a", "block": 0, "health": "ready", "share": 1.0, "born_ms": 0}
    return [
        {"host": f"s-{n:04}", "dial": f"127.78.{n // 250}.{1 + n % 250}:9", **common_fields}
        for n in range(servers)
    ]


class Process:
    """The program, configured for a number of processes and servers."""

    def __init__(self, folder: Path, processes: int, servers: int) -> None:
        self.port = unused_port()
        path = folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{unused_port()}",
            "seed": "1f",
            "limits": {"sockets": 1024},
            "known": {"seq": 1, "whole": True, "hosts": hosts(servers)},
            "peer_listen": f"{peer_host(0)}:{PEER_PORT}",
            "peers": [f"{peer_host(number)}:{PEER_PORT}" for number in range(processes)],
            "peers_all": f"127.77.255.1:{PEER_PORT}",
            "settings": {**SETTINGS, "balancers": processes},
        }
        path.write_text(json.dumps(config))
        started_at = time.perf_counter()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "brambleplank"],
            env={**os.environ, "ROUTER_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )
        while not self.ping():
            if self.process.poll() is not None or time.perf_counter() > started_at + START_TIMEOUT:
                raise RuntimeError("the program did not start")
        self.start_time = time.perf_counter() - started_at

    def ping(self) -> bool:
        try:
            with socket.create_connection(("127.0.0.1", self.port), START_TIMEOUT) as client:
                client.sendall(b"PING\r\n")
                return client.recv(16).startswith(b"PONG")
        except ConnectionRefusedError:
            return False

    def resident_mib(self) -> float:
        """Returns the resident memory, in MiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    def cpu_time(self) -> float:
        """Returns the CPU time used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


def load_report_datagrams(servers: int) -> list[bytes]:
    """Returns the datagrams of a load report with one connection at each server."""
    tags = ServerTags(Server(host["host"], 0.0) for host in hosts(servers))
    sent: list[bytes] = []
    unused: Any = None
    messenger = PeerMessenger(
        lambda data, to: sent.append(data),
        256,
        lambda call: None,
        lambda: tags,
        unused,
        unused,
        unused,
        unused,
    )
    messenger.send_load_report(dict.fromkeys(tags.by_id.values(), 1), True, None, False)
    messenger.send()
    return sent


def send_reports(process: Process, processes: int, datagrams: list[bytes]) -> None:
    for number in range(1, processes):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind((peer_host(number), PEER_PORT))
            for data in datagrams:
                sender.sendto(data, (peer_host(0), PEER_PORT))
        process.ping()  # its answer shows that it could read them, so the socket buffer does not overflow


def measure_ring_build(servers: int) -> float:
    """Returns the seconds to create the records of some servers and build their ring."""
    started_at = time.perf_counter()
    listed = [Server(host["host"], 0.0) for host in hosts(servers)]
    HashRing().build(listed)
    return time.perf_counter() - started_at


def main() -> None:
    print("processes servers | start s: median, max | resident MiB | ring s | reports: datagrams, MiB, CPU s")
    for processes, servers in SIZES:
        start_times, resident_mib = [], []
        datagrams = load_report_datagrams(servers)
        for last in (n == ROUNDS - 1 for n in range(ROUNDS)):
            with tempfile.TemporaryDirectory() as folder:
                process = Process(Path(folder), processes, servers)
                try:
                    start_times.append(process.start_time)
                    resident_mib.append(process.resident_mib())
                    if last:
                        cpu_before = process.cpu_time()
                        send_reports(process, processes, datagrams)
                        cpu_after, resident_after_reports = process.cpu_time(), process.resident_mib()
                finally:
                    process.kill()
        ring = statistics.median(measure_ring_build(servers) for _ in range(ROUNDS))
        print(
            f"{processes:9} {servers:7} | {statistics.median(start_times):.2f} {max(start_times):.2f} | "
            f"{statistics.median(resident_mib):.1f} | {ring:.3f} | "
            f"{len(datagrams) * (processes - 1)} {resident_after_reports:.1f} {cpu_after - cpu_before:.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
