"""A plain TCP relay in Twisted, the baseline without routing decisions. Usage: `relay.py SERVER_PORT`."""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet import protocol, reactor


class RelaySide(protocol.Protocol):
    """One of two paired connections; forwards what it receives to its peer."""

    transport: Any
    peer: Any = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forwards received bytes to the peer."""
        self.peer.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002, N802  the base class's argument
        """Closes the peer."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.loseConnection()


class ClientSide(RelaySide):
    """The connection of a client; it is not read until the connection to the server is up."""

    def connectionMade(self) -> None:  # noqa: N802
        """Connects to the server."""
        self.transport.setTcpNoDelay(True)
        self.transport.pauseProducing()
        creator = protocol.ClientCreator(reactor, RelaySide)
        creator.connectTCP("127.0.0.1", SERVER_PORT).addCallback(self.server_connected)

    def server_connected(self, server_side: Any) -> None:
        """Pairs both connections, with backpressure either way, and starts reading from the client."""
        server_side.transport.setTcpNoDelay(True)
        self.peer = server_side
        server_side.peer = self
        self.transport.registerProducer(server_side.transport, True)
        server_side.transport.registerProducer(self.transport, True)
        self.transport.resumeProducing()


if __name__ == "__main__":
    SERVER_PORT = int(sys.argv[1])
    factory = protocol.Factory.forProtocol(ClientSide)
    factory.noisy = False
    typed_reactor: Any = reactor
    port = typed_reactor.listenTCP(0, factory, backlog=1024, interface="127.0.0.1")
    print(port.getHost().port, flush=True)
    typed_reactor.run()
