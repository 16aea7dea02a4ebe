"""Handoff between an old and a new process of one proxy, over a Unix socket in $TMPDIR.

The new process sends a takeover request (`takeover`). Within one iteration of its reactor, the old process
answers with its listening sockets and its state, and stops accepting clients. Both processes share one accept
queue, which is never closed. The channel stays open while both run: each reports its holdings (`holdings`)
and relays operator commands (`operator_relay`), and the old process hands its connections off when it shuts
down (`connection_transfer`). If the channel closes, the old process accepts clients again. The messages are
in `upgrade_messages`.

Every wait is bounded, and a failure of the other process costs no more than what it would have sent.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, NamedTuple

from brambleplank.checks import InvalidConfigurationError
from brambleplank.discovery.platform.discovery import Discovery
from brambleplank.interfaces import ClientConnection
from brambleplank.model import Address
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy
from brambleplank.net.sibling_processes import CommandKind
from brambleplank.platform.channel import Channel, ChannelFactory
from brambleplank.platform.connection_transfer import ConnectionTransfer
from brambleplank.platform.handoff_state import STATE_FORMAT, HandoffState
from brambleplank.platform.holdings import Holdings
from brambleplank.platform.operator_relay import OperatorRelay
from brambleplank.platform.rotation_file import RotationFile
from brambleplank.platform.socket_path import runtime_file_path
from brambleplank.platform.stored_values import address_text
from brambleplank.platform.successor_listener import SuccessorListener
from brambleplank.platform.takeover import TakeoverResult
from brambleplank.platform.upgrade_messages import (
    HoldingsReport,
    MessageKind,
    OperatorCommandMessage,
    SessionMessage,
    TakeoverRequest,
    TakeoverResponse,
)
from brambleplank.records import Server

REPORT_INTERVAL = 0.1  # seconds
RESERVED_DESCRIPTORS = 4  # the listening socket, two channels, and a connection being accepted


class OfferedSocket(NamedTuple):
    """A listening socket that is offered to the successor."""

    address: Address
    descriptor: Callable[[], int]


class Handoff:
    """The handoff of one process, with its predecessor and with its successor."""

    def __init__(
        self,
        proxy: Proxy,
        discovery: Discovery,
        tmp: str,
        listen: Address,
        accept_clients: Callable[[bool], None],
    ) -> None:
        """`accept_clients(accept)` is called when this process is to start or stop accepting clients."""
        self.proxy = proxy
        self.discovery = discovery
        self.accept_clients = accept_clients
        self.rotation_file = RotationFile(runtime_file_path(tmp, listen, "words"), proxy.log)
        self.operator_relay = OperatorRelay(proxy, self.rotation_file)
        self.holdings = Holdings(proxy)
        self.transfer = ConnectionTransfer(proxy, self.holdings)
        self.listener = SuccessorListener(proxy, runtime_file_path(tmp, listen, "sock"), ChannelFactory(self))
        self.sockets: dict[str, OfferedSocket] = {}  # by key of the configuration
        self.channels: dict[Channel, None] = {}
        proxy.admission.descriptors_changed(RESERVED_DESCRIPTORS)
        proxy.siblings.set_channel(self)
        proxy.clock.call_later(REPORT_INTERVAL, self.report_holdings)

    def log(self, text: str) -> None:
        """Writes a line for operators."""
        self.proxy.log(text)

    # Start.

    def restore(self, takeover: TakeoverResult | None) -> bool:
        """Restores the state of the predecessor. Without one, reads the rotation file and returns False."""
        if takeover is not None and takeover.state is not None:
            takeover.state.restore(self.proxy, self.discovery)
            self.log("upgrade: taken over")
            return True
        if takeover is not None:
            self.log(
                f"upgrade: only sockets taken over: {takeover.state_error}; "
                "reading the rotation from its file"
            )
        self.rotation_file.read(self.proxy.rotation, self.proxy.clock.now())
        return False

    def offer_socket(self, key: str, address: Address, descriptor: Callable[[], int]) -> None:
        """Offers a listening socket to the successor, which gets it if it requests the same address."""
        self.sockets[key] = OfferedSocket(address, descriptor)

    def adopt_channel(self, takeover: TakeoverResult) -> None:
        """Hands the takeover connection to the reactor as the channel to the predecessor."""
        takeover.channel.setblocking(False)
        descriptor = takeover.channel.fileno()
        reactor.adoptStreamConnection(descriptor, socket.AF_UNIX, ChannelFactory(self, takeover))
        takeover.close()

    def listen_for_successor(self) -> None:
        """Listens for the takeover request of a successor."""
        self.listener.listen()

    # While both run.

    def channel_opened(self, channel: Channel) -> None:
        """Starts reports, transfer and relay over a channel."""
        self.holdings.add(channel, (*self.proxy.admission.recent_ids, *self.proxy.admission.open_ids))
        self.transfer.add(channel)
        self.channels[channel] = None

    def message_received(self, channel: Channel, message: dict[str, Any]) -> None:
        """Handles a message of the other process. Raises InvalidConfigurationError."""
        kind = message.get("say")
        is_open = channel in self.channels
        if kind == MessageKind.TAKEOVER_REQUEST and channel.to_successor:
            self.respond_to_takeover(channel, TakeoverRequest.decode(message))
        elif kind == MessageKind.LISTENING and is_open:
            self.log("upgrade: the next process is listening")
        elif kind == MessageKind.HOLDINGS and is_open:
            self.holdings.report_received(channel, HoldingsReport.decode(message))
        elif kind == MessageKind.OPERATOR_COMMAND and is_open:
            self.operator_relay.command_received(channel, OperatorCommandMessage.decode(message))
        elif kind == MessageKind.SESSION and is_open:
            self.transfer.adopt(channel, SessionMessage.decode(message))
        elif kind == MessageKind.SESSION_ADOPTED and self.transfer.expects_acknowledgement(channel):
            self.transfer.acknowledged(channel)
        else:
            raise InvalidConfigurationError(f"say: {kind!r:.20} is not expected now")

    def respond_to_takeover(self, channel: Channel, request: TakeoverRequest) -> None:
        """Sends the requested listening sockets and the state to the successor.

        Raises InvalidConfigurationError if there is a successor already.
        """
        if any(each.to_successor for each in self.channels):
            raise InvalidConfigurationError("say: another process has already taken over")
        granted = {
            key: offered.descriptor()
            for key, offered in self.sockets.items()
            if request.addresses.get(key) == address_text(offered.address)
        }
        state = HandoffState.capture(self.proxy, self.discovery).encode()
        channel.send(TakeoverResponse(STATE_FORMAT, list(granted), state), granted.values())
        self.channel_opened(channel)
        if "listen" in granted:
            self.accept_clients(False)
        self.log(f"upgrade: {', '.join(granted) or 'no socket'} handed to the next process")

    def report_holdings(self) -> None:
        """Reports the holdings of this process, now and every `REPORT_INTERVAL`."""
        self.proxy.clock.call_later(REPORT_INTERVAL, self.report_holdings)
        self.holdings.report()

    # The interface `SiblingChannel`, which the proxy calls.

    def relay_command(self, command: CommandKind, server_id: str) -> bool:
        """Relays an operator command that was carried out here; returns whether it outlives this process."""
        return self.operator_relay.relay(command, server_id, self.channels)

    def hand_off(self, client: ClientConnection) -> None:
        """Hands a client off to the successor, if there is one."""
        self.transfer.hand_off(client)

    def awaits_acknowledgement(self) -> bool:
        """Returns whether a connection that was handed off has not been acknowledged yet."""
        return self.transfer.awaits_acknowledgement()

    def connections_at_predecessor(self, server: Server) -> int:
        """Returns the connections at a server that the predecessor still holds."""
        return self.holdings.connections_at_predecessor(server)

    # End.

    def end(self) -> None:
        """Stops the handoff; this process ends.

        The channels are forgotten first, so that closing them is not handled as the end of the other process.
        """
        if self.transfer.handed_off:
            self.log(f"upgrade: {self.transfer.handed_off} connections handed off")
        self.channels = {}
        self.holdings.stop()
        self.transfer.stop()

    def channel_closed(self, channel: Channel) -> None:
        """Handles the end of the other process, or of its channel."""
        self.transfer.remove(channel)
        if channel not in self.channels:
            return
        del self.channels[channel]
        self.holdings.remove(channel)
        if channel.to_successor:
            self.log("upgrade: the next process is gone; accepting clients again")
            self.accept_clients(True)
            self.listen_for_successor()
        else:
            self.log("upgrade: the process before is gone")
