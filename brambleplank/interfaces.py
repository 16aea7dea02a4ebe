"""The interface between the proxy, frontends and sources of endpoints.

A frontend speaks one protocol: it accepts clients' connections and hands each request to the proxy, which
asks it for attempts, answers and probes. A source of endpoints follows one kind of list of servers. Both call
the proxy itself (`net/proxy.py`), which knows them by these protocols alone. All times are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from brambleplank.model import Address, AttemptOutcome, TrafficClass
from brambleplank.records import Request, Server


@dataclass(frozen=True)
class RequestOpening:
    """What a client asks for as it opens a request, whatever protocol it speaks."""

    traffic_class: str  # its name
    key: int
    group: int | None  # of affinity
    tenant: str
    client_version: str


@dataclass(frozen=True)
class ResumedSession:
    """A session that was open at a server before this process began, and goes on there."""

    traffic_class: TrafficClass
    key: int
    group: int | None  # of affinity
    server: Server


@dataclass(frozen=True)
class AdmissionVerdict:
    """Whether the fleet lets a request in; if not, after how many seconds a client may come again."""

    admitted: bool
    retry_after: float | None = None  # None: no rule says when


class EndpointAddress(Protocol):
    """How a server is reached."""

    @property
    def name(self) -> str:
        """The server's id."""

    @property
    def address(self) -> Address | None:
        """None: not known; an attempt there counts as unreachable."""


class UpstreamConnection(Protocol):
    """One attempt of a request, and its session once it is established.

    It calls `Proxy.upstream_established` and `Proxy.upstream_ended`. Times are those of `Clock.now`.
    """

    established: bool
    ended: bool
    attempt_number: int  # among those of the request, from 0 in the order made
    unanswered_since: float  # when the oldest line without an answer was passed on; 0: none waits

    @property
    def client(self) -> ClientConnection:
        """Whose request it is."""

    @property
    def endpoint(self) -> EndpointAddress:
        """Where it goes."""

    @property
    def started_at(self) -> float:
        """When it was made."""

    def opening_written(self) -> bool:
        """Returns whether the server may have all of the opening: from then on the request may have run."""

    def end_code(self, outcome: AttemptOutcome) -> str:
        """Returns the reason code of a session that its server has ended with this outcome."""

    def close(self, reset: bool = False) -> None:
        """Ends the connection, in a reset if asked for, without a call to the proxy."""


class ClientConnection(Protocol):
    """A client's connection, from its opening to its end."""

    request: Request | None
    resumed_session: ResumedSession | None  # what it goes on with, if it was open before this process
    connection_error: str  # by which its connection broke; "": it has not
    answer_deadline: float  # infinite before its request, and for a resumed session

    @property
    def id(self) -> str:
        """The id of its request; "" before its opening was whole."""

    @property
    def opened_at(self) -> float:
        """When its opening was whole; 0 before that."""

    @property
    def end_code(self) -> str:
        """The reason code of its end; "" while it is open."""

    @property
    def upstreams(self) -> Sequence[UpstreamConnection]:
        """Its attempts, in the order made."""

    @property
    def established_upstream(self) -> UpstreamConnection | None:
        """The one that is established."""

    def open_upstream(self, endpoint: EndpointAddress, wait: float) -> None:
        """Begins an attempt, given up after `wait` seconds; 0: as long as a resumed session may take."""

    def reject(self, pause: float) -> None:
        """Answers that trying again is harmless, best after `pause` seconds (0: no advice)."""

    def abort(self, code: str) -> None:
        """Answers that the request may or may not have run; `code` is the reason code."""

    def migrate(self) -> None:
        """Ends a session politely, between two messages; the client comes again."""

    def close_from_upstream(self, code: str, reset: bool) -> None:
        """Ends the connection as its server has, by a reset or not."""

    def evict(self) -> None:
        """Ends an idle connection whose descriptor is needed."""


class FleetAdmission(Protocol):
    """What this process shares with the other proxies of its fleet; a request is known by its client."""

    def ready(self) -> bool:
        """Returns whether requests may be accepted, as far as the fleet is concerned."""

    def reload(self) -> None:
        """Reads its configuration again."""

    def admit(self, client: ClientConnection, opening: RequestOpening) -> AdmissionVerdict:
        """Returns whether a new request may be attempted."""

    def session_resumed(self, client: ClientConnection, opening: RequestOpening) -> None:
        """A session from before the start goes on."""

    def notice(self, client: ClientConnection) -> str:
        """Returns the notice for an established client that asked for it; "": none."""

    def allows_further_attempt(self, client: ClientConnection) -> bool:
        """Returns whether a request may be attempted once more."""

    def request_established(self, client: ClientConnection) -> None:
        """A request is established."""

    def request_ended(self, client: ClientConnection, rejected: bool) -> None:
        """A request has its final answer, or a session has ended."""

    def attempt_finished(self, server: Server, good: bool) -> None:
        """An attempt at a server was established, or failed."""


class HealthProbe(Protocol):
    """A standing connection to a server, for one probe at a time.

    It calls `HealthProbes.probe_answered` and `HealthProbes.probe_closed`.
    """

    sent_at: float  # of the probe without an answer; 0: none is out
    unconfirmed_excesses: list[float]  # of the probes before, if this one is to confirm them

    @property
    def server(self) -> Server:
        """The server that is probed."""

    def send(self) -> None:
        """Sends a probe."""

    def close(self) -> None:
        """Ends the connection."""


class ConnectionListener(Protocol):
    """Where a frontend accepts connections."""

    @property
    def paused(self) -> bool:
        """Whether connections are left in the kernel."""

    def resume(self) -> None:
        """Accepts connections again."""


class EndpointSource(Protocol):
    """Follows a list of servers; it calls `Proxy.endpoints_received` and `Proxy.endpoint_list_failed`."""

    def ensure_watching(self) -> None:
        """Begins, or begins again after a failure; nothing happens while it is following."""

    def stop(self) -> None:
        """Ends the following; it calls the proxy no more."""
