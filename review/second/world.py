"""Stand-ins for discovery, servers and clients, and the proxy's processes, for one case on loopback."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT = 2.0  # seconds between empty lines of a watch, as the protocol page has it
LINE_INTERVAL = 2.0  # seconds between two lines of a client, as the protocol page has it
READY_WITHIN = 30.0  # seconds
STOP_EXTRA = 0.7  # seconds after the longest deadline (3 s at most) until SIGKILL may come
HELD, BROKEN, NO_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing on the rule."""


def free_port() -> int:
    """Returns a port on which nothing listens now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def traffic_class(name: str, target_ms: int, deadline_ms: int, **more: Any) -> dict[str, Any]:
    """Returns one class of the settings; repeatable unless `effect` says otherwise."""
    return {
        "name": name,
        "effect": "repeatable",
        "group": "all",
        "window_us": 5_000_000,
        "setup_target_us": target_ms * 1000,
        "deadline_us": deadline_ms * 1000,
        "stream": True,
        "value": 1.0,
        "tardy_value": 0.0,
        **more,
    }


def small_settings() -> dict[str, Any]:
    """Returns settings of a small deployment, with the limits of the first brief."""
    return {
        "az": "edinburgh",
        "balancers": 1,
        "slot_no": 0,
        "tick_us": 5000,
        "discovery": "push",
        "tenants": [],
        "service_types": [
            traffic_class("point-stream", 300, 1800),
            traffic_class("warning-feed", 800, 4800),
        ],
        "policy_limits": {
            "max_connects": 4,
            "cancelling": True,
            "retry_after": False,
            "max_retry_after_us": 2_000_000,
            "connect_timeout_us": 150_000,
            "may_probe": False,
            "peers": False,
            "second_copies": False,
        },
        "rules": {
            "stop_sending_within_us": 3_000_000,
            "ask_within_us": 10_000_000,
            "cold_from": 0.14,
            "ramp_time_us": 24_000_000,
            "overload_factor": 4.0,
            "fall_us": 3_000_000,
            "grace_to_answer_us": 20_000,
        },
        "specifics": {"mode": "proxy", "groups": False, "message_aim_us": [250_000, 150_000]},
    }


class Record:
    """What was sent, answered and run, with the time of each; written to a file at the end."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Adds a line with the seconds since the start."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def write(self) -> None:
        """Writes all lines."""
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclass
class Opening:
    """One OPEN line that a server has received whole."""

    request_id: str
    line: str
    first_byte_at: float
    at: float
    ended_at: float = 0.0


class StandInServer:
    """A sound server: it answers each OPEN with UP, and brings each line back at once.

    `answer` may replace what is done with an OPEN; it returns whether the connection is up from then on.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.openings: list[Opening] = []
        self.answer: Callable[[Opening, asyncio.StreamWriter], Awaitable[bool]] = self.answer_up
        self.health = "ready"
        self.zone = "edinburgh"
        self.block = 0
        self.born_ms = 0
        self.dial = ""
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.dial = f"{HOST}:{port}"

    def entry(self) -> dict[str, Any]:
        """Returns the server's entry in discovery's form."""
        return {
            "host": self.name,
            "dial": self.dial,
            "site": self.zone,
            "class": "std-4",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def answer_up(self, opening: Opening, writer: asyncio.StreamWriter) -> bool:
        """Answers UP with a receipt that names the server and the request."""
        writer.write(f"UP {self.name}-{opening.request_id}\r\n".encode())
        return True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            first = await reader.read(1)
            first_at = time.monotonic()
            line = (first + await reader.readline()).decode()
            if line == "PING\r\n":
                writer.write(b"PONG\r\n")
            elif line.startswith("OPEN ") and line.endswith("\r\n"):
                opening = Opening(line.split(" ")[1], line.strip(), first_at, time.monotonic())
                self.openings.append(opening)
                self.record.note(f"{self.name} got {opening.line}")
                if await self.answer(opening, writer):
                    await self.echo(reader, writer)
                opening.ended_at = time.monotonic()
                self.record.note(f"{self.name} end of {opening.request_id}")
        writer.close()

    async def echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Brings each line back at once, until the other side ends."""
        while line := await reader.readline():
            writer.write(line)


class StandInDiscovery:
    """An agent of discovery: it answers and tells changes at once, and sends an empty line every 2 s."""

    def __init__(self, servers: list[StandInServer], record: Record) -> None:
        self.servers = servers
        self.record = record
        self.version = 1
        self.watches: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.list_time = 0.0  # seconds from the first byte of an answer's first list to its last

    async def start(self) -> None:
        """Listens on a free port."""
        listener = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"seq": self.version, "whole": True, "hosts": [each.entry() for each in self.servers]}

    def tell(self, *changed: StandInServer) -> None:
        """Tells all watches of the servers whose entries have changed."""
        self.version += 1
        update = {"seq": self.version, "whole": False, "hosts": [each.entry() for each in changed]}
        self.record.note(f"discovery tells {json.dumps(update)}")
        for writer in list(self.watches):
            send_chunk(writer, json.dumps(update))

    async def send_first_list(self, writer: asyncio.StreamWriter) -> None:
        """Sends the list that an answer begins with, in two parts if discovery is slow.

        What changes meanwhile follows at once, as a whole list, with no further delay.
        """
        version = self.version
        data = chunk(json.dumps(self.whole()))
        middle = len(data) // 2 if self.list_time else 0
        writer.write(data[:middle])
        await asyncio.sleep(self.list_time)
        writer.write(data[middle:])
        if version != self.version:
            writer.write(chunk(json.dumps(self.whole())))
        await writer.drain()
        gone = " to a connection that is closed" if writer.is_closing() else ""
        self.record.note(f"discovery has written the list of version {self.version}{gone}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one request, and keeps a watch open."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self.send_first_list(writer)
            if "watch=1" in head.split("\r\n", 1)[0]:
                self.watches.add(writer)
                ended = asyncio.ensure_future(reader.read())
                while not (await asyncio.wait([ended], timeout=HEARTBEAT))[0]:
                    send_chunk(writer, "")
        self.watches.discard(writer)
        writer.close()


def chunk(text: str) -> bytes:
    """Returns one line as one HTTP chunk."""
    data = text.encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(data), data)


def send_chunk(writer: asyncio.StreamWriter, text: str) -> None:
    """Sends one line as one HTTP chunk."""
    with suppress(ConnectionError, RuntimeError):
        writer.write(chunk(text))


@dataclass
class Client:
    """What one client sent and received; times are of the monotonic clock, 0 for never."""

    request_id: str
    connected_at: float = 0.0
    sent_at: float = 0.0  # when the last byte of OPEN was written
    answer: str = ""
    answered_at: float = 0.0
    moved_at: float = 0.0
    ended_at: float = 0.0  # when the proxy ended the connection
    left_at: float = 0.0  # when the client ended it
    error: str = ""
    lines_back: int = 0
    received: list[str] = field(default_factory=list)


class ProxyProcess:
    """One process, started as the deploy file's `run` has it."""

    def __init__(self, world: World, config: dict[str, Any], name: str) -> None:
        self.world = world
        self.config = config
        self.name = name
        self.path = world.folder / f"{name}.json"
        self.log_path = world.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process; its log goes to a file in the temporary folder."""
        self.path.write_text(json.dumps(self.config))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        environment |= {"ROUTER_CONFIG": str(self.path), "TMPDIR": str(self.world.folder / "tmp")}
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with self.log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stderr=log, stdout=log
            )
        self.world.record.note(f"{self.name} started")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it still runs."""
        assert self.process is not None
        with suppress(ProcessLookupError):
            self.process.send_signal(number)
            self.world.record.note(f"{self.name} got {number.name}")

    async def wait_until_ready(self) -> None:
        """Waits until PING is answered with PONG at the clients' address."""
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            if await self.ping() == "PONG":
                self.world.record.note(f"{self.name} answers PONG")
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} was not ready in {READY_WITHIN} s")

    async def ping(self) -> str:
        """Returns the answer to PING at the clients' address; "" if there is none."""
        with suppress(OSError, TimeoutError):
            host, port = self.config["listen"].split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
            writer.write(b"PING\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return line.decode().strip()
        return ""

    async def call(self, method: str, path: str) -> int:
        """Makes a call at `mgmt`; returns the status, 0 if there was no answer within a second."""
        with suppress(OSError, TimeoutError, IndexError, ValueError):
            host, port = self.config["mgmt"].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            status = int(line.split(b" ")[1])
            self.world.record.note(f"{method} {path} at {self.name}: {status}")
            return status
        return 0

    async def end(self) -> None:
        """Kills the process if it still runs, and waits for its end."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class World:
    """All stand-ins and processes of one case."""

    def __init__(self, case: Path, servers: int = 4) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.servers = [StandInServer(f"s-{number:08x}", self.record) for number in range(servers)]
        self.discovery = StandInDiscovery(self.servers, self.record)
        self.processes: list[ProxyProcess] = []
        self.programs: list[asyncio.subprocess.Process] = []  # stand-ins in processes of their own
        self.settings = small_settings()
        self.numbers = itertools.count(1)
        self.clients: list[Client] = []
        self.listen = f"{HOST}:{free_port()}"

    async def start(self) -> None:
        """Starts the stand-ins."""
        for server in self.servers:
            await server.start()
        await self.discovery.start()

    async def start_proxy(self, process: str, with_operators: bool = False, **changes: Any) -> ProxyProcess:
        """Starts a process of the proxy; `process` names it in the record, `changes` are of its file."""
        config = {
            "name": "n1",
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 512},
            "known": self.discovery.whole(),
            "settings": self.settings,
            **changes,
        }
        if with_operators:
            config["mgmt"] = f"{HOST}:{free_port()}"
        proxy = ProxyProcess(self, config, process)
        self.processes.append(proxy)
        await proxy.start()
        return proxy

    def new_client(self) -> Client:
        """Returns a client with an id of its own."""
        client = Client(f"{next(self.numbers):016x}")
        self.clients.append(client)
        return client

    def opening_of(self, client: Client, name: str = "point-stream", wait_ms: int = 1800) -> bytes:
        """Returns the OPEN line of a client."""
        key = f"{int(client.request_id, 16) * 0x9E3779B97F4A7C15 % 2**64:016x}"
        return f"OPEN {client.request_id} {key} c={name},d={wait_ms}\r\n".encode()

    async def end(self) -> None:
        """Ends all processes, keeps their logs in the record, and removes the temporary folder."""
        for program in self.programs:
            with suppress(ProcessLookupError):
                program.kill()
            await program.wait()
        for process in self.processes:
            await process.end()
            for line in process.log_path.read_text(errors="replace").splitlines():
                self.record.lines.append(f"log of {process.name}: {line}")
        self.record.write()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case: Path, story: Callable[[World, bool], Awaitable[list[str]]], servers: int = 4) -> NoReturn:
    """Plays a story, which returns each break of the rule; ends with the exit status of the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World(case, servers)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await world.start()
            breaks = await asyncio.wait_for(story(world, trouble), 110.0)
            for text in breaks:
                world.record.note(f"BROKEN: {text}")
            world.record.note(f"{len(breaks)} breaks of the rule, trouble {'on' if trouble else 'off'}")
            print(world.record.lines[-1].strip(), *breaks[:5], sep="\n  ")
            return BROKEN if breaks else HELD
        except (Exception, asyncio.CancelledError) as error:
            world.record.note(f"could not run: {type(error).__name__} {error}")
            world.record.lines += traceback.format_exc().splitlines()
            print(f"could not run: {type(error).__name__} {error}")
            return NO_RUN
        finally:
            await end_other_tasks()
            await world.end()

    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)  # without the finalizers of connections that are still open


async def end_other_tasks() -> None:
    """Cancels the tasks of clients and stand-ins that are still running, and waits for their ends."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def run_session(world: World, client: Client, reader: asyncio.StreamReader, writer: Any) -> None:
    """Sends a line every 2 s, and notes what comes back, MOVE and the end."""

    async def send() -> None:
        for number in itertools.count():
            await asyncio.sleep(LINE_INTERVAL)
            writer.write(f"M {client.request_id} {number}\r\n".encode())

    sender = asyncio.ensure_future(send())
    try:
        while line := await reader.readline():
            text = line.decode(errors="replace").strip()
            client.received.append(text)
            if text == "MOVE":
                client.moved_at = time.monotonic()
                world.record.note(f"client {client.request_id} got MOVE")
            else:
                client.lines_back += 1
    except ConnectionError as error:
        client.error = type(error).__name__
    finally:
        sender.cancel()
    client.ended_at = time.monotonic()
    world.record.note(f"client {client.request_id} ended by the proxy {client.error}")
    writer.close()


async def read_answer(world: World, client: Client, reader: asyncio.StreamReader, within: float) -> str:
    """Reads the final answer; returns "" if the connection ended or nothing came."""
    try:
        line = await asyncio.wait_for(reader.readline(), within)
        client.answer = line.decode(errors="replace").strip()
    except TimeoutError:
        client.left_at = time.monotonic()
    except ConnectionError as error:
        client.error = type(error).__name__
    if client.answer:
        client.answered_at = time.monotonic()
    elif not client.left_at:
        client.ended_at = time.monotonic()
    world.record.note(f"client {client.request_id} answer {client.answer!r} {client.error}")
    return client.answer


async def open_session(world: World, name: str = "point-stream", wait_ms: int = 1800) -> asyncio.Task[None]:
    """Opens a connection, waits for its answer, and returns the task that goes on with the session."""
    client = world.new_client()
    host, port = world.listen.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    client.connected_at = time.monotonic()
    line = world.opening_of(client, name, wait_ms)
    writer.write(line)
    client.sent_at = time.monotonic()
    world.record.note(f"client {client.request_id} sent {line.decode().strip()}")
    if not (await read_answer(world, client, reader, wait_ms / 1000 + 0.5)).startswith("UP "):
        raise CouldNotRunError(f"client {client.request_id} was answered {client.answer!r}")
    return asyncio.ensure_future(run_session(world, client, reader, writer))
