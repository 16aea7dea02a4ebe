"""Converts the start times of servers to this process's monotonic clock. No I/O.

Endpoint lists give start times in Unix time, by the clocks of other machines. Those may be wrong, and so may
this machine's wall clock, which may also be stepped by seconds or by an hour. Without checks, a server that
has just started could look an hour old and would get no slow start. Therefore each start is bounded by what
can be checked, and the latest bound applies:

- its time by this machine's wall clock;
- its time relative to the newest start in any list, which cannot have been in the future when reported;
- the time up to which the list was complete without this start.

A start is converted once, when it is first reported, and does not change with later clock steps. Only a newer
start reported later may prove that it was earlier.
"""

from __future__ import annotations

from math import inf

from brambleplank.model import Endpoint, EndpointStatus

MAX_CLOCK_ERROR = 2 * 3600.0  # seconds; a start further back is old whatever the clock errors
MAX_SERVERS = 8192  # servers whose start times are kept


class StartTimes:
    """The reported start times, by server."""

    def __init__(self) -> None:
        # As reported, and on this clock; least recently reported first.
        self.starts: dict[str, tuple[float, float]] = {}
        self.earlier_starts: dict[str, float] = {}  # starts that the last list has proved to be earlier
        self.earliest_starts: dict[str, float] = {}  # earliest possible time of each start
        self.clock_lead = -inf  # seconds by which the lists' clock is ahead of this one, at least
        self.is_first_list = True
        self.complete_at = -inf  # time up to which the list was complete

    def list_completed(self, now: float) -> None:
        """Records that all servers started by now, as far as discovery can know, have been reported."""
        self.complete_at = now

    def to_monotonic(
        self, now: float, wall_time: float, endpoints: list[Endpoint], complete: bool, slow_start_time: float
    ) -> list[Endpoint]:
        """Returns the endpoints of a list, or changes to it, with start times on this process's clock.

        `wall_time` is the time of the wall clock at `now`.
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
        """Forgets the least recently reported starts if there are too many."""
        while len(self.starts) > MAX_SERVERS:
            oldest = next(iter(self.starts))
            del self.starts[oldest]
            self.earliest_starts.pop(oldest, None)

    def move_proven_starts(self) -> None:
        """Moves starts that a newer one proves to be earlier than assumed."""
        for server_id, earliest in self.earliest_starts.items():
            reported, monotonic = self.starts[server_id]
            latest_bound = max(earliest, reported - self.clock_lead)
            if latest_bound < monotonic:
                self.starts[server_id] = (reported, latest_bound)
                self.earlier_starts[server_id] = latest_bound

    def monotonic_start(
        self, now: float, wall_time: float, endpoint: Endpoint, trust_wall_clock: bool
    ) -> float:
        """Returns one server's start; `trust_wall_clock`: by the wall clock alone, without other bounds."""
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
        """Returns a start, with its age taken from the wall clock."""
        return max(0.0, min(now, now - (wall_time - reported)))

    def latest_bound(self, now: float, wall_time: float, reported: float) -> float:
        """Returns the latest of the bounds of a start."""
        start_by_wall_clock = self.start_by_wall_clock(now, wall_time, reported)
        if self.complete_at == -inf and wall_time - reported > MAX_CLOCK_ERROR:
            return start_by_wall_clock
        return min(now, max(start_by_wall_clock, reported - self.clock_lead, self.complete_at))

    def is_mostly_unproven(
        self, now: float, wall_time: float, endpoints: list[Endpoint], slow_start_time: float
    ) -> bool:
        """Returns whether most servers would be in slow start only because a first list proves no age.

        Otherwise each proxy that starts would limit attempts at a fleet whose servers all started at the same
        time, some minutes ago.
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
