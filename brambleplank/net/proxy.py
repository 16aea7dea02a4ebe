"""The proxy: the `Host` of one balancer, between clients, servers and the list."""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable
from types import TracebackType
from typing import Any

from twisted.internet.base import DelayedCall

from brambleplank.decide import Balancer, Flow, Server
from brambleplank.host import Condition, End
from brambleplank.net.clients import TURNED_AWAY, Client
from brambleplank.net.discovery import Discovery, Entry, list_of
from brambleplank.net.door import Door
from brambleplank.net.log import Log
from brambleplank.net.loop import reactor
from brambleplank.net.peers import Peers
from brambleplank.net.probes import Probes
from brambleplank.net.servers import SILENT, Link, Reach
from brambleplank.net.start import LIVE, UNREAD, Told, UnfitError, changed, read

LOOK = 0.1  # seconds between two looks
TELLING = 1.0  # seconds between two tellings of one server, at least
TAKE_UP = 40.0  # seconds after the start in which connections from before it are taken up
LAST_COME = 0.5  # seconds after the call to stop in which clients may still come


class Proxy:
    def __init__(self, told: Told) -> None:
        # One clock: Unix time, since servers' starts are told in it, but never set back.
        self.anchor = time.time() - time.monotonic()
        self.started = self.now()
        self.log_lines = Log(self.now)
        self.told = told
        self.terms = told.terms
        self.descriptors, self.in_use = told.descriptors, 16
        self.door = Door(self)
        self.balancer = Balancer(self, self.terms, told.seed)
        self.discovery = Discovery(self, told.discovery)
        self.probes = Probes(self)
        self.peers: Peers | None = None
        if told.peer_listen:
            self.peers = Peers(self, told.peers_all, told.peers)
            reactor.listenUDP(told.peer_listen[1], self.peers, interface=told.peer_listen[0])
        self.serving = self.stopping = False
        self.clients: dict[Client, None] = {}
        self.shortest = min(kind.message_target for kind in self.terms.service_types.values())
        self.discovery.version, _, entries, addresses = list_of(told.known)
        self.discovery.newest = self.discovery.version or 0
        self.list_told(entries, addresses, True)
        self.later(LOOK, self.look)

    def now(self) -> float:
        return self.anchor + time.monotonic()

    def later(self, delay: float, call: Callable[..., object], *what: Any) -> DelayedCall:
        call_made: DelayedCall = reactor.callLater(max(0.0, delay), call, *what)
        return call_made

    def after_reads(self, delay: float, call: Callable[..., None], *what: Any) -> None:
        """Calls once what had arrived by then has been read.

        Danger: after a stall of this process timers come first, and would speak of what did come as missing.
        """
        self.later(delay, lambda: self.later(0, call, *what))

    def opened(self, change: int) -> None:
        self.in_use += change
        if change < 0:
            self.door.let_in()

    # What clients say.

    def came(self, client: Client, key: int, fields: dict[str, str]) -> None:
        """A flow."""
        group = int(fields["g"], 16) if self.terms.groups and "g" in fields else None
        now = self.now()
        self.clients[client] = None
        if "at" in fields:
            server = self.balancer.servers.get(fields["at"])
            drains = server is not None and server.condition is not Condition.READY
            if server is None or now > self.started + TAKE_UP or (
                drains and now > server.unready_since + self.terms.drain_grace / 2
            ):
                # Danger: said by anyone at any time, it would go past drains and coldness.
                client.finish("unplaced", b"FAIL")
                return
            client.links.append(Link(self, client, 0, self.reach(server), 0.0))
            client.at = (fields["c"], key, group, server)
            return
        client.flow = self.balancer.flow(
            now, client, fields["c"], key, group, client.came + int(fields["d"]) / 1000, False,
            fields.get("again") == "1",
        )

    def left(self, client: Client, reset: bool) -> None:
        """The client is gone."""
        if client.flow and not client.link:
            self.balancer.lapsed(self.now(), client.flow)
        for link in client.links:
            if not link.over:
                link.close(reset)
                if client.flow:
                    # Danger: clients that leave early would look like connects that fail and narrow the gate.
                    end = End.MOOT if not link.up else End.CANCELLED if reset else End.OK
                    self.balancer.connect_ended(
                        self.now(), client.flow, link.number, end, self.now() - link.sent, True
                    )

    def ended(self, client: Client) -> None:
        where = client.links[-1].reach.name if client.links else "-"
        age = self.now() - client.came if client.came else 0.0
        name = client.id or "-"
        tries = len(client.links)
        self.log_lines.say(
            f"end {client.done} {name} server={where} connects={tries} age={age:.3f}",
            turned_away=client.done in TURNED_AWAY,
        )
        if client.id:
            self.door.over(client.id)

    # What servers say.

    def reach(self, server: Server) -> Reach:
        found: Reach | None = server.handle
        if found is None:
            found = server.handle = Reach(server.id)
        return found

    def stands(self, link: Link) -> None:
        client, now = link.client, self.now()
        if client.at:
            kind, key, group, server = client.at
            client.flow = self.balancer.flow(now, client, kind, key, group, now, False, False, server)
            return
        if client.flow:
            self.balancer.established(now, client.flow, link.number, now - link.sent)

    def connect_over(self, link: Link, end: End, reset: bool) -> None:
        client, now = link.client, self.now()
        if link.up:
            code = {End.OK: "bye", End.CANCELLED: "drained", End.ERROR: "error"}.get(end, "broke")
            if end is End.ERROR and link.last != b"ERR":
                code = "unread"
            client.finish(code, reset=reset)
        elif client.at:
            client.finish("unplaced", b"FAIL")
        if client.flow:
            self.balancer.connect_ended(
                now, client.flow, link.number, end, now - link.sent, bool(client.done)
            )

    def load_told(self, link: Link, load: bytes) -> None:
        if self.terms.tells_load and link.client.flow:
            try:
                seconds = float(load)
            except ValueError:
                return
            self.balancer.load_told(self.now(), link.client.flow, link.number, seconds)

    def look(self) -> None:
        """Tells of connections that bring nothing back, and of their servers."""
        self.later(LOOK, self.look)
        now = self.now()
        longest: dict[Reach, float] = {}
        for client in list(self.clients):
            link = client.link
            if link and not link.over and link.asked and client.flow:
                longest[link.reach] = max(longest.get(link.reach, 0.0), now - link.asked)
                if now > link.asked + SILENT:
                    self.balancer.silent(now, client.flow, now - link.asked)
        for server in list(self.balancer.servers.values()):
            reach = self.reach(server)
            reach.waiting = longest.get(reach, 0.0)
            due = reach.waiting > self.shortest / 3 or (reach.told_long and not reach.delays)
            if due and now >= reach.told_at + TELLING:
                self.measured(server, 0.0)

    def measured(self, server: Server, seconds: float) -> None:
        """How long messages take at a server, by a probe or by the lines that wait there.

        Danger: a hung server answers probes at once; lines that it owes an answer to say more.
        """
        reach, now = self.reach(server), self.now()
        seconds = max(seconds, reach.waiting)
        reach.told_long, reach.told_at = seconds > self.shortest / 3, now
        self.balancer.message_time_told(now, server, max(0.0, seconds), measured=True)

    # What other proxies say.

    def peer_told(self, server_id: str, seconds: float, usual: float) -> None:
        if server := self.balancer.servers.get(server_id):
            self.reach(server).usual_told = usual or self.reach(server).usual_told
            self.balancer.message_time_told(self.now(), server, seconds)

    # What discovery says.

    def list_told(self, entries: list[Entry], addresses: dict[str, tuple[str, int]], whole: bool) -> None:
        now = self.now()
        for server_id, where in addresses.items():
            self.reach(self.balancer.record(now, server_id)).address = where
        self.balancer.list_told(now, entries, whole)
        self.probes.keep_to_ready()
        self.serving = self.serving or bool(self.balancer.ready)

    def list_failed(self, why: str) -> None:
        self.log_lines.say(f"list: {why}")
        self.balancer.list_failed(self.now())

    # Calls out of the decisions.

    def connect(self, flow: Flow, server: Server, max_wait: float) -> None:
        client: Client = flow.handle
        client.flow = flow
        client.links.append(Link(self, client, len(client.links), self.reach(server), max_wait))

    def withdraw(self, flow: Flow, number: int) -> None:
        client: Client = flow.handle
        link = client.links[number]
        if not link.over:
            end = End.CANCELLED if link.written() else End.MOOT
            link.close()
            self.later(0, self.tell_over, flow, link, end)

    def tell_over(self, flow: Flow, link: Link, end: End) -> None:
        now = self.now()
        self.balancer.connect_ended(now, flow, link.number, end, now - link.sent, flow.answered)

    def reject(self, flow: Flow, pause: float) -> None:
        client: Client = flow.handle
        client.finish("rejected", b"BUSY %d" % round(pause * 1000) if pause else b"BUSY")

    def abort(self, flow: Flow) -> None:
        client: Client = flow.handle
        client.finish("aborted", b"FAIL")

    def move(self, flow: Flow) -> None:
        client: Client = flow.handle
        link = client.link
        if link is None or link.over:
            return
        link.close()
        client.finish("moved", b"MOVE")
        self.later(0, self.tell_over, flow, link, End.CANCELLED)

    def probe(self, server: Server) -> None:
        self.probes.send(server)

    def tell_peers(self, server: Server, seconds: float) -> None:
        if self.peers:
            usual = self.probes.usual(server) if self.probes.near(server) else 0.0
            self.peers.tell(server.id, seconds, usual)

    def room(self) -> float:
        return 1 - self.in_use / self.descriptors

    def follow_list(self) -> None:
        self.discovery.follow()

    def alarm(self, delay: float, call: Callable[[float], None]) -> None:
        self.after_reads(delay, lambda: call(self.now()))

    def log(self, text: str) -> None:
        self.log_lines.say(text)

    # Start, faults and stop.

    def guarded(self, client: Client, call: Callable[..., None], *what: Any) -> None:
        """Danger: an exception between a flow's line and its answer would leave the client with neither."""
        try:
            call(*what)
        except Exception as error:
            self.fault(error, error.__traceback__)
            client.finish("fault", b"FAIL")

    def fault(self, error: BaseException, trace: TracebackType | None) -> None:
        """Danger: an exception that nobody sees. It has cost one connection; this line says where."""
        where = traceback.extract_tb(trace)[-1] if trace else None
        at = f"{where.filename.rsplit('/', 1)[-1]}:{where.lineno}" if where else "-"
        self.log_lines.say(f"fault {type(error).__name__} at {at}: {error}")

    def read_again(self) -> None:
        """SIGHUP: what can change while flows stand is taken up; what stands is not touched.

        Danger: a torn or wrong file must cost nothing; the values held stay good.
        """
        try:
            told = read(self.told)
        except UnfitError as unfit:
            self.log_lines.say(f"reload: kept as it was: {unfit}")
            return
        keys = [key for key in changed(self.told.file, told.file) if key not in UNREAD]
        waits = [key for key in keys if key not in LIVE]
        self.log_lines.say(
            f"reload: taken up: {', '.join(key for key in keys if key in LIVE) or 'nothing'}"
            + (f"; wait for a restart: {', '.join(waits)}" if waits else "")
        )
        self.descriptors = told.descriptors
        if self.peers:
            self.peers.reach(told.peers_all, told.peers)
        if told.discovery != self.told.discovery:
            self.discovery.turn_to(told.discovery)
        self.told = told

    def stop(self) -> None:
        """SIGTERM: the proxy empties, then the program ends."""
        if self.stopping:
            return
        self.stopping = True
        self.log_lines.say("stop: told to leave")
        self.balancer.stop(self.now())
        self.later(LAST_COME, self.empty)

    def empty(self) -> None:
        if self.clients:
            self.later(LOOK, self.empty)
        else:
            self.log_lines.say("stop: empty")
            reactor.stop()
