"""The choice of a server: the owner of the request's ring position, or one further round the ring."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from itertools import chain
from math import inf

from brambleplank.decisions.capacity_shortage import CapacityShortage
from brambleplank.decisions.context import Context
from brambleplank.decisions.final_answers import FinalAnswers
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.decisions.stage import Penalty, Stage
from brambleplank.model import RejectReason
from brambleplank.records import Request, Server

BOUND_FACTOR = 2  # a server is full at this multiple of the mean count of connections
BOUND_SPARE = 2  # connections that it may have beyond that
PENALTY_STEP = 1 / 4  # of its share that a server holds too much, for one degree of penalty more


class Placement(Stage):
    """The owner of the request's arc, or the next distinct server with the least evidence against it."""

    def __init__(
        self,
        context: Context,
        answers: FinalAnswers,
        server_pool: ServerPool,
        shortage: CapacityShortage,
        later_stages: Sequence[Stage],
    ) -> None:
        super().__init__(context)
        self.answers = answers
        self.server_pool = server_pool
        self.shortage = shortage
        # Only of stages that override them: these are called for each server that a request looks at.
        self.exclusions: list[Callable[[float, Request, Server], bool]] = [
            stage.excludes for stage in later_stages if type(stage).excludes is not Stage.excludes
        ]
        self.penalties: list[Callable[[float, Request, Server], Penalty]] = [
            self.penalty,
            *(stage.penalty for stage in later_stages if type(stage).penalty is not Stage.penalty),
        ]
        self.mean_load = 0.0  # connections on a warm server, as the present request finds it

    def admit(self, now: float, request: Request) -> bool:
        """Chooses the request's server, or rejects it where all that is left is harmful."""
        self.mean_load = self.server_pool.load.mean()
        target = self.choose(now, request)
        if target is None:
            # Where all that may take it drop connections, one more would drop another.
            self.answers.give(request, RejectReason.NO_SERVER)
            return False
        request.target = target
        return True

    def choose(self, now: float, request: Request) -> Server | None:
        """Returns the first server without penalty, else the one with the least, else None."""
        target = None
        least = Penalty.HARMFUL
        servers_left = self.max_servers_tried(now, request)
        for server in self.candidates(now, request):
            if any(excludes(now, request, server) for excludes in self.exclusions):
                continue
            penalty = max(penalty_of(now, request, server) for penalty_of in self.penalties)
            if penalty < least:
                target = server
                least = penalty
                if penalty is Penalty.NONE:
                    break
            if not server.trial_attempts and not was_tried(request, server):
                servers_left -= 1
            if servers_left <= 0:
                break
        return target

    def candidates(self, now: float, request: Request) -> Iterator[Server]:
        """Yields the server of the request's displaced group, if any, then those round the ring.

        Each proxy would otherwise find such a group a server of its own, and every one pays for the group.
        """
        group_server = self.server_pool.groups.server_of(now, request.ring_position)
        return chain(
            [group_server] if group_server else [], self.server_pool.ring.servers_from(request.ring_position)
        )

    def max_servers_tried(self, now: float, request: Request) -> float:
        """Returns how many servers round the ring a request may look at.

        Every server that holds any of a group pays for it, and without capacity to spare that costs more.
        """
        members = self.server_pool.groups.session_counts.get(request.ring_position, 0)
        limit = 1 + members // max(1.0, self.server_pool.counts.mean())
        return limit if self.shortage.is_short_of_capacity(now) else inf

    def penalty(self, _now: float, request: Request, server: Server) -> Penalty:
        """Returns how far the server is over its bound (a consistent hash ring with bounded loads).

        Reconnecting clients come in waves, and would pile up on the one server that nobody sees overloaded.
        Their bound is its share by size.
        """
        if request.resumed:
            return Penalty.NONE
        connections = server.connections + server.connections_elsewhere
        share = server.size / self.server_pool.endpoints.mean_size * self.mean_load
        bound = share if request.reconnecting else BOUND_FACTOR * self.mean_load
        if connections <= bound + BOUND_SPARE:
            return Penalty.NONE
        highest_bound = BOUND_FACTOR * self.server_pool.load.peak * server.size + BOUND_SPARE
        worst = Penalty.HARMFUL if connections > highest_bound else Penalty.SLOW
        excess = max(0.0, connections / (share + BOUND_SPARE) - 1)
        return Penalty(min(worst, Penalty.FULL + int(excess / PENALTY_STEP)))


def was_tried(request: Request, server: Server) -> bool:
    """Returns whether an attempt of the request went to the server."""
    return any(attempt.server is server for attempt in request.attempts)
