"""The proxies: real processes, with their configuration, their signals and the faults loaded ahead."""

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

# Each line of a log begins with the time of the records, whatever the wall clock says.
MONOTONIC_LOG_PATCH = override(
    "brambleplank.net.log:LogWriter.print_line",
    "staticmethod(lambda line: print(f'{time.monotonic():.3f} {line}', file=sys.stderr, flush=True))",
)
BOOTSTRAP_CODE = "{patch}\nimport runpy\nrunpy.run_module('brambleplank', run_name='__main__')"
# As `run` in the deploy file: in Python's first instants SIGHUP would end the process.
SHELL_COMMAND = "trap '' HUP; exec \"$@\""
ROTATION_DELAY = 0.3  # seconds after SIGTERM in which clients still come


class Proxy:
    """One proxy of the tier, over its processes."""

    def __init__(
        self,
        number: int,
        folder: Path,
        address: tuple[str, int],
        agent: DiscoveryAgent,
        records: Records,
        patch: str = "",
    ) -> None:
        """`patch` is code that each process runs ahead of the program."""
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
        # Processes that hand over to a newer one.
        self.predecessors: list[tuple[subprocess.Popen[bytes], ProcessRun]] = []
        self.is_upgrading = False
        self.is_in_rotation = False  # whether new clients are sent to it
        self.leaves_rotation_at = inf

    @property
    def current_run(self) -> ProcessRun:
        """The newest process."""
        return self.runs[-1]

    @property
    def is_running(self) -> bool:
        """Whether the newest process has not been seen to end."""
        return self.current_run.ended_at == inf

    def configure(self, **changes: Any) -> None:
        """Writes its configuration as a whole."""
        self.config.update(changes)
        path = self.folder / "config.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(path)

    def start(self) -> None:
        """Starts a process, which becomes the newest."""
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
        """Whether the newest process runs and so gets the signal."""
        if self.process is None or self.process.poll() is not None:
            return False
        with suppress(ProcessLookupError):
            self.process.send_signal(number)
        return True

    def request_stop(self) -> None:
        """Asks the newest process to stop, as the platform does."""
        if self.send_signal(signal.SIGTERM):
            self.current_run.stop_requested_at = time.monotonic()
            self.leaves_rotation_at = time.monotonic() + ROTATION_DELAY

    def kill(self) -> None:
        """Kills the newest process."""
        if self.send_signal(signal.SIGKILL):
            self.current_run.killed_at = time.monotonic()
            self.is_in_rotation = False

    def apply_fault_plan(self, **plan: Any) -> None:
        """Sets the machine's faults from now on; the process reads them at SIGUSR1."""
        self.fault_plan = plan
        self.faults.write(plan)
        run = self.current_run
        if run.stop_requested_at < inf:
            return  # at its end Python gives SIGUSR1 its default action back: it goes on by the old plan
        self.record_fault_spans(time.monotonic())
        self.send_signal(signal.SIGUSR1)

    def record_fault_spans(self, now: float) -> None:
        """Notes that the newest process is under the fault plan from now on."""
        failing = self.fault_plan.get("fail", {})
        shares = [share for call, (share, _) in failing.items() if call in ("socket", "connect")]
        run = self.current_run
        update_span(run.unreachable_spans, now, lasts=1.0 in shares)
        update_span(run.reset_spans, now, lasts="recv" in failing)

    def upgrade(self) -> None:
        """Starts the next process beside this one, which goes on until `signal_predecessors`."""
        assert self.process is not None
        self.predecessors.append((self.process, self.current_run))
        was_in_rotation = self.is_in_rotation
        self.start()
        self.is_in_rotation = was_in_rotation  # there is one queue of clients, whoever accepts

    def signal_predecessors(self, number: int) -> None:
        """Sends SIGTERM or SIGKILL to each process that hands over."""
        for process, run in self.predecessors:
            if run.ended_at == inf:
                with suppress(ProcessLookupError):
                    process.send_signal(number)
                if number == signal.SIGTERM:
                    run.stop_requested_at = time.monotonic()
                else:
                    run.killed_at = time.monotonic()

    def observe(self) -> None:
        """Notes which processes have ended, and how many descriptors the newest holds."""
        for process, run in self.predecessors:
            record_end(process, run)
        if self.process is None or not self.is_running:
            return
        if record_end(self.process, self.current_run):
            self.is_in_rotation = False
            return
        with suppress(OSError):
            held = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
            self.current_run.peak_descriptors = max(self.current_run.peak_descriptors, held)


def update_span(spans: list[Span], now: float, lasts: bool) -> None:
    """Begins a span, goes on with the one that lasts, or ends it."""
    is_open = bool(spans) and spans[-1][1] == inf
    if lasts and not is_open:
        spans.append((now, inf))
    elif is_open and not lasts:
        spans[-1] = (spans[-1][0], now)


def record_end(process: subprocess.Popen[bytes], run: ProcessRun) -> bool:
    """Notes the end of a process; whether it is seen only now."""
    if run.ended_at < inf:
        return False
    code = process.poll()
    if code is None:
        return False
    run.ended_at = time.monotonic()
    run.exit_code = code
    return True
