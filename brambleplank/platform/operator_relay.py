"""Operators' calls, relayed between two processes of one proxy, so that either may be called."""

from __future__ import annotations

from collections.abc import Iterable

from brambleplank.decisions.rotation import unknown_endpoint
from brambleplank.net.proxy import Proxy
from brambleplank.net.sibling_processes import CommandKind
from brambleplank.platform.channel import Channel
from brambleplank.platform.rotation_file import RotationFile
from brambleplank.platform.upgrade_messages import OperatorCommandMessage

REWRITE_DELAY = 0.5  # seconds until the file is written again, after a write that failed


STORED_COMMANDS = (CommandKind.TAKE_OUT, CommandKind.RETURN)  # in the rotation file


class OperatorRelay:
    """Tells the other process what operators called for here, and does here what they called for there."""

    def __init__(self, proxy: Proxy, file: RotationFile) -> None:
        self.proxy = proxy
        self.file = file
        self.rewriting = False  # whether the file is written again soon
        self.source: Channel | None = None  # whose call is being carried out

    def relay(self, command: CommandKind, server_id: str, channels: Iterable[Channel]) -> bool:
        """A call was carried out here: it is written to the file and sent to the other processes.

        Returns whether it outlives this process.
        """
        persisted = self.write() if command in STORED_COMMANDS else True
        for channel in channels:
            if channel is not self.source:
                channel.send(OperatorCommandMessage(command, server_id))
        return persisted

    def write(self) -> bool:
        """Writes the file now, and again until that succeeds."""
        persisted = self.file.write(self.proxy.rotation)
        if not persisted and not self.rewriting:
            self.rewriting = True
            self.proxy.clock.call_later(REWRITE_DELAY, self.rewrite)
        return persisted

    def rewrite(self) -> None:
        """Writes the file after a write that failed."""
        self.rewriting = False
        self.write()

    def command_received(self, channel: Channel, message: OperatorCommandMessage) -> None:
        """Carries out a call that came to the other process; calls that a later release has are ignored."""
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
        """Carries out a call at this process."""
        proxy = self.proxy
        if command in STORED_COMMANDS and server_id not in proxy.rotation.listed:
            # A server that is listed there and not here yet must be known, or the call would bind only one.
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
