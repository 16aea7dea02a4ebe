"""Hands connections off to the successor, and adopts those of the predecessor."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from brambleplank.checks import InvalidConfigurationError
from brambleplank.frontends.line import session_transfer
from brambleplank.frontends.line.client_connections import LineClientConnection
from brambleplank.interfaces import ClientConnection
from brambleplank.net.proxy import Proxy
from brambleplank.platform.channel import Channel
from brambleplank.platform.holdings import Holdings
from brambleplank.platform.upgrade_messages import SessionAdopted, SessionMessage

MAX_UNACKNOWLEDGED = 16  # connections, each with one or two sockets


@dataclass
class HandoffQueue:
    """Connections that wait to be handed off to a successor, or wait for its acknowledgement."""

    waiting: dict[ClientConnection, None] = field(default_factory=dict)
    unacknowledged: deque[list[int]] = field(default_factory=deque)  # descriptors, oldest first


class ConnectionTransfer:
    """This process's end of the transfer, as predecessor and as successor."""

    def __init__(self, proxy: Proxy, holdings: Holdings) -> None:
        self.proxy = proxy
        self.holdings = holdings
        self.handed_off = 0  # number of connections
        self.queues: dict[Channel, HandoffQueue] = {}  # by channel to a successor

    def add(self, channel: Channel) -> None:
        """Enables handoff over a channel if it leads to the successor."""
        if channel.to_successor:
            self.queues[channel] = HandoffQueue()

    def remove(self, channel: Channel) -> None:
        """Forgets a closed channel; connections that were sent over it and not adopted are lost."""
        queue = self.queues.pop(channel, None)
        for descriptors in queue.unacknowledged if queue else ():
            session_transfer.close_descriptors(descriptors)

    def stop(self) -> None:
        """Stops the handoff; this process ends."""
        self.queues = {}

    def hand_off(self, client: ClientConnection) -> None:
        """Queues a client for the successor, if there is one, and sends it as soon as the limit allows."""
        for channel, queue in self.queues.items():
            queue.waiting[client] = None
            self.hand_off_waiting(channel, queue)

    def hand_off_waiting(self, channel: Channel, queue: HandoffQueue) -> None:
        """Sends queued clients while fewer than MAX_UNACKNOWLEDGED await acknowledgement.

        Descriptors in transit count for both processes, and the kernel limits their number.
        """
        while queue.waiting and len(queue.unacknowledged) < MAX_UNACKNOWLEDGED:
            client = next(iter(queue.waiting))
            del queue.waiting[client]
            if isinstance(client, LineClientConnection) and session_transfer.can_detach(client):
                self.send(client, channel, queue)

    def send(self, client: LineClientConnection, channel: Channel, queue: HandoffQueue) -> None:
        """Sends one client; one that cannot be detached stays here, and does not block the queue."""
        try:
            connection, descriptors = session_transfer.detach(client)
        except Exception as error:
            self.proxy.report_exception(error, error.__traceback__)
            return
        queue.unacknowledged.append(descriptors)
        channel.send(SessionMessage(connection.encode(), len(descriptors)), descriptors)
        self.handed_off += 1

    def expects_acknowledgement(self, channel: Channel) -> bool:
        """Returns whether a connection sent over the channel awaits acknowledgement."""
        return channel in self.queues and bool(self.queues[channel].unacknowledged)

    def acknowledged(self, channel: Channel) -> None:
        """Closes the descriptors of the oldest connection sent, now acknowledged, and sends the next one."""
        queue = self.queues[channel]
        session_transfer.close_descriptors(queue.unacknowledged.popleft())
        self.hand_off_waiting(channel, queue)

    def adopt(self, channel: Channel, message: SessionMessage) -> None:
        """Adopts a connection of the predecessor."""
        descriptors = channel.take_descriptors(message.sockets)
        channel.send(SessionAdopted())
        self.holdings.descriptors_adopted(channel, message.sockets)
        try:
            session_transfer.adopt(self.proxy, message.session, descriptors)
        except InvalidConfigurationError as error:
            self.proxy.log(f"upgrade: a connection of the previous process could not be adopted: {error}")
