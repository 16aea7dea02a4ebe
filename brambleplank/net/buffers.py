"""Transports that read into buffers of a pool, and listeners that leave connections in the kernel."""

from __future__ import annotations

import os
from contextlib import suppress
from errno import errorcode
from socket import SO_ERROR, SOL_SOCKET, socket
from typing import Any

from twisted.internet import main, tcp
from twisted.internet.error import ConnectBindError, ConnectionLost, TimeoutError, getConnectError
from twisted.logger import Logger

from brambleplank.errors import BrambleplankError
from brambleplank.net.local_faults import (
    ACCEPT_NEXT,
    CONNECT_ERRORS,
    CONNECT_ERRORS_AT_ONCE,
    LocalConnectError,
)
from brambleplank.net.loop import reactor

LOG = Logger()
BUFFER_SIZE = 16 * 1024  # bytes; several lines of the longest kind
BACKLOG = 1024  # connections that the kernel holds ready; each may already have sent its line
MAX_ACCEPTS = 100  # connections in one pass of the loop
ACCEPT_RETRY_DELAY = 0.02  # seconds, where this machine could not accept
LINGER_TIMEOUT = 1.5  # seconds that the other side has to read what is left, and to end its own side


class BrokenConnectionError(BrambleplankError, ConnectionLost):
    """A read failed with this errno: the connection is lost. Twisted's own type would not keep which."""

    ADVICE = "look at the network between the two, or at who has reset the connection"


class Pool:
    """Buffers of one size: those that were given back are used again, beyond `kept` they are freed."""

    def __init__(self, kept: int) -> None:
        self.kept = kept
        self.free: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Returns a buffer, which is to be given back."""
        return self.free.pop() if self.free else bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        """Takes a buffer back."""
        if len(self.free) < self.kept:
            self.free.append(buffer)


POOL = Pool(kept=16)


class PooledConnection:
    """Reads into a pooled buffer, counts what was written, and can end in a reset once all is flushed."""

    socket: socket
    protocol: Any
    written = 0
    resetting = False

    def doRead(self) -> Any:  # noqa: N802
        """Reads once; returns why the connection has ended, if it has."""
        buffer = POOL.acquire()
        try:
            try:
                count = self.socket.recv_into(buffer)
            except BlockingIOError:
                return None
            except OSError as failed:
                return BrokenConnectionError(errorcode.get(failed.errno or 0, "reset"))
            if not count:
                return main.CONNECTION_DONE
            # Outside the inner `try`: an error of what the protocol does then is not this connection's end.
            self.protocol.dataReceived(memoryview(buffer)[:count])
        finally:
            POOL.release(buffer)
        return None

    def writeSomeData(self, data: bytes) -> Any:  # noqa: N802
        """Writes what the socket takes, and counts it."""
        count = super().writeSomeData(data)  # type: ignore[misc]
        if isinstance(count, int):
            self.written += count
        return count

    def flush(self) -> None:
        """Writes what can be written now; an error is met by the loop's next write."""
        if self.connected and not self.disconnected:
            with suppress(OSError):
                self.doWrite()  # type: ignore[attr-defined]

    def close_after_flush(self, reset: bool) -> None:
        """Ends the connection once all is flushed, in a reset if asked for.

        A reset at once would throw away lines that the other side is to get. A side that no longer reads
        would hold the descriptor for ever, so it has `LINGER` seconds.
        """
        self.resetting = reset
        self.unregisterProducer()  # type: ignore[attr-defined]
        self.loseConnection()  # type: ignore[attr-defined]
        if self.dataBuffer or self._tempDataLen:  # type: ignore[attr-defined]
            reactor.callLater(LINGER_TIMEOUT, self.abortConnection)  # type: ignore[attr-defined]

    def detach(self) -> int:
        """Returns the descriptor of the socket, which is the caller's from here on.

        If the reactor still watched it, this process would read from it; a shutdown would end it for both.
        """
        self.unregisterProducer()  # type: ignore[attr-defined]
        self.stopReading()  # type: ignore[attr-defined]
        self.stopWriting()  # type: ignore[attr-defined]
        self.connected = 0
        self.disconnected = 1
        return self.socket.detach()

    def unsent_data(self) -> bytes:
        """Returns what was not written yet."""
        whole: Any = self
        return bytes(whole.dataBuffer[whole.offset :]) + b"".join(whole._tempDataBuffer)

    def _closeSocket(self, orderly: bool) -> None:  # noqa: N802
        super()._closeSocket(orderly and not self.resetting)  # type: ignore[misc]


class FlowControl:
    """Pauses and resumes one side of a pair as the other can take more.

    A transport that is lost stops its producer. Passed on, that would close the other side before it has had
    its last line; the protocols end it instead, as they know how.
    """

    def __init__(self, transport: Any) -> None:
        self.transport = transport

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops reading."""
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads on."""
        self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: the other side is closed."""


class ClientTransport(PooledConnection, tcp.Server):
    """A client's connection."""


class UpstreamTransport(PooledConnection, tcp.Client):
    """A connection to a server."""

    is_connecting = False  # the call to connect was made, and its outcome is awaited

    def doConnect(self) -> None:  # noqa: N802
        """Calls connect once; how that went is read from the socket when it is ready, as connect(2) has it.

        Twisted calls connect again then; if that call failed on this machine, the server would look at fault.
        """
        if not self.is_connecting:
            super().doConnect()
            self.is_connecting = True
        elif not self.connected and hasattr(self, "connector"):
            if number := self.socket.getsockopt(SOL_SOCKET, SO_ERROR):
                self.failIfNotConnected(getConnectError((number, os.strerror(number))))
                return
            del self.doWrite, self.doRead
            self.stopReading()
            self.stopWriting()
            self._connectDone()

    def failIfNotConnected(self, err: Any) -> None:  # noqa: N802
        """The connection has failed, or timed out; a fault of this machine gets a type of its own.

        After a stall of this process timers come first, and the connection may be up without having been
        seen: so a timeout takes one more pass of the loop, or a sound server would be called unreachable.
        """
        fail = super().failIfNotConnected
        number = getattr(err, "osError", None)
        if number in (CONNECT_ERRORS if self.is_connecting else CONNECT_ERRORS_AT_ONCE):
            err = LocalConnectError("socket" if isinstance(err, ConnectBindError) else "connect", number)
        if isinstance(err, TimeoutError):
            reactor.callLater(0, fail, err)
        else:
            fail(err)


class PausableListener:
    """Accepts as many connections as its factory has room for; the others wait in the kernel."""

    paused = False
    handed_off = False  # to another process, which accepts
    factory: Any
    socket: Any
    transport: Any
    sessionno: int
    reactor: Any

    def doRead(self) -> None:  # noqa: N802
        """Accepts as many as there is room for.

        Twisted's own accepts and closes what it has no descriptor for, and would go on at once with any other
        error. What waits in the kernel until this machine's fault is over is served then.
        """
        capacity = self.factory.accept_capacity()
        if capacity <= 0:
            self.pause()
            return
        for _ in range(min(MAX_ACCEPTS, capacity)):
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as failed:
                self.factory.accept_failed(failed.errno)
                if failed.errno not in ACCEPT_NEXT:
                    self.pause()
                    self.reactor.callLater(ACCEPT_RETRY_DELAY, self.resume)
                    return
            else:
                self.begin_connection(accepted, address)

    def begin_connection(self, accepted: Any, address: Any) -> None:
        """Makes the protocol of a connection; an exception there ends this connection alone."""
        number = self.sessionno
        self.sessionno += 1
        protocol = self.factory.buildProtocol(self._buildAddr(address))  # type: ignore[attr-defined]
        transport = self.transport(accepted, protocol, address, self, number, self.reactor)
        try:
            protocol.makeConnection(transport)
        except Exception:
            LOG.failure("a connection could not be taken in")
            transport.abortConnection()  # not closed here: the reactor would go on watching its number

    def pause(self) -> None:
        """Leaves connections in the kernel."""
        self.paused = True
        self.stopReading()  # type: ignore[attr-defined]

    def resume(self) -> None:
        """Accepts again, unless another process does."""
        self.paused = False
        if not self.handed_off and not self.disconnecting and self.connected:  # type: ignore[attr-defined]
            self.startReading()  # type: ignore[attr-defined]

    def set_handed_off(self, given: bool) -> None:
        """Leaves accepting to another process of the same queue, or takes it back.

        Shut down as Twisted does at the end, the queue would be closed for the other process too.
        """
        self.handed_off = given
        self._shouldShutdown = False
        if given:
            self.stopReading()  # type: ignore[attr-defined]
        else:
            self.resume()


class ClientListener(PausableListener, tcp.Port):
    """Accepts clients' connections at an address."""

    transport = ClientTransport


class UpstreamConnector(tcp.Connector):
    """Connects to a server, by `UpstreamTransport`."""

    def _makeTransport(self) -> UpstreamTransport:  # noqa: N802
        return UpstreamTransport(self.host, self.port, self.bindAddress, self, self.reactor)
