"""Binary messages between proxies: message times, load reports, servers of affinity groups, permits.

Every proxy receives what each of the others sends, so the cost grows with the bytes and with the number of
messages. Therefore servers are identified by short tags (`server_tags.py`), numbers are encoded as varints as
in Protocol Buffers, and all reports of one event are batched. The first byte of a message is the width of its
tags in bytes plus one (3 to 5). Sections follow. The first byte of a section is its kind times 32 plus the
number of its entries:

    kind  entry
    1     tag count         connections of the sender at each server whose count has changed
    2     (no entries)      discards earlier reports: the counts that follow are all connections of the sender
    3     tag ms            message time at a server, in milliseconds
    4     tag ms delay      the same, and the typical delay of a probe there, in units of 10 microseconds
    5     position tag      server of a displaced affinity group, by four bytes of the group's ring position
    0     tag message       requests a slow-start permit from the aggregator (2), grants (1) or denies (0) it;
                            the tag always has four bytes here
    6, 7                    as 1 and 2, for all proxies together, sent by the aggregator

Both hosts use this format: the network in datagrams between proxies, the simulator in messages on its wire.
The previous format began with the byte 1 and had tags of two bytes and counts of one. A program that sends
one of the two formats doesn't read the other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from itertools import groupby
from typing import Any, NamedTuple

from brambleplank.errors import BrambleplankError
from brambleplank.records import UNREPORTED_POSITION_BITS, Server
from brambleplank.server_tags import MAX_TAG_WIDTH, TAG_WIDTHS, ServerTags

TAG_WIDTHS_BY_FIRST_BYTE = {1 + width: width for width in TAG_WIDTHS}  # in bytes


class SectionKind(IntEnum):
    """Kind of the entries of a section; the values are sent."""

    PERMIT = 0
    LOAD_CHANGES = 1
    COMPLETE_LOAD = 2
    MESSAGE_TIME = 3
    MESSAGE_AND_PROBE_TIME = 4
    GROUP_SERVER = 5
    AGGREGATE_CHANGES = 6
    COMPLETE_AGGREGATE = 7


VARINTS_PER_ENTRY = {
    SectionKind.PERMIT: 1,
    SectionKind.LOAD_CHANGES: 1,
    SectionKind.COMPLETE_LOAD: 1,
    SectionKind.MESSAGE_TIME: 1,
    SectionKind.MESSAGE_AND_PROBE_TIME: 2,
    SectionKind.GROUP_SERVER: 0,
    SectionKind.AGGREGATE_CHANGES: 1,
    SectionKind.COMPLETE_AGGREGATE: 1,
}  # numbers of an entry, after its tag
COMPLETE_KINDS = (SectionKind.COMPLETE_LOAD, SectionKind.COMPLETE_AGGREGATE)
AGGREGATE_KINDS = (SectionKind.AGGREGATE_CHANGES, SectionKind.COMPLETE_AGGREGATE)
LOAD_KINDS = (SectionKind.LOAD_CHANGES, SectionKind.COMPLETE_LOAD, *AGGREGATE_KINDS)
KIND_FACTOR = 32  # a section's first byte is its kind times this, plus its number of entries
MAX_SECTION_ENTRIES = KIND_FACTOR - 1
MAX_PENDING_ENTRIES = 4096  # entries are sent before the end of the event once there are this many
RING_POSITION_BYTES = 4
MESSAGE_TIME_UNITS_PER_SECOND = 1000
PROBE_TIME_UNITS_PER_SECOND = 100_000
VARINT_BITS = 7  # payload bits of each byte of a varint
CONTINUATION_BIT = 1 << VARINT_BITS
MAX_VARINT = (1 << 3 * VARINT_BITS) - 1  # the largest number of three bytes


class MalformedMessageError(BrambleplankError, ValueError):
    """A section is truncated within an entry, or a varint does not terminate."""

    ADVICE = "check which build or program sends datagrams to this process; they are ignored"


class PendingEntry(NamedTuple):
    """An encoded entry of a section, waiting to be sent."""

    recipient: int | None  # number of a proxy; None: all others
    width: int  # tag width of the message, in bytes
    kind: SectionKind
    data: bytes


class ReceivedEntry(NamedTuple):
    """A decoded entry of a section."""

    position: int  # the high bytes of a group's ring position; 0 in sections of other kinds
    tag: int
    values: list[int]


class PeerMessenger:
    """Encodes and batches the reports of this proxy, and decodes and dispatches those of others.

    `send_message` sends a message to one proxy, given by number, or to all others (None); `defer` schedules a
    call for the end of the current event; `tags` returns the tags of the endpoint list.
    `load_report_received` takes the sender, the connection counts by server, whether they are complete, and
    whether they are an aggregate.
    """

    def __init__(
        self,
        send_message: Callable[[bytes, int | None], None],
        max_size: int,
        defer: Callable[[Callable[[], None]], object],
        tags: Callable[[], ServerTags],
        message_time_received: Callable[[Server, float, float], None],
        load_report_received: Callable[[Any, dict[Server, int], bool, bool], None],
        group_server_reported: Callable[[int, Server], None],
        permit_message_received: Callable[[Any, Server, int], None],
    ) -> None:
        """`max_size` is the limit of a message in bytes."""
        self.send_message = send_message
        self.max_size = max_size
        self.defer = defer
        self.tags = tags
        self.message_time_received = message_time_received
        self.load_report_received = load_report_received
        self.group_server_reported = group_server_reported
        self.permit_message_received = permit_message_received
        self.pending: list[PendingEntry] = []

    # Reports of this proxy.

    def report_message_time(self, server: Server, seconds: float, typical_delay: float) -> None:
        """Reports the message time at a server and the typical delay of a probe (0: unknown), in seconds."""
        message_time = round(seconds * MESSAGE_TIME_UNITS_PER_SECOND)
        probe_time = round(typical_delay * PROBE_TIME_UNITS_PER_SECOND)
        if probe_time:
            self.enqueue_entry(SectionKind.MESSAGE_AND_PROBE_TIME, server, None, message_time, probe_time)
        else:
            self.enqueue_entry(SectionKind.MESSAGE_TIME, server, None, message_time)

    def send_load_report(
        self, connections: dict[Server, int], complete: bool, recipient: int | None, is_aggregate: bool
    ) -> None:
        """Reports connections by server: all of them or changes, of this proxy or aggregated over all."""
        complete_kind = SectionKind.COMPLETE_AGGREGATE if is_aggregate else SectionKind.COMPLETE_LOAD
        change_kind = SectionKind.AGGREGATE_CHANGES if is_aggregate else SectionKind.LOAD_CHANGES
        if complete or not connections:
            kind = complete_kind if complete else change_kind
            self.enqueue(PendingEntry(recipient, self.tags().width, kind, b""))
        for server, count in connections.items():
            self.enqueue_entry(change_kind, server, recipient, count)

    def report_group_servers(self, group_servers: dict[int, Server]) -> None:
        """Reports the servers of displaced affinity groups, by the groups' ring positions."""
        for position, server in group_servers.items():
            prefix = (position >> UNREPORTED_POSITION_BITS).to_bytes(RING_POSITION_BYTES, "big")
            self.enqueue_entry(SectionKind.GROUP_SERVER, server, None, prefix=prefix)

    def send_permit_message(self, server: Server, recipient: int, message: int) -> None:
        """Requests, grants or denies a slow-start permit."""
        self.enqueue_entry(SectionKind.PERMIT, server, recipient, message)

    def enqueue_entry(
        self, kind: SectionKind, server: Server, recipient: int | None, *values: int, prefix: bytes = b""
    ) -> None:
        """Enqueues an entry about a server; without a unique tag for the server, does nothing."""
        tags = self.tags()
        width = tag_width(kind, tags.width)
        tag = tags.tag(server, width)
        if tag is not None:
            data = prefix + tag.to_bytes(width, "big") + b"".join(map(encode_varint, values))
            self.enqueue(PendingEntry(recipient, tags.width, kind, data))

    def enqueue(self, entry: PendingEntry) -> None:
        """Adds an entry to those that are sent at the end of the event."""
        if not self.pending:
            self.defer(self.send)
        self.pending.append(entry)
        # Bounds the memory that the reports of one long event can take.
        if len(self.pending) >= MAX_PENDING_ENTRIES:
            self.send()

    def send(self) -> None:
        """Sends the pending entries in as few messages as their order allows."""
        pending = self.pending
        self.pending = []
        for (recipient, width), entries in groupby(pending, lambda entry: (entry.recipient, entry.width)):
            for message in pack_entries(entries, width, self.max_size):
                self.send_message(message, recipient)

    # Reports of others.

    def receive(self, message: bytes, sender: Any) -> None:
        """Reads a message whose first byte is in TAG_WIDTHS_BY_FIRST_BYTE. Raises MalformedMessageError."""
        own_width = TAG_WIDTHS_BY_FIRST_BYTE[message[0]]
        offset = 1
        while offset < len(message):
            kind_number, count = divmod(message[offset], KIND_FACTOR)
            kind = SectionKind(kind_number)
            width = tag_width(kind, own_width)
            entries, offset = decode_section(message, offset + 1, kind, count, width)
            self.receive_section(sender, kind, entries, self.tags().servers_by_tag(width))

    def receive_section(
        self, sender: Any, kind: SectionKind, entries: list[ReceivedEntry], servers: dict[int, Server]
    ) -> None:
        """Dispatches the entries of a section; entries whose tag matches no server here are ignored."""
        if kind in LOAD_KINDS:
            connections = {servers[entry.tag]: entry.values[0] for entry in entries if entry.tag in servers}
            self.load_report_received(sender, connections, kind in COMPLETE_KINDS, kind in AGGREGATE_KINDS)
            return
        for entry in entries:
            server = servers.get(entry.tag)
            if server is not None:
                self.receive_entry(sender, kind, entry, server)

    def receive_entry(self, sender: Any, kind: SectionKind, entry: ReceivedEntry, server: Server) -> None:
        """Dispatches an entry of a section that is not a load report."""
        if kind == SectionKind.PERMIT:
            self.permit_message_received(sender, server, entry.values[0])
        elif kind == SectionKind.GROUP_SERVER:
            self.group_server_reported(entry.position << UNREPORTED_POSITION_BITS, server)
        else:
            probe_units = entry.values[1] if kind == SectionKind.MESSAGE_AND_PROBE_TIME else 0
            message_time = entry.values[0] / MESSAGE_TIME_UNITS_PER_SECOND
            self.message_time_received(server, message_time, probe_units / PROBE_TIME_UNITS_PER_SECOND)


def tag_width(kind: SectionKind, own_width: int) -> int:
    """Returns the tag width in a section of this kind, in a message with tags of `own_width` bytes.

    Permits always have the largest width: a permit attributed to the wrong server in slow start would allow
    more attempts there than it can sustain.
    """
    return MAX_TAG_WIDTH if kind == SectionKind.PERMIT else own_width


def encode_varint(number: int) -> bytes:
    """Encodes a number as a varint, least significant bits first; larger numbers become `MAX_VARINT`."""
    remaining = min(number, MAX_VARINT)
    data = bytearray()
    while remaining >= CONTINUATION_BIT:
        data.append(remaining & (CONTINUATION_BIT - 1) | CONTINUATION_BIT)
        remaining >>= VARINT_BITS
    data.append(remaining)
    return bytes(data)


def decode_varint(message: bytes, offset: int) -> tuple[int, int]:
    """Decodes a varint. Returns the number and the index after it. Raises IndexError if it is truncated."""
    number = 0
    shift = 0
    while (byte := message[offset]) >= CONTINUATION_BIT:
        number |= (byte & (CONTINUATION_BIT - 1)) << shift
        shift += VARINT_BITS
        offset += 1
    return min(MAX_VARINT, number | byte << shift), offset + 1


def pack_entries(entries: Iterable[PendingEntry], width: int, max_size: int) -> Iterator[bytes]:
    """Packs entries for one recipient into as few messages as possible, keeping their order."""
    message = bytearray([1 + width])
    section = 0  # index of the last section
    kind: SectionKind | None = None  # kind of the last section
    for entry in entries:
        joins_section = entry.kind == kind and message[section] % KIND_FACTOR < MAX_SECTION_ENTRIES
        if len(message) + (not joins_section) + len(entry.data) > max_size:
            yield bytes(message)
            message = bytearray([1 + width])
            joins_section = False
        if not joins_section:
            section = len(message)
            kind = entry.kind
            message.append(kind * KIND_FACTOR)
        message[section] += bool(entry.data)  # a section that discards earlier reports has no entries
        message += entry.data
    yield bytes(message)


def decode_section(
    message: bytes, offset: int, kind: SectionKind, count: int, width: int
) -> tuple[list[ReceivedEntry], int]:
    """Decodes a section. Returns its entries and the index after them. Raises MalformedMessageError."""
    entries = []
    try:
        for _ in range(count):
            entry, offset = decode_entry(message, offset, kind, width)
            entries.append(entry)
    except IndexError:
        offset = len(message) + 1
    if offset > len(message):
        raise MalformedMessageError(f"section of kind {int(kind)} is truncated")
    return entries, offset


def decode_entry(message: bytes, offset: int, kind: SectionKind, width: int) -> tuple[ReceivedEntry, int]:
    """Decodes an entry. Returns it and the index after it. Raises IndexError if a number is truncated."""
    tag_offset = offset + (RING_POSITION_BYTES if kind == SectionKind.GROUP_SERVER else 0)
    position = int.from_bytes(message[offset:tag_offset], "big")
    offset = tag_offset + width
    tag = int.from_bytes(message[tag_offset:offset], "big")
    values = []
    for _ in range(VARINTS_PER_ENTRY[kind]):
        number, offset = decode_varint(message, offset)
        values.append(number)
    return ReceivedEntry(position, tag, values), offset
