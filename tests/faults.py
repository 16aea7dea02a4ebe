"""Fault injection into a real process: failing system calls, short reads and writes, wall clock steps.

`install` runs in the process under test, first. `FaultInjector` is the test's side: it writes the
fault plan to a file and sends SIGUSR1, upon which the process reads the plan. No other process is affected.
"""

from __future__ import annotations

import errno
import json
import os
import signal
import socket
import threading
import time
from pathlib import Path
from random import Random
from typing import Any

ACKNOWLEDGE_TIMEOUT = 15.0  # seconds for the process to acknowledge a new plan
SHORT_IO_SIZE = 7  # bytes of a short read or write

real_time = time.time
real_socket = socket.socket


class FaultPlan:
    """The faults in force: for each system call, by name, the share of failing calls and their errno."""

    def __init__(self, fields: dict[str, Any]) -> None:
        self.wall_step: float = fields.get("wall", 0.0)  # seconds added to the wall clock
        self.failures: dict[str, tuple[float, str]] = fields.get("fail", {})
        self.short_share: float = fields.get("short", 0.0)  # share of short reads and writes
        self.port: int = fields.get("port", 0)  # only connects to this port fail; 0: to any port
        self.failures_left: float = fields.get("times", float("inf"))
        self.rng = Random(fields.get("seed", 1))

    def check(self, call: str) -> None:
        """Raises OSError if this call has to fail."""
        share, name = self.failures.get(call, (0.0, ""))
        if share and self.failures_left > 0 and self.rng.random() < share:
            self.failures_left -= 1
            number = getattr(errno, name)
            raise OSError(number, os.strerror(number))

    def io_size(self, requested: int) -> int:
        """Returns the number of bytes that this read or write transfers."""
        is_short = self.short_share and self.rng.random() < self.short_share
        return min(requested, SHORT_IO_SIZE) if is_short else requested


plan = FaultPlan({})


class FaultySocket(real_socket):
    """A socket whose calls fail according to the plan."""

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None:
            plan.check("socket")
        super().__init__(family, type, proto, fileno)

    def accept(self) -> Any:
        """Accepts a connection."""
        plan.check("accept")
        return super().accept()

    def connect_ex(self, address: Any, /) -> int:
        """Connects; returns an errno."""
        try:
            if plan.port in (0, address[1]):
                plan.check("connect")
        except OSError as error:
            return error.errno or 0
        return super().connect_ex(address)

    def sendto(self, *arguments: Any) -> int:
        """Sends a datagram."""
        plan.check("sendto")
        return super().sendto(*arguments)

    def send(self, data: Any, *flags: Any) -> int:
        """Sends all of the data, or its first bytes."""
        plan.check("send")
        return super().send(memoryview(data)[: plan.io_size(len(data))], *flags)

    def recv(self, size: int, *flags: Any) -> bytes:
        """Reads; with flags (such as MSG_PEEK) it never fails."""
        if not flags:
            plan.check("recv")
        return super().recv(size, *flags)

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        """Reads into a buffer."""
        plan.check("recv")
        return super().recv_into(buffer, plan.io_size(size or len(buffer)), flags)


def read_plan(path: str) -> None:
    """Applies the plan in a file, and acknowledges its number in a file of this process."""
    global plan
    with Path(path).open(encoding="utf-8") as file:
        fields = json.load(file)
    plan = FaultPlan(fields)
    acknowledged = f"{path}.{os.getpid()}"
    with Path(f"{acknowledged}.new").open("w", encoding="utf-8") as file:
        file.write(str(fields["number"]))
    Path(f"{acknowledged}.new").replace(acknowledged)


def ignore_plan_signals() -> None:
    """Ignores SIGUSR1, which would kill a new process before `install`; to be called before its exec."""
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)


def install(path: str) -> None:
    """Applies the plan in a file to this process, now and at each SIGUSR1."""

    def read(*_: Any) -> None:
        # If the next signal interrupted this, the older plan would replace the newer one.
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])
        read_plan(path)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGUSR1])

    # Before the first read: a signal between that read and this call would leave the old plan in force.
    signal.signal(signal.SIGUSR1, read)
    read()
    time.time = lambda: real_time() + plan.wall_step
    socket.socket = FaultySocket  # type: ignore[misc]


class FaultInjector:
    """The test's side of one process's plan."""

    def __init__(self, folder: Path, **fields: Any) -> None:
        self.path = folder / "faults.json"
        self.number = 0
        self.write(fields)

    @property
    def patch(self) -> str:
        """Returns code that the process runs before the program."""
        return f"from tests import faults\nfaults.install({str(self.path)!r})"

    def write(self, fields: dict[str, Any]) -> None:
        """Writes the next plan, which the process reads at its start or at SIGUSR1."""
        self.number += 1
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps({**fields, "number": self.number}))
        new.replace(self.path)

    def set(self, process: Any, **fields: Any) -> None:
        """Replaces the plan of a process; returns once the process has acknowledged it."""
        self.write(fields)
        process.send_signal(signal.SIGUSR1)
        acknowledged = Path(f"{self.path}.{process.pid}")
        pause = threading.Event()
        deadline = time.monotonic() + ACKNOWLEDGE_TIMEOUT
        while not (acknowledged.exists() and acknowledged.read_text() == str(self.number)):
            assert time.monotonic() < deadline and process.poll() is None, "fault plan not acknowledged"
            pause.wait(0.005)
