"""Upstream connections of the line protocol: one per attempt, and the outcome of each attempt."""

from __future__ import annotations

import re
from typing import Any, Protocol

from twisted.internet.base import DelayedCall
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from brambleplank.frontends.line.session_lines import CRLF, last_line
from brambleplank.frontends.line.session_receiver import SessionReceiver
from brambleplank.interfaces import ClientConnection, EndpointAddress
from brambleplank.model import AttemptOutcome
from brambleplank.net.buffers import UpstreamConnector
from brambleplank.net.local_faults import LocalConnectError
from brambleplank.net.loop import reactor
from brambleplank.net.message_times import SILENCE_THRESHOLD
from brambleplank.net.proxy import Proxy

DEADLINE_FIELD = re.compile(rb"(?<=[ ,])d=\d+")
LOAD = b"LOAD "
UP_LINE = re.compile(rb"UP [!-~]+")
RESUME_TIMEOUT = 40.0  # seconds to reach the server of a resumed session; after that the session is lost
END_CODES = {
    AttemptOutcome.OK: "bye",
    AttemptOutcome.CANCELLED: "drained",
    AttemptOutcome.ERROR: "error",
}
FINAL_OUTCOMES = {b"BYE": AttemptOutcome.OK, b"MOVE": AttemptOutcome.CANCELLED, b"ERR": AttemptOutcome.ERROR}


def has_reply(whole_lines: bytes) -> bool:
    """Returns whether any line answers the client; LOAD tells the connection's load and does not."""
    if LOAD not in whole_lines:
        return True
    return not all(line.startswith(LOAD) for line in whole_lines[: -len(CRLF)].split(CRLF))


class AttemptingClient(ClientConnection, Protocol):
    """What an upstream connection uses of its client, in addition to what the proxy uses."""

    opening_line: bytes
    transport: Any

    def sendLine(self, line: bytes) -> object:  # noqa: N802
        """Sends a line to the client."""

    def upstream_established(self, upstream: LineUpstreamConnection, line: bytes) -> None:
        """Handles the UP line of the server."""

    def has_ended(self) -> bool:
        """Returns whether the client has its final answer or has disconnected."""


class LineUpstreamConnection(SessionReceiver, ClientFactory):
    """One attempt: a connection to a server, its OPEN line and answer, then the established session."""

    noisy = False
    transport: Any = None

    def __init__(
        self, proxy: Proxy, client: AttemptingClient, attempt_number: int, endpoint: EndpointAddress
    ) -> None:
        self.proxy = proxy
        self.client = client
        self.attempt_number = attempt_number
        self.endpoint = endpoint
        self.started_at = proxy.clock.now()
        self.opening_line = client.opening_line
        self.established = False
        self.ended = False
        self.unanswered_since = 0.0  # when the oldest unanswered line was forwarded; 0: none
        self.last_line = b""
        self.timer: DelayedCall | None = None
        self.connector: UpstreamConnector | None = None

    def connect(self, wait: float) -> None:
        """Connects to the server; the attempt times out after `wait` seconds (0: `RESUME_TIMEOUT`)."""
        proxy = self.proxy
        if wait:
            self.opening_line = DEADLINE_FIELD.sub(
                b"d=%d" % max(1, round(wait * 1000)), self.opening_line, count=1
            )
        if self.client.has_ended():
            # The client is gone, so nothing is sent to a server; reading the client's end ends this attempt.
            self.timer = proxy.clock.call_later(wait or RESUME_TIMEOUT, self.timed_out)
            return
        if not proxy.may_connect(self):
            self.timer = proxy.clock.call_later(0, self.end, AttemptOutcome.ABANDONED)
            return
        if self.endpoint.address is None:
            self.timer = proxy.clock.call_later(0, self.end, AttemptOutcome.UNREACHABLE)
            return
        host, port = self.endpoint.address
        self.connector = UpstreamConnector(host, port, self, proxy.settings.connect_timeout, None, reactor)
        self.timer = proxy.clock.call_later(wait or RESUME_TIMEOUT, self.timed_out)
        proxy.admission.descriptors_changed(1)
        self.connector.connect()

    def timed_out(self) -> None:
        """Defers the timeout until pending reads are done: the answer may have arrived during a stall."""
        self.timer = self.proxy.clock.call_later(0, self.end_timed_out)

    def end_timed_out(self) -> None:
        """Ends the attempt; before the whole OPEN was written, the server counts as unreachable."""
        self.end(AttemptOutcome.TIMEOUT if self.opening_written() else AttemptOutcome.UNREACHABLE)

    def opening_written(self) -> bool:
        """Returns whether all of OPEN was written to the socket; from then on the request may have run."""
        return self.transport is not None and self.transport.written >= len(self.opening_line) + len(CRLF)

    def buildProtocol(self, addr: object) -> LineUpstreamConnection:  # noqa: ARG002, N802
        """Returns this object, which is also the protocol of its only connection."""
        return self

    def connectionMade(self) -> None:  # noqa: N802
        """Writes OPEN, if the client still waits and the proxy still allows the attempt."""
        self.transport.setTcpNoDelay(True)
        if self.established:  # handed off by the previous process of this proxy
            self.proxy.admission.descriptors_changed(1)
        elif self.ended or self.client.has_ended():
            self.transport.abortConnection()
        elif not self.proxy.may_send_opening(self):
            self.end(AttemptOutcome.ABANDONED)
        else:
            self.sendLine(self.opening_line)
            # Flush now: by the reactor's next iteration the conditions checked above may no longer hold.
            self.transport.flush()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: ARG002, N802
        """Handles a failure to connect, which is either the server's or this machine's."""
        self.proxy.admission.descriptors_changed(-1)
        if isinstance(reason.value, LocalConnectError):
            self.proxy.local_faults.record(reason.value.call, reason.value.error_number)
            self.end(AttemptOutcome.LOCAL_FAULT)
        else:
            self.end(AttemptOutcome.UNREACHABLE)

    def forward(self, lines: bytes) -> None:
        """Forwards whole lines of the client, including their CRLF, to the server."""
        self.unanswered_since = self.unanswered_since or self.proxy.clock.now()
        self.transport.write(lines)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forwards the whole lines of an established session in one piece, however short they are."""
        if self.ended or self.transport.disconnecting:
            return
        lines = self.take_whole_lines(data)
        if lines.whole_lines:
            # How the session ended is decided by the last line before the close.
            self.last_line = last_line(lines.whole_lines)
            if has_reply(lines.whole_lines):
                self.unanswered_since = 0.0
            self.client.transport.write(lines.whole_lines)
        if lines.is_overlong:
            self.lineLengthExceeded(lines.rest)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handles the answer to OPEN."""
        if self.ended:
            return
        if UP_LINE.fullmatch(line):
            self.up_received(line)
        else:
            # Any other answer leaves open whether the request has run, so it counts as an error.
            self.end(AttemptOutcome.FULL if line.split(b" ", 1)[0] == b"BUSY" else AttemptOutcome.ERROR)

    def up_received(self, line: bytes) -> None:
        """Establishes the session, unless the client has its final answer already."""
        if self.client.end_code:
            # An attempt that could not be cancelled may succeed after the client was answered.
            self.end(AttemptOutcome.CANCELLED)
            return
        self.establish()
        self.cancel_timer()
        self.client.upstream_established(self, line)
        self.proxy.requests.upstream_established(self)

    def establish(self) -> None:
        """Marks the session as established; what is received from now on is forwarded."""
        self.established = True
        self.setRawMode()

    def end_code(self, outcome: AttemptOutcome) -> str:
        """Returns the reason code of a session that its server ended with this outcome."""
        if outcome is AttemptOutcome.ERROR and self.last_line != b"ERR":
            return "unread"
        return END_CODES.get(outcome, "broke")

    def cancel_timer(self) -> None:
        """Cancels the timer, if one is running."""
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def end(self, outcome: AttemptOutcome, reset: bool = False) -> None:
        """Ends the attempt or session and reports it to the proxy; further calls do nothing."""
        if self.ended:
            return
        self.close(reset)
        self.proxy.call_or_abort(self.client, self.proxy.requests.upstream_ended, self, outcome, reset)

    def close(self, reset: bool = False) -> None:
        """Closes the connection without reporting to the proxy."""
        self.ended = True
        self.cancel_timer()
        if self.transport is not None and not (self.established or self.opening_written()):
            # A graceful close would flush the rest of OPEN and start a session that no client waits for.
            self.transport.abortConnection()
        elif self.transport is not None:
            self.transport.close_after_flush(reset)
        elif self.connector is not None:
            self.connector.disconnect()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        """Reports the outcome of a connection that the server closed or that broke."""
        self.proxy.admission.descriptors_changed(-1)
        if self.ended:
            return
        if not self.established and not self.opening_written() and self.client.has_ended():
            self.end(AttemptOutcome.ABANDONED)  # aborted because the client left; not the server's fault
            return
        clean = reason.check(ConnectionDone) is not None
        if self.established:
            self.client.transport.write(self.clearLineBuffer())  # the incomplete last line
            # A server that closes right after a client's line probably could not parse it. That is the
            # client's fault and no sign of overload.
            unread = (
                self.unanswered_since and self.proxy.clock.now() < self.unanswered_since + SILENCE_THRESHOLD
            )
            outcome = AttemptOutcome.ERROR if unread else AttemptOutcome.RESET
            self.end(FINAL_OUTCOMES.get(self.last_line, outcome), not clean)
        else:
            self.end(AttemptOutcome.RESET if self.opening_written() else AttemptOutcome.UNREACHABLE)
