"""Operator commands of a proxy, and their results."""

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
    """The result of a command: whether its effect is in place, and a line of text for the operator."""

    done: bool
    text: str


class CommandTarget(Protocol):
    """The part of the proxy that commands use."""

    @property
    def serving(self) -> bool:
        """Whether an endpoint list with a ready server has been received."""

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""

    def apply_endpoints(self, endpoints: list[Endpoint], whole: bool) -> None:
        """Applies endpoints to the decisions; `whole`: servers that are not among them are removed."""


class OperatorCommands:
    """Executes operator commands.

    A command applies to every process of the proxy. Commands are idempotent; the log marks repeated ones.
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
        self.draining_since: float | None = None  # by `Clock.now`; None: no operator is draining the proxy
        self._target = target
        self._clock = clock
        self._log = log
        self._balancer = balancer
        self._rotation = rotation
        self._siblings = siblings

    @property
    def draining(self) -> bool:
        """Whether an operator is draining the proxy."""
        return self.draining_since is not None

    def readiness(self) -> CommandResult:
        """Returns whether the proxy is ready to accept clients."""
        if self._target.stopping:
            return CommandResult(False, "leaving")
        if not self._target.serving:
            return CommandResult(False, "no endpoint list with a ready server yet")
        return CommandResult(True, "ready, draining" if self.draining else "ready")

    def take_out_of_rotation(self, server_id: str) -> CommandResult:
        """Takes a server out of rotation and migrates its sessions. Raises UnknownServerError."""
        now = self._clock.now()
        was_out = server_id in self._rotation.out_since
        self._target.apply_endpoints([self._rotation.take_out(now, server_id)], False)
        if not was_out:
            self._balancer.migrate_all_from(now, self._balancer.find_or_add_server(now, server_id))
        self._log.write_line(f"operator: {server_id} out" + (" (it was)" if was_out else ""))
        return self._persist(CommandKind.TAKE_OUT, server_id, f"{server_id} is out")

    def return_to_rotation(self, server_id: str) -> CommandResult:
        """Puts a server back into rotation. Raises UnknownServerError."""
        was_out = server_id in self._rotation.out_since
        self._target.apply_endpoints([self._rotation.put_back(self._clock.now(), server_id)], False)
        self._log.write_line(f"operator: {server_id} back" + ("" if was_out else " (it was not out)"))
        return self._persist(CommandKind.RETURN, server_id, f"{server_id} is in use")

    def drain(self) -> CommandResult:
        """Drains the proxy: migrates all clients; clients that still connect are served and migrated too."""
        now = self._clock.now()
        if not self.draining and not self._target.stopping:
            self._balancer.begin_shutdown(now)
        self._log.write_line("operator: drain" + (" (it was)" if self.draining else ""))
        if not self.draining:
            self.draining_since = now
        self._siblings.broadcast_command(CommandKind.DRAIN)
        return CommandResult(True, "draining")

    def resume(self) -> CommandResult:
        """Ends a drain; sessions that have not been migrated yet stay."""
        if self._target.stopping:
            return CommandResult(False, "leaving")
        self._log.write_line("operator: resume" + ("" if self.draining else " (it was not draining)"))
        if self.draining:
            self.draining_since = None
            self._balancer.cancel_shutdown(self._clock.now())
        self._siblings.broadcast_command(CommandKind.RESUME)
        return CommandResult(True, "taking flows")

    def adopt_drain(self, since: float) -> None:
        """Continues a drain that was started at the predecessor process, at a time by `Clock.now`.

        Its time goes on: the operator was promised that all clients are moved within it.
        """
        self.draining_since = since
        self._balancer.begin_shutdown(since)

    def _persist(self, command: CommandKind, server_id: str, text: str) -> CommandResult:
        if self._siblings.broadcast_command(command, server_id):
            return CommandResult(True, text)
        return CommandResult(
            False, f"{text} on this process, but not saved yet: a restart would lose it; repeat the command"
        )
