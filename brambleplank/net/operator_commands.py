"""What operators can ask of a proxy, and what they are answered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from brambleplank.decisions.balancer import Balancer
from brambleplank.decisions.rotation import Rotation
from brambleplank.model import Endpoint
from brambleplank.net.clock import Clock
from brambleplank.net.log import LogWriter
from brambleplank.net.sibling_processes import CommandKind, SiblingProcesses


@dataclass(frozen=True)
class CommandResult:
    """The answer to an operator: whether it is done, or was so already, and a line of text."""

    done: bool
    text: str


class CommandTarget(Protocol):
    """What commands need of the proxy."""

    @property
    def serving(self) -> bool:
        """Whether a list of servers has come with one that is ready."""

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""

    def apply_endpoints(self, endpoints: list[Endpoint], whole: bool) -> None:
        """Applies endpoints to the decisions; `whole`: those that are not among them are gone."""


class OperatorCommands:
    """Carries out operator commands.

    A command binds every process of the proxy. Calling it twice changes nothing more, and says so in the log.
    """

    def __init__(
        self,
        target: CommandTarget,
        clock: Clock,
        log: LogWriter,
        balancer: Balancer,
        rotation: Rotation,
        siblings: SiblingProcesses,
    ) -> None:
        self.draining = False
        self._target = target
        self._clock = clock
        self._log = log
        self._balancer = balancer
        self._rotation = rotation
        self._siblings = siblings

    def readiness(self) -> CommandResult:
        """Returns whether the proxy is ready for clients."""
        if self._target.stopping:
            return CommandResult(False, "leaving")
        if not self._target.serving:
            return CommandResult(False, "no list of servers yet")
        return CommandResult(True, "ready, draining" if self.draining else "ready")

    def take_out_of_rotation(self, server_id: str) -> CommandResult:
        """Leaves a server out until it is returned, and migrates its sessions. Raises UnknownServerError."""
        now = self._clock.now()
        was_out = server_id in self._rotation.out_since
        self._target.apply_endpoints([self._rotation.take_out(now, server_id)], False)
        if not was_out:
            self._balancer.migrate_all_from(now, self._balancer.find_or_add_server(now, server_id))
        self._log.write_line(f"operator: {server_id} out" + (" (it was)" if was_out else ""))
        return self._persist(CommandKind.TAKE_OUT, server_id, f"{server_id} is out")

    def return_to_rotation(self, server_id: str) -> CommandResult:
        """Uses a server again. Raises UnknownServerError."""
        was_out = server_id in self._rotation.out_since
        self._target.apply_endpoints([self._rotation.put_back(self._clock.now(), server_id)], False)
        self._log.write_line(f"operator: {server_id} back" + ("" if was_out else " (it was not out)"))
        return self._persist(CommandKind.RETURN, server_id, f"{server_id} is in use")

    def drain(self) -> CommandResult:
        """Migrates all clients away; those who still come are served, and migrated as well."""
        if not self.draining and not self._target.stopping:
            self._balancer.begin_shutdown(self._clock.now())
        self._log.write_line("operator: drain" + (" (it was)" if self.draining else ""))
        self.draining = True
        self._siblings.broadcast_command(CommandKind.DRAIN)
        return CommandResult(True, "draining")

    def resume(self) -> CommandResult:
        """Ends a drain."""
        if self._target.stopping:
            return CommandResult(False, "leaving")
        self._log.write_line("operator: resume" + ("" if self.draining else " (it was not draining)"))
        if self.draining:
            self.draining = False
            self._balancer.cancel_shutdown(self._clock.now())
        self._siblings.broadcast_command(CommandKind.RESUME)
        return CommandResult(True, "taking flows")

    def adopt_drain(self, now: float) -> None:
        """Goes on with a drain that was begun at the process before."""
        self.draining = True
        self._balancer.begin_shutdown(now)

    def _persist(self, command: CommandKind, server_id: str, text: str) -> CommandResult:
        if self._siblings.broadcast_command(command, server_id):
            return CommandResult(True, text)
        return CommandResult(
            False, f"{text} here, and not written yet: a restart would forget it; call again"
        )
