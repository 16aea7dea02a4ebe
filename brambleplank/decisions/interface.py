"""The interface between the decisions and whatever carries them.

A host (the simulator's wire, or a proxy's sockets) makes one `Balancer` for each proxy and calls it; the
balancer calls out through `Host`. All times are seconds with fractions, `now` included. Requests and servers
are objects on both sides: the host keeps whatever ids its protocol has, and hands over the one id that
decides something, the server's, in the endpoint list. Each call in carries `now`; calls out take effect then.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol, TypeVar

from brambleplank.model import AttemptOutcome, Endpoint, Settings, TrafficClass

RequestT = TypeVar("RequestT")  # the records of the decisions, which this file does not know
GivenRequestT = TypeVar("GivenRequestT", contravariant=True)
GivenServerT = TypeVar("GivenServerT", contravariant=True)


class Host(Protocol[GivenRequestT, GivenServerT]):
    """Calls out: what the balancer asks its host to do."""

    def start_attempt(self, request: GivenRequestT, server: GivenServerT, max_wait: float) -> None:
        """Tries the request at the server, for so many seconds at most.

        The attempts of a request are numbered from 0 in the order in which they are started.
        """

    def cancel_attempt(self, request: GivenRequestT, number: int) -> None:
        """Stops waiting for one attempt."""

    def reject(self, request: GivenRequestT, retry_after: float) -> None:
        """Gives the final answer that a retry is harmless, best after so many seconds (0: no advice)."""

    def abort(self, request: GivenRequestT) -> None:
        """Gives a final answer that promises nothing."""

    def migrate(self, request: GivenRequestT) -> None:
        """Ends an established session politely; its client reconnects."""

    def follow_endpoints(self) -> None:
        """Subscribes to the endpoint list, missed changes first."""

    def probe(self, server: GivenServerT) -> None:
        """Measures how long messages take at the server; the answer is `message_time_reported`."""

    def report_message_time(self, server: GivenServerT, seconds: float) -> None:
        """Reports to all other proxies how long messages take at the server."""

    def send_load_report(
        self,
        connections: Iterable[tuple[GivenServerT, int]],
        complete: bool,
        recipient: int | None,
        is_aggregate: bool,
    ) -> None:
        """Reports connections by server to the proxy of that number, or to all.

        A complete report means that there are none at servers that it does not name. An aggregate has those
        of all proxies.
        """

    def send_permit_message(self, server: GivenServerT, recipient: int, message: int) -> None:
        """Requests a permit for a server in slow start of the proxy of that number, or answers its request.

        The message is a `PermitMessage`.
        """

    def report_group_servers(self, reports: Iterable[tuple[int, GivenServerT]]) -> None:
        """Reports to all other proxies where displaced groups are, by their ring positions."""

    def free_descriptor_share(self) -> float:
        """Returns the share of this proxy's descriptors that is free; 1 where none are counted."""

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Calls back with the time, once `delay` seconds have passed."""

    def log(self, text: str) -> None:
        """Writes a line for the people on call."""


class Decisions(Protocol[RequestT, GivenServerT]):
    """Calls in: what a host tells a balancer."""

    def request_received(  # noqa: PLR0913 - hosts hand over what their protocols have
        self,
        now: float,
        handle: Any,
        traffic_class: TrafficClass,
        key: int | None,
        group: int | None,
        deadline: float,
        resumed: bool,
        reconnecting: bool,
        server: GivenServerT | None = None,
    ) -> RequestT:
        """Handles a request that has come; with a server, a session that is already established there.

        The handle is the host's own and comes back on `Request.handle`, untouched, as does `Server.handle`.
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
        """Handles the end of an attempt or its session; complete: nothing more is owed to the client."""

    def client_disconnected(self, now: float, request: RequestT) -> None:
        """Handles a client that has left."""

    def message_time_reported(
        self, now: float, server: GivenServerT, seconds: float, measured: bool = False
    ) -> None:
        """Takes in how long a message takes at a server: reported by it or another proxy, or measured here.

        Called about once a second while that is long, and once when it no longer is.
        """

    def load_report_received(
        self,
        now: float,
        peer: Any,
        connections: Iterable[tuple[GivenServerT, int]],
        complete: bool,
        is_aggregate: bool = False,
    ) -> None:
        """Takes in another proxy's connections by server, or the aggregate: all, or what has changed."""

    def permit_message_received(self, now: float, peer: Any, server: GivenServerT, message: int) -> None:
        """Takes in another proxy's request for a slow-start permit, or its answer (a `PermitMessage`)."""

    def group_server_reported(self, now: float, position: int, server: GivenServerT) -> None:
        """Takes in where a displaced group is; of its ring position, the first four bytes count."""

    def session_silent(self, now: float, request: RequestT, seconds: float) -> None:
        """Takes in for how long a session has brought nothing back for what was sent."""

    def begin_shutdown(self, now: float) -> None:
        """Begins a planned shutdown, or the drain of this proxy: its sessions are migrated."""

    def update_settings(self, settings: Settings) -> None:
        """Replaces the settings; a request that is here keeps the traffic class that it came with."""

    def cancel_shutdown(self, now: float) -> None:
        """Ends the drain, or calls off the shutdown: what has not been migrated yet stays."""

    def migrate_all_from(self, now: float, server: GivenServerT) -> None:
        """Migrates the sessions at this server, until a list calls it ready again."""

    def endpoints_received(self, now: float, endpoints: list[Endpoint], complete: bool) -> None:
        """Takes in the endpoint list, or changes to it. A server not in a whole list is removed."""

    def endpoint_list_failed(self, now: float) -> None:
        """Handles a failure to follow the endpoint list; the list held stays good."""
