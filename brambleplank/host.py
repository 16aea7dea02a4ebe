"""The interface between the decisions and whatever carries them.

A host (the simulator's wire, or a proxy's sockets) makes one `decide.Balancer` for each proxy and
calls in; the balancer calls out through `Host`. All times are seconds with fractions, `now` included. Flows
and servers are objects on both sides: the host keeps whatever ids its protocol has, and hands over the one id
that decides something, the server's, in the list. Each call in carries `now`; calls out take effect at it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from functools import cached_property
from typing import Any, Protocol, TypeVar

FlowT = TypeVar("FlowT")  # the records of the decisions, which this file does not know
GivenFlowT = TypeVar("GivenFlowT", contravariant=True)
GivenServerT = TypeVar("GivenServerT", contravariant=True)


class End(Enum):
    """How a connect, or the connection it became, ended.

    Moot: never sent, or nobody waits for it now. Local: it failed on this machine, before anything was sent.
    """

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    LOCAL = "local"


class Refusal(Enum):
    """Why a flow gets no further attempt, and so its final answer."""

    DEADLINE = "deadline"  # its time is up, or too short for one more
    ATTEMPTS = "attempts"  # it has had as many as it may
    DESCRIPTORS = "descriptors"  # too few are left, or the fleet allows no further attempt
    LIMIT = "limit"  # it waited for its turn under the limit of attempts until its time was up
    NO_SERVER = "no-server"  # no server may take it
    RETRY_BUDGET = "retry-budget"  # it failed, and too many do
    LOCAL_FAULTS = "local-faults"  # this machine could not connect, too often


class Effect(Enum):
    """What happens when a flow of a service type runs twice."""

    REPEATABLE = "repeatable"
    REFERENCED = "referenced"
    ONCE_ONLY = "once-only"


class Condition(Enum):
    """What the list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


Address = tuple[str, int]
Entry = tuple[str, str, int, Condition, float, float]  # id, zone, cell, condition, size, latest start


@dataclass(frozen=True)
class ServiceType:
    """What one service type asks for."""

    setup_target: float
    effect: Effect
    group: str  # "all", "zone" or "cell": the servers that drop repeats of a referenced flow
    window: float
    message_target: float  # for a message on an established connection
    connect_timeout: float  # the longest that a client waits
    max_connects: int  # for one flow


@dataclass(frozen=True)
class Terms:
    """What the site allows and asks of this proxy, as told at its start."""

    proxies: int  # before the same servers, of every shape
    number: int  # this proxy's own among them, from 0
    tick: float
    push: bool
    cancelling: bool
    retry_after: bool
    longest_pause: float
    drain_grace: float
    ask_within: float
    cold_from: float
    ramp_time: float
    overload_factor: float
    fall_time: float
    connect_within: float  # a connection that is not up by then never comes up
    leave_within: float  # from a planned stop on, the time to move what stands
    silence_within: float  # a connection that brings nothing back for so long is given up
    zone: str  # this proxy's own
    measures: bool  # whether message times are to be had by probes, as nobody tells them
    peers: bool  # whether proxies may speak to one another
    passes: bool  # whether packets pass through, so that connections go on at another proxy if this one ends
    groups: bool  # whether a flow names the group that it shares work with
    service_types: dict[str, ServiceType]
    tenants: frozenset[str]  # by name; none at sites without

    @cached_property
    def shortest_setup(self) -> float:
        """The shortest setup target of a service type."""
        return min(kind.setup_target for kind in self.service_types.values())

    @cached_property
    def shortest_message(self) -> float:
        """The shortest that a service type wants messages to take."""
        return min(kind.message_target for kind in self.service_types.values())

    @cached_property
    def sums(self) -> bool:
        """Whether one proxy sums what all hold, and they tell where displaced groups stand.

        Danger: where connections end here and servers' message times are told to all, all that hear of one
        place herd to it. So it is for those that must probe, and where connections go on at other proxies.
        """
        return self.peers and (self.passes or self.measures)


class Host(Protocol[GivenFlowT, GivenServerT]):
    """Calls out: what the balancer asks its host to do."""

    def connect(self, flow: GivenFlowT, server: GivenServerT, max_wait: float) -> None:
        """Try the flow at the server; connects of a flow are numbered from 0 in the order made."""

    def withdraw(self, flow: GivenFlowT, number: int) -> None:
        """Stop waiting for one connect."""

    def reject(self, flow: GivenFlowT, pause: float) -> None:
        """Final answer: trying again is harmless, best after the pause (0: no advice)."""

    def abort(self, flow: GivenFlowT) -> None:
        """Final answer that promises nothing."""

    def move(self, flow: GivenFlowT) -> None:
        """End an established connection politely; its client comes again."""

    def follow_list(self) -> None:
        """Subscribe to the list of servers, missed changes first."""

    def probe(self, server: GivenServerT) -> None:
        """Measure by a probe how long messages take there; the answer is `message_time_told`."""

    def tell_peers(self, server: GivenServerT, seconds: float) -> None:
        """Tell all other proxies how long messages take at a server."""

    def tell_held(
        self, held: Iterable[tuple[GivenServerT, int]], whole: bool, to: int | None, summed: bool
    ) -> None:
        """Tell all other proxies, or one by its number, how many connections stand here, by server.

        Whole: none anywhere else. Summed: of all proxies, as this one sums for all.
        """

    def tell_turn(self, server: GivenServerT, to: int, word: int) -> None:
        """Ask the proxy of that number for a turn at a cold server (2), or answer it: yes (1), no (0)."""

    def tell_homes(self, homes: Iterable[tuple[int, GivenServerT]]) -> None:
        """Tell all other proxies where displaced groups stand now, by their places on the ring."""

    def room(self) -> float:
        """The share of this proxy's descriptors that is free; 1 where none are counted."""

    def alarm(self, delay: float, call: Callable[[float], None]) -> None:
        """Call back with the time, not before the delay has passed."""

    def log(self, text: str) -> None:
        """A line for the people on call."""


class Decisions(Protocol[FlowT, GivenServerT]):
    """Calls in: what a host tells a balancer."""

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
        server: GivenServerT | None = None,
    ) -> FlowT:
        """A flow has come; with a server, a connection that is already open there.

        The handle is the host's own and comes back on `Flow.handle`, untouched, as does `Server.handle`.
        """

    def established(self, now: float, flow: FlowT, number: int, delay: float) -> None:
        """A connect stands; it now lasts until `connect_ended`."""

    def connect_ended(
        self, now: float, flow: FlowT, number: int, end: End, delay: float, complete: bool
    ) -> None:
        """A connect is over; complete: nothing more is owed for the flow."""

    def lapsed(self, now: float, flow: FlowT) -> None:
        """The client has left."""

    def message_time_told(
        self, now: float, server: GivenServerT, seconds: float, measured: bool = False
    ) -> None:
        """How long a message takes now at a server: told by it or another proxy, or measured here.

        While it is long, about once a second; and once when it no longer is.
        """

    def held_told(
        self,
        now: float,
        peer: Any,
        held: Iterable[tuple[GivenServerT, int]],
        whole: bool,
        summed: bool = False,
    ) -> None:
        """What another proxy holds, or all that it sums for, as told: by server, all or what has changed."""

    def turn_told(self, now: float, peer: Any, server: GivenServerT, word: int) -> None:
        """Another proxy asks for a turn at a cold server, or answers, as in `tell_turn`."""

    def home_told(self, now: float, spot: int, server: GivenServerT) -> None:
        """Where a displaced group stands, as another proxy says; of the spot, its first four bytes count."""

    def silent(self, now: float, flow: FlowT, seconds: float) -> None:
        """So long has an established connection brought nothing back for a line that went out."""

    def stop(self, now: float) -> None:
        """A planned stop is near, or this proxy is drained: empty it."""

    def retune(self, terms: Terms) -> None:
        """These hold for what comes from now on; a flow that is here keeps the service type it came with."""

    def resume(self, now: float) -> None:
        """The drain is over, or the stop called off: what has not been moved yet stays."""

    def empty(self, now: float, server: GivenServerT) -> None:
        """Move what stands at this server, until the list calls it ready again."""

    def list_told(self, now: float, entries: list[Entry], whole: bool) -> None:
        """The list, or changes to it: id, zone, cell, condition, size, latest start (0: long ago).

        A server not in a whole list is gone.
        """

    def list_failed(self, now: float) -> None:
        """Following the list failed or broke; the list held stays good."""
