"""A fleet of real processes of the program, with a relay on every link between two of them."""

from __future__ import annotations

import signal
import subprocess
from contextlib import suppress
from pathlib import Path
from typing import Any

from tests.overrides import overrides
from tests.programs import PLATFORM_CODE, Program, start_process
from tests.relay import DatagramRelay
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import StandInServer
from tests.waiting import wait_until

# The fleet's timers, shortened so that a test takes seconds. Modules that copy them are imported later.
SHORT_TIMERS = overrides(
    {
        "brambleplank.fleet.leases.timing:HEARTBEAT_INTERVAL": 0.25,
        "brambleplank.fleet.leases.timing:LEASE_DURATION": 1.0,
        "brambleplank.fleet.leases.budgets:CONNECTION_EXPIRY": 2.0,
        "brambleplank.fleet.versions.proposer:VOTE_WAIT": 3.0,
        "brambleplank.fleet.retirement.progress:HALT_RECOVERY_TIME": 2.0,
        "brambleplank.fleet.retirement.evidence:RETRY_STORM_FACTOR": 1e9,
    }
)


class MemberProcess(Program):
    """One process of a fleet. It logs to a file, as a pipe that is not read would fill and block it."""

    def launch(self, folder: Path, patch: str) -> None:
        """Starts the process."""
        self.patch = patch
        self.log_path = folder / "log"
        with self.log_path.open("a") as log:
            self.process = start_process(self.config_path, f"import sys\n{patch}\n{PLATFORM_CODE}", log)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.process.kill()
        self.process.wait()

    def restart(self) -> None:
        """Starts the process again, with the same configuration and addresses."""
        self.seen = len(self.log_text())
        self.launch(self.config_path.parent, self.patch)

    def log_text(self) -> str:
        """Returns the log of all starts of the process."""
        return self.log_path.read_text()

    def suspend(self) -> None:
        """Suspends the process until `resume`."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self.process.send_signal(signal.SIGCONT)


class DelayedMemberProcess(MemberProcess):
    """A process that only starts when the test calls `restart`."""

    is_started = False

    def launch(self, folder: Path, patch: str) -> None:
        """Starts the process, except when called by the constructor."""
        self.patch = patch
        self.log_path = folder / "log"
        self.log_path.touch()
        if self.is_started:
            super().launch(folder, patch)

    def restart(self) -> None:
        """Starts the process, the first time or again."""
        self.is_started = True
        super().restart()


class ProcessFleet:
    """A fleet of processes, the relayed links between them, and the servers behind them.

    Servers accept all requests, but `failing_servers` more close each connection after the opening line.
    `extra_processes` are started by a test and killed with the fleet.
    """

    def __init__(
        self,
        folder: Path,
        members: int,
        patch: str = SHORT_TIMERS,
        servers: int = 3,
        started: bool = True,
        failing_servers: int = 0,
        **fleet: Any,
    ) -> None:
        self.relay = DatagramRelay(members)
        self.servers = [StandInServer() for _ in range(servers)]
        self.servers += [StandInServer("") for _ in range(failing_servers)]
        addresses = {f"s{n}": server.address for n, server in enumerate(self.servers)}
        endpoints = endpoint_list(41, True, **addresses)
        limits = {**PLATFORM_SETTINGS["policy_limits"], "peers": True}
        process_class = MemberProcess if started else DelayedMemberProcess
        self.members: list[MemberProcess] = []
        self.extra_processes: list[subprocess.Popen[str]] = []
        for number in range(members):
            member_folder = folder / f"n{number}"
            member_folder.mkdir()
            peers, peers_all = self.relay.peer_addresses(number)
            settings = {
                **PLATFORM_SETTINGS,
                "balancers": members,
                "slot_no": number,
                "policy_limits": limits,
            }
            self.members.append(
                process_class(
                    member_folder,
                    endpoints,
                    patch,
                    settings=settings,
                    peers=peers,
                    peers_all=peers_all,
                    peer_listen=":".join(map(str, self.relay.member_addresses[number])),
                    fleet={"check": True, **fleet},
                )
            )

    def wait_for_leader(self) -> int:
        """Waits until a leader has been elected; returns the number of the one elected last."""

        def terms() -> list[tuple[float, int]]:
            return [
                (float(line.split()[0]), number)
                for number, member in enumerate(self.members)
                for line in member.log_text().splitlines()
                if "elected leader" in line
            ]

        newest: tuple[float, int] = max(wait_until(terms))
        return newest[1]

    def wait_until_connected(self) -> None:
        """Waits until a leader has answered every process."""
        wait_until(
            lambda: all(
                "fleet: partition over (out of the dark)" in member.log_text() for member in self.members
            )
        )

    def close(self) -> None:
        """Ends all processes, and fails the test if one of them logged a fault."""
        for process in self.extra_processes:
            process.kill()
            process.wait()
        for member in self.members:
            with suppress(ProcessLookupError, AttributeError):
                member.resume()
            if hasattr(member, "process"):
                member.kill()
        self.relay.close()
        for server in self.servers:
            server.close()
        for member in self.members:
            log = member.log_text()
            assert "Traceback" not in log and "fault " not in log and "; keep the log" not in log, log


def budget_table(limit: int, window: float = 0.0, **more: Any) -> dict[str, Any]:
    """Returns a budget for the fleet's table: flows per `window` seconds, or connections if that is 0."""
    kind = {"of": "flows", "window": f"{round(window * 1000)}ms"} if window else {"of": "connections"}
    return {"name": "all", "limit": limit, "reserve": 0.2, **kind, **more}
