"""Hands connections off to the successor, and adopts those of the predecessor.

A connection belongs to this process until the successor has acknowledged it, which it does before it reads
from the connection. If it does not, the connection is taken back, as its descriptors are still open here. If
the channel is closed, the successor cannot adopt it any more, and it stays here. Otherwise the successor may
be stopped, and adopt it once it goes on: the connection is ended at once, which ends it in both processes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from brambleplank.checks import InvalidConfigurationError
from brambleplank.decisions.request_invariants import MAX_STALL
from brambleplank.frontends.line import session_transfer
from brambleplank.frontends.line.client_connections import LineClientConnection
from brambleplank.interfaces import ClientConnection
from brambleplank.net.proxy import Proxy
from brambleplank.platform.channel import Channel
from brambleplank.platform.holdings import Holdings
from brambleplank.platform.upgrade_messages import SessionAdopted, SessionMessage

MAX_UNACKNOWLEDGED = 16  # connections, each with one or two sockets
ACKNOWLEDGEMENT_TIMEOUT = 0.7  # seconds; lines of a session may be held back for one second


@dataclass
class HandoffQueue:
    """Connections that wait to be handed off to a successor, or wait for its acknowledgement."""

    waiting: dict[ClientConnection, None] = field(default_factory=dict)
    unacknowledged: deque[session_transfer.DetachedConnection] = field(default_factory=deque)  # oldest first
    taken_back: int = 0  # number of connections whose acknowledgement may still arrive
    is_closed: bool = False  # the successor did not acknowledge in time, and gets no further connections


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
        """Forgets a closed channel; connections that were sent over it and not adopted stay here."""
        queue = self.queues.pop(channel, None)
        if queue is not None:
            self.take_back(queue)

    def stop(self) -> None:
        """Stops the handoff; this process ends."""
        self.queues = {}

    def awaits_acknowledgement(self) -> bool:
        """Returns whether a connection was sent, and has neither been acknowledged nor taken back."""
        return any(queue.unacknowledged for queue in self.queues.values())

    def hand_off(self, client: ClientConnection) -> None:
        """Queues a client for the successor, if there is one, and sends it as soon as the limit allows."""
        for channel, queue in self.queues.items():
            if not queue.is_closed:
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
            detached = session_transfer.detach(client)
        except Exception as error:
            self.proxy.report_exception(error, error.__traceback__)
            return
        queue.unacknowledged.append(detached)
        self.handed_off += 1
        # At the end of the shutdown, the timeout is shorter: the process is killed soon after it.
        remaining = self.proxy.balancer.shutdown_at - self.proxy.clock.now()
        timeout = min(ACKNOWLEDGEMENT_TIMEOUT, max(MAX_STALL, remaining))
        self.proxy.clock.call_after_reads(timeout, self.acknowledgement_due, queue, detached)
        message = SessionMessage(detached.connection.encode(), len(detached.descriptors))
        channel.send(message, detached.descriptors)

    def expects_acknowledgement(self, channel: Channel) -> bool:
        """Returns whether a connection sent over the channel awaits acknowledgement."""
        queue = self.queues.get(channel)
        return queue is not None and bool(queue.unacknowledged or queue.taken_back)

    def acknowledged(self, channel: Channel) -> None:
        """Closes the descriptors of the oldest connection sent, now acknowledged, and sends the next one."""
        queue = self.queues[channel]
        if queue.taken_back:
            queue.taken_back -= 1
            return
        session_transfer.close_descriptors(queue.unacknowledged.popleft().descriptors)
        self.hand_off_waiting(channel, queue)

    def acknowledgement_due(self, queue: HandoffQueue, detached: session_transfer.DetachedConnection) -> None:
        """Takes all connections back, and ends them, if the given one has not been acknowledged in time."""
        if not any(each is detached for each in queue.unacknowledged):
            return
        queue.is_closed = True
        queue.waiting.clear()
        clients = self.take_back(queue)
        self.proxy.log(f"upgrade: the next process does not answer; {len(clients)} connections taken back")
        for client in clients:
            if client.established_upstream is None:
                client.evict()
            else:
                self.proxy.requests.migrate_client(client)

    def take_back(self, queue: HandoffQueue) -> list[LineClientConnection]:
        """Continues all connections here that have not been acknowledged; returns them."""
        unacknowledged = list(queue.unacknowledged)
        queue.unacknowledged.clear()
        queue.taken_back += len(unacknowledged)
        self.handed_off -= len(unacknowledged)
        clients = [
            self.adopt_stored(detached.connection.encode(), detached.descriptors)
            for detached in unacknowledged
        ]
        return [client for client in clients if client is not None]

    def adopt_stored(self, stored: object, descriptors: list[int]) -> LineClientConnection | None:
        """Continues a connection in this process; returns None, and logs why, if that is not possible."""
        try:
            return session_transfer.adopt(self.proxy, stored, descriptors)
        except InvalidConfigurationError as error:
            self.proxy.log(f"upgrade: a connection of the previous process could not be adopted: {error}")
            return None

    def adopt(self, channel: Channel, message: SessionMessage) -> None:
        """Adopts a connection of the predecessor."""
        descriptors = channel.take_descriptors(message.sockets)
        channel.send(SessionAdopted())
        self.holdings.descriptors_adopted(channel, message.sockets)
        self.adopt_stored(message.session, descriptors)
