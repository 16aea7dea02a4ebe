"""The sockets at which a proxy of the platform listens: for clients, for operators, for other proxies."""

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

MAX_WAIT = 5.0  # seconds for an address to come free that is in use at the start
RETRY_INTERVAL = 0.02  # seconds; nothing else runs in this process yet


def listen_when_free(
    listen: Callable[[], Any], address: Address, log: Callable[[str], None], max_wait: float = MAX_WAIT
) -> Any:
    """Listens, and tries again while the cause is one that passes.

    A process of this proxy that is still shutting down holds the address until it ends, and this machine may
    have no socket to give for a moment. Raises Twisted's CannotListenError.
    """
    until = time.monotonic() + max_wait
    logged = False
    while True:
        try:
            return listen()
        except (error.CannotListenError, OSError) as failure:
            cause = failure.socketError if isinstance(failure, error.CannotListenError) else failure
            if cause.errno not in TRANSIENT_ERRORS or time.monotonic() >= until:
                cannot_listen: Any = error.CannotListenError
                raise cannot_listen(address[0], address[1], cause) from None
            if not logged:
                in_use = cause.errno == errno.EADDRINUSE
                why = "is in use" if in_use else f"cannot be opened: {cause.strerror}"
                log(f"start: {address[0]}:{address[1]} {why}, waiting for it")
            logged = True
        time.sleep(RETRY_INTERVAL)


def listen_for_peers(
    proxy: Proxy, address: Address, adopted: socket.socket | None, shared: bool, max_wait: float = MAX_WAIT
) -> Any:
    """Returns the port at which datagrams of other proxies arrive.

    `adopted` is a socket of the process before; with `shared`, another process may receive beside this one.
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
    """Returns the port at which clients arrive; the arguments are those of `listen_for_peers`."""
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
    """Returns the port at which operators call."""
    # Imported only here: a proxy without operators does without HTTP.
    from brambleplank.frontends.management.calls import MAX_OPERATOR_CONNECTIONS, OperatorCallFactory

    factory: Any = OperatorCallFactory(proxy)
    if adopted:
        port = reactor.adoptStreamPort(adopted.fileno(), socket.AF_INET, factory)
        adopted.close()
        return port
    host, number = address

    def listen() -> Any:
        return reactor.listenTCP(number, factory, backlog=MAX_OPERATOR_CONNECTIONS, interface=host)

    return listen_when_free(listen, address, proxy.log)
