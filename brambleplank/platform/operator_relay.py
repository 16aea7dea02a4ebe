"""Relays operator commands between two processes of one proxy, so that either process accepts them."""

from __future__ import annotations

from collections.abc import Iterable

from brambleplank.decisions.rotation import unknown_endpoint
from brambleplank.net.proxy import Proxy
from brambleplank.net.sibling_processes import CommandKind
from brambleplank.platform.channel import Channel
from brambleplank.platform.rotation_file import RotationFile
from brambleplank.platform.upgrade_messages import OperatorCommandMessage

REWRITE_DELAY = 0.5  # seconds until a failed write is retried
STORED_COMMANDS = (CommandKind.TAKE_OUT, CommandKind.RETURN)  # kept in the rotation file


class OperatorRelay:
    """Sends operator commands of this process to the others, and carries out theirs."""

    def __init__(self, proxy: Proxy, file: RotationFile) -> None:
        self.proxy = proxy
        self.file = file
        self.rewriting = False  # whether a retry of a failed write is scheduled
        self.source: Channel | None = None  # the channel whose command is being carried out

    def relay(self, command: CommandKind, server_id: str, channels: Iterable[Channel]) -> bool:
        """Stores a command that was carried out here, and sends it to the other processes.

        Returns whether the command persists beyond the end of this process.
        """
        persisted = self.write() if command in STORED_COMMANDS else True
        for channel in channels:
            if channel is not self.source:
                channel.send(OperatorCommandMessage(command, server_id))
        return persisted

    def write(self) -> bool:
        """Writes the rotation file, with retries until it succeeds; returns whether it is written now."""
        persisted = self.file.write(self.proxy.rotation)
        if not persisted and not self.rewriting:
            self.rewriting = True
            self.proxy.clock.call_later(REWRITE_DELAY, self.rewrite)
        return persisted

    def rewrite(self) -> None:
        """Retries a failed write."""
        self.rewriting = False
        self.write()

    def command_received(self, channel: Channel, message: OperatorCommandMessage) -> None:
        """Carries out a command that another process received; ignores commands of later releases."""
        try:
            command = CommandKind(message.command)
        except ValueError:
            return
        self.source = channel
        try:
            self.carry_out(command, message.server_id)
        finally:
            self.source = None

    def carry_out(self, command: CommandKind, server_id: str) -> None:
        """Carries out a command in this process."""
        proxy = self.proxy
        if command in STORED_COMMANDS and server_id not in proxy.rotation.listed:
            # The server may be in the list of the other process only; the command has to apply in both.
            proxy.rotation.apply([unknown_endpoint(server_id)], False)
        commands = proxy.operator_commands
        match command:
            case CommandKind.TAKE_OUT:
                commands.take_out_of_rotation(server_id)
            case CommandKind.RETURN:
                commands.return_to_rotation(server_id)
            case CommandKind.DRAIN:
                commands.drain()
            case CommandKind.RESUME:
                commands.resume()
