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
MAX_SERVERS = 8192  # servers whose starts are remembered


class StartTimes:
    """The starts that lists have reported, by server."""

    def __init__(self) -> None:
        # Each as reported, and on this clock; the one reported longest ago comes first.
        self.starts: dict[str, tuple[float, float]] = {}
        self.earlier_starts: dict[str, float] = {}  # that the last list has proved to be longer ago
        self.earliest_starts: dict[str, float] = {}  # that a start can have been, whatever is reported later
        self.clock_lead = -inf  # seconds by which the lists' clock is before this one, at least
        self.is_first_list = True
        self.complete_at = -inf  # up to when the list was complete

    def list_completed(self, now: float) -> None:
        """Notes that whatever has started by now has been reported, if it can be known."""
        self.complete_at = now

    def to_monotonic(
        self, now: float, wall_time: float, endpoints: list[Endpoint], complete: bool, slow_start_time: float
    ) -> list[Endpoint]:
        """Returns the endpoints of a list, or changes to it, with their starts on this process's clock.

        `wall` is the wall clock's time at `now`.
        """
        self.earlier_starts = {}
        newest = max((endpoint.started for endpoint in endpoints), default=0.0)
        if newest > 0 and newest - now > self.clock_lead:
            self.clock_lead = newest - now
            self.move_proven_starts()
        trust_wall_clock = (
            complete
            and self.is_first_list
            and self.is_mostly_unproven(now, wall_time, endpoints, slow_start_time)
        )
        self.is_first_list = False
        converted = [
            endpoint._replace(started=self.monotonic_start(now, wall_time, endpoint, trust_wall_clock))
            for endpoint in endpoints
        ]
        self.evict_oldest()
        return converted

    def evict_oldest(self) -> None:
        """Forgets the starts that were reported longest ago, if there are too many."""
        while len(self.starts) > MAX_SERVERS:
            oldest = next(iter(self.starts))
            del self.starts[oldest]
            self.earliest_starts.pop(oldest, None)

    def move_proven_starts(self) -> None:
        """Moves starts that are known now to have been longer ago than could be said before."""
        for server_id, earliest in self.earliest_starts.items():
            reported, monotonic = self.starts[server_id]
            latest_bound = max(earliest, reported - self.clock_lead)
            if latest_bound < monotonic:
                self.starts[server_id] = (reported, latest_bound)
                self.earlier_starts[server_id] = latest_bound

    def monotonic_start(
        self, now: float, wall_time: float, endpoint: Endpoint, trust_wall_clock: bool
    ) -> float:
        """Returns one server's start; `trusted`: by the wall clock alone, as nothing else is known."""
        server_id = endpoint.id
        reported = endpoint.started
        previous = self.starts.pop(server_id, None)
        if reported <= 0:
            if previous:
                self.starts[server_id] = previous
            return previous[1] if previous else 0.0  # long ago
        if previous and previous[0] == reported:
            monotonic = previous[1]
        elif trust_wall_clock:
            monotonic = self.start_by_wall_clock(now, wall_time, reported)
        else:
            monotonic = self.latest_bound(now, wall_time, reported)
            self.earliest_starts[server_id] = min(
                monotonic, max(self.start_by_wall_clock(now, wall_time, reported), self.complete_at)
            )
        self.starts[server_id] = (reported, monotonic)
        return monotonic

    @staticmethod
    def start_by_wall_clock(now: float, wall_time: float, reported: float) -> float:
        """Returns a start by the wall clock's word on its age."""
        return max(0.0, min(now, now - (wall_time - reported)))

    def latest_bound(self, now: float, wall_time: float, reported: float) -> float:
        """Returns the latest bound on a start."""
        start_by_wall_clock = self.start_by_wall_clock(now, wall_time, reported)
        if self.complete_at == -inf and wall_time - reported > MAX_CLOCK_ERROR:
            return start_by_wall_clock
        return min(now, max(start_by_wall_clock, reported - self.clock_lead, self.complete_at))

    def is_mostly_unproven(
        self, now: float, wall_time: float, endpoints: list[Endpoint], slow_start_time: float
    ) -> bool:
        """Returns whether most servers would be in slow start only because a first list proves nothing.

        A fleet that has started as a whole some minutes ago would be held back by each process that starts.
        """
        ready = [endpoint for endpoint in endpoints if endpoint.status is EndpointStatus.READY]
        latest_warm_start = now - slow_start_time
        unproven = [
            endpoint
            for endpoint in ready
            if endpoint.started > 0
            and self.start_by_wall_clock(now, wall_time, endpoint.started)
            <= latest_warm_start
            < self.latest_bound(now, wall_time, endpoint.started)
        ]
        return 2 * len(unproven) > len(ready)
