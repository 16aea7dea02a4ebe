"""Runs one proxy of the platform: reads its configuration, starts it and returns its exit code."""

from __future__ import annotations

import os
import signal
import socket
import sys
from typing import TYPE_CHECKING, Any

from twisted.internet import error

from brambleplank.checks import InvalidConfigurationError
from brambleplank.discovery.platform.discovery import Discovery
from brambleplank.frontends.line.ping_probe import PingProbe
from brambleplank.model import Address
from brambleplank.net.clock import Clock
from brambleplank.net.descriptors import raise_descriptor_limit
from brambleplank.net.faults import log_unhandled_exceptions
from brambleplank.net.log import LogWriter
from brambleplank.net.loop import reactor
from brambleplank.net.peer_link import PeerLink
from brambleplank.net.proxy import Proxy
from brambleplank.net.signals import EarlyReload, block_exit_signals
from brambleplank.platform import configuration
from brambleplank.platform.configuration import PeerConfiguration, PlatformConfiguration
from brambleplank.platform.listeners import (
    MAX_WAIT,
    listen_for_clients,
    listen_for_operators,
    listen_for_peers,
)
from brambleplank.platform.reload import describe_changes

if TYPE_CHECKING:
    from brambleplank.platform.handoff import Handoff
    from brambleplank.platform.takeover import TakeoverResult

INVALID_CONFIGURATION = 2  # exit code; also if the proxy cannot listen on one of its addresses
NO_ADDRESS: Address = ("", 0)


class Program:
    """A proxy with its configuration, its listening ports and its handoff to other processes."""

    def __init__(self, config: PlatformConfiguration) -> None:
        self.configuration = config
        clock = Clock()
        self.proxy = Proxy(
            clock,
            LogWriter(clock.now),
            config.settings,
            config.seed,
            config.descriptor_limit,
            PingProbe,
        )
        self.proxy.set_drained_callback(self.end)
        self.limit_descriptors(config.descriptor_limit)
        self.handoff: Handoff | None = None  # only with operators and TMPDIR: then upgrades are possible
        self.client_port: Any = None
        self.peer_port: Any = None  # not read while a successor reads its copy
        self.discovery = Discovery(self.proxy, config.discovery)
        self.proxy.set_endpoint_source(self.discovery)
        self.connect_peers(config.peers)
        if config.fleet:
            from brambleplank.platform.fleet_membership import join_fleet

            join_fleet(self.proxy, config.fleet, config.seed)

    def limit_descriptors(self, requested: int) -> None:
        """Limits the proxy to the descriptors that this process may open.

        A proxy that expected more would run out of descriptors and could accept no client.
        """
        allowed = raise_descriptor_limit(requested)
        if allowed < requested:
            reason = f"RLIMIT_NOFILE lets this process open {allowed} at most"
            self.proxy.log(f"limits.sockets: {requested}, but {reason}")
        self.proxy.admission.set_descriptor_limit(allowed)

    def connect_peers(self, peers: PeerConfiguration | None) -> bool:
        """Sets the proxies to exchange messages with; returns whether a new peer link was created."""
        proxy = self.proxy
        broadcast = peers.broadcast if peers else NO_ADDRESS
        numbers = peers.numbers if peers else {}
        if proxy.peer_link:
            proxy.peer_link.set_peers(broadcast, numbers)
            return False
        if peers is None:
            return False
        exchange = proxy.peer_exchange
        peer_link = PeerLink(
            lambda call: proxy.clock.call_later(0, call),
            exchange.server_tags,
            exchange.message_time_received,
            exchange.load_report_received,
            exchange.group_server_received,
            exchange.permit_message_received,
            broadcast,
            numbers,
            lambda number: proxy.local_faults.record("sendto", number),
        )
        exchange.set_link(peer_link)
        return True

    def listen_for_peers(self, adopted: socket.socket | None, max_wait: float = MAX_WAIT) -> Any:
        """Returns the port that receives datagrams of other proxies, or None if no peers are configured."""
        peers = self.configuration.peers
        if peers is None:
            return None
        shared = self.configuration.operator_address is not None
        return listen_for_peers(self.proxy, peers.listen, adopted, shared, max_wait)

    def begin(self) -> None:
        """Starts a proxy that has no address for operator commands."""
        self.listen_for_peers(None)
        self.discovery.apply_initial_list(self.configuration.initial_list)
        self.client_port = listen_for_clients(self.proxy, self.configuration.listen, None, False)

    def begin_with_operators(self, operators: Address) -> None:
        """Starts a proxy with an address for operator commands; takes over from a running process, if any."""
        # Imported here, so that a proxy without an operator address does not load these modules.
        from brambleplank.platform import handoff, socket_path, takeover

        tmp = os.environ.get("TMPDIR")
        listen = self.configuration.listen
        result: TakeoverResult | None = None
        if tmp:
            path = socket_path.runtime_file_path(tmp, listen, "sock")
            result = takeover.request_takeover(path, self.addresses(operators), self.proxy.log)
            self.handoff = handoff.Handoff(self.proxy, self.discovery, tmp, listen, self.accept_clients)

        def adopted_socket(key: str) -> socket.socket | None:
            return result.take_socket(key) if result else None

        self.peer_port = self.listen_for_peers(adopted_socket("peer_listen"))
        if self.handoff is None or not self.handoff.restore(result):
            self.discovery.apply_initial_list(self.configuration.initial_list)
        self.client_port = listen_for_clients(self.proxy, listen, adopted_socket("listen"), True)
        operator_port = listen_for_operators(self.proxy, operators, adopted_socket("mgmt"))
        if self.handoff is not None:
            ports = {"listen": self.client_port, "mgmt": operator_port, "peer_listen": self.peer_port}
            for key, address in self.addresses(operators).items():
                self.handoff.offer_socket(key, address, ports[key].fileno)
            if result:
                self.handoff.adopt_channel(result)
            self.handoff.listen_for_successor()

    def addresses(self, operators: Address) -> dict[str, Address]:
        """Returns the addresses on which this proxy listens, by key of the configuration."""
        found = {"listen": self.configuration.listen, "mgmt": operators}
        if self.configuration.peers:
            found["peer_listen"] = self.configuration.peers.listen
        return found

    def accept_clients(self, accept: bool) -> None:
        """Sets whether this process, or its successor, accepts clients and reads datagrams of proxies."""
        self.proxy.siblings.set_has_successor(not accept)
        self.client_port.set_handed_off(not accept)
        if self.peer_port is None:
            return
        if accept:
            self.peer_port.startReading()
        else:
            self.peer_port.stopReading()

    def end(self) -> None:
        """Ends the process; called when the proxy is drained."""
        if self.handoff is not None:
            self.handoff.end()
        reactor.stop()

    def reload(self) -> None:
        """Reads the configuration file again on SIGHUP and applies the keys that need no restart.

        A truncated or invalid file changes nothing.
        """
        try:
            config = configuration.read(self.configuration)
        except InvalidConfigurationError as invalid:
            self.proxy.log(f"reload: kept as it was: {invalid}")
            return
        previous = self.configuration
        self.proxy.log(f"reload: {describe_changes(previous.file, config.file)}")
        self.configuration = config
        if config.settings != previous.settings:
            self.proxy.update_settings(config.settings)
        if config.descriptor_limit != previous.descriptor_limit:
            self.limit_descriptors(config.descriptor_limit)
        self.reload_peers()
        if config.discovery != previous.discovery:
            self.discovery.change_address(config.discovery)
        if self.proxy.requests.fleet_admission:
            self.proxy.requests.fleet_admission.reload()

    def reload_peers(self) -> None:
        """Applies the peers of the new configuration."""
        if not self.connect_peers(self.configuration.peers):
            return
        try:
            self.listen_for_peers(None, max_wait=0.0)  # waiting would block the reactor, and every client
        except error.CannotListenError as failure:
            self.proxy.peer_exchange.set_link(None)
            self.proxy.log(
                f"reload: peer_listen: {failure.socketError}; "
                "no messages are exchanged with peers until a later reload succeeds"
            )


def main() -> int:
    """Runs the proxy until it is drained; returns the exit code."""
    # Until the reactor handles signals, their default action would drop clients in the accept queue.
    early_reload = EarlyReload()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    try:
        config = configuration.read()
        program = Program(config)
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(program.proxy.stop))
        if config.operator_address:
            program.begin_with_operators(config.operator_address)
        else:
            program.begin()
    except InvalidConfigurationError as invalid:
        print(f"brambleplank: {invalid}", file=sys.stderr)
        return INVALID_CONFIGURATION
    except error.CannotListenError as failure:
        address = (failure.interface, failure.port)
        key = "peer_listen"
        if address == config.listen:
            key = "listen"
        elif address == config.operator_address:
            key = "mgmt"
        print(
            f"brambleplank: {key}: cannot listen on {failure.interface}:{failure.port}: "
            f"{failure.socketError}",
            file=sys.stderr,
        )
        return INVALID_CONFIGURATION
    log_unhandled_exceptions(program.proxy)
    early_reload.install(program.reload)
    reactor.run(installSignalHandlers=False)
    block_exit_signals()
    return 0
