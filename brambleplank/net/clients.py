"""Clients' connections: the lines OPEN and PING, the final answer, and the way through once established."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from brambleplank.net.buffers import LINGER, Tap

if TYPE_CHECKING:
    from brambleplank.decide import Flow, Server
    from brambleplank.net.proxy import Proxy
    from brambleplank.net.servers import Link

LONGEST_LINE = 4094  # and its CRLF
FIRST_LINE_WITHIN = 10.0
EARLY_LINES = 16  # what a client may send ahead of its answer before it is no longer read
OPEN = re.compile(rb"OPEN ([0-9a-zA-Z_.:-]{1,64}) ([!-~]{1,128}) ([!-~]{1,3500})")


def number(text: str) -> int:
    """A key as a number, the same at every proxy, whatever form it has."""
    try:
        return int(text, 16)
    except ValueError:
        return int.from_bytes(text.encode(), "big")


class Client(LineReceiver, TimeoutMixin):
    """One client's connection, from its first line to its end."""

    MAX_LENGTH = LONGEST_LINE
    transport: Any

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.line = b""  # its OPEN
        self.came = 0.0
        self.flow: Flow | None = None
        self.links: list[Link] = []  # its connects, in the order made
        self.link: Link | None = None  # the one that is established
        self.at: tuple[str, int, int | None, Server] | None = None  # it stood at that server before the start
        self.early: list[bytes] = []
        self.pinged = False
        self.done = ""  # the reason code of the end, once there is one

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.proxy.opened(1)
        self.setTimeout(FIRST_LINE_WITHIN)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if self.done:
            return
        if self.link:
            self.link.pass_on(line)
        elif self.line:
            self.early.append(line)
            if len(self.early) >= EARLY_LINES:
                self.transport.pauseProducing()
        elif line == b"PING":
            self.pinged = True
            self.sendLine(b"PONG" if self.proxy.serving and not self.proxy.stopping else b"NO")
            self.resetTimeout()
        else:
            self.begin(line)

    def begin(self, line: bytes) -> None:
        match = OPEN.fullmatch(line)
        if not match:
            self.finish("garbled", b"SYNTAX")
            return
        fields: dict[str, str] = {}
        for field in match[3].decode().split(","):
            name, _, value = field.partition("=")
            fields[name] = value
        self.setTimeout(None)
        self.came = self.proxy.now()
        self.line = line
        wait = fields.get("d", "0" if "at" in fields else "")
        if not wait.isdigit() or not self.proxy.serves(fields):
            self.finish("garbled", b"SYNTAX")
            return
        key = number(match[2].decode())
        self.proxy.guarded(self, self.proxy.came, self, key, int(wait) / 1000, fields)

    def stand(self, link: Link, line: bytes) -> None:
        """A server has answered UP: all lines go through from here on."""
        self.link = link
        self.transport.registerProducer(Tap(link.transport), True)
        link.transport.registerProducer(Tap(self.transport), True)
        self.sendLine(line)
        for held in self.early:
            link.pass_on(held)
        if len(self.early) >= EARLY_LINES:
            self.transport.resumeProducing()
        self.early = []

    def finish(self, code: str, last: bytes = b"", reset: bool = False) -> None:
        """Ends the connection, by a last line or none, and writes its line to the log."""
        if self.done:
            return
        self.done = code
        self.proxy.ended(self)
        if reset:
            self.transport.leave(reset=True)
            return
        if last:
            self.sendLine(last)
        # Danger: closing with the client's lines unread resets the connection, and the last line is lost.
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()
        self.setTimeout(LINGER)

    def timeoutConnection(self) -> None:  # noqa: N802
        if self.done:
            self.transport.abortConnection()
        else:
            self.finish("idle")

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        if self.done:
            return
        if self.line:
            self.proxy.left(self, True)
            self.finish("garbled", reset=True)
        else:
            self.finish("garbled", b"SYNTAX")

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        self.setTimeout(None)
        self.proxy.opened(-1)
        if not self.done:
            if self.link and not self.link.over:
                self.link.transport.write(self.clearLineBuffer())  # a line that it left unfinished
            clean = reason.check(ConnectionDone) is not None
            if self.line:
                self.done = ("closed" if clean else "reset") if self.link else "left"
            else:
                self.done = "pinged" if self.pinged else "silent"
            self.proxy.left(self, not clean)
            self.proxy.ended(self)
        self.proxy.clients.pop(self, None)


class Clients(Factory):
    noisy = False

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy

    def buildProtocol(self, addr: object) -> Client:  # noqa: N802
        return Client(self.proxy)

