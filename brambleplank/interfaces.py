"""Interfaces between the proxy, its frontends and its endpoint sources.

A frontend implements one wire protocol: it accepts client connections and passes each request to the proxy,
which opens upstream connections, answers and sends probes through it. An endpoint source follows one kind of
endpoint list. Both call the proxy (`net/proxy.py`) directly; the proxy uses them only through these
protocols. All times are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from brambleplank.model import Address, AttemptOutcome, TrafficClass
from brambleplank.records import Request, Server


@dataclass(frozen=True)
class RequestOpening:
    """The parameters of a new request, independent of the client's protocol."""

    traffic_class: str  # name of the traffic class
    key: int
    group: int | None  # affinity group
    tenant: str
    client_version: str


@dataclass(frozen=True)
class ResumedSession:
    """A session that was open at a server before this process started and is resumed there."""

    traffic_class: TrafficClass
    key: int
    group: int | None  # affinity group
    server: Server


@dataclass(frozen=True)
class AdmissionDecision:
    """Whether the fleet admits a request, and if not, the delay in seconds before the client may retry."""

    admitted: bool
    retry_after: float | None = None  # None: no rule sets a delay


class EndpointAddress(Protocol):
    """The id and the address of a server."""

    @property
    def name(self) -> str:
        """The server's id."""

    @property
    def address(self) -> Address | None:
        """The server's address; None: unknown, and attempts at the server end as unreachable."""


class UpstreamConnection(Protocol):
    """One attempt of a request, and its session once the attempt is established.

    It calls `RequestLifecycle.upstream_established` and `upstream_ended`. Times are those of `Clock.now`.
    """

    established: bool
    ended: bool
    attempt_number: int  # index among the request's attempts, in the order in which they were started
    unanswered_since: float  # when the oldest unanswered line was forwarded; 0: no line is unanswered

    @property
    def client(self) -> ClientConnection:
        """The client whose request this attempt serves."""

    @property
    def endpoint(self) -> EndpointAddress:
        """The endpoint of the server."""

    @property
    def started_at(self) -> float:
        """When the attempt was started."""

    def opening_written(self) -> bool:
        """Returns whether the server may have received the whole opening, and so may have run the request."""

    def end_code(self, outcome: AttemptOutcome) -> str:
        """Returns the reason code of a session that the server ended with this outcome."""

    def close(self, reset: bool = False) -> None:
        """Closes the connection, optionally with a reset, without notifying the proxy."""


class ClientConnection(Protocol):
    """A client's connection, from accept to close."""

    request: Request | None
    resumed_session: ResumedSession | None  # set if the client resumes a session from before this process
    connection_error: str  # name of the error that broke the connection; "": none
    answer_deadline: float  # infinite until the request has been received, and for a resumed session

    @property
    def id(self) -> str:
        """The id of the request; "" until the opening has been received completely."""

    @property
    def opened_at(self) -> float:
        """When the opening was received completely; 0 before that."""

    @property
    def end_code(self) -> str:
        """The reason code of the end; "" while the request or session is open."""

    @property
    def upstreams(self) -> Sequence[UpstreamConnection]:
        """The attempts, in the order in which they were started."""

    @property
    def established_upstream(self) -> UpstreamConnection | None:
        """The attempt that was established, if any."""

    def open_upstream(self, endpoint: EndpointAddress, timeout: float) -> None:
        """Starts an attempt with a timeout in seconds; 0: the timeout of resumed sessions."""

    def reject(self, retry_after: float) -> None:
        """Answers that a retry is safe, preferably after `retry_after` seconds (0: no advice)."""

    def abort(self, code: str) -> None:
        """Answers that the request may or may not have run; `code` is the reason code."""

    def migrate(self) -> None:
        """Ends the session gracefully, between two messages, so that the client reconnects."""

    def close_from_upstream(self, code: str, reset: bool) -> None:
        """Closes the connection because the server closed the session; `reset`: with a connection reset."""

    def has_unread_line(self) -> bool:
        """Returns whether the first data of the client has arrived and was not read yet."""

    def evict(self, others_wait: bool = False) -> None:
        """Closes an idle connection to free its descriptor; `others_wait`: connections wait for it."""


class FleetAdmission(Protocol):
    """Admission by fleet-wide rules and budgets; a request is identified by its client connection."""

    def ready(self) -> bool:
        """Returns whether the fleet's rules allow this process to accept requests."""

    def reload(self) -> None:
        """Reloads the fleet configuration."""

    def admit(self, client: ClientConnection, opening: RequestOpening) -> AdmissionDecision:
        """Returns whether a new request may be attempted."""

    def session_resumed(self, client: ClientConnection, opening: RequestOpening) -> None:
        """Counts a session from before the start of this process, which is resumed."""

    def notice(self, client: ClientConnection) -> str:
        """Returns the retirement notice for an established client that requested notices; "": none."""

    def allows_retry(self, client: ClientConnection) -> bool:
        """Returns whether the request may have a further attempt."""

    def request_established(self, client: ClientConnection) -> None:
        """Records that a request is established."""

    def request_ended(self, client: ClientConnection, rejected: bool) -> None:
        """Records that a request has its final answer, or that a session has ended."""

    def attempt_started(self, server: Server) -> None:
        """Records that a server was chosen for an attempt."""

    def attempt_finished(self, server: Server, succeeded: bool) -> None:
        """Records that an attempt at a server was established (`succeeded`) or failed."""


class HealthProbe(Protocol):
    """A persistent connection to a server, with at most one probe in flight.

    It calls `HealthProbes.probe_answered` and `HealthProbes.probe_closed`.
    """

    sent_at: float  # when the probe in flight was sent; 0: no probe is in flight
    unconfirmed_excesses: list[
        float
    ]  # excess delays of the preceding probes that the next probe has to confirm

    @property
    def server(self) -> Server:
        """The probed server."""

    def send(self) -> None:
        """Sends a probe."""

    def close(self) -> None:
        """Closes the connection."""


class ConnectionListener(Protocol):
    """A listening socket of a frontend."""

    @property
    def paused(self) -> bool:
        """Whether accepting is paused, so that new connections stay in the kernel's backlog."""

    def resume(self) -> None:
        """Resumes accepting connections."""


class EndpointSource(Protocol):
    """Follows an endpoint list; it calls `Proxy.endpoints_received` and `Proxy.endpoint_list_failed`."""

    def ensure_watching(self) -> None:
        """Starts watching the list, or restarts after a failure; does nothing while the watch is active."""

    def stop(self) -> None:
        """Stops watching; the source makes no further calls to the proxy."""
