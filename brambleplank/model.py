"""Types that all layers share: outcomes, statuses, endpoints, traffic classes and settings. No I/O.

All times and durations are floating-point seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from functools import cached_property
from typing import NamedTuple

REPORT_PERIOD = 1.0  # seconds between load reports, and between reports of a slow server's message time


class AttemptOutcome(Enum):
    """How an attempt, or the session established by it, ended. The values appear in logs."""

    OK = "ok"  # the session ended normally
    ERROR = "error"  # the server answered with an error
    FULL = "full"  # the server refused the request without running it
    TIMEOUT = "timeout"  # no answer in time
    UNREACHABLE = "unreachable"  # no connection to the server could be established
    RESET = "reset"  # the server reset the connection
    CANCELLED = "cancelled"  # the decisions cancelled it
    ABANDONED = "moot"  # it was never sent, or the client has left
    LOCAL_FAULT = "local"  # it failed on this machine before anything was sent


class RejectReason(Enum):
    """Why a request gets its final answer instead of another attempt."""

    DEADLINE = "deadline"  # its deadline has passed, or is too near for another attempt
    ATTEMPTS = "attempts"  # it has used the maximum number of attempts
    DESCRIPTORS = "descriptors"  # file descriptors run short, or the fleet allows no further attempt
    CONCURRENCY_LIMIT = "limit"  # its deadline passed while it was queued by the concurrency limiter
    NO_SERVER = "no-server"  # no server is eligible
    RETRY_BUDGET = "retry-budget"  # it failed, and the retry budget is exhausted
    LOCAL_FAULTS = "local-faults"  # too many of its attempts failed on this machine


class Idempotency(Enum):
    """What happens if a request of a traffic class runs twice. The values are written to files."""

    IDEMPOTENT = "repeatable"  # no harm
    IDEMPOTENT_IN_GROUP = "referenced"  # servers in its deduplication scope drop repeats for a while
    NON_IDEMPOTENT = "once-only"  # it takes effect twice


class DeduplicationScope(Enum):
    """Which servers drop a repeat of a request. The values are written to files and stand in settings."""

    ALL = "all"  # all servers
    ZONE = "zone"  # the servers of the zone in which it ran first
    CELL = "cell"  # the servers of that cell


class EndpointStatus(Enum):
    """The status of a server in the endpoint list."""

    READY = "ready"  # accepts new requests
    DRAINING = "draining"  # accepts no new requests, and finishes those that it has
    REMOVED = "gone"  # no longer listed


class PermitMessage(IntEnum):
    """A message between proxies about a permit for a server in slow start; the numbers go over the wire."""

    DENY = 0
    GRANT = 1
    REQUEST = 2


Address = tuple[str, int]  # host and port


class Endpoint(NamedTuple):
    """One entry of the endpoint list."""

    id: str
    zone: str
    cell: int  # servers in the same cell recognize each other's requests as repeats
    status: EndpointStatus
    size: float  # capacity, relative to an ordinary server
    started: float  # time of its last start; in Unix time until `StartTimes` converts it. 0: long ago


@dataclass(frozen=True)
class TrafficClass:
    """The requirements of one kind of request."""

    latency_objective: float  # seconds within which an attempt should be established
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope  # the servers that drop repeats
    deduplication_window: float  # seconds for which they recognize a repeat
    message_latency_objective: float  # seconds within which a message of a session should be answered
    deadline: float  # seconds that a client waits for its answer at most
    max_attempts: int  # per request


@dataclass(frozen=True)
class Settings:
    """The settings of this proxy, as read at startup or by a reload."""

    proxies: int  # number of proxies in front of the same servers, whatever their build
    proxy_number: int  # the number of this proxy among them, from 0
    tick: float  # seconds; timer resolution
    list_is_pushed: bool  # whether the endpoint list is pushed to this proxy; otherwise it has to subscribe
    may_cancel_attempts: bool
    may_send_retry_after: bool
    max_retry_after: float  # seconds
    drain_grace: float  # seconds for which a draining server may still be sent requests
    max_list_poll_interval: float  # seconds between two polls of the endpoint list at most
    slow_start_initial_share: float  # share of a warm server's capacity that a server has when it starts
    slow_start_time: float  # seconds from its start until a server is warm
    overload_factor: float  # a server becomes overloaded above this multiple of its usual attempt rate
    overload_window: float  # seconds over which the attempts that overload a server are counted
    connect_timeout: float  # seconds; a connection not established by then never will be
    shutdown_time: float  # seconds that a planned shutdown takes
    max_session_silence: float  # seconds without data from its server after which a session is migrated
    zone: str  # the zone of this proxy
    probes_endpoints: bool  # whether to measure message times by probes; servers do not report them
    may_message_peers: bool  # whether proxies may exchange messages
    passes_through: bool  # whether sessions continue at other proxies if this one ends: it only forwards
    has_groups: bool  # whether requests name an affinity group
    traffic_classes: dict[str, TrafficClass]  # by name
    tenants: frozenset[str]  # names; empty if the site has no tenants

    @cached_property
    def shortest_latency_objective(self) -> float:
        """The shortest latency objective of all traffic classes, in seconds."""
        return min(traffic_class.latency_objective for traffic_class in self.traffic_classes.values())

    @cached_property
    def shortest_message_objective(self) -> float:
        """The shortest message latency objective of all traffic classes, in seconds."""
        return min(traffic_class.message_latency_objective for traffic_class in self.traffic_classes.values())

    @cached_property
    def aggregates_load(self) -> bool:
        """Whether an aggregator sums up load reports, and proxies report the servers of displaced groups.

        Only where proxies probe servers, or where sessions continue at other proxies. Where sessions end with
        their proxy and message times are reported to all proxies, every proxy that received such a report
        would send requests to the same server and crowd it.
        """
        return self.may_message_peers and (self.passes_through or self.probes_endpoints)
