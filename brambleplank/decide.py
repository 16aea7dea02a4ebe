"""Every decision of brambleplank, for one proxy: a host makes a `Balancer`, which answers through its `Host`.

A flow runs down a chain of stages: `Promise` (one answer in time), `ConcurrencyLimiter` (how many attempts
are out), `Placement` (whom it belongs to), `Launch` (the attempt). Those between forbid servers by a rule, or
avoid them on evidence, by degrees; what comes back runs up the chain. `docs/design.md` says when each acts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from itertools import chain
from math import ceil, inf, sqrt
from random import Random
from typing import Any

from brambleplank.group_members import GroupMembers
from brambleplank.hash_ring import HashRing
from brambleplank.host import Condition, Effect, End, Entry, Host, ServiceType, Terms
from brambleplank.records import POINTS, Connect, FadingCount, Flow, Server, place_on_ring
from brambleplank.stage import Stage

Counts = Iterable[tuple[Server, int]]  # connections held, by server

BOUND_FACTOR, BOUND_SPARE = 2, 2  # an owner is full at twice the mean count plus two
FULL, SLOW, HARMFUL = 1, 2, 3  # how strongly evidence speaks against a server
TRUSTED = 8  # connects in a row that went well, doubling from one, before a server is trusted again
NEVER_RAN, NO_FAULT = (End.FULL, End.UNREACHABLE, End.MOOT), (End.OK, End.CANCELLED, End.MOOT)
NO_FAULT_IF_SHARED = (*NO_FAULT, End.ERROR, End.TIMEOUT)
TOO_UNUSUAL, LEARNING = 3.0, 1 / 8  # a silence that one gap in 1,000 outlasts; weight of the newest
NEWS_PERIOD = 1.0  # seconds between two tellings of a server's message time, as hosts give them
FLEET_START, FLEET_LEAST, RETRY_BURST = 128, 16, 4.0  # attempts of all out at first, at least; retries saved
RELIEF, DEGREE = 1 / 3, 1 / 4  # of its own on a slow server, moved a telling; over its share, a degree worse
ASKED, LEAST_TOLD, KEPT = 2, 1 / 8, 3  # the word for a turn; least change of a sum told; tellings it holds
WHOLE_EVERY, MOST_TOLD = 12, 2**21 - 1  # tellings to a whole one; counts told
ROOM_KEPT, LAST_PART = 1 / 8, 2 / 5  # of the descriptors, for answers and the list; of a stop, for moves
MEAN_GRANTED, SPREAD, MANY = 2 / 3, 1 / 4, 150  # of a cold budget; tries of each, if spread; processes


class Promise(Stage["Balancer"]):
    """One final answer, ahead of the connect timeout; what is given up on is answered at once."""

    def onward(self, now: float, flow: Flow) -> bool:
        room, left = self.balancer.host.room(), flow.give_up_at - self.balancer.margin - now
        # Danger: with no descriptor left, nothing can be connected, accepted or followed any more.
        if left > 0 and room > ROOM_KEPT and len(flow.connects) < flow.service_type.max_connects:
            return True
        return self.balancer.give_up(flow)

    def expire(self, now: float, flow: Flow) -> None:
        if flow.answered or (flow.out and flow.out.established):
            return
        self.balancer.limiter.queue.pop(flow, None)
        if flow.out and self.terms.cancelling:
            self.balancer.host.withdraw(flow, len(flow.connects) - 1)
        self.balancer.give_up(flow)

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        if connect.flow.answered:
            return
        self.balancer.limiter.retry_budget -= end in (End.ERROR, End.TIMEOUT)
        if end is End.ERROR and self.balancer.limiter.retry_budget < 0:
            self.balancer.give_up(connect.flow)
        else:
            self.balancer.place(now, connect.flow)


class Drain(Stage["Balancer"]):
    """Nothing new to a server that drains or is gone. A mid-flow flow may still reach it within the grace."""

    def forbids(self, now: float, flow: Flow, server: Server) -> bool:
        if server.condition is Condition.READY:
            return False
        late = now >= server.unready_since + self.terms.drain_grace / 2
        return late or not flow.midflow or server.condition is Condition.GONE


class Effects(Stage["Balancer"]):
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


class Cold(Stage["Balancer"]):
    """Lets a server that has just started have only its budget, as all together would push it over."""

    def forbids(self, now: float, flow: Flow, server: Server) -> bool:
        if not self.cold(now, server) or flow.turn is server:
            return False
        if self.balancer.hears_keeper(now):
            return flow.asked
        return not self.granted(now, server)

    def granted(self, now: float, server: Server) -> bool:
        """By ticket; by chance where flows are spread over several such servers, as most tickets lapse."""
        tickets, tried = self.tickets(now, server, [self.terms.number]), self.balancer.tried_cold
        tried.add(now, self.terms.fall_time)
        tries = tried.value(now, self.terms.fall_time) / max(1, len(self.balancer.ready) - self.balancer.warm)
        if self.terms.sums or tries >= SPREAD:
            return tickets > server.cold_sent
        budget = max(1.0, MEAN_GRANTED * self.sustainable(now, server)) / self.terms.proxies
        # Danger: one group that moves tries a single server far oftener, at many processes at once.
        return server.cold_sent <= budget and self.balancer.rng.random() * max(tries, 2 * budget) < budget

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
        most = self.sustainable(now, server)
        return max(1.0, min(most, most / 2 + sqrt(most)))  # Danger: any time touches two slots, rounded up

    def sustainable(self, now: float, server: Server) -> float:
        """Connects that it bears at this age in the time in which it falls, by what warm servers bear."""
        able = 1 - (1 - self.terms.cold_from) * (1 - (now - server.started) / self.terms.ramp_time)
        fleet = 1.0 if self.balancer.summed else self.terms.proxies / (1 + len(self.balancer.peers))
        stood = fleet * self.balancer.usual() * len(self.balancer.able)
        # Danger: what one proxy serves, taken for what each does, is far off where clients are uneven.
        alike = min(self.terms.proxies, max(fleet, stood) / max(1, self.balancer.held))
        stands = stood * server.size / self.balancer.usual_size / self.terms.ramp_time
        a_second = max(stands, alike * self.balancer.served_rate(now)) * able
        return self.terms.overload_factor * a_second * self.terms.fall_time / max(1, self.balancer.warm)

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


class Health(Stage["Balancer"]):
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
        # Danger: learnt as slowly, a shared delay would make each server look silent by itself.
        self.balancer.gap = max(delay, self.balancer.gap + LEARNING * (delay - self.balancer.gap))
        if server.trickle:
            server.trickle *= 2
            if server.trickle >= TRUSTED:
                server.trickle = 0
                self.balancer.host.log(f"{server.id} trusted again")

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        server = connect.server
        shared = self.balancer.limiter.is_congested(now, connect.flow.service_type.connect_timeout)
        if connect.established or end in (NO_FAULT_IF_SHARED if shared else NO_FAULT):
            return
        server.silence += delay if end is End.TIMEOUT else 0.0
        if end is End.TIMEOUT and not server.trickle:
            self.watch(now, server)
        else:
            self.set_aside(now, server, end.value)


class Strain(Stage["Balancer"]):
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
        if self.terms.measures:  # Danger: none held there says little where few are, and its probes say more.
            likely *= min(1.0, self.balancer.mean())
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
        steps = 1 + self.balancer.groups.count.get(flow.spot, 0) // max(1.0, self.balancer.mean())
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


class Pace(Stage["Balancer"]):
    """Refills a server whose strain has ended by a trickle that doubles."""

    # Danger: every proxy sees it fit in the same second and sends it all who wait; it drops them soon after.

    def avoids(self, now: float, flow: Flow, server: Server) -> int:
        calm = min(64.0, (now - max(server.slow_until, server.dropping_until)) / (2 * NEWS_PERIOD))
        recent = server.recent.value(now, self.terms.fall_time)
        return HARMFUL if recent >= 2**calm and not flow.midflow else 0

    def onward(self, now: float, flow: Flow) -> bool:
        flow.target.recent.add(now, self.terms.fall_time)
        return True


class Placement(Stage["Balancer"]):
    """The owner of the flow's arc, or the next distinct server that no stage speaks against."""

    def __init__(self, balancer: Balancer) -> None:
        super().__init__(balancer)
        self.forbid: list[Callable[[float, Flow, Server], bool]] = []  # of the stages that have a say
        self.avoid: list[Callable[[float, Flow, Server], int]] = []
        self.usual = 0.0  # held on a warm server, as the present flow finds it

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
        home = self.balancer.groups.server_of(now, flow.spot)
        steps = self.balancer.strain.reach(now, flow)
        for server in chain([home] if home else [], self.balancer.ring.round(flow.spot)):
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


class ConcurrencyLimiter(Stage["Balancer"]):
    """Limits the attempts out at once to what is answered in time; other flows wait for their turn."""

    # Danger: something shared stands behind the servers; once late, repeats keep it late after its cause.

    def __init__(self, balancer: Balancer) -> None:
        super().__init__(balancer)
        self.out, self.limit = 0, max(1.0, FLEET_START / self.terms.proxies)  # attempts out; how many may be
        self.timely_ends, self.late_ends, self.halved_at = FadingCount(), FadingCount(), 0.0
        self.paused_until = 0.0  # a limit below one attempt is a pause after each
        self.retry_budget = RETRY_BURST / self.terms.proxies
        self.queue: dict[Flow, None] = {}

    def is_open(self, now: float) -> bool:
        return now >= self.paused_until and self.out < self.limit

    def onward(self, now: float, flow: Flow) -> bool:
        if self.is_open(now) or (flow.midflow and not flow.connects):
            return True
        self.queue[flow] = None
        return False

    def admit(self, now: float) -> None:
        while self.queue and self.is_open(now):
            newest, _ = self.queue.popitem()  # Danger: the oldest may no longer be answered in time.
            self.balancer.place(now, newest)

    def stands(self, now: float, connect: Connect, delay: float) -> None:
        self.retry_budget = min(RETRY_BURST, max(0.0, self.retry_budget) + LEARNING)
        kind = connect.flow.service_type
        if delay > kind.connect_timeout / 2:
            self.late(now, connect)
        else:
            self.timely_ends.add(now, kind.connect_timeout)
            if delay <= kind.setup_target and self.out >= self.limit:
                if self.limit < 1 <= 2 * self.limit:
                    self.balancer.host.log("gate open: connects are answered again")
                self.limit += min(1.0, self.limit)
        self.freed()

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        if connect.established:
            return
        if end in (End.ERROR, End.TIMEOUT, End.CANCELLED):
            self.late(now, connect)
        self.freed()

    def freed(self) -> None:
        self.out -= 1
        if self.queue:
            self.balancer.host.alarm(0.0, self.admit)

    def late(self, now: float, connect: Connect) -> None:
        """Halves the limit, once for all that was sent before; the floor is one attempt in the fleet."""
        timeout = connect.flow.service_type.connect_timeout
        self.late_ends.add(now, timeout)
        if not self.is_congested(now, timeout) or connect.sent < self.halved_at:
            return
        least, before, self.halved_at = min(1.0, FLEET_LEAST / self.terms.proxies), self.limit, now
        self.limit = max(least, self.limit / 2)
        if self.limit < 1 <= before:
            self.balancer.host.log("gate narrows: most connects fail, whichever server they go to")
        if self.limit < 1:
            pause = timeout * (1 / self.limit - 1) * self.balancer.rng.uniform(0.5, 1.5)
            self.paused_until = now + pause
            self.balancer.host.alarm(pause, self.admit)

    def is_congested(self, now: float, timeout: float) -> bool:
        """Whether most attempts that ended lately failed or were late, whichever server they went to."""
        return self.late_ends.value(now, timeout) > self.timely_ends.value(now, timeout)


class Launch(Stage["Balancer"]):
    """Makes the connect, and says how long to wait for it."""

    def onward(self, now: float, flow: Flow) -> bool:
        connect = Connect(flow, flow.target, now)
        flow.connects.append(connect)
        flow.may_have_run = flow.may_have_run or connect
        connect.server.waiting[connect] = None
        self.balancer.hold(connect.server, 1)
        self.balancer.limiter.out += 1
        self.balancer.host.connect(flow, connect.server, self.wait(now, flow))
        return True

    def wait(self, now: float, flow: Flow) -> float:
        left = flow.give_up_at - self.balancer.margin - now
        if len(flow.connects) >= flow.service_type.max_connects or self.balancer.limiter.retry_budget < 1:
            return left  # Danger: where what is shared is late, an early time-out asks it twice.
        return min(max(flow.service_type.setup_target, 4 * self.balancer.gap), left / 2)

    def stands(self, now: float, connect: Connect, delay: float) -> None:
        connect.server.waiting.pop(connect, None)
        self.balancer.settle(now, connect)

    def back(self, now: float, connect: Connect, end: End, delay: float) -> None:
        connect.over, connect.flow.midflow = True, False  # whatever held it, it is set up anew from here on
        self.balancer.groups.leave(connect.flow)
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
        self.served, self.borne = FadingCount(), 0.0  # ends that were well; most held, by size
        self.tried_cold = FadingCount()  # how often its flows tried any server in slow start
        self.running: list[Callable[[float], None]] = []  # what goes on by alarms of its own
        self.failures, self.stop_at = 0, inf  # calls for the list that failed in a row; end of a planned stop
        self.ring, self.placement = HashRing(), Placement(self)
        self.groups = GroupMembers()
        self.untold: dict[int, Server] = {}  # new ones that are told soon, if no other proxy tells them first
        self.promise, self.limiter = Promise(self), ConcurrencyLimiter(self)
        self.cold, self.strain = Cold(self), Strain(self)
        self.chain: list[Stage[Balancer]] = [self.promise, self.limiter, self.placement, Drain(self)]
        self.chain += [Effects(self), self.cold, Health(self), self.strain, Pace(self), Launch(self)]
        self.placement.forbid = [s.forbids for s in self.chain if type(s).forbids is not Stage.forbids]
        self.placement.avoid = [s.avoids for s in self.chain if type(s).avoids is not Stage.avoids]

    def flow(
        self,
        now: float,
        handle: Any,
        kind: ServiceType,
        key: int | None,
        group: int | None,
        give_up_at: float,
        midflow: bool,
        returned: bool,
        server: Server | None = None,
    ) -> Flow:
        named = b"group %d" % group if group is not None else b"key %d" % key if key is not None else b""
        spot = place_on_ring(named) if named else self.rng.getrandbits(128)
        flow = Flow(handle, kind, spot, group is not None, min(give_up_at, self.stop_at), midflow, returned)
        if server is None:
            self.place(now, flow)
            if not flow.answered:
                left = max(0.0, flow.give_up_at - self.margin - now)
                self.host.alarm(left, partial(self.promise.expire, flow=flow))
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
        # Danger: if each told all, the price would grow by their square: one of them, the keeper, sums.
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

    def held_told(self, now: float, peer: Any, held: Counts, whole: bool, summed: bool = False) -> None:
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
        return self.served.rate(now, self.terms.ramp_time, max(now - self.begun, self.terms.fall_time))

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
        self.stop_at, waiting = now + self.terms.leave_within, list(self.limiter.queue)
        for server in self.servers.values():
            self.dismiss(now, *chain.from_iterable(server.groups.values()))
            waiting += [*(connect.flow for connect in server.waiting), *server.asking]
        for flow in waiting:  # Danger: left unanswered.
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
        self.groups.leave(flow)
        flow.answered = True

    def hold(self, server: Server, change: int) -> None:
        server.held += change
        self.standing += change
        self.held += change * (server.condition is Condition.READY)
        self.most = max(self.most, self.held)

    def settle(self, now: float, connect: Connect) -> None:
        connect.established = True
        spot, server = connect.flow.spot, connect.server
        is_owner = server is self.ring.owner(spot)
        self.groups.join(connect.flow, server, is_owner)
        if not is_owner and connect.flow.grouped and self.terms.sums:
            usual = (s for s in self.ring.round(spot) if s.condition is Condition.READY)
            if server is not (self.groups.reported_server(now, spot) or next(usual, None)):
                if not self.untold:
                    self.host.alarm(NEWS_PERIOD / 4 * self.rng.random(), self.tell_homes)
                self.untold[spot] = server
        if self.due(connect.flow) < inf:
            self.dismiss(now, connect.flow)

    def tell_homes(self, now: float) -> None:
        untold, self.untold = self.untold, {}
        homes = [(spot, s) for spot, s in untold.items() if self.groups.reported_server(now, spot) is not s]
        for spot, server in homes:
            self.home_told(now, spot, server)
        if homes:
            self.host.tell_homes(homes)

    def home_told(self, now: float, spot: int, server: Server) -> None:
        self.groups.report(spot, server, now + self.terms.ramp_time)

    def established(self, now: float, flow: Flow, number: int, delay: float) -> None:
        flow.answered = True
        for stage in reversed(self.chain):
            stage.stands(now, flow.connects[number], delay)

    def connect_ended(
        self, now: float, flow: Flow, number: int, end: End, delay: float, complete: bool
    ) -> None:
        flow.answered = flow.answered or complete
        if end is End.OK:
            self.served.add(now, self.terms.ramp_time)
        for stage in reversed(self.chain):
            stage.back(now, flow.connects[number], end, delay)

    def lapsed(self, now: float, flow: Flow) -> None:
        flow.answered = True
        self.limiter.queue.pop(flow, None)

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
            self.begun = self.keeper_at = now
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
