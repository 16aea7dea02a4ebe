"""The choice of a server: the owner of the request's ring position, or another one along the ring."""

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

BOUND_FACTOR = 2  # a server is full at this multiple of the mean number of connections per server,
BOUND_MARGIN = 2  # plus this number of connections
PENALTY_STEP = 1 / 4  # excess over a server's share, relative to it, that raises the penalty by one level


class Placement(Stage):
    """Chooses the owner of the request's ring position, or the next server with the lowest penalty."""

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
        # Only of stages that override them: they are called for each candidate server of a request.
        self.exclusions: list[Callable[[float, Request, Server], bool]] = [
            stage.excludes for stage in later_stages if type(stage).excludes is not Stage.excludes
        ]
        self.penalties: list[Callable[[float, Request, Server], Penalty]] = [
            self.penalty,
            *(stage.penalty for stage in later_stages if type(stage).penalty is not Stage.penalty),
        ]
        self.mean_load = 0.0  # mean connections per available server, computed anew for each request

    def admit(self, now: float, request: Request) -> bool:
        """Chooses the request's target; ends the request if no server is eligible or all are HARMFUL."""
        self.mean_load = self.server_pool.load.mean()
        target = self.choose(now, request)
        if target is None:
            # If all candidates are dropping connections, one more would make them drop another.
            self.answers.reject_or_abort(request, RejectReason.NO_SERVER)
            return False
        request.target = target
        return True

    def choose(self, now: float, request: Request) -> Server | None:
        """Returns the first server without penalty, else the one with the lowest; None if all are HARMFUL."""
        target = None
        lowest_penalty = Penalty.HARMFUL
        candidates_left = self.max_candidates(now, request)
        for server in self.candidates(now, request):
            if any(excludes(now, request, server) for excludes in self.exclusions):
                continue
            penalty = max(penalty_of(now, request, server) for penalty_of in self.penalties)
            if penalty < lowest_penalty:
                target = server
                lowest_penalty = penalty
                if penalty is Penalty.NONE:
                    break
            if not server.trial_attempts and not was_tried(request, server):
                candidates_left -= 1
            if candidates_left <= 0:
                break
        return target

    def candidates(self, now: float, request: Request) -> Iterator[Server]:
        """Yields the server of the request's displaced group, if any, then the servers along the ring.

        Otherwise each proxy would place the group at another server, and each of these servers would bear the
        group's cost.
        """
        group_server = self.server_pool.groups.server_of(now, request.ring_position)
        return chain(
            [group_server] if group_server else [], self.server_pool.ring.servers_from(request.ring_position)
        )

    def max_candidates(self, now: float, request: Request) -> float:
        """Returns the maximum number of servers along the ring to consider for a request.

        Each server with members of a group bears the group's cost. If the fleet is short of capacity, this
        outweighs the gain of spreading the group.
        """
        members = self.server_pool.groups.session_counts.get(request.ring_position, 0)
        limit = 1 + members // max(1.0, self.server_pool.counts.mean())
        return limit if self.shortage.is_short_of_capacity(now) else inf

    def penalty(self, _now: float, request: Request, server: Server) -> Penalty:
        """Returns a penalty for the server's load above its bound (consistent hashing with bounded loads).

        Reconnecting clients arrive in waves, and would pile up at the one server not known to be overloaded.
        Therefore their bound is the server's share by size.
        """
        if request.resumed:
            return Penalty.NONE
        connections = server.connections + server.connections_elsewhere
        share = server.size / self.server_pool.endpoints.mean_size * self.mean_load
        bound = share if request.reconnecting else BOUND_FACTOR * self.mean_load
        if connections <= bound + BOUND_MARGIN:
            return Penalty.NONE
        highest_bound = BOUND_FACTOR * self.server_pool.load.peak * server.size + BOUND_MARGIN
        max_penalty = Penalty.HARMFUL if connections > highest_bound else Penalty.SLOW
        excess = max(0.0, connections / (share + BOUND_MARGIN) - 1)
        return Penalty(min(max_penalty, Penalty.FULL + int(excess / PENALTY_STEP)))


def was_tried(request: Request, server: Server) -> bool:
    """Returns whether the request has been attempted at the server."""
    return any(attempt.server is server for attempt in request.attempts)
