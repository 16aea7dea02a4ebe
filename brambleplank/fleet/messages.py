"""Messages between the processes of a fleet, as datagrams of at most 256 bytes.

A datagram is a format byte of 2 and one message in MessagePack, without the names of its fields. Formats of
older releases begin with 1 or a letter; a process that knows only those ignores these datagrams. Amounts,
terms and incarnations are whole numbers; ages are in milliseconds.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from brambleplank.fleet.errors import DatagramError

FORMAT_BYTE = 2  # the first byte of a datagram
MAX_DATAGRAM = 256  # bytes, the limit of the platform
MAX_NAME = 40  # characters of one part of a counted key
MAX_SERVERS = 40  # servers named in one message; more take several
CHUNK_SIZE = 200  # bytes of a text in one message
MAX_REASON = 150  # characters of an objection
MAX_COUNTS = 24  # in one message; more take several
MAX_ALLOCATIONS = 10  # in one message, which holds them all
UInt53 = Annotated[int, Meta(ge=0, le=2**53)]
Tag = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Name = Annotated[str, Meta(max_length=3 * MAX_NAME + 2)]


class Message(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Base of all messages; the incarnation names the start of the sending process."""

    incarnation: UInt53


class Heartbeat(Message, tag=1, frozen=True):
    """Sent to all members by the leader, by a candidate, or by a process that asks for pre-votes.

    One that asks for pre-votes holds no support; its followers are free from their promises to it.
    """

    term: UInt53
    sequence: UInt53  # of this heartbeat; members name it when they support the sender
    is_leader: bool
    reachable: UInt53  # members that the sender hears from, itself included; 0: neither leader nor candidate
    oldest: UInt53  # ms since the least recent of them was heard from

    @property
    def requests_pre_votes(self) -> bool:
        """Never true of earlier releases, whose candidates need no pre-votes: they count themselves."""
        return not self.is_leader and self.reachable == 0


class Allocation(msgspec.Struct, array_like=True, frozen=True):
    """What the sender holds of one budget by lease, and how much it wants."""

    budget: Tag
    held: UInt53
    wanted: UInt53


class LeaseRequest(Message, tag=2, frozen=True):
    """Sent to the leader or candidate that the sender follows: its support, and leases to be renewed.

    In answer to a heartbeat that asks for pre-votes it is one, without support and allocations.
    """

    sequence: UInt53  # of this request
    recipient: UInt53  # the incarnation of the process that is asked
    heartbeat: UInt53  # sequence of the newest heartbeat received from it
    supports: bool  # the sender follows it, and no other process for the length of a lease
    age: UInt53  # ms since the sender started
    term: UInt53  # the newest term that the sender has seen
    allocations: Annotated[list[Allocation], Meta(max_length=MAX_ALLOCATIONS)]


class Lease(msgspec.Struct, array_like=True, frozen=True):
    """How much of a budget may be used beside the reserve, for the length of a lease from the request on."""

    budget: Tag
    amount: UInt53


class LeaseGrant(Message, tag=3, frozen=True):
    """The leader's answer to a lease request."""

    recipient: UInt53  # the incarnation that sent the request
    request: UInt53  # sequence of the request
    leases: Annotated[list[Lease], Meta(max_length=MAX_ALLOCATIONS)]


class StaleIncarnation(Message, tag=4, frozen=True):
    """Tells the recipient that a newer incarnation of its process is known: its clock was set back."""

    known: UInt53


class Count(msgspec.Struct, array_like=True, frozen=True):
    """Totals of one service type, customer and version: since the sender's start, or over the whole fleet."""

    key: Name
    totals: Annotated[list[UInt53], Meta(min_length=5, max_length=5)]


class CountReport(Message, tag=5, frozen=True):
    """Sent to the leader: the sender's own counts."""

    counts: Annotated[list[Count], Meta(max_length=MAX_COUNTS)]


class Aggregates(Message, tag=6, frozen=True):
    """Sent to all members by the leader: counts over every report it has received."""

    counts: Annotated[list[Count], Meta(max_length=MAX_COUNTS)]


class ServerObservations(Message, tag=7, frozen=True):
    """Sent to the leader: some of the servers that the sender tried lately, by the widest tags."""

    healthy: Annotated[list[Tag], Meta(max_length=MAX_SERVERS)]
    failing: Annotated[list[Tag], Meta(max_length=MAX_SERVERS)]
    tried_total: UInt53  # also those that other messages name
    failing_total: UInt53


class Ejections(Message, tag=8, frozen=True):
    """Sent to all members by the leader: servers that several members found failing."""

    servers: Annotated[list[Tag], Meta(max_length=MAX_SERVERS)]


class VersionReport(Message, tag=9, frozen=True):
    """Sent to the leader: the version of a text in force at the sender, and the one it has accepted."""

    kind: UInt53
    version: UInt53
    digest: UInt53
    accepted: UInt53  # the newest version accepted and not yet in force; 0: none
    accepted_term: UInt53
    accepted_digest: UInt53
    is_current: bool  # the sender has learnt since its start which version is in force


class VersionAnnouncement(Message, tag=10, frozen=True):
    """Sent to all members by the leader: the version in force, and the one that is proposed."""

    kind: UInt53
    sequence: UInt53  # of this announcement; 0: the sender is not the leader
    term: UInt53
    version: UInt53
    digest: UInt53
    proposed: UInt53  # 0: none
    proposed_digest: UInt53


class ChunkRequest(Message, tag=11, frozen=True):
    """Asks for chunks of a text that the sender lacks, from one index on."""

    digest: UInt53
    first: UInt53


class Chunk(Message, tag=12, frozen=True):
    """One chunk of a compressed text."""

    digest: UInt53
    index: UInt53
    total: UInt53
    data: Annotated[bytes, Meta(max_length=CHUNK_SIZE)]


class Vote(Message, tag=13, frozen=True):
    """Whether the sender accepts a proposed version, with the reason if it does not."""

    kind: UInt53
    term: UInt53  # of the leader that proposed it
    version: UInt53
    digest: UInt53
    accepts: bool
    reason: Annotated[str, Meta(max_length=MAX_REASON)]


class PublishRequest(Message, tag=14, frozen=True):
    """Asks the leader to publish a text in place of a version."""

    kind: UInt53
    digest: UInt53
    replaces: UInt53


class PublishResponse(Message, tag=15, frozen=True):
    """The outcome of a publish request: the new version, or the reason for its refusal."""

    kind: UInt53
    digest: UInt53
    version: UInt53  # 0: refused
    reason: Annotated[str, Meta(max_length=MAX_REASON)]


AnyMessage = (
    Heartbeat
    | LeaseRequest
    | LeaseGrant
    | StaleIncarnation
    | CountReport
    | Aggregates
    | ServerObservations
    | Ejections
    | VersionReport
    | VersionAnnouncement
    | ChunkRequest
    | Chunk
    | Vote
    | PublishRequest
    | PublishResponse
)
ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """The datagram of a message. Raises DatagramError for one over the limit; its builder bounds its size."""
    data = bytes([FORMAT_BYTE]) + ENCODER.encode(message)
    if len(data) > MAX_DATAGRAM:
        raise DatagramError(f"{type(message).__name__} of {len(data)} bytes, {MAX_DATAGRAM} at most", "fleet")
    return data


def decode(data: bytes) -> AnyMessage:
    """The message of a datagram. Raises DatagramError if there is none in it."""
    if not data or data[0] != FORMAT_BYTE or len(data) > MAX_DATAGRAM:
        raise DatagramError(f"{len(data)} bytes of no form that is known", "fleet")
    try:
        return DECODER.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise DatagramError(str(error), "fleet") from None
