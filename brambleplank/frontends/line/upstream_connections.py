"""Connections to servers: one for each connect, with its outcome by the line protocol's table."""

from __future__ import annotations

import re
from typing import Any, Protocol

from twisted.internet.base import DelayedCall
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from brambleplank.interfaces import ClientConnection, EndpointAddress
from brambleplank.model import AttemptOutcome
from brambleplank.net.buffers import UpstreamConnector
from brambleplank.net.local_faults import LocalConnectError
from brambleplank.net.loop import reactor
from brambleplank.net.message_times import SILENCE_THRESHOLD
from brambleplank.net.proxy import Proxy

WAIT_FIELD = re.compile(rb"(?<=[ ,])d=\d+")
UP_LINE = re.compile(rb"UP [!-~]+")
MAX_LINE_SIZE = 4096  # bytes, its end included
RESUME_TIMEOUT = 40.0  # seconds for a session from before the start; later it counts as lost
END = b"\r\n"
END_CODES = {
    AttemptOutcome.OK: "bye",
    AttemptOutcome.CANCELLED: "drained",
    AttemptOutcome.ERROR: "error",
}
FINAL_OUTCOMES = {b"BYE": AttemptOutcome.OK, b"MOVE": AttemptOutcome.CANCELLED, b"ERR": AttemptOutcome.ERROR}


def whole_lines(data: bytes | memoryview) -> bool:
    """Returns whether data holds whole lines and nothing else, none longer than the protocol allows."""
    return len(data) <= MAX_LINE_SIZE and data[-2:] == END


class AttemptingClient(ClientConnection, Protocol):
    """What an upstream connection needs of its client, beyond what the proxy does."""

    opening_line: bytes
    transport: Any

    def sendLine(self, line: bytes) -> object:  # noqa: N802
        """Sends a line."""

    def upstream_established(self, connect: LineUpstreamConnection, line: bytes) -> None:
        """The server has answered UP, by this line."""

    def has_ended(self) -> bool:
        """Returns whether it has its answer, or has disconnected."""


class LineUpstreamConnection(LineReceiver, ClientFactory):
    """One attempt at a server: its connection, its OPEN line, the answer, and lines both ways after it."""

    MAX_LENGTH = MAX_LINE_SIZE - len(END)
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
        self.unanswered_since = 0.0  # when the oldest line without an answer was passed on
        self.last_line = b""
        self.timer: DelayedCall | None = None
        self.connector: UpstreamConnector | None = None

    def dial(self, wait: float) -> None:
        """Connects; given up after `wait` seconds (0: as long as a resumed session may take)."""
        proxy = self.proxy
        if wait:
            self.opening_line = WAIT_FIELD.sub(
                b"d=%d" % max(1, round(wait * 1000)), self.opening_line, count=1
            )
        if self.client.has_ended():
            # Its end is read next and ends this attempt; no server gets it, as nobody waits for it.
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
        """Lets the loop read once more: after a stall of this process, the answer may have arrived."""
        self.timer = self.proxy.clock.call_later(0, self.give_up)

    def give_up(self) -> None:
        """Gives the attempt up."""
        self.end(AttemptOutcome.TIMEOUT if self.opening_written() else AttemptOutcome.UNREACHABLE)

    def opening_written(self) -> bool:
        """Returns whether the last byte of OPEN was written: from then on the request may have run."""
        return self.transport is not None and self.transport.written >= len(self.opening_line) + len(END)

    def buildProtocol(self, addr: object) -> LineUpstreamConnection:  # noqa: ARG002, N802
        """Returns itself: there is one connection."""
        return self

    def connectionMade(self) -> None:  # noqa: N802
        """Writes OPEN, unless something has changed since the attempt was decided."""
        self.transport.setTcpNoDelay(True)
        if self.established:  # adopted from another process of this proxy
            self.proxy.admission.descriptors_changed(1)
        elif self.ended or self.client.has_ended():
            self.transport.abortConnection()
        elif not self.proxy.may_send_opening(self):
            self.end(AttemptOutcome.ABANDONED)
        else:
            self.sendLine(self.opening_line)
            # At once, as what was just checked may have changed by the loop's next pass.
            self.transport.flush()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: ARG002, N802
        """The server could not be reached, or this machine could not try."""
        self.proxy.admission.descriptors_changed(-1)
        if isinstance(reason.value, LocalConnectError):
            self.proxy.local_faults.record(reason.value.call, reason.value.error_number)
            self.end(AttemptOutcome.LOCAL_FAULT)
        else:
            self.end(AttemptOutcome.UNREACHABLE)

    def forward(self, lines: bytes) -> None:
        """Passes a client's lines on, whole and with their ends."""
        self.unanswered_since = self.unanswered_since or self.proxy.clock.now()
        self.transport.write(lines)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes whole lines on at once; anything else is cut into lines."""
        if self.established and not self.ended and not self._buffer and whole_lines(data):
            lines = bytes(data)
            if b"LOAD " not in lines:
                # Only the last of several lines says something about how the server ends.
                self.last_line = lines[: -len(END)].rsplit(END, 1)[-1]
                self.unanswered_since = 0.0
                self.client.transport.write(lines)
                return
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handles the answer to OPEN, and lines after it."""
        if self.ended:
            return
        if self.established:
            self.forward_reply(line)
        elif UP_LINE.fullmatch(line):
            self.accepted(line)
        else:
            # An answer outside the protocol proves nothing, so the request may have run.
            self.end(AttemptOutcome.FULL if line.split(b" ", 1)[0] == b"BUSY" else AttemptOutcome.ERROR)

    def accepted(self, line: bytes) -> None:
        """The server has answered UP."""
        if self.client.end_code:
            # An attempt that could not be cancelled may be established when the client has its answer.
            self.end(AttemptOutcome.CANCELLED)
            return
        self.established = True
        self.cancel_timer()
        self.client.upstream_established(self, line)
        self.proxy.requests.upstream_established(self)

    def forward_reply(self, line: bytes) -> None:
        """Passes a server's line on."""
        self.last_line = line
        if not line.startswith(b"LOAD "):
            self.unanswered_since = 0.0
        self.client.sendLine(line)

    def end_code(self, outcome: AttemptOutcome) -> str:
        """Returns the reason code of a session that its server has ended with this outcome."""
        if outcome is AttemptOutcome.ERROR and self.last_line != b"ERR":
            return "unread"
        return END_CODES.get(outcome, "broke")

    def cancel_timer(self) -> None:
        """Drops the timer."""
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def end(self, outcome: AttemptOutcome, reset: bool = False) -> None:
        """Ends the attempt or session, and reports it once."""
        if self.ended:
            return
        self.close(reset)
        self.proxy.call_or_abort(self.client, self.proxy.requests.upstream_ended, self, outcome, reset)

    def close(self, reset: bool = False) -> None:
        """Ends the connection without a report."""
        self.ended = True
        self.cancel_timer()
        if self.transport is not None and not (self.established or self.opening_written()):
            # Flushed at the end, OPEN would begin a session that nobody waits for any more.
            self.transport.abortConnection()
        elif self.transport is not None:
            self.transport.close_after_flush(reset)
        elif self.connector is not None:
            self.connector.disconnect()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        """The server has ended the connection, or it broke."""
        self.proxy.admission.descriptors_changed(-1)
        if self.ended:
            return
        if not self.established and not self.opening_written() and self.client.has_ended():
            self.end(AttemptOutcome.ABANDONED)  # not made for a client that has left; no server's doing
            return
        clean = reason.check(ConnectionDone) is not None
        if self.established:
            self.client.transport.write(self.clearLineBuffer())  # a line that it left unfinished
            # A server closes on a line that it cannot read; that is the client's fault, no sign of overload.
            unread = (
                self.unanswered_since and self.proxy.clock.now() < self.unanswered_since + SILENCE_THRESHOLD
            )
            outcome = AttemptOutcome.ERROR if unread else AttemptOutcome.RESET
            self.end(FINAL_OUTCOMES.get(self.last_line, outcome), not clean)
        else:
            self.end(AttemptOutcome.RESET if self.opening_written() else AttemptOutcome.UNREACHABLE)
