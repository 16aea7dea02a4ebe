"""One proxy, from its configuration to its exit code."""

from __future__ import annotations

import signal
import sys
from typing import Any

from twisted.internet import error
from twisted.logger import globalLogBeginner

from brambleplank.net import start
from brambleplank.net.buffers import Listener
from brambleplank.net.clients import Clients
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy

BACKLOG = 1024  # connections that the kernel holds ready; each may already have sent its line


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # Danger: one that comes before all is set up would end it.
    try:
        told = start.read()
        proxy = Proxy(told)
        clients: Any = Clients(proxy)
        proxy.door.listener = Listener(told.listen[1], clients, BACKLOG, told.listen[0], reactor)
        proxy.door.listener.startListening()
    except start.UnfitError as unfit:
        print(f"brambleplank: {unfit}", file=sys.stderr)
        return 2
    except error.CannotListenError as cannot:
        key = "listen" if cannot.port == told.listen[1] else "peer_listen"
        print(f"brambleplank: {key}: {cannot.interface}:{cannot.port}: {cannot.socketError}", file=sys.stderr)
        return 2

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure") or event.get("failure")
        if failure:
            proxy.fault(failure.value, failure.getTracebackObject())

    observers: list[Any] = [observe]
    globalLogBeginner.beginLoggingTo(observers, discardBuffer=True, redirectStandardIO=False)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(proxy.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(proxy.read_again))
    reactor.run(installSignalHandlers=False)
    return 0
