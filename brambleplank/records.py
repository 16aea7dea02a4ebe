"""The records of the decisions: one a server, one a request, one an attempt. They hold, and decide nothing.

All times and spans are seconds with fractions.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import partial
from math import exp, inf
from typing import Any

from brambleplank.model import AttemptOutcome, EndpointStatus, RejectReason, TrafficClass

try:  # What OpenSSL does ahead of each digest would cost more than all requests, with a hundred proxies.
    from _md5 import md5  # type: ignore[import-not-found]
except ImportError:
    md5 = partial(hashlib.md5, usedforsecurity=False)

POINTS_PER_SERVER = 63  # of a server on the ring, as in the paper's tests
UNREPORTED_POSITION_BITS = 96  # low bits of a group's ring position that are not reported to other proxies
POINT_SUFFIXES = [
    b"#%d" % number for number in range(POINTS_PER_SERVER)
]  # made once, as starts spend most time here
NO_SLOT = -1


def place_on_ring(text: bytes) -> int:
    """Returns the ring position of a text, a number of 128 bits."""
    return int.from_bytes(md5(text).digest(), "big")


class DecayingCounter:
    """A count of events, each of which counts for less as time passes: by a factor of e in each period."""

    def __init__(self) -> None:
        self.count = 0.0  # as of the newest event
        self.updated_at = 0.0

    def value(self, now: float, period: float) -> float:
        """Returns the count as of now."""
        return self.count * exp((self.updated_at - now) / period)

    def add(self, now: float, period: float) -> None:
        """Counts an event."""
        self.count = self.value(now, period) + 1
        self.updated_at = now

    def restore(self, count: float, updated_at: float) -> None:
        """Goes on with a count of a former process."""
        self.count = count
        self.updated_at = updated_at

    def rate(self, now: float, period: float, counted_for: float) -> float:
        """Returns the events a second, where counting began so many seconds ago."""
        return self.value(now, period) / (period * (1 - exp(-counted_for / period)))


class Server:
    """The one record of a server."""

    def __init__(self, server_id: str, now: float) -> None:
        self.id = server_id
        self.handle: Any = None  # the host's own
        name = server_id.encode()
        self.points = [place_on_ring(name + suffix) for suffix in POINT_SUFFIXES]
        self.zone = ""
        self.cell = 0
        self.size = 1.0  # its capacity, as a multiple of the usual server's
        self.status = EndpointStatus.REMOVED
        self.unready_since = now  # when a list first said that it drains or is removed
        self.migrate_by = inf  # when all its sessions have to be migrated
        self.connections = 0  # attempts and sessions of this proxy that have not ended
        self.pending_attempts: dict[Attempt, None] = {}  # out and unanswered, oldest first
        self.requests_by_group: dict[int, dict[Request, None]] = {}  # its sessions, by ring position
        self.permit_requests: dict[Request, None] = {}  # that wait for a slow-start permit, oldest first
        self.record_restart(0.0)

    def record_restart(self, at: float) -> None:
        """Forgets what was known of the process before; a new one has started at that time."""
        self.started = at
        self.usual_response_time = 0.0  # seconds from an attempt to its answer; 0: none yet
        self.unanswered_time = 0.0  # seconds of timed-out attempts since the last answer
        self.trial_attempts = 0  # attempts allowed at once while it is ejected; 0: it is not
        self.only_fails = False  # whether no attempt was established since it was ejected
        self.ejection_time = 0.0  # seconds between two trials
        self.next_trial_at = 0.0
        self.recent_attempts = DecayingCounter()
        self.slow_until = 0.0  # up to when it counts as one whose messages are slow,
        self.overdue_until = 0.0  # as one whose messages miss the shortest objective,
        self.dropping_until = 0.0  # and as one that drops connections
        self.next_probe_at = 0.0
        self.message_time_reported_at = 0.0  # by the server or a peer
        self.slow_start_slot = NO_SLOT  # the number of the slot in which attempts were last counted
        self.slow_start_sent = 0  # attempts sent in that slot, or granted in it by this aggregator
        self.connections_by_peer: dict[Any, int] = {}  # as each peer last reported
        self.connections_elsewhere = 0  # their sum

    def mark_slow(self, until: float) -> None:
        """Counts the server as slow, as several other proxies say; what is measured here goes before it."""
        self.slow_until = max(self.slow_until, until)


@dataclass(eq=False)
class Attempt:
    """One try of a request at a server, and the session that comes of it."""

    request: Request
    server: Server
    sent: float
    established: bool = False
    ended: bool = False
    outcome: AttemptOutcome | None = None  # once it has ended


@dataclass(eq=False)
class Request:
    """A client's request from its arrival on, and the session that comes of it."""

    handle: Any  # the host's own
    traffic_class: TrafficClass
    ring_position: int
    has_group: bool
    deadline: float  # by which it has to be answered
    resumed: bool  # whether it goes on with a session that another proxy carried
    reconnecting: bool  # whether its client comes again after a break or a migration
    attempts: list[Attempt] = field(default_factory=list)
    local_faults: int = 0  # attempts that failed on this machine and never left it
    target: Server = field(init=False)  # where it is placed
    answered: bool = False  # whether nothing more is owed to the client
    permit_requested: bool = False
    reject_reason: RejectReason | None = None  # why it got no further attempt
    permit_for: Server | None = None  # the server in slow start that it may go to
    may_have_run: Attempt | None = None  # the first attempt not proved never to have run

    @property
    def attempts_sent(self) -> int:
        """How many attempts have left this machine, or may have."""
        return len(self.attempts) - self.local_faults

    @property
    def active_attempt(self) -> Attempt | None:
        """The newest attempt, while it has not ended."""
        return self.attempts[-1] if self.attempts and not self.attempts[-1].ended else None
