"""A bare relay in Twisted: what passing bytes costs with no decision taken. `relay.py SERVER_PORT`."""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet import protocol, reactor


class RelaySide(protocol.Protocol):
    """One side of a pair; it writes what it receives to the other."""

    transport: Any
    peer: Any = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes bytes on."""
        self.peer.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002, N802  the base class's argument
        """Closes the other side."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.loseConnection()


class ClientSide(RelaySide):
    """The side of a client, which connects to the server before it reads."""

    def connectionMade(self) -> None:  # noqa: N802
        """Connects to the server."""
        self.transport.setTcpNoDelay(True)
        self.transport.pauseProducing()
        creator = protocol.ClientCreator(reactor, RelaySide)
        creator.connectTCP("127.0.0.1", SERVER_PORT).addCallback(self.server_connected)

    def server_connected(self, server_side: Any) -> None:
        """Joins both sides and reads from now on."""
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
