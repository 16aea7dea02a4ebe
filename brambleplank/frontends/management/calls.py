"""Operators' calls: HTTP/1.1, one call to a connection, answered with a line of text.

Status codes: 200 done (or so already), 400 no HTTP, 404 no such path or a server that no list has named, 405
with `Allow`, 408 no whole call in time, 413 more of a body than any call has, 503 not now.
"""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import Any, NamedTuple
from urllib.parse import unquote_to_bytes

from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, Request

from brambleplank.decisions.rotation import UnknownServerError
from brambleplank.net.operator_commands import CommandResult
from brambleplank.net.proxy import Proxy

MAX_OPERATOR_CONNECTIONS = (
    16  # at once; beyond that the caller that has been connected for longest is evicted
)
CALL_TIMEOUT = 5  # seconds from its last byte to the next of a call that is not whole
LINGER = 1  # seconds that a caller has to read its answer and to close
MAX_BODY_SIZE = 4096  # bytes; no call needs any
RESERVED_DESCRIPTORS = (
    MAX_OPERATOR_CONNECTIONS + 2
)  # for callers, the listener, and one that is being accepted


class Answer(NamedTuple):
    """An HTTP status and a line of text."""

    status: int
    text: str


class Call(NamedTuple):
    """What a path stands for, and the method that it is called by."""

    method: bytes
    carry_out: Callable[[], CommandResult]


class OperatorCall(Request):
    """One request: its path says what is wanted."""

    channel: Any
    content: Any

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuses a body that is longer than any call has."""
        self.content = BytesIO()
        if length is not None and length > MAX_BODY_SIZE:
            self.channel.refuse(b"413 Content Too Large")

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Drops it: no call needs a body, and one without end would fill the memory."""

    def process(self) -> None:
        """Carries out the call and writes the answer."""
        proxy: Proxy = self.channel.proxy
        try:
            answer = self.answer(proxy)
        except UnknownServerError as unlisted:
            answer = Answer(404, f"no list has named a server {str(unlisted)!r:.80}")
        except Exception as error:
            # Raised further, it would leave the operator without an answer.
            proxy.report_exception(error, error.__traceback__)
            answer = Answer(500, "fault; the log names the place")
        line = f"{answer.text}\n".encode()
        self.setResponseCode(answer.status)
        self.setHeader(b"content-type", b"text/plain; charset=utf-8")
        self.setHeader(b"content-length", str(len(line)).encode())
        self.write(line)
        self.finish()

    def answer(self, proxy: Proxy) -> Answer:
        """Returns the answer to this request. Raises UnknownServerError."""
        path = [unquote_to_bytes(part).decode(errors="replace") for part in self.path.split(b"/")]
        call = call_at(path, proxy)
        if call is None:
            return Answer(404, "no such call")
        if self.method != call.method:
            self.setHeader(b"allow", call.method)
            return Answer(405, f"this call is made by {call.method.decode()}")
        result = call.carry_out()
        return Answer(200 if result.done else 503, result.text)


def call_at(path: list[str], proxy: Proxy) -> Call | None:
    """Returns the call that a path stands for; None if there is none."""
    commands = proxy.operator_commands
    call = None
    match path:
        case ["", "-", "ready"]:
            call = Call(b"GET", commands.readiness)
        case ["", "-", "metrics"]:
            call = Call(b"GET", lambda: CommandResult(True, proxy.metrics_text()))
        case ["", "-", "drain"]:
            call = Call(b"PUT", commands.drain)
        case ["", "-", "resume"]:
            call = Call(b"PUT", commands.resume)
        case ["", "-", "servers", str() as name, "disable"] if name:
            call = Call(b"PUT", lambda: commands.take_out_of_rotation(name))
        case ["", "-", "servers", str() as name, "enable"] if name:
            call = Call(b"PUT", lambda: commands.return_to_rotation(name))
    return call


class OperatorConnection(HTTPChannel):
    """An operator's connection, for one call."""

    requestFactory = OperatorCall  # noqa: N815
    timeOut = CALL_TIMEOUT  # noqa: N815
    transport: Any
    answered = False

    def __init__(self, factory: OperatorCallFactory) -> None:
        super().__init__()
        self.factory = factory
        self.proxy = factory.proxy

    def connectionMade(self) -> None:  # noqa: N802
        """Takes a place among the callers."""
        super().connectionMade()
        self.factory.connected(self)

    def checkPersistence(self, request: Request, version: bytes) -> bool:  # noqa: ARG002, N802
        """Returns False: a connection is for one call."""
        request.setHeader(b"connection", b"close")
        return False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads on until the call is answered."""
        if not self.answered:
            super().dataReceived(bytes(data))

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Reads a line of the call; what comes after its answer is dropped."""
        if not self.answered:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002, N802
        """Refuses what is no HTTP."""
        self.refuse(b"400 Bad Request")

    def refuse(self, status: bytes) -> None:
        """Answers with a status alone, unless there was an answer."""
        if not self.answered:
            self.transport.write(b"HTTP/1.1 %b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % status)
            self.loseConnection()

    def loseConnection(self) -> None:  # noqa: N802
        """Ends this side, and reads on: closed with unread bytes, it would be reset and lose the answer."""
        if not self.answered:
            self.answered = True
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
            self.transport.resumeProducing()
            self.setTimeout(LINGER)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Refuses a call that did not come whole; closes a connection that was answered."""
        if self.answered:
            self.transport.abortConnection()
        else:
            self.refuse(b"408 Request Timeout")

    def evict(self) -> None:
        """Ends the connection in favour of a newer one."""
        self.refuse(b"503 Service Unavailable")
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        """Gives its place up."""
        self.factory.connections.pop(self, None)
        super().connectionLost(reason)


class OperatorCallFactory(Factory):
    """Accepts operators' connections, so many at once.

    The oldest is evicted for a new one: callers that send nothing would otherwise hold every place, and an
    operator who takes a server out of rotation would get no answer.
    """

    noisy = False

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.connections: dict[OperatorConnection, None] = {}  # oldest first
        proxy.admission.descriptors_changed(RESERVED_DESCRIPTORS)

    def buildProtocol(self, addr: object) -> OperatorConnection:  # noqa: ARG002, N802
        """Returns the protocol of a new connection."""
        return OperatorConnection(self)

    def connected(self, connection: OperatorConnection) -> None:
        """Takes a connection in, and evicts the oldest where there are too many."""
        self.connections[connection] = None
        if len(self.connections) > MAX_OPERATOR_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.evict()

    def log(self, request: Request) -> None:
        """Writes nothing: a command is logged where it is carried out."""
