"""What processes of a fleet say to one another, as datagrams of 256 bytes at most.

A datagram is a byte of 2 and one word, in MessagePack. Older forms begin with 1 or a letter; a program that
knows only those reads nothing of this. Amounts, terms and incarnations are whole numbers; ages are ms.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from brambleplank.fleet.errors import ForeignError

FORM = 2  # the first byte
LONGEST = 256  # bytes of a datagram, where the platform's pages hold
MOST_NAME = 40  # characters of a key that is counted
MOST_TAGS = 40  # servers named in one word
PIECE = 200  # bytes of a text in one word
MOST_WHY = 150  # characters of an objection
Whole = Annotated[int, Meta(ge=0, le=2**53)]
Tag = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Name = Annotated[str, Meta(max_length=3 * MOST_NAME + 2)]


class Word(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Each says which start of its process speaks."""

    incarnation: Whole


class Beat(Word, tag=1, frozen=True):
    """To all: this process leads, stands as a candidate, or asks who would follow it.

    One that asks holds no support; who followed it is free from a promise that it gave.
    """

    term: Whole
    number: Whole  # of this beat, which supporters name
    serves: bool  # it is in office
    heard: Whole  # members that it hears, itself among them; 0: it neither leads nor stands
    oldest: Whole  # ms since the last of them was heard

    @property
    def asks_pre_votes(self) -> bool:
        """Earlier versions, which bind at once, never say that they hear nobody, as they count themselves."""
        return not self.serves and self.heard == 0


class Purse(msgspec.Struct, array_like=True, frozen=True):
    """Of one budget: what this process may still use of what was lent, and what it would want."""

    budget: Tag
    has: Whole
    wants: Whole


class Ask(Word, tag=2, frozen=True):
    """To who is in office, or stands for it."""

    number: Whole  # of this asking
    to: Whole  # that incarnation of the one asked
    beat: Whole  # the last one heard of it
    supports: (
        bool  # this process follows it, and nobody else for a lease; else, to a beat that asks: a pre-vote
    )
    age: Whole  # ms since this process started
    term: Whole  # the newest that it has seen
    purses: Annotated[list[Purse], Meta(max_length=10)]


class Loan(msgspec.Struct, array_like=True, frozen=True):
    """What may be used of one budget beside the reserve, for a lease from the asking on."""

    budget: Tag
    amount: Whole


class Grant(Word, tag=3, frozen=True):
    """The answer of who is in office."""

    to: Whole  # the incarnation that asked
    asked: Whole  # the number of its asking
    loans: Annotated[list[Loan], Meta(max_length=10)]


class Older(Word, tag=4, frozen=True):
    """A start of the asker's process with a higher number was heard: its clock was set back."""

    known: Whole


class Count(msgspec.Struct, array_like=True, frozen=True):
    """Of one service type, customer and version, since the teller's start, or over all that was told."""

    key: Name
    totals: Annotated[list[Whole], Meta(min_length=5, max_length=5)]


class Counts(Word, tag=5, frozen=True):
    """To who is in office: this process's own."""

    counts: Annotated[list[Count], Meta(max_length=24)]


class Sums(Word, tag=6, frozen=True):
    """To all, by who is in office: over all that it has heard of."""

    counts: Annotated[list[Count], Meta(max_length=24)]


class Tried(Word, tag=7, frozen=True):
    """To who is in office: servers that this process tried lately, by two bytes of their points."""

    found_good: Annotated[list[Tag], Meta(max_length=MOST_TAGS)]
    found_bad: Annotated[list[Tag], Meta(max_length=MOST_TAGS)]
    tried: Whole  # all of them, also those that found no room here
    bad: Whole


class Verdicts(Word, tag=8, frozen=True):
    """To all, by who is in office: servers that several found bad."""

    servers: Annotated[list[Tag], Meta(max_length=MOST_TAGS)]


class Holds(Word, tag=9, frozen=True):
    """To who is in office: which edition this process has, and which it has agreed to."""

    kind: Whole
    edition: Whole
    digest: Whole
    agreed: Whole  # the newest edition agreed to; 0: none beyond
    agreed_term: Whole
    agreed_digest: Whole
    knows: bool  # it has heard since its start which edition is in force


class Edition(Word, tag=10, frozen=True):
    """To all, by who is in office: what is in force, and what is proposed."""

    kind: Whole
    number: Whole  # of this telling; 0: not by who is in office
    term: Whole
    edition: Whole
    digest: Whole
    proposed: Whole  # 0: nothing
    proposed_digest: Whole


class Need(Word, tag=11, frozen=True):
    """Pieces of a text that this process lacks, from one on."""

    digest: Whole
    first: Whole


class Piece(Word, tag=12, frozen=True):
    """One piece of a text, which is told compressed."""

    digest: Whole
    number: Whole
    of: Whole
    data: Annotated[bytes, Meta(max_length=PIECE)]


class Vote(Word, tag=13, frozen=True):
    """Whether this process agrees to a proposal; an objection in words."""

    kind: Whole
    term: Whole  # of the office that proposed it
    proposed: Whole
    digest: Whole
    agrees: bool
    why: Annotated[str, Meta(max_length=MOST_WHY)]


class Offer(Word, tag=14, frozen=True):
    """To who is in office: publish this text, in place of an edition."""

    kind: Whole
    digest: Whole
    instead: Whole


class Answer(Word, tag=15, frozen=True):
    """What became of an offer: the edition that it is, 0 while it is not decided; or why not."""

    kind: Whole
    digest: Whole
    edition: Whole
    why: Annotated[str, Meta(max_length=MOST_WHY)]


Any = (
    Beat
    | Ask
    | Grant
    | Older
    | Counts
    | Sums
    | Tried
    | Verdicts
    | Holds
    | Edition
    | Need
    | Piece
    | Vote
    | Offer
    | Answer
)
ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Any)


def encode(word: Word) -> bytes:
    """Raises ForeignError for a word that would not fit; whoever builds one bounds it."""
    data = bytes([FORM]) + ENCODER.encode(word)
    if len(data) > LONGEST:
        raise ForeignError(f"{type(word).__name__} of {len(data)} bytes, {LONGEST} at most", "fleet")
    return data


def decode(data: bytes) -> Any:
    """Raises ForeignError for what is no word."""
    if not data or data[0] != FORM or len(data) > LONGEST:
        raise ForeignError(f"{len(data)} bytes of no form that is known", "fleet")
    try:
        return DECODER.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise ForeignError(str(error), "fleet") from None
