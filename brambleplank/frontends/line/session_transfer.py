"""Moves a client's connection and its server's from one process of a proxy to the next; neither notices.

Beside the sockets goes what a process holds of them (`TransferredConnection`). A client can be moved if it is
established, or has not sent all of its opening. An attempt without an answer belongs to the process that made
it.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, NamedTuple

from brambleplank.checks import InvalidConfigurationError, check_value
from brambleplank.frontends.line import open_line
from brambleplank.frontends.line.client_connections import FIRST_LINE_TIMEOUT, LineClientConnection
from brambleplank.frontends.line.upstream_connections import LineUpstreamConnection
from brambleplank.interfaces import ResumedSession
from brambleplank.model import Idempotency, TrafficClass
from brambleplank.net.buffers import ClientTransport
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy
from brambleplank.net.upstream_endpoint import upstream_endpoint_of

TEXT = "latin-1"  # any bytes as a text of JSON
MIN_FIRST_LINE_TIME = 0.05  # seconds; what has arrived during the move is read first
KIND_KEYS = frozenset(
    ("setup_target", "effect", "group", "window", "message_target", "connect_timeout", "max_connects")
)


@dataclass(frozen=True)
class ConnectionSide:
    """Bytes that belong to one socket: part of a line that was read, and what was not written yet."""

    partial_line: bytes
    unsent: bytes


@dataclass(frozen=True)
class EstablishedSession:
    """A session as its process holds it; times are those of `Clock.now`."""

    id: str
    opening_line: bytes
    opened_at: float
    server_id: str
    traffic_class: TrafficClass
    unanswered_since: float  # 0: no line waits for an answer
    last_line: bytes  # of the server

    def encode(self) -> dict[str, Any]:
        """Returns the stored form, which processes of other releases read."""
        return {
            "id": self.id,
            "line": self.opening_line.decode(TEXT),
            "came": self.opened_at,
            "server": self.server_id,
            "kind": encode_traffic_class(self.traffic_class),
            "asked": self.unanswered_since,
            "last": self.last_line.decode(TEXT),
        }

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> EstablishedSession:
        """Raises InvalidConfigurationError, which names the key."""
        for key in ("id", "line", "server", "last"):
            check_value(stored.get(key), key, str)
        for key in ("came", "asked"):
            check_value(stored.get(key), key, float)
        return cls(
            id=stored["id"],
            opening_line=stored["line"].encode(TEXT),
            opened_at=stored["came"],
            server_id=stored["server"],
            traffic_class=decode_traffic_class(stored.get("kind")),
            unanswered_since=stored["asked"],
            last_line=stored["last"].encode(TEXT),
        )


@dataclass(frozen=True)
class TransferredConnection:
    """A client's connection without its sockets."""

    sides: list[ConnectionSide]  # the client's; the server's, where there is a session
    connected_at: float  # 0 once its opening was whole
    pinged: bool  # whether it has sent a PING in place of an opening
    session: EstablishedSession | None

    def encode(self) -> dict[str, Any]:
        """Returns the stored form, which processes of other releases read."""
        stored: dict[str, Any] = {
            "halves": [side.partial_line.decode(TEXT) for side in self.sides],
            "unsent": [side.unsent.decode(TEXT) for side in self.sides],
            "since": self.connected_at,
            "pinged": self.pinged,
        }
        if self.session is not None:
            stored.update(self.session.encode())
        return stored

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> TransferredConnection:
        """Raises InvalidConfigurationError, which names the key."""
        for key, kind in (("halves", list), ("unsent", list), ("since", float), ("pinged", bool)):
            check_value(stored.get(key), key, kind)
        sides = [
            ConnectionSide(partial_line.encode(TEXT), stored["unsent"][number].encode(TEXT))
            for number, partial_line in enumerate(stored["halves"])
        ]
        session = EstablishedSession.decode(stored) if "line" in stored else None
        return cls(sides, stored["since"], stored["pinged"], session)


class DetachedConnection(NamedTuple):
    """A connection that this process has no part in any more, and its descriptors."""

    connection: TransferredConnection
    descriptors: list[int]


def can_detach(client: LineClientConnection) -> bool:
    """Returns whether a client can be moved now."""
    if client.end_code or client.transport is None:
        return False
    upstream = client.established_upstream
    if upstream is None:
        return not client.opening_line
    return upstream.established and not upstream.ended and client.request is not None


def detach(client: LineClientConnection) -> DetachedConnection:
    """Takes a client and its server out of this process; the descriptors are the caller's from here on."""
    proxy = client.proxy
    upstream = client.established_upstream
    client.setTimeout(None)
    transports = [client.transport] if upstream is None else [client.transport, upstream.transport]
    partial_lines = [transport.protocol.clearLineBuffer() for transport in transports]
    descriptors = []
    sides = []
    for transport, partial_line in zip(transports, partial_lines, strict=True):
        descriptors.append(transport.detach())
        sides.append(ConnectionSide(partial_line, transport.unsent_data()))
        proxy.admission.descriptors_changed(-1)
    connected_at = proxy.admission.pending.get(client, 0.0)
    session = None
    if upstream is not None and client.request is not None:
        session = EstablishedSession(
            id=client.id,
            opening_line=client.opening_line,
            opened_at=client.opened_at,
            server_id=upstream.endpoint.name,
            traffic_class=client.request.traffic_class,
            unanswered_since=upstream.unanswered_since,
            last_line=upstream.last_line,
        )
        upstream.ended = True
        proxy.requests.session_handed_off(upstream)
        proxy.admission.request_ended(client.id)
    client.end_code = "handed"
    proxy.requests.client_closed(client)
    return DetachedConnection(TransferredConnection(sides, connected_at, client.pinged, session), descriptors)


def encode_traffic_class(traffic_class: TrafficClass) -> dict[str, Any]:
    """Returns the stored form of a traffic class, which processes of other releases read."""
    return {
        "setup_target": traffic_class.latency_objective,
        "effect": traffic_class.idempotency.value,
        "group": traffic_class.deduplication_scope,
        "window": traffic_class.deduplication_window,
        "message_target": traffic_class.message_latency_objective,
        "connect_timeout": traffic_class.deadline,
        "max_connects": traffic_class.max_attempts,
    }


def decode_traffic_class(stored: Any) -> TrafficClass:
    """Returns the traffic class of a stored form. Raises InvalidConfigurationError."""
    check_value(stored, "kind", dict)
    try:
        if unknown := stored.keys() - KIND_KEYS:
            raise InvalidConfigurationError(f"kind: unknown key {min(unknown)!r:.40}")
        return TrafficClass(
            latency_objective=stored["setup_target"],
            idempotency=Idempotency(stored["effect"]),
            deduplication_scope=stored["group"],
            deduplication_window=stored["window"],
            message_latency_objective=stored["message_target"],
            deadline=stored["connect_timeout"],
            max_attempts=stored["max_connects"],
        )
    except (KeyError, ValueError) as error:
        raise InvalidConfigurationError(f"kind: {type(error).__name__} {error}") from None


def adopt(proxy: Proxy, stored: dict[str, Any], descriptors: list[int]) -> None:
    """Goes on with a connection of another process, given in its stored form.

    The descriptors are duplicated where they are used, and closed in any case. Raises
    InvalidConfigurationError.
    """
    try:
        connection = TransferredConnection.decode(stored)
        if connection.session is None:
            adopt_pending(proxy, connection, descriptors)
        else:
            adopt_session(proxy, connection, connection.session, descriptors)
    except (OSError, IndexError, AttributeError, TypeError, UnicodeError) as error:
        # One that ended on the way has no peer any more; it must not keep the others from going on.
        raise InvalidConfigurationError(
            f"a connection that was handed on: {type(error).__name__} {error}"
        ) from None
    finally:
        close_descriptors(descriptors)


def adopt_pending(proxy: Proxy, connection: TransferredConnection, descriptors: list[int]) -> None:
    """Goes on with a client that has not sent all of its opening."""
    client = LineClientConnection(proxy)
    client.pinged = connection.pinged
    connect_transport(client, descriptors[0])
    now = proxy.clock.now()
    connected_at = min(now, connection.connected_at)
    proxy.admission.pending[client] = connected_at
    client.setTimeout(max(MIN_FIRST_LINE_TIME, connected_at + FIRST_LINE_TIMEOUT - proxy.clock.now()))
    restore_bytes(client, connection.sides[0])


def adopt_session(
    proxy: Proxy, connection: TransferredConnection, session: EstablishedSession, descriptors: list[int]
) -> None:
    """Goes on with an established session. Raises InvalidConfigurationError."""
    opened = open_line.decode(session.opening_line)
    if opened is None:
        raise InvalidConfigurationError(f"line: {session.opening_line[:60]!r}")
    server = proxy.balancer.find_or_add_server(proxy.clock.now(), session.server_id)
    client = LineClientConnection(proxy)
    client.opening_line = session.opening_line
    client.id = session.id
    client.opened_at = session.opened_at
    client.resumed_session = ResumedSession(
        session.traffic_class, opened.key, opened.group(proxy.settings), server
    )
    upstream = LineUpstreamConnection(proxy, client, 0, upstream_endpoint_of(server))
    upstream.established = True
    upstream.unanswered_since = session.unanswered_since
    upstream.last_line = session.last_line
    client.upstreams.append(upstream)
    connect_transport(client, descriptors[0])
    client.setTimeout(None)
    proxy.admission.session_adopted(client, client.id)
    proxy.requests.clients[client] = None
    try:
        connect_transport(upstream, descriptors[1])
    except OSError:
        client.finish("broke")  # its server ended it on the way
        raise
    client.join_upstream(upstream)
    proxy.requests.upstream_established(upstream)
    restore_bytes(client, connection.sides[0])
    restore_bytes(upstream, connection.sides[1])


def connect_transport(protocol: LineClientConnection | LineUpstreamConnection, descriptor: int) -> None:
    """Makes a transport of a connected socket. Raises OSError where the other side has ended it."""
    make: Any = ClientTransport._fromConnectedSocket
    make(descriptor, socket.AF_INET, SingleProtocolFactory(protocol), reactor)


def restore_bytes(protocol: LineClientConnection | LineUpstreamConnection, side: ConnectionSide) -> None:
    """Writes what was not written yet, and reads again the part of a line that was read."""
    if side.unsent:
        protocol.transport.write(side.unsent)
    if side.partial_line:
        protocol.dataReceived(side.partial_line)


class SingleProtocolFactory:
    """A factory of one protocol, which there is already."""

    def __init__(self, protocol: LineClientConnection | LineUpstreamConnection) -> None:
        self.protocol = protocol

    def buildProtocol(self, addr: object) -> LineClientConnection | LineUpstreamConnection:  # noqa: ARG002, N802
        """Returns the protocol."""
        return self.protocol


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Closes descriptors, whether or not they are open."""
    for descriptor in descriptors:
        with suppress(OSError):
            os.close(descriptor)
