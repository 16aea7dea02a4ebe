"""Stand-ins and helpers of the review's cases: discovery, servers, clients and the platform, on loopback.

Only the standard library is used. The proxy is the project's own program, started by the command `run` of
`deploy/balancer.toml` as a separate process.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
STARTED = time.monotonic()


class CannotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Writes a line with the seconds since the start of the script."""
        self.file.write(f"{time.monotonic() - STARTED:9.4f} {text}\n")
        self.file.flush()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a port of 127.0.0.1 that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Returns settings of a small deployment, with the figures of the example on the operators' wire page."""
    base: dict[str, Any] = {
        "az": "edinburgh",
        "balancers": 3,
        "beyond_share_value": 0.2,
        "callers": {"marks_retry": False},
        "discovery": "push",
        "domain_type": "conn",
        "kinds": ["fast-2", "std-4", "slow-3"],
        "localities": ["edinburgh", "aberdeen", "inverness"],
        "policy_limits": {
            "cancelling": True,
            "conn_idle_us": 10000000,
            "connect_timeout_us": 150000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 400000,
            "max_connects": 4,
            "max_retry_after_us": 2000000,
            "max_streams": 1048576,
            "may_probe": False,
            "most_held": 1000000,
            "peers": False,
            "retry_after": False,
            "second_copies": False,
        },
        "report": {"fields": [], "how": "silent"},
        "rules": {
            "ask_within_us": 10000000,
            "cold_from": 0.14,
            "fall_us": 3000000,
            "grace_to_answer_us": 20000,
            "overload_factor": 4.0,
            "ramp_time_us": 24000000,
            "stop_sending_within_us": 3000000,
        },
        "service_types": classes,
        "slot_no": 0,
        "specifics": {
            "groups": True,
            "message_aim_us": [250000.0, 100000.0, 150000.0],
            "mode": "proxy",
            "park_us": 0,
            "tells_delay": True,
            "tells_load": False,
        },
        "tenants": [{"name": "harbour-ferries", "quota_per_s": 4.0, "share": 1.0}],
        "tick_us": 5000,
        "tier": 0,
        "tiers": ["feed-servers"],
        "value_per": "request",
        "weight_kind": "nominal",
    }
    base.update(changes)
    return base


def service_type(name: str, deadline_ms: int, target_ms: int, **changes: Any) -> dict[str, Any]:
    """Returns one service type with all keys that the wire page lists."""
    return {
        "deadline_us": deadline_ms * 1000,
        "effect": "repeatable",
        "group": "all",
        "name": name,
        "setup_target_us": target_ms * 1000,
        "stream": True,
        "tardy_value": 0.0,
        "value": 1.0,
        "window_us": 5000000,
        **changes,
    }


class Discovery:
    """Discovery's agent: keeps the list and writes each change to all open watches.

    `delay` is how many seconds it takes until it answers a call.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.seq = 40
        self.hosts: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.delay = 0.0
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def list_server(self, name: str, port: int, zone: str, block: int) -> None:
        """Puts a server on the list as ready."""
        self.hosts[name] = {
            "host": name,
            "dial": f"127.0.0.1:{port}",
            "site": zone,
            "class": "std-4",
            "block": block,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }
        self.changed[name] = self.seq

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def change(self, name: str, health: str) -> None:
        """Changes the health of a server, and writes it to all open watches."""
        self.seq += 1
        self.hosts[name]["health"] = health
        self.changed[name] = self.seq
        self.record.write(f"discovery has seq {self.seq}: {name} {health}")
        for writer in list(self.watches):
            await self.send(writer, {"seq": self.seq, "whole": False, "hosts": [self.hosts[name]]})

    async def send(self, writer: asyncio.StreamWriter, content: dict[str, Any] | None) -> None:
        """Writes one line of a watch as a chunk; None is the empty line that comes while nothing changes."""
        text = (json.dumps(content) if content is not None else "") + "\n"
        with suppress(OSError):
            writer.write(b"%x\r\n%b\r\n" % (len(text), text.encode()))
            await writer.drain()
            if content is not None and writer in self.watches:
                self.watches[writer] = content["seq"]
                self.record.write(f"discovery wrote seq {content['seq']} to the proxy")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one call, and keeps a watch open until its connection ends."""
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            self.record.write(f"discovery asked for {target}")
            await asyncio.sleep(self.delay)
            if "watch=1" in target:
                await self.serve_watch(target, reader, writer)
            else:
                body = json.dumps(self.whole()).encode() + b"\n"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()

    async def serve_watch(
        self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a watch: first what changed after its version or the whole list, then each change."""
        since = int(target.rpartition("from=")[2]) if "from=" in target else None
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches[writer] = -1
        first = self.whole()
        if since is not None and since <= self.seq:
            changes = [host for name, host in self.hosts.items() if self.changed[name] > since]
            first = {"seq": self.seq, "whole": False, "hosts": changes}
        await self.send(writer, first)
        ended = asyncio.ensure_future(reader.read(1))
        while not (await asyncio.wait([ended], timeout=2.0))[0] and not writer.is_closing():
            await self.send(writer, None)
        self.watches.pop(writer, None)


Opening = tuple[str, str, dict[str, str]]


def parse_opening(line: str) -> Opening:
    """Returns the id, the key and the values of an OPEN line."""
    _, name, key, values = line.split(" ")
    return name, key, dict(part.split("=", 1) for part in values.split(","))


class Server:
    """A server: gives each connection a receipt and sends each line back, or does what `answer` does."""

    def __init__(self, name: str, zone: str, record: Record) -> None:
        self.name = name
        self.zone = zone
        self.record = record
        self.port = 0
        self.ran: list[str] = []
        self.answer: Callable[[Server, Opening, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection to its end."""
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            line = (await reader.readuntil(b"\r\n")).decode().rstrip()
            opening = parse_opening(line)
            self.ran.append(opening[0])
            self.record.write(f"{self.name} ({self.zone}) got and ran {line}")
            if self.answer is None or await self.answer(self, opening, writer):
                writer.write(b"UP r-%b\r\n" % secrets.token_hex(4).encode())
                while line_read := await reader.readline():
                    writer.write(line_read)
                    await writer.drain()
        writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Proxy:
    """The project's proxy as its own process, with its configuration file."""

    def __init__(self, folder: Path, record: Record, config: dict[str, Any]) -> None:
        self.record = record
        self.folder = folder
        self.path = folder / f"{config['name']}.json"
        self.log_path = folder / f"{secrets.token_hex(4)}.log"
        self.config = config
        self.port = int(config["listen"].rpartition(":")[2])
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, config: dict[str, Any]) -> None:
        """Replaces the configuration file in one step."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(config), encoding="utf-8")
        temporary.replace(self.path)

    def start(self) -> None:
        """Starts the process by the command `run` of the deploy file, from the repository's root."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.write_config(self.config)
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "ROUTER_CONFIG": str(self.path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"proxy started as process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Sends the process a signal."""
        if self.process is not None:
            self.record.write(f"proxy gets {number.name}")
            self.process.send_signal(number)

    async def wait_until_ready(self) -> None:
        """Waits until PING is answered PONG, as the front does; for 30 s at most."""
        for _ in range(150):
            await asyncio.sleep(0.2)
            with suppress(OSError, asyncio.TimeoutError):
                if await asyncio.wait_for(ask(self.port, "PING"), 1.0) == "PONG":
                    self.record.write("proxy is ready")
                    return
        raise CannotRunError("the proxy was not ready within 30 s")

    def end(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.log_path.exists():
            for line in self.log_path.read_text(encoding="utf-8", errors="replace").splitlines():
                self.record.write(f"log of the proxy: {line}")


async def ask(port: int, line: str) -> str:
    """Sends one line on a new connection and returns the answer; "" for a close with no answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(line.encode() + b"\r\n")
        return (await reader.readline()).decode().rstrip()
    finally:
        writer.close()


def open_line(class_name: str, deadline_ms: int, **values: str) -> str:
    """Returns an OPEN line with a new id and a new key."""
    fields = {"c": class_name, "t": "harbour-ferries", "d": str(deadline_ms), "g": secrets.token_hex(8)}
    text = ",".join(f"{name}={value}" for name, value in {**fields, **values}.items())
    return f"OPEN {secrets.token_hex(8)} {secrets.token_hex(8)} {text}"


def run_case(folder: Path, case: Callable[[Path, Record, bool], Awaitable[bool]]) -> None:
    """Runs a case in a temporary folder, and ends this process with its result.

    `case` returns whether the rule held; its last argument is whether the disruption is made.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the case runs {'with' if trouble else 'without'} the disruption")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends the processes of the case too

    async def limited() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(case(Path(temporary), record, trouble), 110)

    try:
        held = asyncio.run(limited())
    except (TimeoutError, CannotRunError, OSError) as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        sys.exit(NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    print("held" if held else "broken", flush=True)
    sys.exit(HELD if held else BROKEN)
