"""Runs the real program as a process, as the platform starts it or as a sidecar."""

from __future__ import annotations

import copy
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path
from typing import Any

from brambleplank.sidecar import writer
from brambleplank.sidecar.shapes import Listen, Servers
from tests.ports import unused_address
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import LineConnection, StandInDiscovery
from tests.waiting import TEST_TIMEOUT

PLATFORM_CODE = "from brambleplank.platform.run import main\nsys.exit(main())"
SIDECAR_CODE = "from brambleplank.sidecar.run import main\nsys.exit(main({!r}, {!r}))"
PROGRAM_VARIABLE_PREFIXES = (
    "ROUTER_",
    "BRAMBLEPLANK_",
)  # prefixes of environment variables that the program reads


PROGRAM_NUMBERS = count()  # of the programs that this test process starts
REQUEST_ID_MARK = "9b1f"  # beginning of the ids of requests that tests open through `Program`
REQUEST_ID = re.compile(rf"\b{REQUEST_ID_MARK}[0-9a-f]{{12}}\b")


def next_request_prefix() -> str:
    """Returns the beginning of a program's request ids, which no other program on this machine has."""
    return f"{REQUEST_ID_MARK}{os.getpid():06x}{next(PROGRAM_NUMBERS) % 256:02x}"


def start_process(config: Path | None, code: str = "", log: Any = subprocess.PIPE) -> subprocess.Popen[str]:
    """Starts the program, or the Python `code` instead. Standard error goes to `log`."""
    environment = {
        name: value for name, value in os.environ.items() if not name.startswith(PROGRAM_VARIABLE_PREFIXES)
    }
    if config:
        environment["ROUTER_CONFIG"] = str(config)
        environment["TMPDIR"] = str(config.parent)
    arguments = ["-c", code] if code else ["-m", "brambleplank"]
    return subprocess.Popen([sys.executable, "-B", *arguments], env=environment, stderr=log, text=True)


class Program:
    """The real program, started as the platform starts it, with a stand-in for discovery.

    `patch` is Python code that runs before the program. `successors` are later processes of the same proxy,
    started by `upgrade`.
    """

    def __init__(self, folder: Path, known: dict[str, Any], patch: str = "", **changes: Any) -> None:
        self.discovery = StandInDiscovery()
        self.socket_path = ""
        self.address = unused_address()
        self.config: dict[str, Any] = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.address[1]}",
            "discovery": self.discovery.address,
            "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 256},
            "known": known,
            "settings": PLATFORM_SETTINGS,
            **changes,
        }
        self.config_path = folder / "config.json"
        self.config_path.write_text(json.dumps(self.config))
        self.log_lines: list[str] = []
        self.request_numbers = count(1)
        self.request_prefix = next_request_prefix()
        self.successors: list[Program] = []
        self.launch(folder, patch)

    def launch(self, folder: Path, patch: str) -> None:  # noqa: ARG002  other kinds of program need the folder
        """Starts the process."""
        self.process = start_process(
            self.config_path, f"import sys\n{patch}\n{PLATFORM_CODE}" if patch else ""
        )

    def send_endpoints(self, **hosts: Any) -> None:
        """Sends a complete endpoint list through discovery."""
        if not hasattr(self, "endpoint_watch"):
            self.endpoint_watch = self.discovery.accept_watch()[1]
            self.list_version = 100
        while (
            self.endpoint_watch.is_closed()
        ):  # on a busy machine, the program replaces a watch that was silent for too long
            self.endpoint_watch = self.discovery.accept_watch()[1]
        self.list_version += 1
        text = json.dumps(endpoint_list(self.list_version, True, **hosts))
        StandInDiscovery.send_text(self.endpoint_watch, text)

    def connect(self, line: str = "") -> LineConnection:
        """Connects a client, retrying until the program listens, and sends the line if it is not empty."""
        end = time.monotonic() + TEST_TIMEOUT
        while True:
            try:
                connection = LineConnection(self.open_socket())
                break
            except (ConnectionRefusedError, FileNotFoundError):
                assert self.process.poll() is None and time.monotonic() < end
        if line:
            connection.send_line(line)
        return connection

    def open_socket(self) -> socket.socket:
        """Returns a socket connected to the program."""
        if not self.socket_path:
            return socket.create_connection(self.address)
        client = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            client.connect(self.socket_path)
        except OSError:
            client.close()
            raise
        return client

    def open_request(
        self,
        key: str = "7f",
        deadline_ms: int = 1500,
        traffic_class: str = "feed",
        extra_fields: str = "",
    ) -> LineConnection:
        """Connects a new client, sends its OPEN and returns the connection."""
        request_id = self.request_id(next(self.request_numbers))
        fields = f"c={traffic_class},t=acme,d={deadline_ms}{extra_fields}"
        return self.connect(f"OPEN {request_id} {key} {fields}")

    def request_id(self, number: int) -> str:
        """Returns the id of the request with this number, counted from 1."""
        return f"{self.request_prefix}{number:04x}"

    def upgrade(self, patch: str = "", **changes: Any) -> Program:
        """Starts the next process of the same proxy, which has its own operator address, and returns it."""
        successor = copy.copy(self)
        self.successors.append(successor)
        successor.config = {**self.config, "mgmt": ":".join(map(str, unused_address())), **changes}
        successor.config_path = self.config_path.with_name(f"config{len(self.successors)}.json")
        successor.config_path.write_text(json.dumps(successor.config))
        successor.log_lines = []
        successor.launch(self.config_path.parent, patch)
        return successor

    def reload(self, text: str = "", **changes: Any) -> str:
        """Writes the changed configuration or `text`, sends SIGHUP and returns the log line of the reload."""
        self.config.update(changes)
        self.config_path.write_text(text or json.dumps(self.config))
        self.process.send_signal(signal.SIGHUP)
        return self.next_log_line("reload: ")

    def next_log_line(self, word: str) -> str:
        """Waits for the next log line that contains `word` and returns it. Keeps the lines before it."""
        assert self.process.stderr
        while word not in (self.log_lines or [""])[-1]:
            self.log_lines.append(self.process.stderr.readline())
            assert self.log_lines[-1], self.log_lines
        found = self.log_lines[-1]
        self.log_lines.append("")
        return found

    def remaining_log(self) -> str:
        """Waits for the process to exit and returns its whole log."""
        self.log_lines.append(self.process.communicate(timeout=TEST_TIMEOUT)[1])
        return "".join(self.log_lines)

    def kept_log(self) -> str:
        """Returns the log so far. Does not wait for its end, as child processes may keep the pipe open."""
        log = self.process.stderr
        if log is not None and not log.closed:
            os.set_blocking(log.fileno(), False)
            self.log_lines += iter(log.readline, "")
        return "".join(self.log_lines)

    def stop(self) -> str:
        """Stops the process with SIGTERM and returns its log."""
        self.process.send_signal(signal.SIGTERM)
        return self.remaining_log()


class Sidecar(Program):
    """The program as a sidecar; its files are derived from the platform's configuration."""

    def __init__(
        self, folder: Path, known: dict[str, Any], command: tuple[str, ...] = (), **more: Any
    ) -> None:
        self.command = command
        super().__init__(folder, known, **more)

    def launch(self, folder: Path, patch: str) -> None:
        """Writes the files and starts the process."""
        self.config_path = folder / "maps.toml"
        self.servers_path = folder / "maps.servers.toml"
        file = writer.from_platform(self.config)
        writer.replace_file(self.servers_path, writer.servers_text(file.server))
        file.servers = Servers(self.servers_path.name)
        file.server = []
        file.end = None
        if self.socket_path:
            file.listen = Listen(socket=self.socket_path)
        self.file = file
        self.write_file()
        code = SIDECAR_CODE.format(str(self.config_path), list(self.command))
        self.process = start_process(None, f"import sys\n{patch}\n{code}")

    def write_file(self) -> None:
        """Replaces the sidecar file atomically."""
        writer.replace_file(self.config_path, writer.file_text(self.file))

    def send_endpoints(self, **hosts: Any) -> None:
        """Replaces the server file."""
        file = writer.from_platform({**self.config, "known": endpoint_list(1, True, **hosts)})
        writer.replace_file(self.servers_path, writer.servers_text(file.server))

    def reload(self, text: str = "", **changes: Any) -> str:  # noqa: ARG002  tests change a sidecar's `file` instead
        """Replaces the file if there is a `text`; sends SIGHUP and returns the log line of the reload."""
        if text:
            self.config_path.write_text(text)
        self.process.send_signal(signal.SIGHUP)
        return self.next_log_line("reload: ")


class UnixSidecar(Sidecar):
    """A sidecar on a Unix socket."""

    def launch(self, folder: Path, patch: str) -> None:
        """Sets the socket path and starts the sidecar."""
        self.socket_path = str(folder / "b.sock")
        super().launch(folder, patch)


StartProgram = Callable[..., Program]


def program_factory(folder: Path, kind: type[Program]) -> Iterator[Callable[..., Any]]:
    """Yields a function that starts programs; at the end kills all of them, with their successors."""
    programs: list[Program] = []

    def start(known: dict[str, Any], **changes: Any) -> Program:
        programs.append(kind(folder, known, **changes))
        return programs[-1]

    yield start
    logs = []
    for program in [each for first in programs for each in (first, *first.successors)]:
        program.process.kill()
        program.process.wait()
        logs.append(program.kept_log())
        print(logs[-1], end="")  # pytest shows it with a failure
    prefixes = tuple(program.request_prefix for program in programs)
    foreign = [found for log in logs for found in REQUEST_ID.findall(log) if not found.startswith(prefixes)]
    assert not foreign, f"requests of another test reached this one's programs: {foreign}"
