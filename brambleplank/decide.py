"""Every decision of brambleplank, for one proxy: a host makes a `Balancer`, which answers through its `Host`.

A flow runs down a chain of small stages: `Promise` (one answer in time), `Ring` (whom it belongs to), `Gate`
(how many connects may be out), `Launch` (the connect). Those between forbid servers where a rule is at stake,
or avoid them on evidence, by degrees; the ring takes the least avoided, and rejects where only harm is left.
What comes back runs up the chain. The ring is the DTS paper's; `docs/design.md` says when exceptions act.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from itertools import chain
from math import ceil, exp, inf, sqrt
from random import Random
from typing import Any

from brambleplank.host import Condition, Effect, End, Entry, Host, ServiceType, Terms
from brambleplank.records import POINTS, SPOT_CUT, Connect, Flow, Server, place_on_ring

BOUND_FACTOR, BOUND_SPARE = 2, 2  # an owner is full at twice the mean count plus two
FULL, SLOW, HARMFUL = 1, 2, 3  # how strongly evidence speaks against a server
TRUSTED = 8  # connects in a row that went well, doubling from one, before a server is trusted again
NEVER_RAN = (End.FULL, End.UNREACHABLE, End.MOOT)
TOO_UNUSUAL, LEARNING = 3.0, 1 / 8  # a silence that one gap in 1,000 outlasts; weight of the newest
NEWS_PERIOD = 1.0  # seconds between two tellings of a server's message time, as hosts give them
MOST, HALF_OPEN = 1 / 2, 1 / 4  # shares of failed connects: the gate narrows; where it then starts anew
RELIEF, DEGREE = 1 / 3, 1 / 4  # of its own on a slow server, moved a telling; over its share, a degree worse
ASKED, LEAST_TOLD, KEPT = 2, 1 / 8, 3  # the word for a turn; least change of a sum told; tellings it holds
WHOLE_EVERY, MOST_TOLD, MOST_HOMES = 12, 255, 4096  # tellings to a whole one; counts told; told homes kept
ROOM_KEPT, LAST_PART = 1 / 8, 2 / 5  # of the descriptors, for answers and the list; of a stop, for moves
MANY = 150  # processes, over which the flows for one server are spread


class Stage:
    """One step of the chain; what a stage leaves out passes everything on."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer, self.terms = balancer, balancer.terms

    def onward(self, now: float, flow: Flow) -> bool:
        """True passes the flow on; False keeps or ends it."""
        return True

    def forbids(self, now: float, flow: Flow, server: Server) -> bool:
        return False

    def avoids(self, now: float, flow: Flow, server: Server) -> int:
        """How strongly evidence speaks against the server: 0 not at all, HARMFUL: rather reject."""
        return 0

    def stands(self, now: float, connect: Connect, delay: float) -> None:
        """The connect is established."""

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        """The connect is over."""


class Promise(Stage):
    """One final answer, ahead of the connect timeout; what is given up on is answered at once."""

    def onward(self, now: float, flow: Flow) -> bool:
        room, left = self.balancer.host.room(), flow.give_up_at - self.balancer.margin - now
        if not flow.connects:
            self.balancer.host.alarm(max(0.0, left), lambda at: self.expire(at, flow))
        # Danger: with no descriptor left, nothing can be connected, accepted or followed any more.
        if left > 0 and room > ROOM_KEPT and len(flow.connects) < flow.service_type.max_connects:
            return True
        return self.balancer.give_up(flow)

    def expire(self, now: float, flow: Flow) -> None:
        if flow.answered or (flow.out and flow.out.established):
            return
        if flow.out and self.terms.cancelling:
            self.balancer.host.withdraw(flow, len(flow.connects) - 1)
        self.balancer.give_up(flow)

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        if not connect.flow.answered:
            self.balancer.place(now, connect.flow)


class Drain(Stage):
    """Nothing new to a server that drains or is gone. A mid-flow flow may still reach it within the grace."""

    def forbids(self, now: float, flow: Flow, server: Server) -> bool:
        return server.condition is not Condition.READY and (
            not flow.midflow or server.condition is Condition.GONE
            or now >= server.unready_since + self.terms.drain_grace / 2)


class Effects(Stage):
    """No effect twice: where a flow may go once a connect of it may have run."""

    def forbids(self, now: float, flow: Flow, server: Server) -> bool:
        first, kind = flow.may_have_run, flow.service_type
        if first is None or kind.effect is Effect.REPEATABLE:
            return False
        late = now + self.terms.connect_within + self.balancer.margin  # Danger: it is sent once it is up
        if kind.effect is Effect.ONCE_ONLY or late >= first.sent + kind.window:
            return True
        beyond = {"all": False, "zone": server.zone != first.server.zone}
        return beyond.get(kind.group, server.cell != first.server.cell)

    def avoids(self, now: float, flow: Flow, server: Server) -> int:
        return FULL if any(c.server is server for c in flow.connects) else 0


class Cold(Stage):
    """Lets a server that has just started have only this proxy's own share of its budget.

    Danger: all at once push it over. So its budget is cut into tickets; where a keeper hears all, it deals.
    """

    def forbids(self, now: float, flow: Flow, server: Server) -> bool:
        if not self.cold(now, server) or flow.turn is server:
            return False
        if self.balancer.hears_keeper(now):
            return flow.asked
        return self.tickets(now, server, [self.terms.number]) <= server.cold_sent  # a new slot first

    def tickets(self, now: float, server: Server, numbers: Iterable[int]) -> int:
        """How many of this slot's the proxies of these numbers have together."""
        first, proxies = server.points[self.slot(now, server) % POINTS], self.terms.proxies
        budget = self.budget(now, server) * self.periods()
        return sum(max(0, ceil((budget - (number + first) % proxies) / proxies)) for number in numbers)

    def periods(self) -> int:
        """Fall times in a slot: where each of many processes rarely has a flow for it, most tokens lapse."""
        rarely = self.terms.proxies >= MANY and self.balancer.most <= self.balancer.warm
        return 2 if rarely and not self.terms.peers else 1

    def slot(self, now: float, server: Server) -> int:
        if server.cold_slot != (slot := int((now - server.started) / self.terms.fall_time / self.periods())):
            server.cold_slot, server.cold_sent = slot, 0
        return slot

    def cold(self, now: float, server: Server) -> bool:
        return server.started > max(0.0, now - self.terms.ramp_time)

    def budget(self, now: float, server: Server) -> float:
        """Connects of all proxies in a slot; one harms nobody."""
        able = 1 - (1 - self.terms.cold_from) * (1 - (now - server.started) / self.terms.ramp_time)
        fleet = 1.0 if self.balancer.summed else self.terms.proxies / (1 + len(self.balancer.peers))
        stood = fleet * self.balancer.usual() * len(self.balancer.able)
        # Danger: what one proxy serves, taken for what each does, is far off where clients are uneven.
        alike = min(self.terms.proxies, max(fleet, stood) / max(1, self.balancer.held))
        stands = stood * server.size / self.balancer.usual_size / self.terms.ramp_time
        a_second = max(stands, alike * self.balancer.served_rate(now)) * able / max(1, self.balancer.warm)
        most = self.terms.overload_factor * a_second * self.terms.fall_time
        return max(1.0, min(most, most / 2 + sqrt(most)))  # Danger: any time touches two slots, rounded up

    def onward(self, now: float, flow: Flow) -> bool:
        server, balancer = flow.target, self.balancer
        turn, flow.turn = flow.turn is server, None  # Danger: kept, it lets a further connect go.
        if turn or not self.cold(now, server) or not balancer.hears_keeper(now):
            server.cold_sent += not turn
            return True
        flow.asked, server.asking[flow] = True, None
        if balancer.keeper == self.terms.number:
            self.dealt(now, server, self.deal(now, server))
        else:
            balancer.host.tell_turn(server, balancer.keeper, ASKED)
            late = partial(self.dealt, server=server, may=False, flow=flow)
            balancer.host.alarm(self.terms.shortest_setup / 4, late)
        return False

    def deal(self, now: float, server: Server) -> bool:
        """Whether one more may go there: said by the keeper alone, of the tickets of those that it hears."""
        numbers = [*self.balancer.peers, self.terms.number]
        may = self.balancer.hears_keeper(now) and self.tickets(now, server, numbers) > server.cold_sent
        server.cold_sent += may
        return may

    def dealt(self, now: float, server: Server, may: bool, flow: Flow | None = None) -> None:
        """The answer to who has asked first, or no answer in time."""
        if (flow := flow or next(iter(server.asking), None)) in server.asking:
            del server.asking[flow]
            flow.turn = server if may else None
            if not flow.answered:
                self.balancer.place(now, flow)


class Health(Stage):
    """Sets aside a server whose silence is unusual, and lets a trickle through that doubles."""

    def avoids(self, now: float, flow: Flow, server: Server) -> int:
        self.watch(now, server)
        trickle = server.trickle
        return HARMFUL * (trickle > 0 and (now < server.retry_at or len(server.waiting) >= trickle))

    def unusual(self, now: float, server: Server) -> float:
        """How unusual the present silence is: minus the logarithm of the share of gaps that outlast it."""
        oldest = next(iter(server.waiting), None)
        silence = server.silence + (now - oldest.sent if oldest else 0.0)
        return 0.4343 * silence / max(server.gap, self.balancer.gap, self.terms.shortest_setup / 4)

    def watch(self, now: float, server: Server) -> None:
        if server.trickle == 0 and self.unusual(now, server) > TOO_UNUSUAL:
            self.set_aside(now, server, "silent")

    def set_aside(self, now: float, server: Server, why: str) -> None:
        first, ready = server.trickle == 0, self.balancer.ready
        if first and 2 * sum(s.trickle > 0 for s in ready) >= len(ready):
            return  # Danger: if most look ill the cause is shared, and setting all aside helps nobody.
        server.pause = self.terms.shortest_setup if first else min(2 * server.pause, self.terms.ramp_time)
        server.trickle, server.silence, server.dead = 1, 0.0, why != End.ERROR.value
        self.balancer.some_dead = True
        server.retry_at = now + server.pause * self.balancer.rng.uniform(0.75, 1.25)
        if first:
            self.balancer.host.log(f"{server.id} set aside: {why}")

    def stands(self, now: float, connect: Connect, delay: float) -> None:
        server = connect.server
        server.silence, server.dead = 0.0, False
        server.gap = server.gap + LEARNING * (delay - server.gap) if server.gap else delay
        self.balancer.gap += LEARNING * (delay - self.balancer.gap) if self.balancer.gap else delay
        if server.trickle:
            server.trickle *= 2
            if server.trickle >= TRUSTED:
                server.trickle = 0
                self.balancer.host.log(f"{server.id} trusted again")

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        server = connect.server
        shared = self.balancer.gate.window < inf and end in (End.ERROR, End.TIMEOUT)  # not its fault
        if connect.established or shared or end in (End.OK, End.CANCELLED, End.MOOT):
            return
        server.silence += delay if end is End.TIMEOUT else 0.0
        if end is End.TIMEOUT and not server.trickle:
            self.watch(now, server)
        else:
            self.set_aside(now, server, end.value)


class Strain(Stage):
    """Passes over a server that shows it has too much: slow messages, or connections it has dropped."""

    # Danger: its clients come again at once, the ring places them there, they are dropped again, and so on.

    looked, strained_until, is_short = 0.0, 0.0, False

    def avoids(self, now: float, flow: Flow, server: Server) -> int:
        if flow.midflow:
            return 0
        if now < server.dropping_until or (now < server.late_until and self.short(now)):
            return HARMFUL
        if now < server.slow_until or server.held or not flow.returned or self.balancer.peers:
            return SLOW if now < server.slow_until else 0
        # Danger: another proxy broke or moved it, for a reason that this one is not told; the owner likelier.
        likely = (3 if server is self.balancer.ring.owner(flow.spot) else 2) * (1 - 2 / self.terms.proxies)
        likely *= self.balancer.usual_size / server.size
        return SLOW if 4 * self.balancer.rng.random() < likely else 0

    def slow(self, now: float, server: Server, seconds: float) -> None:
        if seconds > self.terms.shortest_message / 3:
            server.slow_until = now + 3 * NEWS_PERIOD * self.balancer.sparse()
            self.strained_until = max(self.strained_until, server.slow_until)
            server.late_until = server.slow_until if seconds > self.terms.shortest_message else now
            self.relieve(now, server, seconds / self.terms.shortest_message)
        else:
            server.slow_until, server.late_until = min(now, server.slow_until), min(now, server.late_until)

    def short(self, now: float) -> bool:
        """Whether over a fifth of the servers with news here, and over two, show strain; twice a telling."""
        if now >= self.looked + NEWS_PERIOD / 2:
            self.balancer.look(now)
            busy, self.looked = now < self.strained_until, now
            able = [s for s in self.balancer.able if s.held or now < s.dropping_until] if busy else []
            short = sum(now < max(s.slow_until, s.dropping_until) for s in able) > max(2, len(able) / 5)
            if short != self.is_short:
                self.is_short = short
                self.balancer.host.log("fleet short of room" if short else "fleet has room again")
        return self.is_short

    def reach(self, now: float, flow: Flow) -> float:
        """How many servers round the ring a flow may look at."""
        # Danger: every server that holds any of a group pays for it; without room each step aside costs more.
        steps = 1 + self.balancer.members.get(flow.spot, 0) // max(1.0, self.balancer.mean())
        return steps if self.short(now) else inf

    def relieve(self, now: float, server: Server, lateness: float) -> None:
        """Moves the smallest group there to where the ring sends it; of a large one, part of the excess."""
        # Danger: a server with too much stays slow while its connections live, and a group shares its work.
        if not server.groups or (self.short(now) and lateness <= 1):
            return  # Danger: a fleet short of room only chases its groups from server to server.
        smallest = min(server.groups, key=lambda spot: (len(server.groups[spot]), spot))
        flows = list(server.groups[smallest])
        if len(flows) > self.balancer.mean() / 2 + 1:
            share = self.balancer.mean() * server.size / self.balancer.usual_size
            most = max(int(RELIEF * (server.held - share)), lateness > 1)
            flows = flows[-most:] if most else []
        relief = min(1.0, lateness) * RELIEF / (4 if self.balancer.summed and self.short(now) else 1)
        if self.balancer.rng.random() * len(flows) > relief * server.held:
            return  # Danger: hundreds of proxies with a connection each there empty it in one second.
        for flow in flows:
            self.balancer.send_off(flow)

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        if connect.established and end is End.RESET:
            if now >= connect.server.dropping_until:
                self.balancer.host.log(f"{connect.server.id} drops connections")
            connect.server.dropping_until = now + self.terms.fall_time * self.balancer.sparse()
            self.strained_until = max(self.strained_until, connect.server.dropping_until)


class Pace(Stage):
    """Refills a server whose strain has ended by a trickle that doubles."""

    # Danger: every proxy sees it fit in the same second and sends it all who wait; it drops them soon after.

    def recent(self, now: float, server: Server) -> float:
        return server.recent * exp((server.recent_at - now) / self.terms.fall_time)

    def avoids(self, now: float, flow: Flow, server: Server) -> int:
        calm = min(64.0, (now - max(server.slow_until, server.dropping_until)) / (2 * NEWS_PERIOD))
        return HARMFUL if self.recent(now, server) >= 2**calm and not flow.midflow else 0

    def onward(self, now: float, flow: Flow) -> bool:
        flow.target.recent, flow.target.recent_at = self.recent(now, flow.target) + 1, now
        return True


class Ring(Stage):
    """The owner of the flow's arc, or the next distinct server that no stage speaks against."""

    def __init__(self, balancer: Balancer) -> None:
        super().__init__(balancer)
        self.points: list[int] = []
        self.owners: dict[int, Server] = {}  # by their points
        self.servers: dict[Server, None] = {}
        self.forbid: list[Callable[[float, Flow, Server], bool]] = []  # of the stages that have a say
        self.avoid: list[Callable[[float, Flow, Server], int]] = []
        self.usual = 0.0  # held on a warm server, as the present flow finds it

    def build(self, servers: list[Server]) -> None:
        """Danger: with hundreds of servers a full sort at each change costs more than all flows."""
        fresh, kept = dict.fromkeys(servers), len(self.points)
        for server in [s for s in self.servers if s not in fresh]:
            for point in server.points:
                self.owners.pop(point, None)
        if len(self.owners) < kept:
            self.points = [point for point in self.points if point in self.owners]
        come = [s for s in fresh if s not in self.servers]
        for server in come:
            self.owners.update(dict.fromkeys(server.points, server))
            self.points += server.points
        if come:
            self.points.sort()
        self.servers = fresh

    def owner(self, spot: int) -> Server | None:
        return self.owners[self.points[bisect_right(self.points, spot) - 1]] if self.points else None

    def round(self, spot: int) -> Iterator[Server]:
        """The distinct servers from the spot's owner on."""
        start = bisect_right(self.points, spot) - 1
        seen: set[Server] = set()
        for i in range(start, start + len(self.points)):
            server = self.owners[self.points[i % len(self.points)]]
            if server not in seen:
                seen.add(server)
                yield server
                if len(seen) == len(self.servers):
                    return

    def avoids(self, now: float, flow: Flow, server: Server) -> int:  # the paper's ring with our skip
        # Danger: those who come back in waves pile up on the one server that nobody sees strained.
        count, share = server.held + server.others, server.size / self.balancer.usual_size * self.usual
        if flow.midflow or count <= (share if flow.returned else BOUND_FACTOR * self.usual) + BOUND_SPARE:
            return 0
        worst = HARMFUL if count > BOUND_FACTOR * self.balancer.borne * server.size + BOUND_SPARE else SLOW
        return min(worst, FULL + int(max(0.0, count / (share + BOUND_SPARE) - 1) / DEGREE))

    def onward(self, now: float, flow: Flow) -> bool:
        target, least, self.usual = None, HARMFUL, self.balancer.usual()
        # Danger: each proxy finds a displaced group a home of its own, and every one pays for the group.
        home = self.balancer.home_told_of(now, flow.spot) or self.balancer.homes.get(flow.spot)
        steps = self.balancer.strain.reach(now, flow)
        for server in chain([home] if home else [], self.round(flow.spot)):
            if any(forbids(now, flow, server) for forbids in self.forbid):
                continue
            against = max(avoids(now, flow, server) for avoids in self.avoid)
            if against < least:
                target, least = server, against
                if not against:
                    break
            steps -= not (server.trickle or any(c.server is server for c in flow.connects))
            if steps <= 0:
                break
        if target is None:  # Danger: where all that may take it drop connections, one more drops another.
            return self.balancer.give_up(flow)
        flow.target = target
        return True


class Gate(Stage):
    """Caps the connects out while most of them fail wherever they go."""

    # Danger: something shared stands behind the servers; once late, repeats keep it late after its cause.

    out, failing, window = 0, 0.0, inf  # connects out; share of them that failed lately; how many may be out

    def onward(self, now: float, flow: Flow) -> bool:
        if self.out + self.balancer.rng.random() >= self.window and (flow.connects or not flow.midflow):
            return self.balancer.give_up(flow)
        self.out += 1
        return True

    def stands(self, now: float, connect: Connect, delay: float) -> None:
        self.out -= 1
        self.failing -= LEARNING * self.failing
        self.window += min(1.0, self.window)
        if self.window < inf and self.failing < LEARNING / 2:
            self.window = inf
            self.balancer.host.log("gate open: connects are answered again")

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        if connect.established:
            return
        self.out -= 1
        if end not in (End.ERROR, End.TIMEOUT, End.CANCELLED):
            return
        self.failing += LEARNING * (1 - self.failing)
        if self.failing > MOST:
            if self.window == inf:
                self.balancer.host.log("gate narrows: most connects fail, whichever server they go to")
            self.window = max(LEARNING, min(self.window, self.out) / 2)
            self.failing = HALF_OPEN


class Launch(Stage):
    """Makes the connect, and says how long to wait for it."""

    def onward(self, now: float, flow: Flow) -> bool:
        connect = Connect(flow, flow.target, now)
        flow.connects.append(connect)
        flow.may_have_run = flow.may_have_run or connect
        connect.server.waiting[connect] = None
        self.balancer.hold(connect.server, 1)
        self.balancer.host.connect(flow, connect.server, self.wait(now, flow))
        return True

    def wait(self, now: float, flow: Flow) -> float:
        left = flow.give_up_at - self.balancer.margin - now
        if len(flow.connects) >= flow.service_type.max_connects or self.balancer.gate.failing > HALF_OPEN:
            return left  # Danger: what is shared is late; an early time-out asks it twice.
        return min(max(flow.service_type.setup_target, 4 * self.balancer.gap), left / 2)

    def stands(self, now: float, connect: Connect, delay: float) -> None:
        connect.server.waiting.pop(connect, None)
        self.balancer.settle(now, connect)

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        connect.over, connect.flow.midflow = True, False  # whatever held it, it is set up anew from here on
        self.balancer.leave(connect.flow)
        connect.server.waiting.pop(connect, None)
        self.balancer.hold(connect.server, -1)
        if connect.flow.may_have_run is connect and end in NEVER_RAN:
            connect.flow.may_have_run = None


class Balancer:
    """One proxy's decisions."""

    def __init__(self, host: Host[Flow, Server], terms: Terms, seed: int) -> None:
        self.host, self.terms, self.rng = host, terms, Random(seed)
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.able: list[Server] = []  # those of them that are warm
        self.held, self.most, self.usual_size = 0, 0, 1.0  # on ready servers, and the most; mean size
        self.standing, self.sizes = 0, 0.0  # held on all servers; their sizes together
        self.newest, self.some_dead, self.warm = 0.0, False, 0  # latest start; may one be dead; how many warm
        self.gap, self.margin = 0.0, 2 * terms.tick  # usual time to an answer, over the fleet; a spare
        self.peers: dict[Any, float] = {}  # proxies that told what they hold, and when
        self.told_of: dict[Server, int] = {}  # what this one told
        self.keeper: Any = None  # the number of the proxy that sums what all hold, if one does
        self.keeper_at, self.summed = 0.0, False  # when it last said so; whether `others` is by its sums
        self.begun, self.whole_at = -1.0, 0.0  # when the first list came; when it tells all it holds again
        self.served = self.served_at = self.borne = 0.0  # ends that were well, fading; most held, by size
        self.running: list[Callable[[float], None]] = []  # what goes on by alarms of its own
        self.failures, self.stop_at = 0, inf  # calls for the list that failed in a row; end of a planned stop
        self.ring = Ring(self)
        self.homes: dict[int, Server] = {}  # where displaced groups went, by their place on the ring
        self.untold: dict[int, Server] = {}  # new ones that are told soon, if no other proxy tells them first
        self.homes_told: dict[int, tuple[Server, float]] = {}  # as other proxies say, and until when it holds
        self.members: dict[int, int] = {}  # established flows of each group here
        self.promise, self.cold, self.strain, self.gate = Promise(self), Cold(self), Strain(self), Gate(self)
        self.chain: list[Stage] = [
            self.promise, self.ring, Drain(self), Effects(self), self.cold, Health(self), self.strain,
            Pace(self), self.gate, Launch(self),
        ]
        self.ring.forbid = [s.forbids for s in self.chain if type(s).forbids is not Stage.forbids]
        self.ring.avoid = [s.avoids for s in self.chain if type(s).avoids is not Stage.avoids]

    def flow(
        self, now: float, handle: Any, kind: ServiceType, key: int | None, group: int | None,
        give_up_at: float, midflow: bool, returned: bool, server: Server | None = None,
    ) -> Flow:
        named = b"group %d" % group if group is not None else b"key %d" % key if key is not None else b""
        spot = place_on_ring(named) if named else self.rng.getrandbits(128)
        flow = Flow(handle, kind, spot, group is not None, min(give_up_at, self.stop_at), midflow, returned)
        if server is None:
            self.place(now, flow)
        else:
            flow.connects.append(Connect(flow, server, now))
            self.hold(server, 1)
            self.settle(now, flow.connects[0])
        return flow

    def mean(self) -> float:
        return self.held / max(1, len(self.able))

    def usual(self) -> float:
        """The mean count on warm servers, of this proxy and all that have told theirs."""
        others = sum(s.others for s in self.able) if self.peers else 0
        return (self.held + others) / max(1, len(self.able))

    def hears_keeper(self, now: float) -> bool:
        return self.keeper is not None and now < self.keeper_at + 1.5 * NEWS_PERIOD

    def turn_told(self, now: float, peer: Any, server: Server, word: int) -> None:
        if word == ASKED:
            self.host.tell_turn(server, peer, int(self.cold.deal(now, server)))
        else:
            self.cold.dealt(now, server, bool(word))

    def forget(self, teller: Any) -> None:
        self.summed = self.summed and teller != self.keeper
        self.peers.pop(teller, None)
        for server in self.servers.values():
            server.others -= server.elsewhere.pop(teller, 0)

    def tell_held(self, now: float) -> None:
        """Tells the other proxies what has changed here, and whole now and then, as some may be lost."""
        # Danger: where each of many holds a few connections, nobody sees a server fill up. If each told all,
        # the price would grow by the square of them: so one of them, the keeper, sums for all who hear of it.
        self.tell_changes(now)
        for peer in [p for p, at in self.peers.items() if p != self.keeper and now > at + KEPT * NEWS_PERIOD]:
            self.forget(peer)
        silence = KEPT * NEWS_PERIOD * self.rng.uniform(0.5, 1.0)
        if self.keeper != self.terms.number and now > self.keeper_at + silence:
            self.forget(self.keeper)
            self.keeper, self.whole_at = self.terms.number, now + NEWS_PERIOD / 2
            for server in self.servers.values():  # Danger: what others sent ahead of it, it does not know.
                server.cold_slot, server.cold_sent = self.cold.slot(now, server), MOST_TOLD
            self.host.tell_held([], False, None, True)  # so that all say to it, whole, what they hold
        self.host.alarm(NEWS_PERIOD * self.rng.uniform(0.75, 1.25), self.tell_held)

    def tell_changes(self, now: float) -> None:
        whole, keeps = now >= self.whole_at, self.keeper == self.terms.number
        count = {s: min(s.held + (s.others if keeps else 0), MOST_TOLD) for s in self.ready}
        least, of = LEAST_TOLD if keeps else 0.0, self.told_of
        told = {s: n for s, n in count.items() if (n if whole else abs(n - of.get(s, 0)) > least * n)}
        self.host.tell_held(list(told.items()), whole, None if keeps else self.keeper, keeps)
        self.told_of = told if whole else {**self.told_of, **told}
        self.whole_at = now + WHOLE_EVERY * NEWS_PERIOD if whole else self.whole_at
        self.keeper_at = now if keeps else self.keeper_at

    def held_told(
        self, now: float, peer: Any, held: Iterable[tuple[Server, int]], whole: bool, summed: bool = False
    ) -> None:
        if summed or (self.summed and self.hears_keeper(now)):  # Danger: what sums have would count twice.
            return self.sum_told(now, peer, dict(held), whole) if summed else None
        if self.keeper == self.terms.number and self.hears_keeper(now) and peer not in self.peers:
            sums = [(server, min(server.held + server.others, MOST_TOLD)) for server in self.ready]
            self.host.tell_held(sums, True, peer, True)  # Danger: who starts anew would not know who is full.
        self.peers[peer] = now
        gone = {server: 0 for server in self.servers.values() if whole and peer in server.elsewhere}
        for server, count in {**gone, **dict(held)}.items():
            # Danger: a confused peer makes sound servers look full; none holds so much more than this did.
            count = min(count, BOUND_FACTOR * self.most + 8 * BOUND_SPARE)
            server.others += count - server.elsewhere.get(peer, 0)
            server.elsewhere[peer] = count

    def sum_told(self, now: float, peer: Any, sums: dict[Server, int], whole: bool) -> None:
        """The keeper tells what all hold, this proxy among them."""
        if peer != self.keeper:
            if self.hears_keeper(now) and peer > self.keeper:
                return  # of two that began at once, the one with the lower number goes on
            self.keeper, self.whole_at = peer, now
        self.keeper_at, self.summed = now, self.summed or bool(sums)
        self.peers = {peer: now} if self.summed else self.peers
        for server in self.servers.values() if whole else sums:
            # Danger: what the process before holds at its own proxy is in the sum, and would count twice.
            beside = {who: n for who, n in server.elsewhere.items() if not isinstance(who, int)}
            server.others = max(sum(beside.values()), sums.get(server, 0) - self.told_of.get(server, 0))
            server.elsewhere = {**beside, peer: server.others - sum(beside.values())}

    def sparse(self) -> float:
        """How much longer evidence holds here, where fewer than one connection a server brings news."""
        return min(self.terms.ramp_time / self.terms.fall_time, 1 / min(1.0, self.mean() + 0.01))

    def look(self, now: float) -> None:
        """Danger: servers that have just joined, or are dead, look like room, and the others too full."""
        warm, self.able = max(0.0, now - self.terms.ramp_time), self.ready
        self.warm = sum(s.started <= warm for s in self.ready)
        if self.newest > warm or self.some_dead:
            self.able = [s for s in self.ready if not (s.dead or s.started > warm)] or self.ready
        held = self.standing + (sum(s.others for s in self.servers.values()) if self.peers else 0)
        self.borne = max(self.borne, held / max(1.0, self.sizes))

    def measure(self, now: float) -> None:
        """Probes this zone's servers; from afar a probe's delay says less, so only for want of another."""
        for server in self.ready:  # Danger: unspoken of, none sees its strain; a cold one falls by probes.
            silent = now - max(server.told_at, self.begun) > NEWS_PERIOD * self.rng.uniform(4, 8)
            near = server.zone == self.terms.zone or (self.terms.peers and server.held and silent)
            if near and now >= server.probe_at and (self.terms.peers or not self.cold.cold(now, server)):
                server.probe_at = now + self.between_probes(now, server)
                self.host.probe(server)
        self.host.alarm(NEWS_PERIOD * self.rng.uniform(1 / 16, 1 / 8), self.measure)

    def between_probes(self, now: float, server: Server) -> float:
        return NEWS_PERIOD * (3 if now >= max(server.slow_until, self.begun + 4 * NEWS_PERIOD) else 1)

    def served_rate(self, now: float) -> float:
        """Connections a second that ended well lately: what the servers carry, whatever storms arrive."""
        span, watched = self.terms.ramp_time, max(now - self.begun, self.terms.fall_time)
        return self.served * exp((self.served_at - now) / span) / (span * (1 - exp(-watched / span)))

    def place(self, now: float, flow: Flow) -> None:
        all(stage.onward(now, flow) for stage in self.chain)  # up to the one that keeps or ends it

    def give_up(self, flow: Flow) -> bool:
        """The final answer where no connect will serve: a reject wherever the rules allow one. Is False."""
        flow.answered = True
        effect, group = flow.service_type.effect, flow.service_type.group
        harmless = effect is Effect.REPEATABLE or (effect, group) == (Effect.REFERENCED, "all")
        if harmless or flow.may_have_run is None:
            pause = self.rng.uniform(0.5, 1.0) * self.terms.longest_pause if self.terms.retry_after else 0.0
            self.host.reject(flow, pause)
        else:
            self.host.abort(flow)
        return False

    def stop(self, now: float) -> None:
        """A planned stop: all that stands here, or soon will, is moved one by one while others take it up."""
        self.stop_at = now + self.terms.leave_within
        for server in self.servers.values():
            self.dismiss(now, *chain.from_iterable(server.groups.values()))
            for flow in [*(c.flow for c in server.waiting), *server.asking]:  # Danger: left unanswered.
                self.host.alarm(self.terms.leave_within, partial(self.promise.expire, flow=flow))

    def begin(self) -> None:
        """What is permitted starts, if it does not run yet; what no longer is, the host leaves undone."""
        for loop in [self.measure] * self.terms.measures + [self.tell_held] * self.terms.sums:
            if loop not in self.running:
                self.running.append(loop)
                self.host.alarm(NEWS_PERIOD * self.rng.random(), loop)

    def retune(self, terms: Terms) -> None:
        self.terms, self.margin = terms, 2 * terms.tick
        if self.begun >= 0:
            self.begin()
        for stage in self.chain:
            stage.terms = terms

    def resume(self, now: float) -> None:
        self.stop_at = inf

    def empty(self, now: float, server: Server) -> None:
        server.empty_by = now + self.terms.leave_within
        self.dismiss(now, *chain.from_iterable(server.groups.values()))

    def due(self, flow: Flow) -> float:
        return min(self.stop_at, flow.connects[-1].server.empty_by)

    def dismiss(self, now: float, *flows: Flow) -> None:
        # Danger: moved in one instant they all come back at once; moved early, while other proxies are down.
        for flow in flows:
            wait = self.due(flow) - self.terms.leave_within * self.rng.uniform(0.0, LAST_PART) - now
            self.host.alarm(max(0.0, wait), partial(self.let_go, flow))

    def let_go(self, flow: Flow, now: float) -> None:
        if self.due(flow) < inf:
            self.send_off(flow)

    def send_off(self, flow: Flow) -> None:
        self.host.move(flow)
        self.leave(flow)
        flow.answered = True

    def hold(self, server: Server, change: int) -> None:
        server.held += change
        self.standing += change
        self.held += change * (server.condition is Condition.READY)
        self.most = max(self.most, self.held)

    def settle(self, now: float, connect: Connect) -> None:
        connect.established = True
        spot, server = connect.flow.spot, connect.server
        self.members[spot] = self.members.get(spot, 0) + 1
        if server is not self.ring.owner(spot):
            self.homes[spot] = server
            if connect.flow.grouped and self.terms.sums:
                usual = (s for s in self.ring.round(spot) if s.condition is Condition.READY)
                if server is not (self.home_told_of(now, spot) or next(usual, None)):
                    if not self.untold:
                        self.host.alarm(NEWS_PERIOD / 4 * self.rng.random(), self.tell_homes)
                    self.untold[spot] = server
        server.groups.setdefault(spot, {})[connect.flow] = None
        if self.due(connect.flow) < inf:
            self.dismiss(now, connect.flow)

    def tell_homes(self, now: float) -> None:
        untold, self.untold = self.untold, {}
        homes = [(spot, s) for spot, s in untold.items() if self.home_told_of(now, spot) is not s]
        for spot, server in homes:
            self.home_told(now, spot, server)
        if homes:
            self.host.tell_homes(homes)

    def home_told(self, now: float, spot: int, server: Server) -> None:
        """Another proxy found a home for a displaced group, whose place on the ring is told in four bytes."""
        self.homes_told.pop(spot >> SPOT_CUT, None)
        self.homes_told[spot >> SPOT_CUT] = server, now + self.terms.ramp_time
        if len(self.homes_told) > MOST_HOMES:
            del self.homes_told[next(iter(self.homes_told))]

    def home_told_of(self, now: float, spot: int) -> Server | None:
        server, until = self.homes_told.get(spot >> SPOT_CUT, (None, 0.0))
        return server if server and now < until and server.condition is Condition.READY else None

    def leave(self, flow: Flow) -> None:
        """The flow's connection no longer counts for its group."""
        groups = flow.connects[-1].server.groups
        if flow in groups.get(flow.spot, ()):
            del groups[flow.spot][flow]
            self.members[flow.spot] -= 1
            if not self.members[flow.spot]:
                del self.members[flow.spot]
            if not groups[flow.spot]:
                del groups[flow.spot]
                if self.homes.get(flow.spot) is flow.connects[-1].server:
                    del self.homes[flow.spot]

    def established(self, now: float, flow: Flow, number: int, delay: float) -> None:
        flow.answered = True
        for stage in reversed(self.chain):
            stage.stands(now, flow.connects[number], delay)

    def connect_ended(
        self, now: float, flow: Flow, number: int, end: End, delay: float, complete: bool
    ) -> None:
        flow.answered = flow.answered or complete
        if end is End.OK:
            faded = self.served * exp((self.served_at - now) / self.terms.ramp_time)
            self.served, self.served_at = 1 + faded, now
        for stage in reversed(self.chain):
            stage.back(now, flow.connects[number], end, delay)

    def lapsed(self, now: float, flow: Flow) -> None:
        flow.answered = True

    def message_time_told(self, now: float, server: Server, seconds: float, measured: bool = False) -> None:
        self.strain.slow(now, server, seconds)
        if measured:
            unsaid = now >= server.told_at + 2 * NEWS_PERIOD
            if self.terms.peers and (server.zone == self.terms.zone or server.slow_until > now or unsaid):
                self.host.tell_peers(server, seconds)
        else:
            # Danger: a zone's proxies that probe at once wait behind each other, and call that strain.
            server.told_at = now
            server.probe_at = now + self.between_probes(now, server) * self.rng.uniform(1.5, 2.5)

    def silent(self, now: float, flow: Flow, seconds: float) -> None:
        # Danger: a dead machine says nothing; its clients wait there for as long as their connections stand.
        if seconds > self.terms.silence_within:
            flow.connects[-1].server.dropping_until = now + self.terms.fall_time
            self.strain.strained_until = max(self.strain.strained_until, now + self.terms.fall_time)
            self.send_off(flow)

    def list_told(self, now: float, entries: list[Entry], whole: bool) -> None:
        if self.begun < 0:
            self.begun = self.served_at = self.keeper_at = now
            self.begin()
            if not self.terms.push:
                self.host.follow_list()
        self.failures, named = 0, {entry[0] for entry in entries}
        for server in [s for s in self.servers.values() if whole and s.id not in named]:
            self.turn(now, server, Condition.GONE)
        for server_id, zone, cell, condition, size, started in entries:
            server = self.record(now, server_id)
            server.zone, server.cell, server.size = zone, cell, size
            self.turn(now, server, condition)
            if started > server.started:
                server.start(started)
        self.servers = {s.id: s for s in self.servers.values() if s.held or s.condition is not Condition.GONE}
        self.ready = [s for s in self.servers.values() if s.condition is Condition.READY]
        self.sizes = sum(s.size for s in self.servers.values())
        self.newest = max((s.started for s in self.ready), default=0.0)
        self.look(now)
        self.held = sum(s.held for s in self.ready)
        self.usual_size = sum(s.size for s in self.ready) / max(1, len(self.ready))
        self.ring.build([s for s in self.servers.values() if s.condition is not Condition.GONE])

    def record(self, now: float, server_id: str) -> Server:
        return self.servers.get(server_id) or self.servers.setdefault(server_id, Server(server_id, now))

    def turn(self, now: float, server: Server, condition: Condition) -> None:
        if server.condition is Condition.READY and condition is not Condition.READY:
            server.unready_since = now
        server.empty_by = inf if condition is Condition.READY else server.empty_by
        server.condition = condition

    def list_failed(self, now: float) -> None:
        """Danger: every proxy asks again at once and the list's one service never catches up."""
        self.failures = min(self.failures + 1, 3)
        wait = self.terms.ask_within / 16 * 2**self.failures
        self.host.alarm(wait * self.rng.uniform(0.5, 1.0), lambda at: self.host.follow_list())
