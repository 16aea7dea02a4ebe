"""Records of servers, requests and attempts. They hold the state of the decisions and contain no policy.

All times and durations are floating-point seconds.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import partial
from math import exp, inf
from typing import Any

from brambleplank.model import AttemptOutcome, EndpointStatus, RejectReason, TrafficClass

try:  # With a hundred proxies, OpenSSL's setup for each digest would cost more than all requests.
    from _md5 import md5  # type: ignore[import-not-found]
except ImportError:
    md5 = partial(hashlib.md5, usedforsecurity=False)

POINTS_PER_SERVER = 63  # points on the ring, as in the evaluation of the consistent hashing paper
UNREPORTED_POSITION_BITS = 96  # low bits of a group's ring position that are not reported to other proxies
POINT_SUFFIXES = [
    b"#%d" % number for number in range(POINTS_PER_SERVER)
]  # precomputed, as a startup spends most of its time on them
NO_SLOT = -1


def place_on_ring(text: bytes) -> int:
    """Returns the ring position of a text, a 128-bit number."""
    return int.from_bytes(md5(text).digest(), "big")


class DecayingCounter:
    """An event count with exponential decay: it falls by a factor of e in each period."""

    def __init__(self) -> None:
        self.count = 0.0  # at the time of the newest event
        self.updated_at = 0.0

    def value(self, now: float, period: float) -> float:
        """Returns the decayed count."""
        return self.count * exp((self.updated_at - now) / period)

    def add(self, now: float, period: float) -> None:
        """Counts an event."""
        self.count = self.value(now, period) + 1
        self.updated_at = now

    def restore(self, count: float, updated_at: float) -> None:
        """Restores the count of a previous process."""
        self.count = count
        self.updated_at = updated_at

    def rate(self, now: float, period: float, counting_time: float) -> float:
        """Returns the events per second, if counting began `counting_time` seconds ago."""
        return self.value(now, period) / (period * (1 - exp(-counting_time / period)))


class Server:
    """The state of one server."""

    def __init__(self, server_id: str, now: float) -> None:
        self.id = server_id
        self.handle: Any = None  # used by the host only
        name = server_id.encode()
        self.points = [place_on_ring(name + suffix) for suffix in POINT_SUFFIXES]
        self.zone = ""
        self.cell = 0
        self.size = 1.0  # capacity, relative to an ordinary server
        self.status = EndpointStatus.REMOVED
        self.unready_since = now  # when it was first listed as draining or removed
        self.migrate_by = inf  # deadline for migrating all its sessions
        self.connections = 0  # unfinished attempts and sessions of this proxy
        self.pending_attempts: dict[Attempt, None] = {}  # sent and not answered yet, oldest first
        self.requests_by_group: dict[int, dict[Request, None]] = {}  # its sessions by ring position
        self.permit_requests: dict[Request, None] = {}  # waiting for a slow-start permit, oldest first
        self.record_restart(0.0)

    def record_restart(self, at: float) -> None:
        """Resets the state that belongs to the server's previous process; a new one started at `at`."""
        self.started = at
        self.usual_response_time = 0.0  # seconds from an attempt to its answer; 0: unknown
        self.unanswered_time = 0.0  # seconds spent on timed-out attempts since the last answer
        self.trial_attempts = 0  # concurrent trial attempts allowed while it is ejected; 0: not ejected
        self.fails_every_attempt = False  # whether no attempt has been established since it was ejected
        self.ejection_time = 0.0  # seconds from an ejection to the next trial attempts
        self.next_trial_at = 0.0
        self.recent_attempts = DecayingCounter()
        self.slow_until = 0.0  # until when it counts as slow,
        self.overdue_until = 0.0  # as one whose messages miss the shortest latency objective,
        self.dropping_until = 0.0  # and as dropping connections
        self.outlier_until = 0.0  # until when it counts as failing, as several other proxies report
        self.next_probe_at = 0.0
        self.message_time_reported_at = 0.0  # when the server or a peer last reported its message time
        self.slow_start_slot = NO_SLOT  # number of the slot that `slow_start_sent` belongs to
        self.slow_start_sent = 0  # attempts sent in it, or permits granted in it by this aggregator
        self.connections_by_peer: dict[Any, int] = {}  # as last reported by each peer
        self.connections_elsewhere = 0  # sum of `connections_by_peer`

    def mark_outlier(self, until: float) -> None:
        """Marks the server as an outlier until then, as several other proxies found it failing.

        Kept apart from `slow_until`, which a fast message ends: a server that fails new requests may still
        answer messages and probes in time.
        """
        self.outlier_until = max(self.outlier_until, until)

    def avoided_until(self) -> float:
        """Returns until when it counts as slow or as an outlier."""
        return max(self.slow_until, self.outlier_until)


@dataclass(eq=False)
class Attempt:
    """An attempt to send a request to a server, and the session established by it."""

    request: Request
    server: Server
    sent: float
    established: bool = False
    ended: bool = False
    outcome: AttemptOutcome | None = None  # set when it ends


@dataclass(eq=False)
class Request:
    """A client's request, and the session established by it."""

    handle: Any  # used by the host only
    traffic_class: TrafficClass
    ring_position: int
    has_group: bool
    deadline: float  # time by which it has to be answered
    resumed: bool  # whether it resumes a session from another proxy
    reconnecting: bool  # whether its client reconnects after a lost connection or a migration
    attempts: list[Attempt] = field(default_factory=list)
    local_faults: int = 0  # attempts that failed on this machine before anything was sent
    target: Server = field(init=False)  # the server chosen for its next attempt
    answered: bool = False  # whether it needs no further answer
    permit_requested: bool = False
    reject_reason: RejectReason | None = None  # why it was rejected or aborted
    permit_for: Server | None = None  # the server in slow start for which it has a permit
    may_have_run: Attempt | None = None  # the first attempt that may have run

    @property
    def attempts_sent(self) -> int:
        """The number of attempts that were sent, or may have been."""
        return len(self.attempts) - self.local_faults

    @property
    def active_attempt(self) -> Attempt | None:
        """The newest attempt, or None if it has ended."""
        return self.attempts[-1] if self.attempts and not self.attempts[-1].ended else None
