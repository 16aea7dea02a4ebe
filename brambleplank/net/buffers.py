"""Transports with pooled read buffers, and listeners that can pause accepting."""

from __future__ import annotations

import os
from contextlib import suppress
from errno import errorcode
from socket import IPPROTO_TCP, MSG_DONTWAIT, MSG_PEEK, SO_ERROR, SOL_SOCKET, TCP_INFO, socket
from struct import Struct
from typing import Any

from twisted.internet import main, tcp
from twisted.internet.error import ConnectBindError, ConnectionLost, TimeoutError, getConnectError
from twisted.logger import Logger

from brambleplank.errors import BrambleplankError
from brambleplank.net.local_faults import (
    LOCAL_CONNECT_ERRORS,
    LOCAL_IMMEDIATE_CONNECT_ERRORS,
    SINGLE_CONNECTION_ACCEPT_ERRORS,
    LocalConnectError,
)
from brambleplank.net.loop import reactor

LOG = Logger()
BUFFER_SIZE = 16 * 1024  # bytes; holds several lines of the maximum length
BACKLOG = 1024  # connections in the kernel's queue; each may already have sent its first line
MAX_ACCEPTS_PER_PASS = 100  # connections in one iteration of the event loop
# Bytes that wait for the other side to read, beyond which the side that they come from is not read. Together
# with one read and an incomplete line, that bounds what one direction of a session holds.
WRITE_BUFFER_SIZE = 8 * 1024
MAX_WRITE_PIECES = 64  # pieces of a write buffer that are kept apart; a piece of 3 bytes takes over 40
ACCEPT_RETRY_DELAY = 0.02  # seconds after accept failed on this machine
# The field tcpi_last_ack_recv of the struct tcp_info of Linux, in milliseconds.
LAST_PACKET_FIELD = Struct("@I")
LAST_PACKET_OFFSET = 56
TCP_INFO_SIZE = LAST_PACKET_OFFSET + LAST_PACKET_FIELD.size
LINGER_TIMEOUT = 1.5  # seconds for the other side to read the remaining data and close its end


class BrokenConnectionError(BrambleplankError, ConnectionLost):
    """The connection was lost in a read; unlike Twisted's type, the error keeps the name of the errno."""

    ADVICE = "check the network between the two sides, and which side reset the connection"


class BufferPool:
    """A pool of buffers of one size; at most `max_free` released buffers are kept for reuse."""

    def __init__(self, max_free: int) -> None:
        self.max_free = max_free
        self.free_buffers: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Returns a buffer, which the caller has to release."""
        return self.free_buffers.pop() if self.free_buffers else bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        """Returns a buffer to the pool."""
        if len(self.free_buffers) < self.max_free:
            self.free_buffers.append(buffer)


BUFFER_POOL = BufferPool(max_free=16)


class PooledConnection:
    """A transport that reads into pooled buffers, counts bytes written, and can reset once it has flushed."""

    socket: socket
    protocol: Any
    _tempDataBuffer: list[bytes]  # noqa: N815  Twisted's name, as is the next one
    bufferSize = WRITE_BUFFER_SIZE  # noqa: N815
    written = 0
    resetting = False
    queue_time = 0.0  # seconds that an accepted connection had waited in the kernel's queue

    def doRead(self) -> Any:  # noqa: N802
        """Reads once; returns the reason if the connection has ended."""
        buffer = BUFFER_POOL.acquire()
        try:
            try:
                count = self.socket.recv_into(buffer)
            except BlockingIOError:
                return None
            except OSError as error:
                return BrokenConnectionError(errorcode.get(error.errno or 0, "reset"))
            if not count:
                return main.CONNECTION_DONE
            # Outside the inner `try`: an OSError raised by the protocol doesn't mean that this connection
            # broke.
            self.protocol.dataReceived(memoryview(buffer)[:count])
        finally:
            BUFFER_POOL.release(buffer)
        return None

    def write(self, data: bytes) -> None:
        """Buffers data; many small pieces are joined, as each takes far more memory than its bytes."""
        super().write(data)  # type: ignore[misc]
        if len(self._tempDataBuffer) > MAX_WRITE_PIECES:
            self._tempDataBuffer = [b"".join(self._tempDataBuffer)]

    def has_unsent_data(self) -> bool:
        """Returns whether buffered data has not been written yet."""
        transport: Any = self
        return bool(len(transport.dataBuffer) > transport.offset or transport._tempDataLen)

    def time_since_last_packet(self) -> float:
        """Returns the seconds since the client's last packet; 0 if the system does not tell.

        Right after accept, this is the time that an idle connection has waited in the kernel's queue.
        """
        try:
            info = self.socket.getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_SIZE)
        except OSError:
            return 0.0
        if len(info) < TCP_INFO_SIZE:
            return 0.0
        milliseconds: int = LAST_PACKET_FIELD.unpack_from(info, LAST_PACKET_OFFSET)[0]
        return milliseconds / 1000

    def has_unread_data(self) -> bool:
        """Returns whether data of the client has arrived and was not read yet."""
        try:
            return bool(self.socket.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except OSError:
            return False

    def writeSomeData(self, data: bytes) -> Any:  # noqa: N802
        """Writes as much as the socket accepts, and counts the bytes."""
        count = super().writeSomeData(data)  # type: ignore[misc]
        if isinstance(count, int):
            self.written += count
        return count

    def flush(self) -> None:
        """Writes as much as possible now; errors are handled by the event loop's next write."""
        if self.connected and not self.disconnected:
            with suppress(OSError):
                self.doWrite()  # type: ignore[attr-defined]

    def close_after_flush(self, reset: bool) -> None:
        """Closes the connection after the buffered data is written, optionally with a reset.

        An immediate reset would discard lines that the other side has yet to receive. A peer that no longer
        reads would hold the descriptor forever, so the connection is aborted after `LINGER_TIMEOUT`.
        """
        self.resetting = reset
        self.unregisterProducer()  # type: ignore[attr-defined]
        self.loseConnection()  # type: ignore[attr-defined]
        if self.dataBuffer or self._tempDataLen:  # type: ignore[attr-defined]
            reactor.callLater(LINGER_TIMEOUT, self.abortConnection)  # type: ignore[attr-defined]

    def detach(self) -> int:
        """Releases the socket's descriptor to the caller.

        The reactor stops watching it first: otherwise this process would go on reading from it, and closing
        it here would shut the connection down for the other process too.
        """
        self.unregisterProducer()  # type: ignore[attr-defined]
        self.stopReading()  # type: ignore[attr-defined]
        self.stopWriting()  # type: ignore[attr-defined]
        self.connected = 0
        self.disconnected = 1
        return self.socket.detach()

    def unsent_data(self) -> bytes:
        """Returns the buffered data that has not been written yet."""
        transport: Any = self
        return bytes(transport.dataBuffer[transport.offset :]) + b"".join(transport._tempDataBuffer)

    def _closeSocket(self, orderly: bool) -> None:  # noqa: N802
        super()._closeSocket(orderly and not self.resetting)  # type: ignore[misc]


class FlowControl:
    """Back pressure: pauses reading on one side of a pair while the other side's write buffer is full.

    Twisted stops the producer of a lost transport. Forwarded, that would close the other side before its last
    line was sent, so `stopProducing` does nothing, and the protocols close the other side themselves.
    """

    def __init__(self, transport: Any) -> None:
        self.transport = transport

    def pauseProducing(self) -> None:  # noqa: N802
        """Pauses reading."""
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resumes reading."""
        self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; see the class."""


class ClientTransport(PooledConnection, tcp.Server):
    """The transport of a client connection over TCP."""


class UpstreamTransport(PooledConnection, tcp.Client):
    """The transport of a connection to a server."""

    is_connecting = False  # connect was called; its result is pending, or the connection is up

    def doConnect(self) -> None:  # noqa: N802
        """Calls connect once; reads the result from SO_ERROR once the socket is ready, as in connect(2).

        Twisted would call connect a second time instead; a local failure of that call would be attributed to
        the server.
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
        """Handles a failed or timed out connect; failures of this machine become LocalConnectError.

        After a stall of this process, timers run before I/O, and the connection may be up already. A timeout
        is therefore deferred by one iteration of the event loop; otherwise a healthy server would be reported
        as unreachable.
        """
        fail = super().failIfNotConnected
        number = getattr(err, "osError", None)
        if number in (LOCAL_CONNECT_ERRORS if self.is_connecting else LOCAL_IMMEDIATE_CONNECT_ERRORS):
            err = LocalConnectError("socket" if isinstance(err, ConnectBindError) else "connect", number)
        if isinstance(err, TimeoutError):
            reactor.callLater(0, fail, err)
        else:
            fail(err)


class PausableListener:
    """Accepts as many connections as its factory allows; others stay in the kernel's backlog."""

    paused = False
    handed_off = False  # whether another process accepts on this socket
    factory: Any
    socket: Any
    transport: Any
    sessionno: int
    reactor: Any

    def doRead(self) -> None:  # noqa: N802
        """Accepts as many connections as the factory allows.

        Twisted's implementation closes connections when it runs out of descriptors, and retries at once after
        other errors. This one pauses after a failure of this machine and retries after `ACCEPT_RETRY_DELAY`;
        connections wait in the backlog meanwhile.
        """
        capacity = self.factory.accept_capacity()
        if capacity <= 0:
            self.pause()
            self.factory.accept_paused()
            return
        for _ in range(min(MAX_ACCEPTS_PER_PASS, capacity)):
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.factory.accept_failed(error.errno)
                if error.errno not in SINGLE_CONNECTION_ACCEPT_ERRORS:
                    self.pause()
                    self.reactor.callLater(ACCEPT_RETRY_DELAY, self.resume)
                    return
            else:
                self.begin_connection(accepted, address)

    def begin_connection(self, accepted: Any, address: Any) -> None:
        """Creates the protocol and transport of a connection; an exception closes only this connection."""
        number = self.sessionno
        self.sessionno += 1
        protocol = self.factory.buildProtocol(self._buildAddr(address))  # type: ignore[attr-defined]
        transport = self.transport(accepted, protocol, address, self, number, self.reactor)
        transport.queue_time = transport.time_since_last_packet()
        try:
            protocol.makeConnection(transport)
        except Exception:
            LOG.failure("cannot set up an accepted connection; aborting it")
            # Closing the socket directly would leave its descriptor registered with the reactor.
            transport.abortConnection()

    def pause(self) -> None:
        """Pauses accepting; new connections stay in the kernel's backlog."""
        self.paused = True
        self.stopReading()  # type: ignore[attr-defined]

    def resume(self) -> None:
        """Resumes accepting, unless another process accepts on this socket."""
        self.paused = False
        if not self.handed_off and not self.disconnecting and self.connected:  # type: ignore[attr-defined]
            self.startReading()  # type: ignore[attr-defined]

    def set_handed_off(self, handed_off: bool) -> None:
        """Leaves accepting to another process that shares the listening socket, or takes it back.

        From then on the socket is closed without shutdown(2), which Twisted calls on close: that would end
        listening in the other process too.
        """
        self.handed_off = handed_off
        self._shouldShutdown = False
        if handed_off:
            self.stopReading()  # type: ignore[attr-defined]
        else:
            self.resume()


class ClientListener(PausableListener, tcp.Port):
    """Accepts client connections at a TCP address."""

    transport = ClientTransport


class UpstreamConnector(tcp.Connector):
    """Connects to a server with an `UpstreamTransport`."""

    def _makeTransport(self) -> UpstreamTransport:  # noqa: N802
        return UpstreamTransport(self.host, self.port, self.bindAddress, self, self.reactor)
