"""The words that all layers share: outcomes, statuses, endpoints, traffic classes and settings. No I/O.

All spans and times are seconds with fractions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from functools import cached_property
from typing import NamedTuple

REPORT_PERIOD = 1.0  # seconds between two reports of a slow server's message time, and of a proxy's load


class AttemptOutcome(Enum):
    """How an attempt, or the session that came of it, ended. The values are written to logs."""

    OK = "ok"  # the session ended well
    ERROR = "error"  # the server answered that it failed
    FULL = "full"  # the server refused it before running it
    TIMEOUT = "timeout"  # no answer in time
    UNREACHABLE = "unreachable"  # the server could not be connected
    RESET = "reset"  # the server broke the connection
    CANCELLED = "cancelled"  # the decisions gave it up
    ABANDONED = "moot"  # it was never sent, or nobody waits for it any more
    LOCAL_FAULT = "local"  # it failed on this machine, before anything was sent


class RejectReason(Enum):
    """Why a request gets no further attempt, and so its final answer."""

    DEADLINE = "deadline"  # its time is up, or too short for one more
    ATTEMPTS = "attempts"  # it has had as many as it may
    DESCRIPTORS = "descriptors"  # too few are left, or the fleet allows no further attempt
    CONCURRENCY_LIMIT = "limit"  # it was queued under the limit of attempts until its time was up
    NO_SERVER = "no-server"  # no server may take it
    RETRY_BUDGET = "retry-budget"  # it failed, and too many do
    LOCAL_FAULTS = "local-faults"  # this machine could not connect, too often


class Idempotency(Enum):
    """What happens when a request of a traffic class runs twice. The values are written in files."""

    IDEMPOTENT = "repeatable"  # nothing
    IDEMPOTENT_IN_GROUP = "referenced"  # servers of one deduplication scope drop the repeat for a while
    NON_IDEMPOTENT = "once-only"  # its effect is had twice


class EndpointStatus(Enum):
    """What the endpoint list says of a server."""

    READY = "ready"  # it takes new requests
    DRAINING = "draining"  # it takes none, and finishes what it has
    REMOVED = "gone"  # it is no longer listed


class PermitMessage(IntEnum):
    """What proxies say to each other about one attempt at a server in slow start; the numbers are sent."""

    DENY = 0
    GRANT = 1
    REQUEST = 2


Address = tuple[str, int]  # host and port


class Endpoint(NamedTuple):
    """What a list says of one server."""

    id: str
    zone: str
    cell: int  # servers of one cell drop each other's repeats
    status: EndpointStatus
    size: float  # its capacity, as a multiple of the usual server's
    started: float  # its latest start, in Unix time as lists have it; 0: long ago


@dataclass(frozen=True)
class TrafficClass:
    """What one kind of request asks for."""

    latency_objective: float  # seconds in which an attempt should be established
    idempotency: Idempotency
    deduplication_scope: str  # "all", "zone" or "cell": the servers that drop repeats
    deduplication_window: float  # seconds for which they do
    message_latency_objective: float  # seconds that a message of a session should take
    deadline: float  # seconds; the longest that a client waits
    max_attempts: int  # for one request


@dataclass(frozen=True)
class Settings:
    """What the site allows and asks of this proxy, as given at its start or by a reload."""

    proxies: int  # in front of the same servers, of every build
    proxy_number: int  # this proxy's own among them, from 0
    tick: float  # seconds; the resolution of timers
    list_is_pushed: bool  # whether the endpoint list comes without being asked for
    may_cancel_attempts: bool
    may_send_retry_after: bool
    max_retry_after: float  # seconds
    drain_grace: float  # seconds in which a draining server may still be reached
    max_list_poll_interval: float  # seconds; the longest between two calls for the endpoint list
    slow_start_initial_share: float  # of a warm server's capacity, at its start
    slow_start_time: float  # seconds until a server is warm
    overload_factor: float  # a server bears this multiple of what warm servers bear
    overload_window: float  # seconds in which too many attempts push a server over
    connect_timeout: float  # seconds; a connection that is not up by then never comes up
    shutdown_time: float  # seconds from the beginning of a planned shutdown to its end
    max_session_silence: float  # seconds; a session that brings nothing back for so long is given up
    zone: str  # this proxy's own
    probes_endpoints: bool  # whether message times have to be measured by probes, as nobody reports them
    may_message_peers: bool  # whether proxies may speak to one another
    passes_through: bool  # whether sessions go on at another proxy if this one ends, as packets pass through
    has_groups: bool  # whether a request names the group that it shares work with
    traffic_classes: dict[str, TrafficClass]  # by name
    tenants: frozenset[str]  # by name; none at sites without

    @cached_property
    def shortest_latency_objective(self) -> float:
        """The shortest latency objective of a traffic class, in seconds."""
        return min(traffic_class.latency_objective for traffic_class in self.traffic_classes.values())

    @cached_property
    def shortest_message_objective(self) -> float:
        """The shortest message latency objective of a traffic class, in seconds."""
        return min(traffic_class.message_latency_objective for traffic_class in self.traffic_classes.values())

    @cached_property
    def aggregates_load(self) -> bool:
        """Whether an aggregator adds up load reports, and proxies report where displaced groups are.

        Only where proxies must probe, or where sessions go on at other proxies. Where sessions end here and
        servers' message times are reported to all, all proxies that hear of one place would crowd it.
        """
        return self.may_message_peers and (self.passes_through or self.probes_endpoints)
