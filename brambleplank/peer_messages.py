"""Messages between proxies, as bytes: message times at servers, connections held, servers of groups.

What one proxy sends, all others read, and pay for by the byte and by the message. So servers go by short tags
(`server_tags.py`), numbers have as many bytes as they need (seven bits each, the lowest first, as in Protocol
Buffers), and what is reported during one event goes out together. The first byte, 3 to 5, is one more than
the bytes of a tag. After it come sections; each has a byte with its kind, times 32, and its number of
entries:

    1  tag count            connections held here, for each server that has changed
    2                       earlier reports are void: what follows is all that is held here
    3  tag ms               how long messages take there, in thousandths of a second
    4  tag ms usual         and what a probe usually takes there, in hundred-thousandths
    5  position tag         the server of a displaced group, by four bytes of the group's ring position
    0  tag message          a slow-start permit is requested of the aggregator (2), granted (1) or denied (0);
                            the tag has four bytes here whatever the others have
    6, 7                    as 1 and 2, of all proxies together, by the aggregator

Both hosts send it: datagrams between proxies on sockets, messages on the simulator's wire. Before, the first
byte was 1, tags had two bytes and counts one. Neither form is read by a program that sends the other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from itertools import groupby
from typing import Any, NamedTuple

from brambleplank.errors import BrambleplankError
from brambleplank.records import UNREPORTED_POSITION_BITS, Server
from brambleplank.server_tags import MAX_TAG_WIDTH, TAG_WIDTHS, ServerTags

TAG_WIDTHS_BY_FIRST_BYTE = {1 + width: width for width in TAG_WIDTHS}  # bytes of a tag, by the first byte


class SectionKind(IntEnum):
    """What the entries of a section say."""

    PERMIT = 0
    LOAD_CHANGES = 1
    WHOLE_LOAD = 2
    MESSAGE_TIME = 3
    MESSAGE_AND_PROBE_TIME = 4
    GROUP_SERVER = 5
    AGGREGATE_CHANGES = 6
    WHOLE_AGGREGATE = 7


NUMBERS = {
    SectionKind.PERMIT: 1,
    SectionKind.LOAD_CHANGES: 1,
    SectionKind.WHOLE_LOAD: 1,
    SectionKind.MESSAGE_TIME: 1,
    SectionKind.MESSAGE_AND_PROBE_TIME: 2,
    SectionKind.GROUP_SERVER: 0,
    SectionKind.AGGREGATE_CHANGES: 1,
    SectionKind.WHOLE_AGGREGATE: 1,
}  # of an entry, after its tag
WHOLE_KINDS = (SectionKind.WHOLE_LOAD, SectionKind.WHOLE_AGGREGATE)
AGGREGATE_KINDS = (SectionKind.AGGREGATE_CHANGES, SectionKind.WHOLE_AGGREGATE)
LOAD_KINDS = (SectionKind.LOAD_CHANGES, SectionKind.WHOLE_LOAD, *AGGREGATE_KINDS)
KIND_FACTOR = 32  # of a section's first byte; what is below it is the number of entries
MAX_ENTRIES = KIND_FACTOR - 1  # of a section
MAX_UNSENT = 4096  # entries that wait for the end of an event
POSITION_BYTES = 4  # of a group's ring position
MESSAGE_TIME_UNITS = 1000  # in a second
PROBE_TIME_UNITS = 100_000  # in a second
NUMBER_BITS = 7  # of a number in each byte; the eighth says that more bytes follow
MORE_FOLLOWS = 1 << NUMBER_BITS
MAX_NUMBER = (1 << 3 * NUMBER_BITS) - 1  # of three bytes


class MalformedMessageError(BrambleplankError, ValueError):
    """A section ends amid an entry, or a number does not end."""

    ADVICE = "look which build or program sends datagrams to this process; they are ignored"


class UnsentEntry(NamedTuple):
    """One entry of a section, until it is sent."""

    to: int | None  # one proxy by its number, or all others
    width: int  # bytes of its tag
    kind: SectionKind
    data: bytes


class ReceivedEntry(NamedTuple):
    """One entry of a section, as received."""

    position: int  # of a group on the ring, its highest bytes; 0 in sections of other kinds
    tag: int
    numbers: list[int]


class PeerMessenger:
    """Encodes what this proxy reports, and hands on what others do.

    `send_message` carries a message to one proxy by its number, or to all others; `soon` calls back at the
    end of the event at hand; `tags` gives the tags of the endpoint list. `load_report_received` is given the
    sender, counts by server, whether they are all, and whether of all proxies.
    """

    def __init__(
        self,
        send_message: Callable[[bytes, int | None], None],
        longest: int,
        soon: Callable[[Callable[[], None]], object],
        tags: Callable[[], ServerTags],
        message_time_received: Callable[[Server, float, float], None],
        load_report_received: Callable[[Any, dict[Server, int], bool, bool], None],
        group_server_reported: Callable[[int, Server], None],
        permit_message_received: Callable[[Any, Server, int], None],
    ) -> None:
        """Messages have `longest` bytes at most."""
        self.send_message = send_message
        self.longest = longest
        self.soon = soon
        self.tags = tags
        self.message_time_received = message_time_received
        self.load_report_received = load_report_received
        self.group_server_reported = group_server_reported
        self.permit_message_received = permit_message_received
        self.unsent: list[UnsentEntry] = []

    # Reports of this proxy.

    def report_message_time(self, server: Server, seconds: float, usual: float) -> None:
        """Reports how long messages take at a server, and how long probes usually do (0: not known)."""
        message_time = round(seconds * MESSAGE_TIME_UNITS)
        probe_time = round(usual * PROBE_TIME_UNITS)
        if probe_time:
            self.report(SectionKind.MESSAGE_AND_PROBE_TIME, server, None, message_time, probe_time)
        else:
            self.report(SectionKind.MESSAGE_TIME, server, None, message_time)

    def send_load_report(self, held: dict[Server, int], whole: bool, to: int | None, summed: bool) -> None:
        """Reports connections by server: all or only changes, of this proxy or summed over all."""
        whole_kind = SectionKind.WHOLE_AGGREGATE if summed else SectionKind.WHOLE_LOAD
        change_kind = SectionKind.AGGREGATE_CHANGES if summed else SectionKind.LOAD_CHANGES
        if whole or not held:
            kind = whole_kind if whole else change_kind
            self.put(UnsentEntry(to, self.tags().width, kind, b""))
        for server, count in held.items():
            self.report(change_kind, server, to, count)

    def report_group_servers(self, group_servers: dict[int, Server]) -> None:
        """Reports the servers of displaced groups, by the groups' ring positions."""
        for position, server in group_servers.items():
            prefix = (position >> UNREPORTED_POSITION_BITS).to_bytes(POSITION_BYTES, "big")
            self.report(SectionKind.GROUP_SERVER, server, None, before_tag=prefix)

    def send_permit_message(self, server: Server, to: int, word: int) -> None:
        """Requests, grants or denies a slow-start permit."""
        self.report(SectionKind.PERMIT, server, to, word)

    def report(
        self, kind: SectionKind, server: Server, to: int | None, *numbers: int, before_tag: bytes = b""
    ) -> None:
        """Adds an entry on a server; nothing is reported of one without a tag of its own."""
        tags = self.tags()
        width = tag_width(kind, tags.width)
        tag = tags.tag(server, width)
        if tag is not None:
            data = before_tag + tag.to_bytes(width, "big") + b"".join(map(encode_number, numbers))
            self.put(UnsentEntry(to, tags.width, kind, data))

    def put(self, entry: UnsentEntry) -> None:
        """Adds an entry to what goes out at the end of the event."""
        if not self.unsent:
            self.soon(self.send)
        self.unsent.append(entry)
        # What is reported without end during one event would fill the memory.
        if len(self.unsent) >= MAX_UNSENT:
            self.send()

    def send(self) -> None:
        """Sends all that was reported since, in as few messages as it takes."""
        unsent = self.unsent
        self.unsent = []
        for (to, width), entries in groupby(unsent, lambda entry: (entry.to, entry.width)):
            for message in pack(entries, width, self.longest):
                self.send_message(message, to)

    # Reports of others.

    def receive(self, message: bytes, teller: Any) -> None:
        """Reads a message whose first byte is in TAG_WIDTHS_BY_FIRST_BYTE. Raises MalformedMessageError."""
        own_width = TAG_WIDTHS_BY_FIRST_BYTE[message[0]]
        at = 1
        while at < len(message):
            number, count = divmod(message[at], KIND_FACTOR)
            kind = SectionKind(number)
            width = tag_width(kind, own_width)
            entries, at = decode_section(message, at + 1, kind, count, width)
            self.receive_section(teller, kind, entries, self.tags().servers_by_tag(width))

    def receive_section(
        self, sender: Any, kind: SectionKind, entries: list[ReceivedEntry], servers: dict[int, Server]
    ) -> None:
        """Hands a section on, without what it says of servers that have no tag of their own here."""
        if kind in LOAD_KINDS:
            held = {servers[entry.tag]: entry.numbers[0] for entry in entries if entry.tag in servers}
            self.load_report_received(sender, held, kind in WHOLE_KINDS, kind in AGGREGATE_KINDS)
            return
        for entry in entries:
            server = servers.get(entry.tag)
            if server is not None:
                self.receive_entry(sender, kind, entry, server)

    def receive_entry(self, sender: Any, kind: SectionKind, entry: ReceivedEntry, server: Server) -> None:
        """Hands on one entry of a section that is not a load report."""
        if kind == SectionKind.PERMIT:
            self.permit_message_received(sender, server, entry.numbers[0])
        elif kind == SectionKind.GROUP_SERVER:
            self.group_server_reported(entry.position << UNREPORTED_POSITION_BITS, server)
        else:
            probe_units = entry.numbers[1] if kind == SectionKind.MESSAGE_AND_PROBE_TIME else 0
            message_time = entry.numbers[0] / MESSAGE_TIME_UNITS
            self.message_time_received(server, message_time, probe_units / PROBE_TIME_UNITS)


def tag_width(kind: SectionKind, own_width: int) -> int:
    """Returns the bytes of a tag in a section of a message whose other tags have so many.

    A permit that is taken for one of another warming server lets more connect there than it bears.
    """
    return MAX_TAG_WIDTH if kind == SectionKind.PERMIT else own_width


def encode_number(number: int) -> bytes:
    """Encodes a number, or the largest that there is, seven bits a byte; all but the last are over 127."""
    rest = min(number, MAX_NUMBER)
    data = bytearray()
    while rest >= MORE_FOLLOWS:
        data.append(rest & (MORE_FOLLOWS - 1) | MORE_FOLLOWS)
        rest >>= NUMBER_BITS
    data.append(rest)
    return bytes(data)


def decode_number(message: bytes, at: int) -> tuple[int, int]:
    """Returns the number at an index, and the index after it. Raises IndexError if it does not end."""
    number = 0
    shift = 0
    while (byte := message[at]) >= MORE_FOLLOWS:
        number |= (byte & (MORE_FOLLOWS - 1)) << shift
        shift += NUMBER_BITS
        at += 1
    return min(MAX_NUMBER, number | byte << shift), at + 1


def pack(entries: Iterable[UnsentEntry], width: int, longest: int) -> Iterator[bytes]:
    """Packs entries for one reader into messages, each as full as it can be."""
    message = bytearray([1 + width])
    section = 0  # where the last section begins
    kind: SectionKind | None = None  # of the last section
    for entry in entries:
        joins = entry.kind == kind and message[section] % KIND_FACTOR < MAX_ENTRIES
        if len(message) + (not joins) + len(entry.data) > longest:
            yield bytes(message)
            message = bytearray([1 + width])
            joins = False
        if not joins:
            section = len(message)
            kind = entry.kind
            message.append(kind * KIND_FACTOR)
        message[section] += bool(entry.data)  # a section that voids earlier reports has no entries
        message += entry.data
    yield bytes(message)


def decode_section(
    message: bytes, at: int, kind: SectionKind, count: int, width: int
) -> tuple[list[ReceivedEntry], int]:
    """Returns a section's entries, and the index after them. Raises MalformedMessageError."""
    entries = []
    try:
        for _ in range(count):
            entry, at = decode_entry(message, at, kind, width)
            entries.append(entry)
    except IndexError:
        at = len(message) + 1
    if at > len(message):
        raise MalformedMessageError(f"section {int(kind)} ends amid an entry")
    return entries, at


def decode_entry(message: bytes, at: int, kind: SectionKind, width: int) -> tuple[ReceivedEntry, int]:
    """Returns the entry at an index, and the index after it. Raises IndexError if a number does not end."""
    tag_at = at + (POSITION_BYTES if kind == SectionKind.GROUP_SERVER else 0)
    position = int.from_bytes(message[at:tag_at], "big")
    at = tag_at + width
    tag = int.from_bytes(message[tag_at:at], "big")
    numbers = []
    for _ in range(NUMBERS[kind]):
        number, at = decode_number(message, at)
        numbers.append(number)
    return ReceivedEntry(position, tag, numbers), at
