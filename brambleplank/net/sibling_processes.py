"""The other processes of the same proxy, while one process takes over from another."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from brambleplank.interfaces import ClientConnection
from brambleplank.records import Server


class CommandKind(StrEnum):
    """An operator command for all processes of a proxy; the values are sent between processes."""

    TAKE_OUT = "out"
    RETURN = "back"
    DRAIN = "drain"
    RESUME = "resume"


class SiblingChannel(Protocol):
    """Carries messages between two processes of one proxy."""

    def relay_command(self, command: CommandKind, server_id: str) -> bool:
        """Relays an operator command executed here; returns whether it survives a restart of this process."""

    def hand_off(self, client: ClientConnection) -> None:
        """Hands a client off to the successor, if there is one and the client's state allows it."""

    def awaits_acknowledgement(self) -> bool:
        """Returns whether a connection that was handed off has not been acknowledged yet."""

    def connections_at_predecessor(self, server: Server) -> int:
        """Returns the number of connections to a server that are still at the predecessor."""


class SiblingProcesses:
    """The predecessor and the successor of this process; without a channel, there are none."""

    def __init__(self) -> None:
        self.has_successor = False
        self._channel: SiblingChannel | None = None
        self._unreported_attempts: dict[str, int] = {}

    def set_channel(self, channel: SiblingChannel) -> None:
        """Sets the channel to the other processes."""
        self._channel = channel

    def set_has_successor(self, has_successor: bool) -> None:
        """Records whether a successor accepts this proxy's clients and sends its reports."""
        self.has_successor = has_successor

    def attempt_started(self, server: Server) -> None:
        """Counts an attempt that has not been reported to the successor yet."""
        if self.has_successor:
            self._unreported_attempts[server.id] = self._unreported_attempts.get(server.id, 0) + 1

    def take_unreported_attempts(self) -> dict[str, int]:
        """Returns and clears the number of unreported attempts, by server id."""
        attempts = self._unreported_attempts
        self._unreported_attempts = {}
        return attempts

    def hand_off(self, client: ClientConnection) -> None:
        """Hands a client off to the successor, if its state allows it."""
        if self._channel is not None:
            self._channel.hand_off(client)

    def awaits_acknowledgement(self) -> bool:
        """Returns whether the successor has not acknowledged a connection that was handed off to it."""
        return self._channel is not None and self._channel.awaits_acknowledgement()

    def connections_at_predecessor(self, server: Server) -> int:
        """Returns the number of connections to a server that are still at the predecessor."""
        return self._channel.connections_at_predecessor(server) if self._channel is not None else 0

    def broadcast_command(self, command: CommandKind, server_id: str = "") -> bool:
        """Sends an operator command to the other processes; returns whether it survives a restart."""
        return self._channel.relay_command(command, server_id) if self._channel is not None else True
