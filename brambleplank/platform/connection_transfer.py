"""Hands established connections off to the next process, and adopts those of the process before."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from brambleplank.checks import InvalidConfigurationError
from brambleplank.frontends.line import session_transfer
from brambleplank.frontends.line.client_connections import LineClientConnection
from brambleplank.interfaces import ClientConnection
from brambleplank.net.proxy import Proxy
from brambleplank.platform import stored_values
from brambleplank.platform.channel import Channel
from brambleplank.platform.holdings import Holdings
from brambleplank.platform.upgrade_messages import SessionAdopted, SessionMessage

MAX_UNACKNOWLEDGED = 16  # connections, each with one or two sockets


@dataclass
class HandoffQueue:
    """Connections on their way to the next process."""

    waiting: dict[ClientConnection, None] = field(default_factory=dict)
    unacknowledged: deque[list[int]] = field(default_factory=deque)  # descriptors of each, oldest first


class ConnectionTransfer:
    """This process's side of the transfer, towards either."""

    def __init__(self, proxy: Proxy, holdings: Holdings) -> None:
        self.proxy = proxy
        self.holdings = holdings
        self.handed_off = 0  # connections
        self.queues: dict[Channel, HandoffQueue] = {}  # of successors

    def add(self, channel: Channel) -> None:
        """Connections can be handed off over a channel from here on, if it leads to the next process."""
        if channel.to_successor:
            self.queues[channel] = HandoffQueue()

    def remove(self, channel: Channel) -> None:
        """The channel is closed: what was sent over it and not adopted is lost."""
        queue = self.queues.pop(channel, None)
        for descriptors in queue.unacknowledged if queue else ():
            session_transfer.close_descriptors(descriptors)

    def stop(self) -> None:
        """Nothing more is handed off: this process ends."""
        self.queues = {}

    def hand_off(self, client: ClientConnection) -> None:
        """Hands a client off to the next process, if there is one, now or as soon as it is possible."""
        for channel, queue in self.queues.items():
            queue.waiting[client] = None
            self.hand_off_waiting(channel, queue)

    def hand_off_waiting(self, channel: Channel, queue: HandoffQueue) -> None:
        """Sends clients that wait, within the bound on what is not acknowledged.

        Descriptors on their way count for both processes, and the kernel limits their number.
        """
        while queue.waiting and len(queue.unacknowledged) < MAX_UNACKNOWLEDGED:
            client = next(iter(queue.waiting))
            del queue.waiting[client]
            if isinstance(client, LineClientConnection) and session_transfer.can_detach(client):
                self.send(client, channel, queue)

    def send(self, client: LineClientConnection, channel: Channel, queue: HandoffQueue) -> None:
        """Sends one client. An error leaves it here, or it would hold back all clients behind it."""
        try:
            connection, descriptors = session_transfer.detach(client)
        except Exception as error:
            self.proxy.report_exception(error, error.__traceback__)
            return
        queue.unacknowledged.append(descriptors)
        channel.send(SessionMessage(connection.encode(), len(descriptors)), descriptors)
        self.handed_off += 1

    def expects_acknowledgement(self, channel: Channel) -> bool:
        """Whether a connection was sent over a channel and not acknowledged yet."""
        return channel in self.queues and bool(self.queues[channel].unacknowledged)

    def acknowledged(self, channel: Channel) -> None:
        """The next process has adopted the oldest connection that was sent."""
        queue = self.queues[channel]
        session_transfer.close_descriptors(queue.unacknowledged.popleft())
        self.hand_off_waiting(channel, queue)

    def adopt(self, channel: Channel, message: SessionMessage) -> None:
        """Goes on with a connection of the process before."""
        descriptors = channel.take_descriptors(message.sockets)
        channel.send(SessionAdopted())
        self.holdings.descriptors_adopted(channel, message.sockets)
        try:
            session = stored_values.decode_object(message.session, "flow")
            session_transfer.adopt(self.proxy, session, descriptors)
        except InvalidConfigurationError as error:
            self.proxy.log(f"upgrade: {error}")
