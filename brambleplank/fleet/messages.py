"""Messages between the processes of a fleet, as datagrams of at most 256 bytes.

A datagram is the format byte 2 and one message in MessagePack, as an array without field names. Formats of
earlier releases begin with 1 or a letter; a process that knows only those ignores these datagrams. Amounts,
terms and incarnations are non-negative integers; ages are in milliseconds.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from brambleplank.fleet.errors import DatagramError

FORMAT_BYTE = 2  # the first byte of a datagram
MAX_DATAGRAM = 256  # bytes, the limit of the platform
MAX_NAME = 40  # characters of each part of a count key
MAX_SERVERS = 40  # in one message; more are split over several
CHUNK_SIZE = 200  # bytes of a text in one chunk
MAX_REASON = 150  # characters of the reason for a rejection
MAX_COUNTS = 24  # in one message; more are split over several
MAX_ALLOCATIONS = 10  # in one message; they are never split
UInt53 = Annotated[int, Meta(ge=0, le=2**53)]
Tag = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Name = Annotated[str, Meta(max_length=3 * MAX_NAME + 2)]


class Message(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Base class of all messages. `incarnation` is that of the sending process."""

    incarnation: UInt53


class Heartbeat(Message, tag=1, frozen=True):
    """Sent to all members by the leader, by a candidate, or by a process that requests pre-votes.

    A process that requests pre-votes relies on no support, and releases its followers from their promises.
    """

    term: UInt53
    sequence: UInt53  # of this heartbeat; a member that supports the sender refers to it
    is_leader: bool
    reachable: UInt53  # members reachable from the sender, itself included; 0: neither leader nor candidate
    oldest: UInt53  # ms since the last contact with the least recently reached of them

    @property
    def requests_pre_votes(self) -> bool:
        """Whether the sender requests pre-votes.

        Never true of earlier releases, whose candidates skip pre-votes: they count themselves as reachable.
        """
        return not self.is_leader and self.reachable == 0


class Allocation(msgspec.Struct, array_like=True, frozen=True):
    """The units of one budget that the sender holds by lease, and the units that it wants."""

    budget: Tag
    held: UInt53
    wanted: UInt53


class LeaseRequest(Message, tag=2, frozen=True):
    """Sent to the leader or candidate that the sender follows, to support it and to renew leases.

    In reply to a request for pre-votes it is the pre-vote, without support or allocations.
    """

    sequence: UInt53  # of this request
    recipient: UInt53  # the recipient's incarnation
    heartbeat: UInt53  # sequence of the newest heartbeat received from the recipient
    supports: bool  # the sender follows the recipient, and no other process for a lease duration
    age: UInt53  # ms since the sender started
    term: UInt53  # the newest term that the sender has seen
    allocations: Annotated[list[Allocation], Meta(max_length=MAX_ALLOCATIONS)]


class Lease(msgspec.Struct, array_like=True, frozen=True):
    """The units of a budget usable beside the reserve, for a lease duration from the request on."""

    budget: Tag
    amount: UInt53


class LeaseGrant(Message, tag=3, frozen=True):
    """The leader's reply to a lease request."""

    recipient: UInt53  # the incarnation that sent the request
    request: UInt53  # sequence of the request
    leases: Annotated[list[Lease], Meta(max_length=MAX_ALLOCATIONS)]


class StaleIncarnation(Message, tag=4, frozen=True):
    """Informs the recipient that a newer incarnation of it is known, as after its clock was set back."""

    known: UInt53


class Count(msgspec.Struct, array_like=True, frozen=True):
    """Totals of one service type, customer and version, since the sender's start or over the whole fleet."""

    key: Name
    totals: Annotated[list[UInt53], Meta(min_length=5, max_length=5)]


class CountReport(Message, tag=5, frozen=True):
    """Sent to the leader: the sender's own counts."""

    counts: Annotated[list[Count], Meta(max_length=MAX_COUNTS)]


class Aggregates(Message, tag=6, frozen=True):
    """Sent to all members by the leader: counts over every report it has received."""

    counts: Annotated[list[Count], Meta(max_length=MAX_COUNTS)]


class ServerObservations(Message, tag=7, frozen=True):
    """Sent to the leader: some of the servers that the sender tried recently, by their widest tags."""

    healthy: Annotated[list[Tag], Meta(max_length=MAX_SERVERS)]
    failing: Annotated[list[Tag], Meta(max_length=MAX_SERVERS)]
    tried_total: UInt53  # including servers in other messages
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
    is_current: bool  # the sender has learned since its start which version is in force


class VersionAnnouncement(Message, tag=10, frozen=True):
    """Sent to all members by the leader: the version in force and the proposed one."""

    kind: UInt53
    sequence: UInt53  # of this announcement; 0: the sender is not the leader
    term: UInt53
    version: UInt53
    digest: UInt53
    proposed: UInt53  # 0: none
    proposed_digest: UInt53


class ChunkRequest(Message, tag=11, frozen=True):
    """Requests the chunks of a text that the sender lacks, from an index on."""

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
    """Requests that the leader publish a text in place of a version."""

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
    """Encodes a message as a datagram. Raises DatagramError if it is too long; callers bound its size."""
    data = bytes([FORMAT_BYTE]) + ENCODER.encode(message)
    if len(data) > MAX_DATAGRAM:
        raise DatagramError(f"{type(message).__name__} of {len(data)} bytes, {MAX_DATAGRAM} at most", "fleet")
    return data


def decode(data: bytes) -> AnyMessage:
    """Decodes the message in a datagram. Raises DatagramError if there is no valid one."""
    if not data or data[0] != FORMAT_BYTE or len(data) > MAX_DATAGRAM:
        raise DatagramError(f"{len(data)} bytes of unknown format", "fleet")
    try:
        return DECODER.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise DatagramError(str(error), "fleet") from None
