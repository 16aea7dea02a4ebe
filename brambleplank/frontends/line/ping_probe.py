"""Health probe of the line protocol: PING on a persistent connection, answered with PONG."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from brambleplank.model import Address
from brambleplank.net.admission import ConnectionAdmission
from brambleplank.net.buffers import UpstreamConnector
from brambleplank.net.health_probes import HealthProbes
from brambleplank.net.loop import reactor
from brambleplank.records import Server


class PingProbe(LineReceiver, ClientFactory):
    """A persistent connection to one server, with at most one PING outstanding."""

    noisy = False
    transport: Any = None

    def __init__(
        self, admission: ConnectionAdmission, probes: HealthProbes, server: Server, address: Address
    ) -> None:
        """Connects to the server; `connectionMade` sends the first PING."""
        self.server = server
        self.sent_at = probes.clock.now()  # when the outstanding PING was sent; 0: none
        self.unconfirmed_excesses: list[float] = []
        self._admission = admission
        self._probes = probes
        self._connector = UpstreamConnector(*address, self, probes.settings.connect_timeout, None, reactor)
        admission.descriptors_changed(1)
        self._connector.connect()

    def buildProtocol(self, addr: object) -> PingProbe:  # noqa: ARG002, N802
        """Returns this object, which is also the protocol of its only connection."""
        return self

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the first PING."""
        self.transport.setTcpNoDelay(True)
        self.send()

    def send(self) -> None:
        """Sends a PING and records its time."""
        self.sent_at = self._probes.clock.now()
        self.sendLine(b"PING")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Measures the delay of a PONG, and closes the connection on any other line.

        A server that sends anything else, or an unexpected PONG, does not implement the probe.
        """
        if line == b"PONG" and self.sent_at:
            delay = self._probes.clock.now() - self.sent_at
            self.sent_at = 0.0
            self._probes.probe_answered(self, delay)
        else:
            self.transport.loseConnection()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: ARG002, N802
        """Handles a failure to connect."""
        self._closed()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: ARG002, N802
        """Handles the end of the connection."""
        self._closed()

    def _closed(self) -> None:
        self._admission.descriptors_changed(-1)
        self._probes.probe_closed(self)

    def close(self) -> None:
        """Closes the connection, or stops connecting."""
        self._connector.disconnect()
