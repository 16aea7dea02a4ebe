"""One proxy, from the platform's configuration to its exit code."""

from __future__ import annotations

import signal
import sys
from typing import Any

from twisted.internet import error

from brambleplank.checks import UnfitError
from brambleplank.fronts.line.clients import Clients
from brambleplank.fronts.line.ping import Ping
from brambleplank.net.buffers import BACKLOG, Listener
from brambleplank.net.clock import Clock
from brambleplank.net.faults import watch
from brambleplank.net.log import Log
from brambleplank.net.loop import reactor
from brambleplank.net.peers import Peers
from brambleplank.net.proxy import Proxy
from brambleplank.platform import start
from brambleplank.sources.platform.discovery import Discovery


class Program:
    """A proxy of the platform and what it was told."""

    def __init__(self, told: start.Told) -> None:
        self.told = told
        clock = Clock()
        proxy = self.proxy = Proxy(clock, Log(clock.now), told.terms, told.seed, told.descriptors, Ping)
        proxy.emptied = reactor.stop
        self.discovery = proxy.source = Discovery(proxy, told.discovery)
        if told.peer_listen:
            proxy.peers = Peers(
                lambda call: clock.later(0, call), proxy.time_told, proxy.held_told, proxy.home_told,
                told.peers_all, told.peers,
            )
            # An upgrade's second process hears beside this one.
            host, port = told.peer_listen
            reactor.listenMulticast(port, proxy.peers, interface=host, listenMultiple=bool(told.mgmt))
        self.discovery.begin(told.known)

    def read_again(self) -> None:
        """SIGHUP: what can change while flows stand is taken up; what stands is not touched.

        Danger: a torn or wrong file must cost nothing; the values held stay good.
        """
        proxy = self.proxy
        try:
            told = start.read(self.told)
        except UnfitError as unfit:
            proxy.log(f"reload: kept as it was: {unfit}")
            return
        before = self.told.file
        keys = [key for key in start.changed(before, told.file) if not key.startswith(start.UNREAD)]
        taken = [start.shown(key, before, told.file) for key in keys if start.live(key)]
        waits = [key for key in keys if not start.live(key)]
        proxy.log(
            f"reload: taken up: {', '.join(taken) or 'nothing'}"
            + (f"; wait for a restart: {', '.join(waits)}" if waits else "")
        )
        if told.terms != self.told.terms:
            proxy.retune(told.terms)
        proxy.door.descriptors = told.descriptors
        if proxy.peers:
            proxy.peers.reach(told.peers_all, told.peers)
        if told.discovery != self.told.discovery:
            self.discovery.turn_to(told.discovery)
        self.told = told


def open_for_operators(proxy: Proxy, where: tuple[str, int]) -> None:
    """Danger to the platform's limits: what only operators need is imported only where they may call."""
    from brambleplank.fronts.management.calls import MOST_CALLERS, Callers

    factory: Any = Callers(proxy)
    reactor.listenTCP(where[1], factory, backlog=MOST_CALLERS, interface=where[0])


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # Danger: one that comes before all is set up would end it.
    try:
        told = start.read()
        program = Program(told)
        clients: Any = Clients(program.proxy)
        listener: Any = Listener(told.listen[1], clients, BACKLOG, told.listen[0], reactor)
        # An upgrade's second process listens beside this one.
        listener._reusePort = bool(told.mgmt)
        program.proxy.door.listeners.append(listener)
        if told.mgmt:
            open_for_operators(program.proxy, told.mgmt)
        listener.startListening()
    except UnfitError as unfit:
        print(f"brambleplank: {unfit}", file=sys.stderr)
        return 2
    except error.CannotListenError as cannot:
        at = (cannot.interface, cannot.port)
        key = "listen" if at == told.listen else "mgmt" if at == told.mgmt else "peer_listen"
        print(f"brambleplank: {key}: {cannot.interface}:{cannot.port}: {cannot.socketError}", file=sys.stderr)
        return 2
    watch(program.proxy)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(program.proxy.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(program.read_again))
    reactor.run(installSignalHandlers=False)
    return 0
