"""A first look: a sidecar, four stand-in servers, requests of each service type; one server drains, one dies.

The report at the end rests on the clients' and the servers' own records alone.
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
from brambleplank.emulator.servers import StandIn
from brambleplank.sidecar import writer
from brambleplank.sidecar.shapes import Connects, File, Limits, Listen, ServiceType
from brambleplank.sidecar.shapes import Servers as ServersFile
from brambleplank.tables import Seconds

PATIENCE = 1.8  # seconds that a client waits for its answer
LATE = 0.05  # seconds that sockets may add to a limit
STAYS = (0.5, 3.0)  # seconds that a flow stands
START_WITHIN = 15.0
END_WITHIN = 10.0
DRAIN = 1.0  # seconds
TYPES = [
    ServiceType("map-views", "repeatable", Seconds(0.3), Seconds(PATIENCE)),
    ServiceType("orders", "referenced", Seconds(0.3), Seconds(PATIENCE), None, "all", Seconds(5.0)),
    ServiceType("warnings", "once-only", Seconds(0.3), Seconds(PATIENCE)),
]
GIVEN = ("established", "rejected", "aborted")
ENDS = ("done", "moved", "bye", "broke")


class Trial:
    """One run: servers, a sidecar, clients, and the report."""

    def __init__(self, folder: Path, seconds: float, rate: int, write_line: Callable[[str], object]) -> None:
        self.folder = folder
        self.seconds = seconds
        self.rate = rate
        self.write_line = write_line
        self.rng = random.Random(1)
        self.servers = [StandIn(f"feed{n}") for n in range(1, 5)]
        self.states = {server.name: "ready" for server in self.servers}
        self.records: list[RequestRecord] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.socket = folder / "brambleplank.sock"
        self.drained_at = 0.0
        self.log = folder / "sidecar.log"

    async def play(self) -> int:
        """Returns the exit code: 1 if a rule was broken, 2 if the sidecar did not start."""
        for server in self.servers:
            await server.listen()
        self.write_servers()
        file = File(
            "trial",
            Listen(socket=str(self.socket)),
            TYPES,
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
                if not await self.ready(sidecar):
                    self.write_line(self.log.read_text())
                    return 2
                await self.play_load()
                sidecar.send_signal(signal.SIGTERM)
                code = await asyncio.wait_for(sidecar.wait(), END_WITHIN)
            finally:
                if sidecar.returncode is None:
                    sidecar.kill()
                    await sidecar.wait()
        return self.report(code)

    async def ready(self, sidecar: asyncio.subprocess.Process) -> bool:
        """Whether the sidecar says in time that it is ready."""
        until = time.monotonic() + START_WITHIN
        while time.monotonic() < until and sidecar.returncode is None:
            if "ready: " in self.log.read_text():
                return True
            await asyncio.sleep(0.02)
        return False

    def write_servers(self) -> None:
        """Replaces the file of servers."""
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

    async def play_load(self) -> None:
        """Plays clients all the time; a quarter in, feed1 drains; half in, feed2 dies; then feed1 is gone."""
        began = time.monotonic()
        sent = 0
        events = [
            (0.25, "feed1 drains", self.begin_drain),
            (0.5, "feed2 dies", self.kill_server),
            (0.75, "feed1 is gone", self.remove_drained),
        ]
        while (now := time.monotonic() - began) < self.seconds:
            while events and now >= events[0][0] * self.seconds:
                self.write_line(f"{now:5.1f} s  {events[0][1]}")
                events.pop(0)[2]()
            while sent < now * self.rate:
                self.start_client(TYPES[sent % len(TYPES)].name)
                sent += 1
            await asyncio.sleep(0.005)
        self.write_line(f"{self.seconds:5.1f} s  the sidecar is told to leave")

    def begin_drain(self) -> None:
        """The first server drains."""
        self.states["feed1"] = "draining"
        self.write_servers()
        self.drained_at = time.time()

    def kill_server(self) -> None:
        """The second server dies."""
        self.servers[1].kill()

    def remove_drained(self) -> None:
        """The drained server ends."""
        self.states["feed1"] = "gone"
        self.write_servers()
        self.servers[0].finish()

    def start_client(self, service_type: str, returns: bool = False) -> None:
        """Starts a client; one whose session was moved or broke starts again once."""
        record = RequestRecord(
            f"{self.rng.getrandbits(64):016x}", service_type, time.time(), is_reconnecting=returns
        )
        self.records.append(record)
        caller = Client(
            record,
            f"{self.rng.getrandbits(64):016x}",
            PATIENCE,
            self.rng.uniform(*STAYS),
            self.client_finished,
        )
        task = asyncio.create_task(self.connect(caller))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, caller: Client) -> None:
        """Connects a client, if the sidecar listens."""
        with suppress(OSError):
            await asyncio.get_running_loop().create_unix_connection(lambda: caller, str(self.socket))

    def client_finished(self, record: RequestRecord) -> None:
        """Lets a client whose session was moved or broke come again."""
        if record.end in ("moved", "broke", "bye") and not record.is_reconnecting and self.socket.exists():
            self.start_client(record.service_type, returns=True)

    def report(self, code: int) -> int:
        """Prints what became of all requests, and whether the rules were kept; returns the exit code."""
        self.write_line(
            f"\n{'service type':14}{'flows':>7}"
            + "".join(f"{word:>13}" for word in GIVEN)
            + "   then "
            + "".join(f"{word:>7}" for word in ENDS)
            + f"{'setup p50':>12}{'p99':>9}"
        )
        for kind in TYPES:
            mine = [record for record in self.records if record.service_type == kind.name]
            answers = Counter(record.answers[0] for record in mine if record.answers)
            ends = Counter(record.end for record in mine)
            waits = sorted(
                record.answer_delay for record in mine if record.answers[:1] == ["established"]
            ) or [0.0]
            self.write_line(
                f"{kind.name:14}{len(mine):7}"
                + "".join(f"{answers[word]:13}" for word in GIVEN)
                + "        "
                + "".join(f"{ends[word]:7}" for word in ENDS)
                + f"{waits[len(waits) // 2] * 1000:9.1f} ms{waits[len(waits) * 99 // 100] * 1000:6.1f} ms"
            )
        self.write_line("")
        for server in self.servers:
            self.write_line(f"{server.name}  {len(server.openings):5} flows  {self.states[server.name]}")
        faults = self.broken_rules(code)
        self.write_line("\nRules: " + ("all kept" if not faults else "; ".join(faults)))
        self.write_line("Next: brambleplank new, then check, explain and run; docs/sidecar.md")
        return 1 if faults else 0

    def broken_rules(self, code: int) -> list[str]:
        """Returns what the records have against the four rules and the sidecar's own end."""
        found = []
        if code:
            found.append(f"the sidecar ended with {code}")
        for record in self.records:
            if len(record.answers) != 1:
                found.append(f"flow {record.id} had {len(record.answers)} final answers")
            elif record.answer_delay > PATIENCE + LATE:
                found.append(f"flow {record.id} was answered after {record.answer_delay:.2f} s")
        had = Counter(opening.flow for server in self.servers for opening in server.openings)
        once = {record.id for record in self.records if record.service_type == "warnings"}
        found += [
            f"once-only flow {flow} reached {times} servers"
            for flow, times in had.items()
            if times > 1 and flow in once
        ]
        if self.drained_at:
            after = [opening.at - self.drained_at for opening in self.servers[0].openings]
            last = max(after, default=0.0)
            when = f"{last:.2f} s after" if last > 0 else "before"
            self.write_line(
                f"feed1 had its last new flow {when} the list told of its drain ({DRAIN} s: allowed)"
            )
            if last > DRAIN + LATE:
                found.append("the drain was not kept")
        return found


def main(seconds: float, rate: int, keep: str | None, write_line: Callable[[str], object]) -> int:
    """Plays it in a folder of its own, or in the one to keep."""
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
        return asyncio.run(Trial(Path(keep).resolve(), seconds, rate, write_line).play())
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Trial(Path(folder), seconds, rate, write_line).play())
