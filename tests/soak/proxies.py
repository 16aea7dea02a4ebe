"""Runs proxies as real processes: their configuration, signals and fault plans."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from math import inf
from pathlib import Path
from typing import Any

from tests.faults import FaultInjector, ignore_plan_signals
from tests.overrides import override
from tests.soak.discovery import DiscoveryAgent
from tests.soak.records import ProcessRun, Records, Span

# Prefixes each log line with the monotonic time that the records use, as faults step the wall clock.
MONOTONIC_LOG_PATCH = override(
    "brambleplank.net.log:LogWriter.print_line",
    "lambda self, line: print(f'{time.monotonic():.3f} {line}', file=sys.stderr, flush=True) is None",
)
BOOTSTRAP_CODE = "{patch}\nimport runpy\nrunpy.run_module('brambleplank', run_name='__main__')"
# As in `run` of deploy/balancer.toml: SIGHUP would end Python before its handler is installed.
SHELL_COMMAND = "trap '' HUP; exec \"$@\""
ROTATION_DELAY = 0.3  # seconds after SIGTERM in which new clients still connect


class Proxy:
    """One proxy of the tier, with its successive processes, which overlap during upgrades."""

    def __init__(
        self,
        number: int,
        folder: Path,
        address: tuple[str, int],
        agent: DiscoveryAgent,
        records: Records,
        patch: str = "",
    ) -> None:
        """`patch` is code that each process runs before the program."""
        self.number = number
        self.folder = folder
        self.address = address
        self.agent = agent
        self.records = records
        self.patch = patch
        folder.mkdir(parents=True, exist_ok=True)
        self.faults = FaultInjector(folder)
        self.fault_plan: dict[str, Any] = {}
        self.config: dict[str, Any] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.runs: list[ProcessRun] = []
        # Processes replaced by an upgrade, which hand over to a newer one.
        self.predecessors: list[tuple[subprocess.Popen[bytes], ProcessRun]] = []
        self.is_upgrading = False
        self.is_in_rotation = False  # whether new clients are sent to it
        self.leaves_rotation_at = inf

    @property
    def current_run(self) -> ProcessRun:
        """The record of the newest process."""
        return self.runs[-1]

    @property
    def is_running(self) -> bool:
        """Whether the newest process hasn't been observed to exit."""
        return self.current_run.ended_at == inf

    def configure(self, **changes: Any) -> None:
        """Updates the configuration and writes the file atomically."""
        self.config.update(changes)
        path = self.folder / "config.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(path)

    def start(self) -> None:
        """Starts a new process."""
        known = self.agent.full_list()
        self.configure(discovery=self.agent.address, known=known, seed=os.urandom(4).hex())
        self.faults.write(self.fault_plan)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
        environment["ROUTER_CONFIG"] = str(self.folder / "config.json")
        environment["TMPDIR"] = str(self.folder)
        log_path = self.folder / f"log-{len(self.runs)}"
        run = ProcessRun(self.number, time.monotonic(), log_path=str(log_path))
        run.descriptor_limit = self.config["limits"]["sockets"]
        with log_path.open("wb") as log:
            patches = ("import sys, time", MONOTONIC_LOG_PATCH, self.faults.patch, self.patch)
            code = BOOTSTRAP_CODE.format(patch="\n".join(patches))
            command = ["/bin/sh", "-c", SHELL_COMMAND, "sh", sys.executable, "-B", "-c", code]
            self.process = subprocess.Popen(
                command, env=environment, stderr=log, preexec_fn=ignore_plan_signals
            )
        self.runs.append(run)
        self.record_fault_spans(run.started_at)
        self.records.processes.append(run)
        self.is_in_rotation = False
        self.leaves_rotation_at = inf

    def send_signal(self, number: int) -> bool:
        """Signals the newest process; returns False if it isn't running."""
        if self.process is None or self.process.poll() is not None:
            return False
        with suppress(ProcessLookupError):
            self.process.send_signal(number)
        return True

    def request_stop(self) -> None:
        """Requests a graceful shutdown of the newest process by SIGTERM, as the platform does."""
        if self.send_signal(signal.SIGTERM):
            self.current_run.stop_requested_at = time.monotonic()
            self.leaves_rotation_at = time.monotonic() + ROTATION_DELAY

    def kill(self) -> None:
        """Kills the newest process."""
        if self.send_signal(signal.SIGKILL):
            self.current_run.killed_at = time.monotonic()
            self.is_in_rotation = False

    def apply_fault_plan(self, **plan: Any) -> None:
        """Replaces the fault plan and has the newest process read it, by SIGUSR1."""
        self.fault_plan = plan
        self.faults.write(plan)
        run = self.current_run
        if run.stop_requested_at < inf:
            return  # a Python process that exits resets SIGUSR1 to its default action, which would kill it
        self.record_fault_spans(time.monotonic())
        self.send_signal(signal.SIGUSR1)

    def record_fault_spans(self, now: float) -> None:
        """Opens or closes the spans of the newest process that follow from the current fault plan."""
        failing = self.fault_plan.get("fail", {})
        shares = [share for call, (share, _) in failing.items() if call in ("socket", "connect")]
        run = self.current_run
        update_span(run.unreachable_spans, now, is_active=1.0 in shares)
        update_span(run.reset_spans, now, is_active="recv" in failing)

    def upgrade(self) -> None:
        """Starts a new process; the current one runs on until `signal_predecessors`."""
        assert self.process is not None
        self.predecessors.append((self.process, self.current_run))
        was_in_rotation = self.is_in_rotation
        self.start()
        self.is_in_rotation = was_in_rotation  # both processes accept from the same listen queue

    def signal_predecessors(self, number: int) -> None:
        """Sends SIGTERM or SIGKILL to each predecessor that still runs."""
        for process, run in self.predecessors:
            if run.ended_at == inf:
                with suppress(ProcessLookupError):
                    process.send_signal(number)
                if number == signal.SIGTERM:
                    run.stop_requested_at = time.monotonic()
                else:
                    run.killed_at = time.monotonic()

    def observe(self) -> None:
        """Records which processes have exited, and the newest one's peak number of open descriptors."""
        for process, run in self.predecessors:
            record_end(process, run)
        if self.process is None or not self.is_running:
            return
        if record_end(self.process, self.current_run):
            self.is_in_rotation = False
            return
        with suppress(OSError):
            open_descriptors = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
            self.current_run.peak_descriptors = max(self.current_run.peak_descriptors, open_descriptors)


def update_span(spans: list[Span], now: float, is_active: bool) -> None:
    """Opens a span if the condition is active and none is open; closes the open one if it isn't active."""
    is_open = bool(spans) and spans[-1][1] == inf
    if is_active and not is_open:
        spans.append((now, inf))
    elif is_open and not is_active:
        spans[-1] = (spans[-1][0], now)


def record_end(process: subprocess.Popen[bytes], run: ProcessRun) -> bool:
    """Records the exit of a process. Returns True only when the exit is first observed."""
    if run.ended_at < inf:
        return False
    code = process.poll()
    if code is None:
        return False
    run.ended_at = time.monotonic()
    run.exit_code = code
    return True
