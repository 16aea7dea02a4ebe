"""The channel between two processes of one proxy: JSON lines and descriptors over a Unix socket."""

from __future__ import annotations

import os
from collections.abc import Iterable
from contextlib import suppress
from typing import Any, Protocol

from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from brambleplank.checks import InvalidConfigurationError
from brambleplank.frontends.line import session_transfer
from brambleplank.platform import upgrade_messages
from brambleplank.platform.takeover import TakeoverResult
from brambleplank.platform.upgrade_messages import Listening, Message, SessionAdopted


class ChannelOwner(Protocol):
    """Callbacks of a channel."""

    def channel_opened(self, channel: Channel) -> None:
        """Called when the predecessor has answered this process, before any message arrives."""

    def message_received(self, channel: Channel, message: dict[str, Any]) -> None:
        """Called for each message of the other process.

        Raises InvalidConfigurationError if it is invalid or unexpected.
        """

    def channel_closed(self, channel: Channel) -> None:
        """Called when the other process has ended or has closed the channel."""

    def log(self, text: str) -> None:
        """Writes a line for operators."""


@implementer(IFileDescriptorReceiver)
class Channel(LineReceiver):
    """One end of a channel; `takeover` is the result of the request, or None if the peer is the successor."""

    delimiter = b"\n"
    MAX_LENGTH = upgrade_messages.MAX_LINE
    transport: Any

    def __init__(self, owner: ChannelOwner, takeover: TakeoverResult | None) -> None:
        self.owner = owner
        self.takeover = takeover
        self.to_successor = takeover is None
        self.received_descriptors = (
            takeover.unassigned_descriptors if takeover else []
        )  # their message has not arrived yet

    def connectionMade(self) -> None:  # noqa: N802
        """Reports to the predecessor that this process listens; handles what followed its answer."""
        if self.takeover:
            self.send(Listening())
            self.owner.channel_opened(self)
            self.dataReceived(self.takeover.bytes_after_answer)  # type: ignore[no-untyped-call]

    def send(self, message: Message, descriptors: Iterable[int] = ()) -> None:
        """Sends descriptors, then the message that they belong to.

        An acknowledgement is written at once, as far as possible: the predecessor must not take a connection
        back that this process reads from. An error is handled by the event loop's next write.
        """
        for descriptor in descriptors:
            self.transport.sendFileDescriptor(descriptor)
        self.transport.write(upgrade_messages.encode(message.encode()))
        if isinstance(message, SessionAdopted) and self.transport.connected:
            with suppress(OSError):
                self.transport.doWrite()

    def take_descriptors(self, count: int) -> list[int]:
        """Returns the oldest `count` descriptors, or fewer if fewer have arrived; the caller owns them."""
        taken = self.received_descriptors[:count]
        self.received_descriptors = self.received_descriptors[count:]
        return taken

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802
        """Stores a descriptor until its message arrives."""
        os.set_inheritable(descriptor, False)
        self.received_descriptors.append(descriptor)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Decodes a line and passes the message to the owner; closes the channel if it is invalid."""
        try:
            self.owner.message_received(self, upgrade_messages.decode(line))
        except (ValueError, RecursionError, InvalidConfigurationError) as error:
            self.owner.log(
                f"upgrade: channel closed: invalid message {line[:60]!r} from the other process: {error}"
            )
            self.transport.loseConnection()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802, ARG002
        """Closes the channel: the other process sent a line longer than MAX_LENGTH."""
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, ARG002
        """Closes descriptors whose message has not arrived."""
        session_transfer.close_descriptors(self.received_descriptors)
        self.owner.channel_closed(self)


class ChannelFactory(Factory):
    """Creates channels."""

    noisy = False

    def __init__(self, owner: ChannelOwner, takeover: TakeoverResult | None = None) -> None:
        self.owner = owner
        self.takeover = takeover

    def buildProtocol(self, addr: object) -> Channel:  # noqa: N802, ARG002
        """Creates the channel of one connection."""
        return Channel(self.owner, self.takeover)
