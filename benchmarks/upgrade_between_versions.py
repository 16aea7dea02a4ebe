"""Upgrades a running proxy between this source tree and another version, in both directions.

All processes are real. A process of one tree serves established sessions, with one server out of rotation and
another in slow start. A process of the other tree takes over, and the first receives SIGTERM. Every session
must continue and pass lines in both directions, the first server must stay out of rotation, and the second
must keep its start time.
Exits with 1 if anything was lost.

    PYTHONPATH=. python -m benchmarks.upgrade_between_versions CHECKOUT [--python PYTHON]
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

from tests.ports import unused_address
from tests.programs import Program
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import LineConnection, StandInDiscovery, StandInServer
from tests.waiting import TEST_TIMEOUT

SESSIONS = 12
NEW_SESSIONS = 24  # sessions opened after the upgrade, each with its own key
SLOW_START_AGE = 2.0  # seconds since the start of the server in slow start; its ramp lasts 20 seconds
SERVERS = ("s0", "s1", "s2")
DISABLED_SERVER = "s1"
SLOW_START_SERVER = "s2"
LIST_VERSION = 41
HANDOFF_PHRASES = ("went along", "handed off")  # as logged by 0b808a3, and by later releases


class UpgradeError(Exception):
    """The upgrade failed, or lost a session or state."""


@dataclass(frozen=True)
class Tree:
    """A source tree and the interpreter that runs it."""

    path: Path
    python: str

    def environment(self) -> dict[str, str]:
        """Returns this process's environment for the tree, without variables that configure a proxy."""
        kept = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("ROUTER_", "BRAMBLEPLANK_"))
        }
        return {**kept, "PYTHONPATH": str(self.path)}

    def require(self) -> None:
        """Raises UpgradeError unless the interpreter imports the package from this tree."""
        code = "import brambleplank; print(brambleplank.__file__)"
        found = subprocess.run(
            [self.python, "-B", "-c", code],
            cwd=self.path,
            env=self.environment(),
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
        if not Path(found).is_relative_to(self.path):
            raise UpgradeError(f"{self.python} imports {found}, not the tree {self.path}")


class VersionedProgram(Program):
    """A proxy whose successive processes run from the trees in order."""

    def __init__(self, trees: list[Tree], folder: Path, known: dict[str, Any], **changes: Any) -> None:
        self.trees = trees
        super().__init__(folder, known, **changes)

    def launch(self, folder: Path, patch: str) -> None:
        """Starts the next process as the platform does, from the next tree."""
        tree = self.trees[len(self.successors)]
        environment = {**tree.environment(), "ROUTER_CONFIG": str(self.config_path), "TMPDIR": str(folder)}
        self.process = subprocess.Popen(
            [tree.python, "-B", "-m", "brambleplank"],
            cwd=tree.path,
            env=environment,
            stderr=subprocess.PIPE,
            text=True,
        )

    def send_command(self, path: str, method: str) -> int:
        """Sends an operator command and returns the HTTP status of the answer."""
        host, port = self.config["mgmt"].rsplit(":", 1)
        give_up_at = time.monotonic() + TEST_TIMEOUT
        while True:
            try:
                line = LineConnection(socket.create_connection((host, int(port))))
                break
            except ConnectionRefusedError:
                if time.monotonic() > give_up_at:
                    raise
                time.sleep(0.01)
        line.send_line(f"{method} {path} HTTP/1.1\r\nHost: here\r\n")
        return int(line.file.read().decode().split(" ")[1])

    def wait_until_ready(self) -> None:
        """Waits until this process reports that it is ready."""
        give_up_at = time.monotonic() + TEST_TIMEOUT
        while self.send_command("/-/ready", "GET") != 200:
            require(time.monotonic() < give_up_at, "a process did not become ready")

    def stored_state(self, folder: Path) -> dict[str, Any]:
        """Returns the state that this process would hand to the next one, without taking over.

        The state is requested over the Unix socket for upgrades, which is then closed: the process logs that
        the next one is gone, and accepts clients again.
        """
        path = folder / f"brambleplank-{self.address[0]}-{self.address[1]}.sock"
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as channel:
            channel.settimeout(TEST_TIMEOUT)
            channel.connect(str(path))
            channel.sendall(b'{"say":"take","form":1,"names":{}}\n')
            answer = json.loads(channel.makefile("rb").readline())
        self.next_log_line("the next process is gone")
        state: dict[str, Any] = answer["estate"]
        return state


def require(condition: bool, message: str) -> None:
    """Raises UpgradeError with the message if the condition is false."""
    if not condition:
        raise UpgradeError(message)


def server_list(servers: dict[str, StandInServer]) -> dict[str, Any]:
    """Returns the endpoint list, in which one server has started recently."""
    found = endpoint_list(LIST_VERSION, True, **{name: server.address for name, server in servers.items()})
    for host in found["hosts"]:
        if host["host"] == SLOW_START_SERVER:
            host["born_ms"] = (time.time() - SLOW_START_AGE) * 1000
    return found


def answer_watches(discovery: StandInDiscovery, known: dict[str, Any]) -> None:
    """Answers each watch: with the whole list, or with no changes if the process already has a version."""
    watches = []
    while True:
        first, watch = discovery.requests.get()
        watches.append(watch)  # kept, as garbage collection would close it
        text = json.dumps(known if "from=" not in first else endpoint_list(LIST_VERSION, False))
        with suppress(OSError):  # the process has closed the watch
            watch.socket.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            StandInDiscovery.send_text(watch, text)


@contextmanager
def running_proxy(trees: list[Tree], folder: Path, known: dict[str, Any]) -> Iterator[VersionedProgram]:
    """Runs a proxy with its first process, and kills all its processes at the end."""
    mgmt = ":".join(map(str, unused_address()))
    # Long times, so that on a busy machine no answer is late and no server looks overloaded.
    service_types = [
        {**PLATFORM_SETTINGS["service_types"][0], "setup_target_us": 10_000_000, "deadline_us": 30_000_000}
    ]
    program = VersionedProgram(
        trees, folder, known, mgmt=mgmt, settings={**PLATFORM_SETTINGS, "service_types": service_types}
    )
    threading.Thread(target=answer_watches, args=[program.discovery, known], daemon=True).start()
    try:
        yield program
    finally:
        for each in (program, *program.successors):
            each.process.kill()
            each.process.wait()


@dataclass(frozen=True)
class Session:
    """Both ends of an established session, outside the proxy."""

    client: LineConnection
    server: LineConnection

    def check(self) -> None:
        """Raises UpgradeError unless a line passes in each direction."""
        for sender, receiver, line in ((self.client, self.server, "M 1"), (self.server, self.client, "M 2")):
            sender.send_line(line)
            received = receiver.read_line()
            require(received == line, f"{line!r} on an established session arrived as {received!r}")


def open_sessions(program: VersionedProgram, servers: dict[str, StandInServer]) -> list[Session]:
    """Opens sessions with the servers in rotation, each with its own key."""
    clients = {f"{key:x}": program.open_request(f"{key:x}", deadline_ms=30_000) for key in range(SESSIONS)}
    for client in clients.values():
        answer = client.read_line()
        require(answer.startswith("UP "), f"a session began with {answer!r}")
    ends: dict[str, LineConnection] = {}
    give_up_at = time.monotonic() + TEST_TIMEOUT
    while len(ends) < SESSIONS:  # a server records a connection only after it has answered
        require(time.monotonic() < give_up_at, f"servers saw {len(ends)} of {SESSIONS} sessions")
        for server in servers.values():
            while not server.openings.empty():
                first, line = server.next_opening()
                ends[first.split(" ")[2]] = line
        time.sleep(0.01)
    return [Session(client, ends[key]) for key, client in clients.items()]


def upgrade(trees: list[Tree]) -> str:
    """Upgrades from the first tree to the second. Returns a line on what was kept, or raises UpgradeError."""
    servers = {name: StandInServer(f"UP {name}") for name in SERVERS}
    known = server_list(servers)
    with tempfile.TemporaryDirectory() as name, running_proxy(trees, Path(name), known) as old:
        folder = Path(name)
        old.wait_until_ready()
        require(
            old.send_command(f"/-/servers/{DISABLED_SERVER}/disable", "PUT") == 200,
            "the disable command was refused",
        )
        sessions = open_sessions(old, servers)
        for session in sessions:
            session.check()
        before = old.stored_state(folder)
        new = cast(VersionedProgram, old.upgrade())  # a copy of the program, with the next process
        new.wait_until_ready()
        old.process.send_signal(signal.SIGTERM)
        log = old.remaining_log()
        require(old.process.returncode == 0, f"the first process ended with {old.process.returncode}: {log}")
        handed_off = any(f"{SESSIONS} connections {words}" in log for words in HANDOFF_PHRASES)
        require(handed_off, f"not every session was handed off: {log}")
        for session in sessions:
            session.check()
        after = new.stored_state(folder)
        check_state(before, after)
        check_rotation(new, servers)
        for session in sessions:
            session.check()
        log = new.stop()
        require("upgrade: taken over\n" in log, f"the state was not taken over: {log}")
        require("fault" not in log and "Traceback" not in log, f"the log holds a fault: {log}")
    kept = f"{DISABLED_SERVER} stayed out of rotation, {SLOW_START_SERVER} kept its start time"
    return f"{SESSIONS} sessions kept, {kept}"


def check_state(before: dict[str, Any], after: dict[str, Any]) -> None:
    """Raises UpgradeError unless rotation and start times are the same in both processes."""
    require(list(before["out"]) == [DISABLED_SERVER], f"out of rotation at the first: {before['out']}")
    for key in ("clock", "out", "starts", "started", "list"):
        require(before[key] == after[key], f"{key}: {before[key]} became {after[key]}")
    start = before["servers"][SLOW_START_SERVER]["started"]
    require(
        start == before["starts"][SLOW_START_SERVER][1] > 0, f"no slow start at the first process: {start}"
    )
    kept = after["servers"][SLOW_START_SERVER]["started"]
    require(start == kept, f"{SLOW_START_SERVER}: its start {start} became {kept}")


def check_rotation(program: VersionedProgram, servers: dict[str, StandInServer]) -> None:
    """Raises UpgradeError if new sessions fail, or reach the server that is out of rotation."""
    before = servers[DISABLED_SERVER].opening_count
    for key in range(NEW_SESSIONS):
        answer = program.open_request(f"{key:x}", deadline_ms=30_000).read_line()
        require(answer.startswith("UP "), f"a new session began with {answer!r}")
        require(answer != f"UP {DISABLED_SERVER}", f"{DISABLED_SERVER} got a new session")
    require(servers[DISABLED_SERVER].opening_count == before, f"{DISABLED_SERVER} got a new attempt")


def main() -> int:
    """Runs the upgrade in both directions and prints a line for each."""
    parser = argparse.ArgumentParser(description="upgrade between two versions with real processes")
    parser.add_argument("checkout", type=Path, help="a checkout of the other version")
    parser.add_argument("--python", default=sys.executable, help="the interpreter for the other version")
    arguments = parser.parse_args()
    this_tree = Tree(Path(__file__).resolve().parent.parent, sys.executable)
    other = Tree(arguments.checkout.resolve(), arguments.python)
    failed = False
    for name, trees in (("other to this", [other, this_tree]), ("this to other", [this_tree, other])):
        try:
            for tree in trees:
                tree.require()
            print(f"{name}: {upgrade(trees)}")
        except (UpgradeError, AssertionError, OSError) as error:
            failed = True
            print(f"{name}: LOST: {type(error).__name__}: {error}")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
