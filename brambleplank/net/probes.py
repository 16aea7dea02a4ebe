"""Probes, and what their delays say of how long messages take at a server.

A line to a strained server comes back as fast as ever, so the time of messages cannot be read off lines. A
probe is work for its server: where messages take their target time, it takes about twice its usual time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from brambleplank.host import Condition
from brambleplank.net.buffers import Dialer
from brambleplank.net.loop import reactor

if TYPE_CHECKING:
    from brambleplank.decide import Server
    from brambleplank.net.proxy import Proxy

KEPT = 64  # delays that are remembered of a server
ENOUGH, SOON = 4, 2  # delays before anything is said; where others are known to compare with
UNLIKE = 2  # times what is usual at others that a sound server's usual time may be, as machines differ
JITTER, JITTER_AFAR = 0.1, 0.25  # share of a delay that the way alone adds now and then
LOST_AFTER = 5.0  # seconds; a probe still out by then is not coming back


class Probe(LineReceiver, ClientFactory):
    """A standing connection to one server, for one PING at a time."""

    noisy = False
    transport: Any = None

    def __init__(self, probes: Probes, server: Server, address: tuple[str, int]) -> None:
        self.probes = probes
        self.server = server
        self.asked = probes.proxy.now()  # when the PING that is out was sent; 0: none is
        self.longer: list[float] = []  # by how much those before were, if this one is to confirm them
        self.connector = Dialer(*address, self, probes.proxy.terms.connect_within, None, reactor)
        probes.proxy.opened(1)
        self.connector.connect()

    def buildProtocol(self, addr: object) -> Probe:  # noqa: N802
        return self

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.ask()

    def ask(self) -> None:
        self.asked = self.probes.proxy.now()
        self.sendLine(b"PING")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if line == b"PONG" and self.asked:
            delay, self.asked = self.probes.proxy.now() - self.asked, 0.0
            self.probes.took(self, delay)
        else:
            self.transport.loseConnection()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802
        self.gone()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        self.gone()

    def gone(self) -> None:
        self.probes.proxy.opened(-1)
        self.probes.open.pop(self.server, None)


class Probes:
    """The probes of this proxy."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.open: dict[Server, Probe] = {}

    def send(self, server: Server) -> None:
        address = self.proxy.reach(server).address
        probe = self.open.get(server)
        if probe is None:
            if address:
                self.open[server] = Probe(self, server, address)
        elif not probe.asked:
            probe.ask()
        elif self.proxy.now() > probe.asked + LOST_AFTER:
            # Danger: a dead machine answers nothing and ends nothing; the probe would wait for ever.
            probe.connector.disconnect()

    def keep_to_ready(self) -> None:
        """Danger: a machine that is gone ends nothing, and its probe would hold a descriptor for ever."""
        for server, probe in list(self.open.items()):
            if server.condition is not Condition.READY:
                probe.connector.disconnect()

    def took(self, probe: Probe, delay: float) -> None:
        delays = self.proxy.reach(probe.server).delays
        delays[:] = [*delays[1 - KEPT :], delay]
        others, near = self.others(probe.server), self.near(probe.server)
        if len(delays) < (SOON if near and others else ENOUGH):
            if near and len(delays) >= SOON:
                self.proxy.measured(probe.server, 0.0)  # nothing to say yet, but other proxies can compare
            return
        usual = self.usual(probe.server)
        if near and others:
            # Danger: a server that was slow before this proxy began would look usual while it is slow.
            usual = min(usual, UNLIKE * others)
        longer = (delay - (1 + (JITTER if near else JITTER_AFAR)) * usual) / (self.work() or usual)
        if longer > 1 / 3 and len(probe.longer) < (1 if near else 2):
            # Danger: one late packet looks like strain. A long delay counts once others confirm it.
            probe.longer.append(longer)
            probe.ask()
            return
        share, probe.longer = min([longer, *probe.longer]), []
        self.proxy.measured(probe.server, share * self.proxy.shortest)

    def near(self, server: Server) -> bool:
        return server.zone == self.proxy.terms.zone

    def usual(self, server: Server) -> float:
        """A low delay, not the lowest: a hung server answers probes faster than any sound one."""
        delays = sorted(self.proxy.reach(server).delays)
        return delays[len(delays) // 4] if delays else 0.0

    def usual_near(self, server: Server) -> float:
        """The same as seen from the server's own zone, here or by a proxy there; 0 if not known."""
        return self.usual(server) if self.near(server) else self.proxy.reach(server).usual_told

    def others(self, server: Server) -> float:
        """What is usual at the others; 0 with fewer than two, as either may be the odd one."""
        ready = self.proxy.balancer.ready
        usual = sorted(known for other in ready if other is not server and (known := self.usual_near(other)))
        return usual[(len(usual) - 1) // 2] if len(usual) > 1 else 0.0

    def work(self) -> float:
        """What most probes take, at servers that are not strained."""
        usual = sorted(known for server in self.proxy.balancer.ready if (known := self.usual_near(server)))
        return usual[(len(usual) - 1) // 2] if usual else 0.0
