"""A process beside the one before it: two of one proxy, over a Unix socket in $TMPDIR.

The new one asks (`takeover`); in one iteration of its reactor the old one gives its listening sockets and
its state, and accepts no client from there on. So there is one queue of clients, which is never closed. The
channel stays open while both run: both report what they hold (`holdings`), relay operators' calls
(`operator_relay`), and the old one hands connections off as it leaves (`connection_transfer`). If the
channel ends, the old one accepts clients again. `upgrade_messages` lists the messages.

Every wait is bounded, and a fault of the other process costs no more than what it would have sent.
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
RESERVED_DESCRIPTORS = 4  # the socket here, the channels, one that is being accepted


class OfferedSocket(NamedTuple):
    """A listening socket that the next process may have."""

    address: Address
    descriptor: Callable[[], int]


class Handoff:
    """This process between the one before and the one after it."""

    def __init__(
        self,
        proxy: Proxy,
        discovery: Discovery,
        tmp: str,
        listen: Address,
        accept_clients: Callable[[bool], None],
    ) -> None:
        """`accept_clients` is called with whether this process accepts clients, as that changes."""
        self.proxy = proxy
        self.discovery = discovery
        self.accept_clients = accept_clients
        self.rotation_file = RotationFile(runtime_file_path(tmp, listen, "words"), proxy.log)
        self.operators = OperatorRelay(proxy, self.rotation_file)
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
        """Goes on from the state of the process before; False if there is none."""
        if takeover is not None and takeover.state is not None:
            takeover.state.restore(self.proxy, self.discovery)
            self.log("upgrade: taken over")
            return True
        if takeover is not None:
            self.log(f"upgrade: only sockets taken over: {takeover.state_error}")
        self.rotation_file.read(self.proxy.rotation, self.proxy.clock.now())
        return False

    def offer_socket(self, key: str, address: Address, descriptor: Callable[[], int]) -> None:
        """A listening socket is given to the next process, if it wants one at that address."""
        self.sockets[key] = OfferedSocket(address, descriptor)

    def adopt_channel(self, takeover: TakeoverResult) -> None:
        """From here on this process and the one before report to each other."""
        takeover.channel.setblocking(False)
        descriptor = takeover.channel.fileno()
        reactor.adoptStreamConnection(descriptor, socket.AF_UNIX, ChannelFactory(self, takeover))
        takeover.close()

    def listen_for_successor(self) -> None:
        """Waits for the next process."""
        self.listener.listen()

    # While both run.

    def channel_opened(self, channel: Channel) -> None:
        """The other process is known from here on."""
        self.holdings.add(channel, (*self.proxy.admission.recent_ids, *self.proxy.admission.open_ids))
        self.transfer.add(channel)
        self.channels[channel] = None

    def message_received(self, channel: Channel, message: dict[str, Any]) -> None:
        """A message of the other process. Raises UnfitError."""
        kind = message.get("say")
        is_open = channel in self.channels
        if kind == MessageKind.TAKEOVER_REQUEST and channel.to_successor:
            self.respond_to_takeover(channel, TakeoverRequest.decode(message))
        elif kind == MessageKind.LISTENING and is_open:
            self.log("upgrade: the next process listens")
        elif kind == MessageKind.HOLDINGS and is_open:
            self.holdings.report_received(channel, HoldingsReport.decode(message))
        elif kind == MessageKind.OPERATOR_COMMAND and is_open:
            self.operators.command_received(channel, OperatorCommandMessage.decode(message))
        elif kind == MessageKind.SESSION and is_open:
            self.transfer.adopt(channel, SessionMessage.decode(message))
        elif kind == MessageKind.SESSION_ADOPTED and self.transfer.expects_acknowledgement(channel):
            self.transfer.acknowledged(channel)
        else:
            raise InvalidConfigurationError(f"say: {kind!r:.20} is not for now")

    def respond_to_takeover(self, channel: Channel, request: TakeoverRequest) -> None:
        """Gives listening sockets and the state of this process to the next one. Raises UnfitError."""
        if any(each.to_successor for each in self.channels):
            raise InvalidConfigurationError("another process is taking over")
        given = {
            key: offered.descriptor()
            for key, offered in self.sockets.items()
            if request.addresses.get(key) == address_text(offered.address)
        }
        state = HandoffState.capture(self.proxy, self.discovery).encode()
        channel.send(TakeoverResponse(STATE_FORMAT, list(given), state), given.values())
        self.channel_opened(channel)
        if "listen" in given:
            self.accept_clients(False)
        self.log(f"upgrade: {', '.join(given) or 'no socket'} handed to the next process")

    def report_holdings(self) -> None:
        """Reports what this process holds, now and every `REPORT_INTERVAL`."""
        self.proxy.clock.call_later(REPORT_INTERVAL, self.report_holdings)
        self.holdings.report()

    # What the proxy asks, as a `SiblingChannel`.

    def relay_command(self, command: CommandKind, server_id: str) -> bool:
        """Relays an operator command that was carried out here; returns whether it outlives this process."""
        return self.operators.relay(command, server_id, self.channels)

    def hand_off(self, client: ClientConnection) -> None:
        """Hands a client off to the next process, if there is one."""
        self.transfer.hand_off(client)

    def connections_at_predecessor(self, server: Server) -> int:
        """Returns the connections at a server that the process before still holds."""
        return self.holdings.connections_at_predecessor(server)

    # End.

    def end(self) -> None:
        """This process ends. Without the channels, its end is not taken for that of the others."""
        if self.transfer.handed_off:
            self.log(f"upgrade: {self.transfer.handed_off} connections handed off")
        self.channels = {}
        self.holdings.stop()
        self.transfer.stop()

    def channel_closed(self, channel: Channel) -> None:
        """The other process has ended, or closed the channel."""
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
