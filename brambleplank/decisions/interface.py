"""The interface between the decisions and their host.

A host (the simulator adapter, or a proxy on sockets) creates one `Balancer` for each proxy and calls its
methods; the balancer calls back through `Host`. All times are floating-point seconds, including `now`, which
each call to the balancer passes; calls to the host take effect at that time. Both sides refer to requests and
servers by object. The host keeps the ids of its protocol, except for server ids, which affect decisions and
are passed in the endpoint list.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol, TypeVar

from brambleplank.model import AttemptOutcome, Endpoint, Settings, TrafficClass

RequestT = TypeVar("RequestT")  # the records of the decisions, opaque to this module
RequestT_contra = TypeVar("RequestT_contra", contravariant=True)
ServerT_contra = TypeVar("ServerT_contra", contravariant=True)


class Host(Protocol[RequestT_contra, ServerT_contra]):
    """The calls of a balancer to its host."""

    def start_attempt(self, request: RequestT_contra, server: ServerT_contra, max_wait: float) -> None:
        """Attempts the request at the server, with a timeout of `max_wait` seconds.

        A request's attempts are numbered from 0 in the order in which they are started.
        """

    def cancel_attempt(self, request: RequestT_contra, number: int) -> None:
        """Cancels an attempt."""

    def reject(self, request: RequestT_contra, retry_after: float) -> None:
        """Sends the final answer that a retry is harmless, after `retry_after` seconds (0: no advice)."""

    def abort(self, request: RequestT_contra) -> None:
        """Sends a final answer that does not promise that a retry is harmless."""

    def migrate(self, request: RequestT_contra) -> None:
        """Ends an established session and asks its client to reconnect."""

    def follow_endpoints(self) -> None:
        """Subscribes to the endpoint list, beginning with missed changes."""

    def probe(self, server: ServerT_contra) -> None:
        """Measures the message time of the server, and passes it to `message_time_reported`."""

    def report_message_time(self, server: ServerT_contra, seconds: float) -> None:
        """Reports the message time of the server to all other proxies."""

    def send_load_report(
        self,
        connections: Iterable[tuple[ServerT_contra, int]],
        complete: bool,
        recipient: int | None,
        is_aggregate: bool,
    ) -> None:
        """Sends connections by server to the proxy with the number `recipient`, or to all if it is None.

        In a complete report, servers that are left out have no connections. An aggregate counts the
        connections of all proxies.
        """

    def send_permit_message(self, server: ServerT_contra, recipient: int, message: int) -> None:
        """Sends a `PermitMessage` about a server in slow start to the proxy with the number `recipient`.

        It requests a permit, or answers the recipient's request.
        """

    def report_group_servers(self, reports: Iterable[tuple[int, ServerT_contra]]) -> None:
        """Reports the servers of displaced groups, by ring position, to all other proxies."""

    def free_descriptor_share(self) -> float:
        """Returns the free share of this proxy's file descriptors; 1 if the host does not count them."""

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Calls `call` with the current time after `delay` seconds."""

    def log(self, text: str) -> None:
        """Writes a line to the operators' log."""


class Decisions(Protocol[RequestT, ServerT_contra]):
    """The calls of a host to a balancer."""

    def request_received(  # noqa: PLR0913 - a request has this many attributes
        self,
        now: float,
        handle: Any,
        traffic_class: TrafficClass,
        key: int | None,
        group: int | None,
        deadline: float,
        resumed: bool,
        reconnecting: bool,
        server: ServerT_contra | None = None,
    ) -> RequestT:
        """Handles a new request, or with a server, a session that is already established there.

        Only the host uses the handle, which is kept in `Request.handle`; the same goes for `Server.handle`.
        """

    def attempt_established(self, now: float, request: RequestT, number: int, delay: float) -> None:
        """Handles an attempt that was established; its session lasts until `attempt_ended`."""

    def attempt_ended(
        self,
        now: float,
        request: RequestT,
        number: int,
        outcome: AttemptOutcome,
        delay: float,
        complete: bool,
    ) -> None:
        """Handles the end of an attempt or its session; complete: the client needs no further answer."""

    def client_disconnected(self, now: float, request: RequestT) -> None:
        """Handles a client that has disconnected."""

    def message_time_reported(
        self, now: float, server: ServerT_contra, seconds: float, measured: bool = False
    ) -> None:
        """Handles the message time of a server: measured here, or reported by the server or another proxy.

        Called about once per second while the time is long, and once when it no longer is.
        """

    def load_report_received(
        self,
        now: float,
        peer: Any,
        connections: Iterable[tuple[ServerT_contra, int]],
        complete: bool,
        is_aggregate: bool = False,
    ) -> None:
        """Handles another proxy's connections by server, or the aggregate: all, or the changes only."""

    def permit_message_received(self, now: float, peer: Any, server: ServerT_contra, message: int) -> None:
        """Handles another proxy's request for a slow-start permit, or its answer (a `PermitMessage`)."""

    def group_server_reported(self, now: float, position: int, server: ServerT_contra) -> None:
        """Handles a report of a displaced group's server; only the first four bytes of the position count."""

    def session_silent(self, now: float, request: RequestT, seconds: float) -> None:
        """Handles a session whose server has not responded for so many seconds to what was sent."""

    def begin_shutdown(self, now: float) -> None:
        """Begins a planned shutdown or a drain of this proxy: its sessions are migrated."""

    def update_settings(self, settings: Settings) -> None:
        """Replaces the settings; a request received before keeps its traffic class."""

    def cancel_shutdown(self, now: float) -> None:
        """Cancels the shutdown or drain; sessions that have not been migrated yet stay."""

    def migrate_all_from(self, now: float, server: ServerT_contra) -> None:
        """Migrates all sessions at the server, until it is listed as ready again."""

    def endpoints_received(self, now: float, endpoints: list[Endpoint], complete: bool) -> None:
        """Applies an endpoint list, or changes to it. A server missing from a complete list is removed."""

    def endpoint_list_failed(self, now: float) -> None:
        """Handles a failure to follow the endpoint list; the current list stays in use."""
