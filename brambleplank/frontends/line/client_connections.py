"""Clients' connections: the lines OPEN and PING, the final answer, and lines both ways once established."""

from __future__ import annotations

from math import inf
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from brambleplank.frontends.line import open_line
from brambleplank.frontends.line.upstream_connections import END, LineUpstreamConnection, whole_lines
from brambleplank.interfaces import EndpointAddress, ResumedSession
from brambleplank.net.buffers import LINGER_TIMEOUT, FlowControl
from brambleplank.net.proxy import Proxy
from brambleplank.records import Request

MAX_LINE_LENGTH = 4094  # bytes, without its CRLF
FIRST_LINE_TIMEOUT = 2.0  # seconds from its connection to its whole OPEN; it sends that as it connects
MAX_READ_PAST_END = 64 * 1024  # bytes that are still read of a client that has had its last line
SHORT_LINGER = 0.3  # seconds to read the answer, for a client that breaks the protocol
EVICTED_LINGER = 0.1  # seconds to read the answer, for a client whose descriptor is needed
TURNED_AWAY = frozenset(("garbled", "early", "copied", "idle", "crowded", "silent", "pinged"))


class LineClientConnection(LineReceiver, TimeoutMixin):
    """One client's connection, from its first line to its end."""

    MAX_LENGTH = MAX_LINE_LENGTH
    transport: Any

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.opening_line = b""  # its OPEN
        self.id = ""  # as OPEN has it, once that was taken
        self.opened_at = 0.0
        self.answer_deadline = inf  # when its answer is, once it has asked
        self.read_past_end = 0  # bytes
        self.request: Request | None = None
        self.upstreams: list[LineUpstreamConnection] = []  # in the order made
        self.established_upstream: LineUpstreamConnection | None = None  # one of them
        self.resumed_session: ResumedSession | None = None
        self.pinged = False
        self.asks_notice = False
        self.connection_error = ""  # by which error its connection broke, if it did
        self.end_code = ""  # the reason code of the end, once there is one

    def connectionMade(self) -> None:  # noqa: N802
        """Waits for the first line."""
        self.transport.setTcpNoDelay(True)
        self.proxy.admission.descriptors_changed(1)
        self.proxy.admission.client_connected(self)
        self.setTimeout(FIRST_LINE_TIMEOUT)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes whole lines on at once; anything else is cut into lines."""
        if not self.opening_line and not self.pinged and not self.end_code and not self._buffer:
            start = bytes(data[:5])
            if not (b"OPEN ".startswith(start) or b"PING\r".startswith(start)):
                self.finish("garbled", b"ERR")
        if self.established_upstream and not self._buffer and not self.end_code and whole_lines(data):
            self.established_upstream.forward(bytes(data))
        else:
            super().dataReceived(data)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Drops what comes after the last line, up to a limit: a client could go on sending for ever."""
        self.read_past_end += len(data)
        if self.read_past_end > MAX_READ_PAST_END:
            self.transport.pauseProducing()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handles a line by the state of the connection."""
        if self.end_code:
            return
        if self.established_upstream:
            self.established_upstream.forward(line + END)
        elif self.opening_line:
            # Passed on once the server answers UP, what no client may send would make the server look broken.
            self.proxy.requests.client_disconnected(self, False)
            self.finish("early", b"ERR")
        elif line == b"PING":
            self.pinged = True
            self.sendLine(b"PONG" if self.proxy.accepts_requests() else b"NO")
        else:
            self.open_request(line)

    def open_request(self, line: bytes) -> None:
        """Opens a request by its OPEN line, or ends the connection."""
        opened = open_line.read(line, self.proxy.settings)
        if not opened:
            self.finish("garbled", b"ERR")
            return
        if not self.proxy.admission.request_opened(self, opened.id):
            # A server that holds the request of that id would answer a copy of it with an error.
            self.finish("copied", b"ERR")
            return
        self.setTimeout(None)
        self.id = opened.id
        self.opened_at = self.proxy.clock.now()
        self.opening_line = line
        self.proxy.call_or_abort(self, self.submit, opened)

    def submit(self, opened: open_line.OpenLine) -> None:
        """Hands the request to the proxy."""
        opening = opened.opening(self.proxy.settings)
        self.asks_notice = opened.asks_notice
        if opened.server_id is not None:
            self.proxy.requests.session_resumed(self, opening, opened.server_id)
        else:
            self.answer_deadline = self.opened_at + opened.wait
            self.proxy.requests.request_received(self, opening, opened.wait, opened.is_reconnecting)

    # What the proxy asks.

    def has_ended(self) -> bool:
        """Returns whether it has its answer or has disconnected; no attempt may begin then.

        Its end may have arrived and not be read yet, after a stall of this process, or as its opening and its
        end come together; timers and servers' answers come first then, and would go on for nobody.
        """
        if self.end_code or self.transport is None or self.transport.disconnected:
            return True
        try:
            return not self.transport.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def open_upstream(self, endpoint: EndpointAddress, wait: float) -> None:
        """Begins an attempt, which is given up after `wait` seconds."""
        upstream = LineUpstreamConnection(self.proxy, self, len(self.upstreams), endpoint)
        self.upstreams.append(upstream)
        upstream.dial(wait)

    def upstream_established(self, upstream: LineUpstreamConnection, line: bytes) -> None:
        """A server has answered UP, by this line."""
        self.join_upstream(upstream)
        self.sendLine(line)
        if self.asks_notice and (notice := self.proxy.requests.notice(self)):
            self.sendLine(notice.encode())

    def join_upstream(self, upstream: LineUpstreamConnection) -> None:
        """Passes all lines through from here on; each side pauses the other where it does not read."""
        self.established_upstream = upstream
        self.transport.registerProducer(FlowControl(upstream.transport), True)
        upstream.transport.registerProducer(FlowControl(self.transport), True)

    def reject(self, pause: float) -> None:
        """Answers that trying again is harmless, best after `pause` seconds (0: no advice)."""
        self.finish("rejected", b"BUSY %d" % round(pause * 1000) if pause else b"BUSY")

    def abort(self, code: str) -> None:
        """Answers that the request may or may not have run."""
        self.finish(code, b"FAIL")

    def migrate(self) -> None:
        """Asks an established client to come again, and ends its connection."""
        self.finish("moved", b"MOVE")

    def close_from_upstream(self, code: str, reset: bool) -> None:
        """Ends the connection as its server has."""
        self.finish(code, reset=reset)

    def finish(self, code: str, last: bytes = b"", reset: bool = False) -> None:
        """Ends the connection, by a last line or none, and writes its line to the log."""
        if self.end_code:
            return
        self.end_code = code
        self.proxy.requests.client_ended(self, self.end_code in TURNED_AWAY)
        self.proxy.admission.client_answered(self)
        self.setRawMode()
        if reset:
            self.transport.close_after_flush(True)
            return
        if last:
            self.sendLine(last)
        # Closed with the client's lines unread, the connection would be reset, and the last line lost.
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()
        self.setTimeout(SHORT_LINGER if code in TURNED_AWAY else LINGER_TIMEOUT)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Ends a connection that has not sent its first line, or was answered and is not closed."""
        if self.end_code:
            self.transport.abortConnection()
        else:
            # After a stall of this process its line may have arrived, and not be read yet.
            self.proxy.clock.call_after_reads(0.0, self.end_idle)

    def end_idle(self) -> None:
        """Ends a connection without a first line."""
        if not self.opening_line:
            self.finish("idle")

    def evict(self) -> None:
        """Ends an idle connection whose descriptor is needed."""
        if self.end_code:
            self.transport.loseConnection()
            return
        # Closed at once over an opening that is just arriving, it would be reset and lose its answer.
        self.finish("crowded", b"BUSY")
        self.setTimeout(EVICTED_LINGER)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002, N802
        """Ends a connection with a line that is too long."""
        if self.end_code:
            return
        if self.established_upstream:
            self.proxy.requests.client_disconnected(self, True)
            self.finish("garbled", reset=True)
        elif self.opening_line:
            # Its request was read: a reset would leave it without an answer.
            self.proxy.requests.client_disconnected(self, False)
            self.finish("early", b"ERR")
        else:
            self.finish("garbled", b"ERR")

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        """The connection is closed: reports its end, unless that was reported with its last line."""
        self.setTimeout(None)
        self.proxy.admission.descriptors_changed(-1)
        if not self.end_code:
            if self.established_upstream and not self.established_upstream.ended:
                self.established_upstream.transport.write(
                    self.clearLineBuffer()
                )  # a line that it left unfinished
            clean = reason.check(ConnectionDone) is not None
            self.connection_error = "" if clean else error_of(reason)
            if self.opening_line:
                self.end_code = ("closed" if clean else "reset") if self.established_upstream else "left"
            else:
                self.end_code = "pinged" if self.pinged else "silent"
            self.proxy.requests.client_disconnected(self, not clean)
            self.proxy.requests.client_ended(self, self.end_code in TURNED_AWAY)
        self.proxy.requests.client_closed(self)


def error_of(reason: Failure) -> str:
    """Returns the error by which a connection broke, as its transport names it."""
    arguments = reason.value.args if reason.value else ()
    return str(arguments[0]) if arguments else "reset"


class LineFrontend(Factory):
    """Makes the clients' connections of a proxy."""

    noisy = False

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy

    def buildProtocol(self, addr: object) -> LineClientConnection:  # noqa: ARG002, N802
        """Returns the protocol of a new connection."""
        return LineClientConnection(self.proxy)

    def accept_capacity(self) -> int:
        """Returns how many connections may be accepted now."""
        return self.proxy.admission.accept_capacity()

    def accept_failed(self, number: int | None) -> None:
        """An accept call failed with this errno."""
        self.proxy.local_faults.record("accept", number)
