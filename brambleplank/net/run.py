"""One proxy, from its configuration to its exit code."""

from __future__ import annotations

import signal
import sys
from typing import Any

from twisted.internet import error

from brambleplank.net import start
from brambleplank.net.buffers import Listener
from brambleplank.net.clients import Clients
from brambleplank.net.discovery import GarbledError
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy

BACKLOG = 1024


def main() -> int:
    try:
        told = start.read()
        proxy = Proxy(told)
        clients: Any = Clients(proxy)
        Listener(told.listen[1], clients, BACKLOG, told.listen[0], reactor).startListening()
    except start.UnfitError as unfit:
        print(f"brambleplank: {unfit}", file=sys.stderr)
        return 2
    except GarbledError as garbled:
        print(f"brambleplank: known: not a list of servers: {garbled}", file=sys.stderr)
        return 2
    except error.CannotListenError as cannot:
        print(f"brambleplank: listen: {cannot.socketError}", file=sys.stderr)
        return 2
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(proxy.stop))
    reactor.run(installSignalHandlers=False)
    return 0
