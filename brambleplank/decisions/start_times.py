"""When servers started, as times of this process's own clock. Free of I/O.

Lists have starts in Unix time, by clocks of other machines; this machine's wall clock may be wrong as well,
and stepped by seconds or by an hour. Taken as they are, a server that has just started may look an hour old,
and slow start would not bind. So each start is bounded by what can be checked, and the latest bound holds:

- the age by this machine's wall clock;
- the age that the newest start of all lists proves: it was at least that late when it was reported;
- no start reported now lies before the moment up to which the list was complete without it.

A start is worked out once, when it is first reported; later steps of any clock do not move it. Only a newer
start that is reported later may prove that it was longer ago.
"""

from __future__ import annotations

from math import inf

from brambleplank.model import Endpoint, EndpointStatus

MAX_CLOCK_ERROR = 2 * 3600.0  # seconds; a start that lies further back is old by whatever clock
MAX_KEPT = 8192  # servers whose starts are remembered


class StartTimes:
    """The starts that lists have reported, by server."""

    def __init__(self) -> None:
        # Each as reported, and on this clock; the one reported longest ago comes first.
        self.starts: dict[str, tuple[float, float]] = {}
        self.earlier_starts: dict[str, float] = {}  # that the last list has proved to be longer ago
        self.earliest: dict[str, float] = {}  # that a start can have been, whatever is reported later
        self.clock_lead = -inf  # seconds by which the lists' clock is before this one, at least
        self.is_first_list = True
        self.complete_at = -inf  # up to when the list was complete

    def list_completed(self, now: float) -> None:
        """Notes that whatever has started by now has been reported, if it can be known."""
        self.complete_at = now

    def to_monotonic(
        self, now: float, wall: float, endpoints: list[Endpoint], complete: bool, slow_start_time: float
    ) -> list[Endpoint]:
        """Returns the endpoints of a list, or changes to it, with their starts on this process's clock.

        `wall` is the wall clock's time at `now`.
        """
        self.earlier_starts = {}
        newest = max((endpoint.started for endpoint in endpoints), default=0.0)
        if newest > 0 and newest - now > self.clock_lead:
            self.clock_lead = newest - now
            self.prove_again()
        trusted = (
            complete and self.is_first_list and self.mostly_unproven(now, wall, endpoints, slow_start_time)
        )
        self.is_first_list = False
        converted = [
            endpoint._replace(started=self.start(now, wall, endpoint, trusted)) for endpoint in endpoints
        ]
        self.limit_kept()
        return converted

    def limit_kept(self) -> None:
        """Forgets the starts that were reported longest ago, if there are too many."""
        while len(self.starts) > MAX_KEPT:
            oldest = next(iter(self.starts))
            del self.starts[oldest]
            self.earliest.pop(oldest, None)

    def prove_again(self) -> None:
        """Moves starts that are known now to have been longer ago than could be said before."""
        for server_id, earliest in self.earliest.items():
            reported, own = self.starts[server_id]
            proven = max(earliest, reported - self.clock_lead)
            if proven < own:
                self.starts[server_id] = (reported, proven)
                self.earlier_starts[server_id] = proven

    def start(self, now: float, wall: float, endpoint: Endpoint, trusted: bool) -> float:
        """Returns one server's start; `trusted`: by the wall clock alone, as nothing else is known."""
        server_id = endpoint.id
        reported = endpoint.started
        before = self.starts.pop(server_id, None)
        if reported <= 0:
            if before:
                self.starts[server_id] = before
            return before[1] if before else 0.0  # long ago
        if before and before[0] == reported:
            own = before[1]
        elif trusted:
            own = self.by_wall(now, wall, reported)
        else:
            own = self.proven(now, wall, reported)
            self.earliest[server_id] = min(own, max(self.by_wall(now, wall, reported), self.complete_at))
        self.starts[server_id] = (reported, own)
        return own

    @staticmethod
    def by_wall(now: float, wall: float, reported: float) -> float:
        """Returns a start by the wall clock's word on its age."""
        return max(0.0, min(now, now - (wall - reported)))

    def proven(self, now: float, wall: float, reported: float) -> float:
        """Returns the latest bound on a start."""
        by_wall = self.by_wall(now, wall, reported)
        if self.complete_at == -inf and wall - reported > MAX_CLOCK_ERROR:
            return by_wall
        return min(now, max(by_wall, reported - self.clock_lead, self.complete_at))

    def mostly_unproven(
        self, now: float, wall: float, endpoints: list[Endpoint], slow_start_time: float
    ) -> bool:
        """Returns whether most servers would be in slow start only because a first list proves nothing.

        A fleet that has started as a whole some minutes ago would be held back by each process that starts.
        """
        ready = [endpoint for endpoint in endpoints if endpoint.status is EndpointStatus.READY]
        warm_since = now - slow_start_time
        unproven = [
            endpoint
            for endpoint in ready
            if endpoint.started > 0
            and self.by_wall(now, wall, endpoint.started)
            <= warm_since
            < self.proven(now, wall, endpoint.started)
        ]
        return 2 * len(unproven) > len(ready)
