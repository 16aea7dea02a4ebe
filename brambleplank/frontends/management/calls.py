"""Management API for operators: HTTP/1.1, one request per connection, answered with a line of text.

Status codes: 200 done, or nothing to change; 400 malformed HTTP; 404 unknown path or server; 405 wrong
method, with `Allow`; 408 incomplete request at the timeout; 413 body too large; 500 internal error; 503 the
proxy cannot do this now, or the connection was evicted.
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

MAX_OPERATOR_CONNECTIONS = 16  # open at once; at the limit a new connection evicts the oldest
REQUEST_TIMEOUT = 5  # seconds without a byte after which an incomplete request is refused
LINGER_TIMEOUT = 1  # seconds that a client has to read the response and to close
MAX_BODY_SIZE = 4096  # bytes; no request needs a body
RESERVED_DESCRIPTORS = MAX_OPERATOR_CONNECTIONS + 2  # plus the listener and one being accepted


class Response(NamedTuple):
    """An HTTP status code and a line of text."""

    status: int
    text: str


class Route(NamedTuple):
    """The HTTP method of a path, and the command that it runs."""

    method: bytes
    handler: Callable[[], CommandResult]


class OperatorRequest(Request):
    """A management request; its path names the command."""

    channel: Any
    content: Any

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuses a request whose declared body is too large."""
        self.content = BytesIO()
        if length is not None and length > MAX_BODY_SIZE:
            self.channel.refuse(b"413 Content Too Large")

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Discards the body: no request needs one, and an endless chunked body would fill the memory."""

    def process(self) -> None:
        """Runs the command and writes the response."""
        proxy: Proxy = self.channel.proxy
        try:
            response = self.response(proxy)
        except UnknownServerError as unknown:
            response = Response(404, f"no list has named a server {str(unknown)!r:.80}")
        except Exception as error:
            # If the exception propagated, the operator would get no response.
            proxy.report_exception(error, error.__traceback__)
            response = Response(500, "internal error; see the proxy's log")
        line = f"{response.text}\n".encode()
        self.setResponseCode(response.status)
        self.setHeader(b"content-type", b"text/plain; charset=utf-8")
        self.setHeader(b"content-length", str(len(line)).encode())
        self.write(line)
        self.finish()

    def response(self, proxy: Proxy) -> Response:
        """Runs the command of this request's path and returns the response. Raises UnknownServerError."""
        path = [unquote_to_bytes(part).decode(errors="replace") for part in self.path.split(b"/")]
        route = route_for(path, proxy)
        if route is None:
            return Response(404, "no such call")
        if self.method != route.method:
            self.setHeader(b"allow", route.method)
            return Response(405, f"this call is made by {route.method.decode()}")
        result = route.handler()
        return Response(200 if result.done else 503, result.text)


def route_for(path: list[str], proxy: Proxy) -> Route | None:
    """Returns the route of a path, or None if the path is unknown."""
    commands = proxy.operator_commands
    route = None
    match path:
        case ["", "-", "ready"]:
            route = Route(b"GET", commands.readiness)
        case ["", "-", "metrics"]:
            route = Route(b"GET", lambda: CommandResult(True, proxy.metrics_text()))
        case ["", "-", "drain"]:
            route = Route(b"PUT", commands.drain)
        case ["", "-", "resume"]:
            route = Route(b"PUT", commands.resume)
        case ["", "-", "servers", str() as name, "disable"] if name:
            route = Route(b"PUT", lambda: commands.take_out_of_rotation(name))
        case ["", "-", "servers", str() as name, "enable"] if name:
            route = Route(b"PUT", lambda: commands.return_to_rotation(name))
    return route


class OperatorConnection(HTTPChannel):
    """An operator's connection, which carries one request."""

    requestFactory = OperatorRequest  # noqa: N815
    timeOut = REQUEST_TIMEOUT  # noqa: N815
    transport: Any
    answered = False

    def __init__(self, factory: OperatorFactory) -> None:
        super().__init__()
        self.factory = factory
        self.proxy = factory.proxy

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection, which may evict the oldest one."""
        super().connectionMade()
        self.factory.add_connection(self)

    def checkPersistence(self, request: Request, version: bytes) -> bool:  # noqa: ARG002, N802
        """Returns False: each connection carries one request."""
        request.setHeader(b"connection", b"close")
        return False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses data until the request is answered; later data is dropped."""
        if not self.answered:
            super().dataReceived(bytes(data))

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parses a line; lines after the response, in the same data, are dropped."""
        if not self.answered:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002, N802
        """Refuses a request with an overlong line, which is not HTTP."""
        self.refuse(b"400 Bad Request")

    def refuse(self, status: bytes) -> None:
        """Responds with a status line and no body, unless a response was sent."""
        if not self.answered:
            self.transport.write(b"HTTP/1.1 %b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % status)
            self.loseConnection()

    def loseConnection(self) -> None:  # noqa: N802
        """Shuts down the writing side and keeps reading.

        Closing a socket with unread bytes would send a reset, and the client would lose the response.
        """
        if not self.answered:
            self.answered = True
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
            self.transport.resumeProducing()
            self.setTimeout(LINGER_TIMEOUT)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Refuses an incomplete request; closes a connection that was answered and is still open."""
        if self.answered:
            self.transport.abortConnection()
        else:
            self.refuse(b"408 Request Timeout")

    def evict(self) -> None:
        """Closes the connection to make room for a newer one."""
        self.refuse(b"503 Service Unavailable")
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        """Unregisters the connection."""
        self.factory.connections.pop(self, None)
        super().connectionLost(reason)


class OperatorFactory(Factory):
    """Accepts up to `MAX_OPERATOR_CONNECTIONS` connections of operators.

    A new connection beyond the limit evicts the oldest one. Otherwise clients that send nothing could use up
    all connections, and an operator who takes a server out of rotation would get no response.
    """

    noisy = False

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.connections: dict[OperatorConnection, None] = {}  # oldest first
        proxy.admission.descriptors_changed(RESERVED_DESCRIPTORS)

    def buildProtocol(self, addr: object) -> OperatorConnection:  # noqa: ARG002, N802
        """Builds the protocol of a new connection."""
        return OperatorConnection(self)

    def add_connection(self, connection: OperatorConnection) -> None:
        """Registers a connection, and evicts the oldest one if that exceeds the limit."""
        self.connections[connection] = None
        if len(self.connections) > MAX_OPERATOR_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.evict()

    def log(self, request: Request) -> None:
        """Suppresses Twisted's access log: each command is logged where it is run."""
