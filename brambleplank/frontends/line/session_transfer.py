"""Hands client connections off to the next process of a proxy, each with its server's connection.

Client and server do not notice. The sockets are sent together with the state that the process keeps for them
(`TransferredConnection`). A client can be handed off once its session is established, or while its OPEN line
is incomplete. A pending attempt stays with the process that made it.
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
from brambleplank.model import DeduplicationScope, Idempotency, TrafficClass
from brambleplank.net.buffers import ClientTransport
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy
from brambleplank.net.upstream_endpoint import upstream_endpoint_of

BYTES_ENCODING = "latin-1"  # maps any bytes to a JSON string and back
MIN_FIRST_LINE_TIME = 0.05  # seconds, so that data that arrived during the handoff is read before a timeout
TRAFFIC_CLASS_KEYS = frozenset(
    ("setup_target", "effect", "group", "window", "message_target", "connect_timeout", "max_connects")
)


@dataclass(frozen=True)
class ConnectionSide:
    """Buffered bytes of one socket: the incomplete line that was read, and data not written yet."""

    partial_line: bytes
    unsent: bytes


@dataclass(frozen=True)
class EstablishedSession:
    """The state of an established session; times are those of `Clock.now`."""

    id: str
    opening_line: bytes
    opened_at: float
    server_id: str
    traffic_class: TrafficClass
    unanswered_since: float  # when the oldest unanswered line was forwarded; 0: none
    last_line: bytes  # from the server

    def encode(self) -> dict[str, Any]:
        """Returns the stored form, which processes of other releases decode."""
        return {
            "id": self.id,
            "line": self.opening_line.decode(BYTES_ENCODING),
            "came": self.opened_at,
            "server": self.server_id,
            "kind": encode_traffic_class(self.traffic_class),
            "asked": self.unanswered_since,
            "last": self.last_line.decode(BYTES_ENCODING),
        }

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> EstablishedSession:
        """Decodes the stored form. Raises InvalidConfigurationError, which names the key."""
        for key in ("id", "line", "server", "last"):
            check_value(stored.get(key), key, str)
        for key in ("came", "asked"):
            check_value(stored.get(key), key, float)
        return cls(
            id=stored["id"],
            opening_line=stored["line"].encode(BYTES_ENCODING),
            opened_at=stored["came"],
            server_id=stored["server"],
            traffic_class=decode_traffic_class(stored.get("kind")),
            unanswered_since=stored["asked"],
            last_line=stored["last"].encode(BYTES_ENCODING),
        )


@dataclass(frozen=True)
class TransferredConnection:
    """The state of a client's connection, without its sockets."""

    sides: list[ConnectionSide]  # of the client, then of the server if there is a session
    connected_at: float  # 0 once OPEN is complete
    sent_ping: bool  # whether the client has sent PING
    session: EstablishedSession | None

    def encode(self) -> dict[str, Any]:
        """Returns the stored form, which processes of other releases decode."""
        stored: dict[str, Any] = {
            "halves": [side.partial_line.decode(BYTES_ENCODING) for side in self.sides],
            "unsent": [side.unsent.decode(BYTES_ENCODING) for side in self.sides],
            "since": self.connected_at,
            "pinged": self.sent_ping,
        }
        if self.session is not None:
            stored.update(self.session.encode())
        return stored

    @classmethod
    def decode(cls, stored: Any) -> TransferredConnection:
        """Decodes the stored form. Raises InvalidConfigurationError, which names the key."""
        check_value(stored, "flow", dict)
        for key, kind in (("halves", list), ("unsent", list), ("since", float), ("pinged", bool)):
            check_value(stored.get(key), key, kind)
        sides = [
            ConnectionSide(
                partial_line.encode(BYTES_ENCODING), stored["unsent"][number].encode(BYTES_ENCODING)
            )
            for number, partial_line in enumerate(stored["halves"])
        ]
        session = EstablishedSession.decode(stored) if "line" in stored else None
        return cls(sides, stored["since"], stored["pinged"], session)


class DetachedConnection(NamedTuple):
    """A connection that was removed from this process, and its descriptors."""

    connection: TransferredConnection
    descriptors: list[int]


def can_detach(client: LineClientConnection) -> bool:
    """Returns whether a client can be handed off now."""
    if client.end_code or client.transport is None:
        return False
    upstream = client.established_upstream
    if upstream is None:
        return not client.opening_line
    return upstream.established and not upstream.ended and client.request is not None


def detach(client: LineClientConnection) -> DetachedConnection:
    """Removes a client and its server's connection from this process; the caller owns the descriptors."""
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
        proxy.admission.request_ended(client.id, was_attempted=True)
    client.end_code = "handed"
    proxy.requests.client_closed(client)
    return DetachedConnection(
        TransferredConnection(sides, connected_at, client.sent_ping, session), descriptors
    )


def encode_traffic_class(traffic_class: TrafficClass) -> dict[str, Any]:
    """Returns the stored form of a traffic class, which processes of other releases decode."""
    return {
        "setup_target": traffic_class.latency_objective,
        "effect": traffic_class.idempotency.value,
        "group": traffic_class.deduplication_scope.value,
        "window": traffic_class.deduplication_window,
        "message_target": traffic_class.message_latency_objective,
        "connect_timeout": traffic_class.deadline,
        "max_connects": traffic_class.max_attempts,
    }


def decode_traffic_class(stored: Any) -> TrafficClass:
    """Decodes a traffic class from its stored form. Raises InvalidConfigurationError."""
    check_value(stored, "kind", dict)
    try:
        if unknown := stored.keys() - TRAFFIC_CLASS_KEYS:
            raise InvalidConfigurationError(f"kind: unknown key {min(unknown)!r:.40}")
        for key in ("setup_target", "window", "message_target", "connect_timeout", "max_connects"):
            check_value(stored[key], f"kind.{key}", float)
        return TrafficClass(
            latency_objective=stored["setup_target"],
            idempotency=Idempotency(stored["effect"]),
            deduplication_scope=DeduplicationScope(stored["group"]),
            deduplication_window=stored["window"],
            message_latency_objective=stored["message_target"],
            deadline=stored["connect_timeout"],
            max_attempts=stored["max_connects"],
        )
    except (KeyError, ValueError) as error:
        raise InvalidConfigurationError(f"kind: {type(error).__name__} {error}") from None


def adopt(proxy: Proxy, stored: Any, descriptors: list[int]) -> LineClientConnection:
    """Continues a connection that was handed off, given in its stored form, and returns its client.

    Descriptors that are used are duplicated, and all given ones are closed, also after an error. Raises
    InvalidConfigurationError.
    """
    try:
        connection = TransferredConnection.decode(stored)
        if connection.session is None:
            return adopt_pending(proxy, connection, descriptors)
        return adopt_session(proxy, connection, connection.session, descriptors)
    except (OSError, IndexError, AttributeError, TypeError, UnicodeError) as error:
        # A connection may end during the handoff (OSError). One failure must not stop the other handoffs.
        raise InvalidConfigurationError(f"handed-off connection: {type(error).__name__} {error}") from None
    finally:
        close_descriptors(descriptors)


def adopt_pending(
    proxy: Proxy, connection: TransferredConnection, descriptors: list[int]
) -> LineClientConnection:
    """Continues a client whose OPEN line is incomplete, and returns it."""
    client = LineClientConnection(proxy)
    client.sent_ping = connection.sent_ping
    connect_transport(client, descriptors[0])
    now = proxy.clock.now()
    connected_at = min(now, connection.connected_at)
    proxy.admission.pending[client] = connected_at
    client.setTimeout(max(MIN_FIRST_LINE_TIME, connected_at + FIRST_LINE_TIMEOUT - proxy.clock.now()))
    restore_bytes(client, connection.sides[0])
    return client


def adopt_session(
    proxy: Proxy, connection: TransferredConnection, session: EstablishedSession, descriptors: list[int]
) -> LineClientConnection:
    """Continues an established session, and returns its client. Raises InvalidConfigurationError."""
    opened = open_line.parse(session.opening_line)
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
    upstream.establish()
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
        client.finish("broke")  # the server ended the session during the handoff
        raise
    client.join_upstream(upstream)
    proxy.requests.upstream_established(upstream)
    restore_bytes(client, connection.sides[0])
    restore_bytes(upstream, connection.sides[1])
    return client


def connect_transport(protocol: LineClientConnection | LineUpstreamConnection, descriptor: int) -> None:
    """Connects a protocol to a connected socket. Raises OSError if the other side has closed it."""
    make: Any = ClientTransport._fromConnectedSocket
    make(descriptor, socket.AF_INET, SingleProtocolFactory(protocol), reactor)


def restore_bytes(protocol: LineClientConnection | LineUpstreamConnection, side: ConnectionSide) -> None:
    """Writes the unsent bytes, and feeds the incomplete line to the protocol again."""
    if side.unsent:
        protocol.transport.write(side.unsent)
    if side.partial_line:
        protocol.dataReceived(side.partial_line)


class SingleProtocolFactory:
    """A factory that returns an existing protocol."""

    def __init__(self, protocol: LineClientConnection | LineUpstreamConnection) -> None:
        self.protocol = protocol

    def buildProtocol(self, addr: object) -> LineClientConnection | LineUpstreamConnection:  # noqa: ARG002, N802
        """Returns the existing protocol."""
        return self.protocol


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Closes descriptors; errors are ignored, as some may be closed already."""
    for descriptor in descriptors:
        with suppress(OSError):
            os.close(descriptor)
