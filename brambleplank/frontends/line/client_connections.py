"""Client connections of the line protocol: OPEN and PING, the answer, and the established session."""

from __future__ import annotations

import select
from math import inf
from socket import MSG_DONTWAIT, MSG_PEEK, socket
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from brambleplank.frontends.line import open_line
from brambleplank.frontends.line.session_receiver import SessionReceiver
from brambleplank.frontends.line.upstream_connections import LineUpstreamConnection
from brambleplank.interfaces import EndpointAddress, ResumedSession
from brambleplank.net.admission import IdStatus
from brambleplank.net.buffers import LINGER_TIMEOUT, FlowControl
from brambleplank.net.proxy import Proxy
from brambleplank.records import Request

FIRST_LINE_TIMEOUT = 2.0  # seconds from connecting to a complete OPEN; clients send it as they connect
MAX_TRAILING_BYTES = 64 * 1024  # bytes read and dropped after the client was sent its last line
MAX_PINGS_PER_PASS = 16  # that one client gets answered in one pass of the event loop
UNREAD_PING_DELAY = 0.05  # seconds until it is looked again whether a client has read its answers
SHORT_LINGER = 0.3  # seconds that a client which broke the protocol has to read its answer
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
EVICTED_LINGER = 0.1  # seconds that an evicted client has to read its answer
SILENT_LINGER = 0.02  # the same if it has sent nothing, and others wait for its descriptor
REFUSED_END_CODES = frozenset(
    ("garbled", "early", "copied", "id_limit", "idle", "crowded", "silent", "pinged")
)


class LineClientConnection(SessionReceiver, TimeoutMixin):
    """A client's connection, from accept to close."""

    transport: Any

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.opening_line = b""  # the OPEN line, once accepted
        self.id = ""  # the request id from the OPEN line, once accepted
        self.opened_at = 0.0
        self.answer_deadline = inf  # deadline of the answer to a new request
        self.trailing_bytes = 0  # received after the last line was sent
        self.request: Request | None = None
        self.upstreams: list[LineUpstreamConnection] = []  # one per attempt, oldest first
        self.established_upstream: LineUpstreamConnection | None = None  # one of `upstreams`
        self.resumed_session: ResumedSession | None = None
        self.sent_ping = False
        self.pings_in_pass = 0
        self.has_sent = False  # whether any byte of it was read
        self.wants_notices = False
        self.connection_error = ""  # the error that broke the connection, if any
        self.end_code = ""  # the reason code of the end; "" while open

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection and starts the timeout for the first line."""
        self.transport.setTcpNoDelay(True)
        self.proxy.admission.descriptors_changed(1)
        self.proxy.admission.client_connected(self, self.transport.queue_time)
        self.setTimeout(FIRST_LINE_TIMEOUT)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answers data that can't be the beginning of a line; splits any other data into lines."""
        self.has_sent = True
        if not self.opening_line and not self.sent_ping and not self.end_code and not self._buffer:
            start = bytes(data[:5])
            if not (b"OPEN ".startswith(start) or b"PING\r".startswith(start)):
                self.finish("garbled", b"ERR")
        super().dataReceived(data)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forwards data of an established session; drops data received after the last line was sent.

        Reading stops at a limit, as a client could keep sending forever.
        """
        if self.established_upstream and not self.end_code:
            self.forward_lines(self.established_upstream, data)
            return
        self.trailing_bytes += len(data)
        if self.trailing_bytes > MAX_TRAILING_BYTES:
            self.transport.pauseProducing()

    def forward_lines(self, upstream: LineUpstreamConnection, data: bytes) -> None:
        """Forwards the whole lines of an established session in one piece, however short they are."""
        lines = self.take_whole_lines(data)
        if lines.whole_lines:
            upstream.forward(lines.whole_lines)
        if lines.is_overlong:
            self.lineLengthExceeded(lines.rest)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Dispatches a line according to the state of the connection."""
        if self.end_code:
            return
        if self.opening_line:
            # No line may follow OPEN before UP. If it were forwarded after UP, the server might fail on it,
            # and that would count against the server.
            self.proxy.requests.client_disconnected(self, False)
            self.finish("early", b"ERR")
        elif line == b"PING":
            self.answer_ping()
        else:
            self.open_request(line)

    def answer_ping(self) -> None:
        """Answers PING; reads on in a later pass of the event loop if many came at once.

        A client could send thousands in one piece: answered in one pass, they would hold up all others.
        """
        self.sent_ping = True
        self.sendLine(b"PONG" if self.proxy.accepts_requests() else b"NO")
        self.pings_in_pass += 1
        if self.pings_in_pass >= MAX_PINGS_PER_PASS:
            self.pauseProducing()
            self.proxy.clock.call_later(0, self.continue_reading)

    def continue_reading(self) -> None:
        """Reads on after some answers to PING, once the client has received them."""
        if self.end_code or self.transport.disconnected:
            return
        if self.transport.has_unsent_data():
            self.proxy.clock.call_later(UNREAD_PING_DELAY, self.continue_reading)
            return
        self.pings_in_pass = 0
        self.resumeProducing()

    def open_request(self, line: bytes) -> None:
        """Starts a request from its OPEN line, or answers ERR."""
        opened = open_line.parse_valid(line, self.proxy.settings)
        if not opened:
            self.finish("garbled", b"ERR")
            return
        status = self.proxy.admission.request_opened(self, opened.id)
        if status is IdStatus.DUPLICATE:
            # A server that has that request would answer this one with an error, or run it a second time.
            self.finish("copied", b"ERR")
            return
        if status is IdStatus.TABLE_FULL:
            self.finish("id_limit", b"BUSY")
            return
        self.setTimeout(None)
        self.id = opened.id
        self.opened_at = self.proxy.clock.now()
        self.opening_line = line
        self.proxy.call_or_abort(self, self.submit, opened)

    def submit(self, opened: open_line.OpenLine) -> None:
        """Submits the request or the resumed session to the proxy."""
        opening = opened.opening(self.proxy.settings)
        self.wants_notices = opened.wants_notices
        if opened.server_id is not None:
            self.proxy.requests.session_resumed(self, opening, opened.server_id)
        else:
            self.answer_deadline = self.opened_at + opened.client_timeout
            self.proxy.requests.request_received(self, opening, opened.client_timeout, opened.is_reconnecting)

    # Called by the proxy.

    def has_ended(self) -> bool:
        """Returns whether the client has its final answer or has disconnected; no attempt may begin then.

        Peeks at the socket, as the end of the stream may have arrived and not been read yet: after a stall of
        this process, or when the client closes right after OPEN. The reactor runs timers and events of other
        connections before it reads that, and they would start attempts for a client that is gone.
        """
        if self.end_code or self.transport is None or self.transport.disconnected:
            return True
        try:
            unread = self.transport.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not unread or other_side_has_closed(self.transport.socket)

    def open_upstream(self, endpoint: EndpointAddress, wait: float) -> None:
        """Starts an attempt, which times out after `wait` seconds (0: the timeout of resumed sessions)."""
        upstream = LineUpstreamConnection(self.proxy, self, len(self.upstreams), endpoint)
        self.upstreams.append(upstream)
        upstream.connect(wait)

    def upstream_established(self, upstream: LineUpstreamConnection, line: bytes) -> None:
        """Handles a server's UP: joins both connections and forwards the line to the client."""
        self.join_upstream(upstream)
        self.sendLine(line)
        if self.wants_notices and (notice := self.proxy.requests.notice(self)):
            self.sendLine(notice.encode())

    def join_upstream(self, upstream: LineUpstreamConnection) -> None:
        """Forwards lines in both directions from now on; a side that does not read pauses the other one."""
        self.established_upstream = upstream
        self.setRawMode()
        self.transport.registerProducer(FlowControl(upstream.transport), True)
        upstream.transport.registerProducer(FlowControl(self.transport), True)

    def reject(self, pause: float) -> None:
        """Answers BUSY: a retry is safe, after `pause` seconds if possible (0: no advice)."""
        self.finish("rejected", b"BUSY %d" % round(pause * 1000) if pause else b"BUSY")

    def abort(self, code: str) -> None:
        """Answers FAIL: the request may or may not have run; `code` is the reason code."""
        self.finish(code, b"FAIL")

    def migrate(self) -> None:
        """Sends MOVE, on which an established client reconnects, and ends the connection."""
        self.finish("moved", b"MOVE")

    def close_from_upstream(self, code: str, reset: bool) -> None:
        """Ends the connection the way its server did, with a reset or without."""
        self.finish(code, reset=reset)

    def finish(self, code: str, last_line: bytes = b"", reset: bool = False) -> None:
        """Ends the connection, after a last line if one is given, and logs its end."""
        if self.end_code:
            return
        self.end_code = code
        self.proxy.requests.client_ended(self, self.end_code in REFUSED_END_CODES)
        self.proxy.admission.client_answered(self)
        self.setRawMode()
        self.paused = False  # what is received from now on is dropped
        if reset:
            self.transport.close_after_flush(True)
            return
        if last_line:
            self.sendLine(last_line)
        # Only the writing side is shut down: closing a socket with unread bytes would send a reset, and the
        # client would lose the last line.
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()
        self.setTimeout(SHORT_LINGER if code in REFUSED_END_CODES else LINGER_TIMEOUT)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Ends a connection without a complete first line; aborts one that lingers after its answer."""
        if self.end_code:
            self.transport.abortConnection()
        else:
            # After a stall of this process, the line may have arrived and not been read yet.
            self.proxy.clock.call_after_reads(0.0, self.end_idle)

    def end_idle(self) -> None:
        """Ends the connection, unless its OPEN line was read meanwhile."""
        if not self.opening_line:
            self.finish("idle")

    def has_unread_line(self) -> bool:
        """Returns whether the first data of the client has arrived and was not read yet."""
        return not self.has_sent and bool(self.transport.has_unread_data())

    def evict(self, others_wait: bool = False) -> None:
        """Closes an idle connection to free its descriptor; `others_wait`: connections wait for it."""
        if self.end_code:
            self.transport.loseConnection()
            return
        # Not closed immediately: if its OPEN is just arriving, that would send a reset, and the client would
        # lose its answer.
        self.finish("crowded", b"BUSY")
        self.setTimeout(SILENT_LINGER if others_wait and not self.has_sent else EVICTED_LINGER)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002, N802
        """Ends a connection that sends an overlong line."""
        if self.end_code:
            return
        if self.established_upstream:
            self.proxy.requests.client_disconnected(self, True)
            self.finish("garbled", reset=True)
        elif self.opening_line:
            # A reset would leave the client's request without an answer.
            self.proxy.requests.client_disconnected(self, False)
            self.finish("early", b"ERR")
        else:
            self.finish("garbled", b"ERR")

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        """Reports the end of the connection, unless `finish` has done so."""
        self.setTimeout(None)
        self.proxy.admission.descriptors_changed(-1)
        if not self.end_code:
            if self.established_upstream and not self.established_upstream.ended:
                # The incomplete last line.
                self.established_upstream.transport.write(self.clearLineBuffer())
            clean = reason.check(ConnectionDone) is not None
            self.connection_error = "" if clean else error_text(reason)
            if self.opening_line:
                self.end_code = ("closed" if clean else "reset") if self.established_upstream else "left"
            else:
                self.end_code = "pinged" if self.sent_ping else "silent"
            self.proxy.requests.client_disconnected(self, not clean)
            self.proxy.requests.client_ended(self, self.end_code in REFUSED_END_CODES)
        self.proxy.requests.client_closed(self)


def other_side_has_closed(connection: socket) -> bool:
    """Returns whether the other side has ended its sending, also if bytes before that are still unread."""
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    return any(events & CLOSED_EVENTS for _, events in poller.poll(0))


def error_text(reason: Failure) -> str:
    """Returns the transport's name of the error that broke a connection."""
    arguments = reason.value.args if reason.value else ()
    return str(arguments[0]) if arguments else "reset"


class LineFrontend(Factory):
    """Builds a protocol for each client connection of a proxy."""

    noisy = False

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy

    def buildProtocol(self, addr: object) -> LineClientConnection:  # noqa: ARG002, N802
        """Builds the protocol of a new connection."""
        return LineClientConnection(self.proxy)

    def accept_capacity(self) -> int:
        """Returns how many more connections may be accepted now."""
        return self.proxy.admission.accept_capacity()

    def accept_paused(self) -> None:
        """Handles that no connection can be accepted now, so that others wait in the kernel's queue."""
        self.proxy.admission.evict_idle()

    def accept_failed(self, number: int | None) -> None:
        """Records the errno of a failed accept call."""
        self.proxy.local_faults.record("accept", number)
