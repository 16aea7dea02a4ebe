"""Opens the listening sockets of a proxy of the platform, for clients, operators and other proxies."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import error

from brambleplank.frontends.line.client_connections import LineFrontend
from brambleplank.model import Address
from brambleplank.net.buffers import BACKLOG, ClientListener
from brambleplank.net.local_faults import TRANSIENT_ERRORS
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy

MAX_WAIT = 5.0  # seconds that the start waits for an address that is in use
RETRY_INTERVAL = 0.02  # seconds; blocking, as nothing else runs in this process yet


def listen_when_free(
    listen: Callable[[], Any], address: Address, log: Callable[[str], None], max_wait: float = MAX_WAIT
) -> Any:
    """Calls `listen`, and retries transient errors for up to `max_wait` seconds.

    A process of this proxy that is still shutting down holds the address until it ends, and the machine may
    briefly be out of sockets. Raises Twisted's CannotListenError.
    """
    deadline = time.monotonic() + max_wait
    logged = False
    while True:
        try:
            return listen()
        except (error.CannotListenError, OSError) as failure:
            cause = failure.socketError if isinstance(failure, error.CannotListenError) else failure
            if cause.errno not in TRANSIENT_ERRORS or time.monotonic() >= deadline:
                cannot_listen: Any = error.CannotListenError
                raise cannot_listen(address[0], address[1], cause) from None
            if not logged:
                in_use = cause.errno == errno.EADDRINUSE
                reason = "is in use" if in_use else f"cannot be opened: {cause.strerror}"
                log(f"start: {address[0]}:{address[1]} {reason}; retrying for a few seconds")
            logged = True
        time.sleep(RETRY_INTERVAL)


def listen_for_peers(
    proxy: Proxy, address: Address, adopted: socket.socket | None, shared: bool, max_wait: float = MAX_WAIT
) -> Any:
    """Returns the port that receives datagrams of other proxies.

    `adopted` is the socket of the predecessor, if any; `shared` lets another process bind the same address.
    """
    if adopted:
        port = reactor.adoptDatagramPort(adopted.fileno(), socket.AF_INET, proxy.peer_link)
        adopted.close()
        return port
    host, number = address

    def listen() -> Any:
        return reactor.listenMulticast(number, proxy.peer_link, interface=host, listenMultiple=shared)

    return listen_when_free(listen, address, proxy.log, max_wait)


def listen_for_clients(proxy: Proxy, address: Address, adopted: socket.socket | None, shared: bool) -> Any:
    """Returns the port that accepts clients; the arguments are those of `listen_for_peers`."""
    frontend: Any = LineFrontend(proxy)
    if adopted:
        adopt: Any = ClientListener._fromListeningDescriptor
        port: Any = adopt(reactor, adopted.fileno(), socket.AF_INET, frontend)
        adopted.close()
    else:
        host, number = address
        port = ClientListener(number, frontend, BACKLOG, host, reactor)
        port._reusePort = shared
    proxy.admission.add_listener(port)
    listen_when_free(port.startListening, address, proxy.log)
    return port


def listen_for_operators(proxy: Proxy, address: Address, adopted: socket.socket | None) -> Any:
    """Returns the port of the management interface."""
    # Imported here, so that a proxy without an operator address does not load HTTP.
    from brambleplank.frontends.management.calls import MAX_OPERATOR_CONNECTIONS, OperatorFactory

    factory: Any = OperatorFactory(proxy)
    if adopted:
        port = reactor.adoptStreamPort(adopted.fileno(), socket.AF_INET, factory)
        adopted.close()
        return port
    host, number = address

    def listen() -> Any:
        return reactor.listenTCP(number, factory, backlog=MAX_OPERATOR_CONNECTIONS, interface=host)

    return listen_when_free(listen, address, proxy.log)
