"""What a proxy knows of the other processes of the same proxy, while one takes over from another."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from brambleplank.interfaces import ClientConnection
from brambleplank.records import Server


class CommandKind(StrEnum):
    """A command that binds every process of a proxy; the value is what they write to each other."""

    TAKE_OUT = "out"
    RETURN = "back"
    DRAIN = "drain"
    RESUME = "resume"


class SiblingChannel(Protocol):
    """Carries messages between two processes of one proxy."""

    def relay_command(self, command: CommandKind, server_id: str) -> bool:
        """Relays an operator command that was carried out here; returns whether it outlives this process."""

    def hand_off(self, client: ClientConnection) -> None:
        """Hands a client off to the successor, if there is one and the client can be handed off."""

    def connections_at_predecessor(self, server: Server) -> int:
        """Returns the connections at a server that the predecessor still holds."""


class SiblingProcesses:
    """The predecessor and the successor of this process; without a channel there is neither."""

    def __init__(self) -> None:
        self.has_successor = False
        self._channel: SiblingChannel | None = None
        self._unreported_attempts: dict[str, int] = {}

    def set_channel(self, channel: SiblingChannel) -> None:
        """Registers the channel to the other processes."""
        self._channel = channel

    def set_has_successor(self, has_successor: bool) -> None:
        """Records whether another process accepts the clients of this proxy, and speaks for it."""
        self.has_successor = has_successor

    def attempt_started(self, server: Server) -> None:
        """Counts an attempt that the successor does not know of."""
        if self.has_successor:
            self._unreported_attempts[server.id] = self._unreported_attempts.get(server.id, 0) + 1

    def take_unreported_attempts(self) -> dict[str, int]:
        """Returns the attempts since the last call, by server."""
        attempts = self._unreported_attempts
        self._unreported_attempts = {}
        return attempts

    def hand_off(self, client: ClientConnection) -> None:
        """Hands a client off to the successor, if it can be handed off."""
        if self._channel is not None:
            self._channel.hand_off(client)

    def connections_at_predecessor(self, server: Server) -> int:
        """Returns the connections at a server that the predecessor still holds."""
        return self._channel.connections_at_predecessor(server) if self._channel is not None else 0

    def broadcast_command(self, command: CommandKind, server_id: str = "") -> bool:
        """Relays an operator command to the other processes; returns whether it outlives this process."""
        return self._channel.relay_command(command, server_id) if self._channel is not None else True
