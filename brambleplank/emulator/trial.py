"""The trial of `brambleplank try`: a sidecar under load, with one server that drains and one that is killed.

Four stand-in servers answer requests of each service type. The report relies on the records of the clients
and servers and on the sidecar's exit code, not on its log.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from brambleplank.discovery.file.server_file import Server
from brambleplank.emulator.clients import Client, RequestRecord
from brambleplank.emulator.servers import StandInServer
from brambleplank.sidecar import writer
from brambleplank.sidecar.shapes import Connects, File, Limits, Listen, ServiceType
from brambleplank.sidecar.shapes import Servers as ServersFile
from brambleplank.tables import Seconds

CLIENT_DEADLINE = 1.8  # seconds
TIMING_TOLERANCE = 0.05  # seconds that sockets may add to a limit
SESSION_TIME_RANGE = (0.5, 3.0)  # seconds, shortest and longest
START_TIMEOUT = 15.0  # seconds
STOP_TIMEOUT = 10.0  # seconds
DRAIN_WINDOW = 1.0  # seconds
SERVICE_TYPES = [
    ServiceType("map-views", "repeatable", Seconds(0.3), Seconds(CLIENT_DEADLINE)),
    ServiceType("orders", "referenced", Seconds(0.3), Seconds(CLIENT_DEADLINE), None, "all", Seconds(5.0)),
    ServiceType("warnings", "once-only", Seconds(0.3), Seconds(CLIENT_DEADLINE)),
]
ANSWERS = ("established", "rejected", "aborted")
SESSION_ENDS = ("done", "moved", "bye", "broke")


class Trial:
    """One run of the servers, the sidecar and the clients, with its report."""

    def __init__(self, folder: Path, seconds: float, rate: int, write_line: Callable[[str], object]) -> None:
        self.folder = folder
        self.seconds = seconds
        self.rate = rate
        self.write_line = write_line
        self.rng = random.Random(1)
        self.servers = [StandInServer(f"feed{n}") for n in range(1, 5)]
        self.states = {server.name: "ready" for server in self.servers}
        self.records: list[RequestRecord] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.socket = folder / "brambleplank.sock"
        self.drained_at = 0.0
        self.log = folder / "sidecar.log"

    async def run(self) -> int:
        """Runs the trial. Returns the exit code: 1 if a rule was violated, 2 if the sidecar did not start."""
        for server in self.servers:
            await server.listen()
        self.write_servers()
        file = File(
            "trial",
            Listen(socket=str(self.socket)),
            SERVICE_TYPES,
            limits=Limits(connections=400, descriptors=1024),
            connects=Connects(),
            servers=ServersFile("trial.servers.toml"),
        )
        path = self.folder / "trial.toml"
        path.write_text(writer.file_text(file), encoding="utf-8")
        with self.log.open("wb") as log:
            sidecar = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "brambleplank.cli", "run", str(path), stderr=log
            )
            try:
                if not await self.wait_until_ready(sidecar):
                    self.write_line(self.log.read_text())
                    return 2
                await self.run_load()
                sidecar.send_signal(signal.SIGTERM)
                exit_code = await asyncio.wait_for(sidecar.wait(), STOP_TIMEOUT)
            finally:
                if sidecar.returncode is None:
                    sidecar.kill()
                    await sidecar.wait()
        return self.report(exit_code)

    async def wait_until_ready(self, sidecar: asyncio.subprocess.Process) -> bool:
        """Returns whether the sidecar logs in time that it is ready."""
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline and sidecar.returncode is None:
            if "ready: " in self.log.read_text():
                return True
            await asyncio.sleep(0.02)
        return False

    def write_servers(self) -> None:
        """Replaces the server file."""
        writer.replace_file(
            self.folder / "trial.servers.toml",
            writer.servers_text(
                [
                    Server(name=server.name, address=server.address, state=self.states[server.name])  # type: ignore[arg-type]
                    for server in self.servers
                    if self.states[server.name] != "gone"
                ]
            ),
        )

    async def run_load(self) -> None:
        """Starts clients at a constant rate, and meanwhile drains feed1, kills feed2 and removes feed1."""
        started = time.monotonic()
        sent = 0
        events = [
            (0.25, "feed1 drains", self.begin_drain),
            (0.5, "feed2 is killed", self.kill_server),
            (0.75, "feed1 is removed", self.remove_drained),
        ]
        while (now := time.monotonic() - started) < self.seconds:
            while events and now >= events[0][0] * self.seconds:
                self.write_line(f"{now:5.1f} s  {events[0][1]}")
                events.pop(0)[2]()
            while sent < now * self.rate:
                self.start_client(SERVICE_TYPES[sent % len(SERVICE_TYPES)].name)
                sent += 1
            await asyncio.sleep(0.005)
        self.write_line(f"{self.seconds:5.1f} s  the sidecar is asked to shut down")

    def begin_drain(self) -> None:
        """Lists the first server as draining."""
        self.states["feed1"] = "draining"
        self.write_servers()
        self.drained_at = time.time()

    def kill_server(self) -> None:
        """Kills the second server."""
        self.servers[1].kill()

    def remove_drained(self) -> None:
        """Removes the drained server from the list and shuts it down."""
        self.states["feed1"] = "gone"
        self.write_servers()
        self.servers[0].shut_down()

    def start_client(self, service_type: str, is_reconnecting: bool = False) -> None:
        """Starts a client with a new request."""
        record = RequestRecord(
            f"{self.rng.getrandbits(64):016x}", service_type, time.time(), is_reconnecting=is_reconnecting
        )
        self.records.append(record)
        client = Client(
            record,
            f"{self.rng.getrandbits(64):016x}",
            CLIENT_DEADLINE,
            self.rng.uniform(*SESSION_TIME_RANGE),
            self.client_finished,
        )
        task = asyncio.create_task(self.connect(client))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, client: Client) -> None:
        """Connects a client; does nothing if the sidecar doesn't listen."""
        with suppress(OSError):
            await asyncio.get_running_loop().create_unix_connection(lambda: client, str(self.socket))

    def client_finished(self, record: RequestRecord) -> None:
        """Starts a reconnecting client, once, if the session was moved, ended by its server or broke."""
        if record.end in ("moved", "broke", "bye") and not record.is_reconnecting and self.socket.exists():
            self.start_client(record.service_type, is_reconnecting=True)

    def report(self, exit_code: int) -> int:
        """Prints the outcomes by service type and the violations found. Returns the exit code."""
        self.write_line(
            f"\n{'service type':14}{'flows':>7}"
            + "".join(f"{word:>13}" for word in ANSWERS)
            + "   then "
            + "".join(f"{word:>7}" for word in SESSION_ENDS)
            + f"{'setup p50':>12}{'p99':>9}"
        )
        for service_type in SERVICE_TYPES:
            records = [record for record in self.records if record.service_type == service_type.name]
            answers = Counter(record.answers[0] for record in records if record.answers)
            ends = Counter(record.end for record in records)
            delays = sorted(
                record.answer_delay for record in records if record.answers[:1] == ["established"]
            ) or [0.0]
            self.write_line(
                f"{service_type.name:14}{len(records):7}"
                + "".join(f"{answers[word]:13}" for word in ANSWERS)
                + "        "
                + "".join(f"{ends[word]:7}" for word in SESSION_ENDS)
                + f"{delays[len(delays) // 2] * 1000:9.1f} ms{delays[len(delays) * 99 // 100] * 1000:6.1f} ms"
            )
        self.write_line("")
        for server in self.servers:
            self.write_line(f"{server.name}  {len(server.open_records):5} flows  {self.states[server.name]}")
        violations = self.find_violations(exit_code)
        self.write_line("\nRules: " + ("all kept" if not violations else "; ".join(violations)))
        self.write_line("Next: brambleplank new, then check, explain and run; docs/sidecar.md")
        return 1 if violations else 0

    def find_violations(self, exit_code: int) -> list[str]:
        """Checks the records against the four rules, and the sidecar's exit code. Returns the violations."""
        violations = []
        if exit_code:
            violations.append(f"the sidecar ended with {exit_code}")
        for record in self.records:
            if len(record.answers) != 1:
                violations.append(f"flow {record.id} had {len(record.answers)} final answers")
            elif record.answer_delay > CLIENT_DEADLINE + TIMING_TOLERANCE:
                violations.append(f"flow {record.id} was answered after {record.answer_delay:.2f} s")
        opens_by_request = Counter(
            open_record.request_id for server in self.servers for open_record in server.open_records
        )
        once_only_ids = {record.id for record in self.records if record.service_type == "warnings"}
        violations += [
            f"once-only flow {request_id} reached {open_count} servers"
            for request_id, open_count in opens_by_request.items()
            if open_count > 1 and request_id in once_only_ids
        ]
        if self.drained_at:
            after = [open_record.at - self.drained_at for open_record in self.servers[0].open_records]
            last = max(after, default=0.0)
            when = f"{last:.2f} s after" if last > 0 else "before"
            self.write_line(
                f"feed1 received its last new flow {when} the list reported its drain"
                f" (allowed: {DRAIN_WINDOW} s)"
            )
            if last > DRAIN_WINDOW + TIMING_TOLERANCE:
                violations.append("feed1 received new flows after its drain window")
        return violations


def main(seconds: float, rate: int, keep: str | None, write_line: Callable[[str], object]) -> int:
    """Runs the trial in a temporary folder, or in the folder `keep`. Returns the exit code."""
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
        return asyncio.run(Trial(Path(keep).resolve(), seconds, rate, write_line).run())
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Trial(Path(folder), seconds, rate, write_line).run())
