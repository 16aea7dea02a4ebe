"""Texts that the whole fleet goes by, in numbered editions that never go back: one offers, a majority agrees.

Who is in office proposes one text at a time. Each member judges it by what it knows itself, and says that it
agrees, or why not; what it agreed to it keeps. With a majority that agrees, and nobody who objects, the
edition is in force. Who comes into office later asks a majority first: what one of them agreed to under the
newest term may be in force somewhere, so it is proposed again before anything else. (The agreement of one
value as in Paxos; who proposes is settled by the office's leases.) What a member knew goes with its process;
a majority that starts anew at once goes on with what the others have, or with the file of the one in office.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from brambleplank.fleet import messages
from brambleplank.fleet.errors import BrokenError
from brambleplank.fleet.leader_election import LEASE, TELL

LARGEST = 1024 * 1024  # bytes of a text
AT_ONCE = 24  # pieces sent for one asking
ASK_AGAIN = TELL / 4  # seconds until a piece is asked for again
RECOVERS = 3 * LEASE  # seconds in office until it goes on though most of a majority has started anew
HEARS_ALL = 2 * TELL  # seconds that a proposal waits for those who have not said anything
GIVES_UP = 5 * LEASE  # seconds until a proposal without a majority is over
TEXTS_KEPT = 4
ASKED = 3  # other members that a start asks at once
ASKS = 10  # tellings in which it does

Say = Callable[[messages.Message, int | None], None]
# Makes a text ready and judges it; tells the objection, "" for none, at once or later.
Judge = Callable[[int, bytes, Callable[[str], None]], None]


def digest_of(text: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(text, digest_size=6).digest(), "big")


@dataclass
class Pull:
    """A text on its way here."""

    digest: int
    source: int
    of: int = 0
    pieces: dict[int, bytes] = field(default_factory=dict)
    asked_at: float = float("-inf")

    def first(self) -> int:
        return next(n for n in range(len(self.pieces) + 1) if n not in self.pieces)


@dataclass
class Proposal:
    """What is proposed by this process, as it is in office."""

    number: int
    digest: int
    by: int | None  # who offered it; None: it was found at others
    since: float
    votes: dict[int, str] = field(default_factory=dict)  # "": agrees


class Editions:
    """One kind of text at one member. `take_up` is told each edition that comes into force here."""

    def __init__(
        self,
        kind: int,
        number: int,
        members: int,
        incarnation: int,
        say: Say,
        judge: Judge,
        take_up: Callable[[int, int], None],
        log: Callable[[str], None],
        name: str,
        rng: Random,
        one_objects: bool = True,
    ) -> None:
        """`one_objects`: whether one objection keeps a text back, or only the want of a majority."""
        self.rng, self.one_objects = rng, one_objects
        self.kind, self.number, self.members, self.incarnation = kind, number, members, incarnation
        self.majority = members // 2 + 1
        self.say, self.judge, self.take_up, self.log, self.name = say, judge, take_up, log, name
        self.edition = self.digest = 0  # in force here; 0: none that the fleet agreed on
        self.agreed = self.agreed_term = self.agreed_digest = 0
        self.knows = False
        self.texts: dict[int, bytes] = {}  # compressed, by their digests, oldest first
        self.own: int | None = None  # the file, which holds until the fleet says what does
        self.pull: Pull | None = None
        self.judged: dict[int, str] = {}  # objections to texts that are ready
        self.judging: set[int] = set()
        self.newest = 0  # the highest number seen
        # Offered here, and not decided yet.
        self.offer: int | None = None
        self.instead = 0  # the edition that was in force then
        self.unfinished: tuple[int, messages.VersionAnnouncement] | None = (
            None  # told, and its texts are on their way
        )
        self.heard_of = 0, 0, 0  # whose telling was the newest, by which start, and its number
        self.tellings = 0  # this process's own
        self.asks_left = ASKS  # tellings in which a start asks others
        self.learnt: dict[tuple[int, int], set[int]] = {}  # what a start was told is in force, and by whom
        # In office.
        self.open_at: float | None = None
        self.term = 0
        self.reports: dict[int, messages.VersionReport] = {}
        self.recovered = False
        self.proposal: Proposal | None = None
        self.waiting: dict[int, tuple[int, int]] = {}  # who offers what, in place of which edition
        self.heard_at: dict[int, float] = {}

    # Texts.

    def keep(self, text: bytes) -> int:
        """Danger: kept without end, each text that anyone ever offers would fill the memory."""
        digest = digest_of(text)
        self.texts.pop(digest, None)
        self.texts[digest] = zlib.compress(text, 9)
        used = {self.digest, self.agreed_digest, self.offer, self.own, digest}
        used |= {self.proposal.digest} if self.proposal else set()
        idle = [old for old in self.texts if old not in used]
        for old in idle[: max(0, len(self.texts) - TEXTS_KEPT)]:
            del self.texts[old]
        return digest

    def text(self, digest: int) -> bytes:
        return zlib.decompress(self.texts[digest])

    def want(self, digest: int, source: int) -> bool:
        """Whether that text is here; if not, it is asked for."""
        if digest in self.texts:
            return True
        if source != self.number and (self.pull is None or self.pull.digest != digest):
            self.pull = Pull(digest, source)
        elif self.pull is not None:
            self.pull.source = source if source != self.number else self.pull.source
        return False

    def ask_for_pieces(self, now: float) -> None:
        pull = self.pull
        if pull is not None and now >= pull.asked_at + ASK_AGAIN:
            pull.asked_at = now
            self.say(messages.ChunkRequest(self.incarnation, pull.digest, pull.first()), pull.source)

    def needed(self, who: int, message: messages.ChunkRequest) -> None:
        data = self.texts.get(message.digest)
        if data is None:
            return
        of = -(-len(data) // messages.CHUNK_SIZE)
        for n in range(message.first, min(of, message.first + AT_ONCE)):
            part = data[n * messages.CHUNK_SIZE : (n + 1) * messages.CHUNK_SIZE]
            self.say(messages.Chunk(self.incarnation, message.digest, n, of, part), who)

    def came(self, now: float, message: messages.Chunk) -> None:
        pull = self.pull
        if pull is None or message.digest != pull.digest or message.total * messages.CHUNK_SIZE > LARGEST:
            return
        pull.of = message.total
        if message.index < message.total:
            pull.pieces[message.index] = message.data
        if len(pull.pieces) < pull.of:
            if pull.first() % AT_ONCE == 0:
                pull.asked_at = float("-inf")
                self.ask_for_pieces(now)
            return
        self.pull = None
        try:
            # Danger: a small text that unfolds without end; no more than the largest is unfolded.
            data = b"".join(pull.pieces[n] for n in range(pull.of))
            text = zlib.decompressobj().decompress(data, LARGEST)
        except (zlib.error, KeyError):
            return
        if digest_of(text) == pull.digest:
            self.keep(text)

    # A member.

    def publish(self, now: float, text: bytes, lender: int | None) -> None:
        """This process's operator wants this text everywhere: offered at once, and again each telling."""
        if digest_of(text) == self.digest:
            self.log(f"{self.name}: edition {self.edition} is that text already")
            return
        # Danger: an offer from before a cut would, after the heal, take the place of what it never knew.
        self.offer, self.instead = self.keep(text), self.edition
        self.tell_offer(now, lender)

    def tell_offer(self, now: float, lender: int | None) -> None:
        if self.offer is None or lender is None:
            return
        offer = messages.PublishRequest(self.incarnation, self.kind, self.offer, self.instead)
        if lender == self.number:
            self.offered(now, self.number, offer)
        else:
            self.say(offer, lender)

    def begin_with(self, text: bytes) -> None:
        """The file, until the fleet says which edition is in force."""
        self.own = self.keep(text)

    def turn(self, now: float, lender: int | None) -> None:
        """About every tenth of a second."""
        self.ask_for_pieces(now)
        if self.unfinished is not None:
            # Danger: a halt that waited for the next telling would bind a second later.
            by, message = self.unfinished
            self.unfinished = None
            if by == lender:
                self.act_on(now, by, message)
        if self.open_at is not None:
            self.lead(now)

    def tell(self, now: float, lender: int | None) -> None:
        """Once in a telling, to who is followed."""
        holds = messages.VersionReport(
            self.incarnation,
            self.kind,
            self.edition,
            self.digest,
            self.agreed,
            self.agreed_term,
            self.agreed_digest,
            self.knows,
        )
        if not self.edition and self.asks_left:
            # Danger: the one in office may just have gone; others know what is in force as well.
            self.asks_left -= 1
            others = [n for n in range(self.members) if n not in (self.number, lender)]
            for other in self.rng.sample(others, min(ASKED, len(others))):
                self.say(holds, other)
        if lender is None:
            return
        if lender == self.number:
            self.reported(now, self.number, holds)
        else:
            self.say(holds, lender)
        self.tell_offer(now, lender)
        if self.open_at is not None and self.recovered:
            # Danger: said before, members would give up what they agreed to, which may be in force somewhere.
            self.announce()

    def told(self, now: float, lender: int, message: messages.VersionAnnouncement) -> None:
        """What is in force and proposed, by who is followed and in office."""
        *teller, number = self.heard_of
        if teller == [lender, message.incarnation] and message.sequence <= number:
            return  # Danger: a late one that proposes nothing would undo what was agreed to since.
        self.heard_of = lender, message.incarnation, message.sequence
        self.unfinished = None
        self.act_on(now, lender, message)

    def act_on(self, now: float, lender: int, message: messages.VersionAnnouncement) -> None:
        self.newest = max(self.newest, message.version, message.proposed)
        if message.version == self.edition:
            self.knows = self.knows or message.version > 0
        elif message.version > self.edition:
            if not (self.want(message.digest, lender) and self.ready(message.digest)):
                self.unfinished = lender, message
                return
            self.put_in_force(message.version, message.digest)
        if message.proposed > self.edition:
            # One text after the other: what is in force comes first.
            if self.edition == message.version:
                if self.want(message.proposed_digest, lender) and self.ready(message.proposed_digest):
                    self.vote(now, lender, message)
                else:
                    self.unfinished = lender, message
        elif message.term >= self.agreed_term and message.version >= self.edition:
            self.agreed = self.agreed_term = self.agreed_digest = 0  # it is in force, or was given up
            self.judged = {d: why for d, why in self.judged.items() if d == self.digest}

    def learn(self, lender: int, message: messages.VersionAnnouncement) -> None:
        """A start hears what is in force before it follows anyone; what it agreed to before stays unknown.

        Danger: one that lies could give it any text, under a number that none goes beyond; so two must say.
        """
        if message.version <= self.edition or len(self.learnt) > TEXTS_KEPT * ASKED:
            return
        tellers = self.learnt.setdefault((message.version, message.digest), set())
        tellers.add(lender)
        enough = len(tellers) >= min(2, self.members - 1)
        if enough and self.want(message.digest, lender) and self.ready(message.digest):
            self.put_in_force(message.version, message.digest)
            self.knows = False
            self.learnt.clear()

    def vote(self, now: float, lender: int, message: messages.VersionAnnouncement) -> None:
        objection = self.judged[message.proposed_digest]
        if not objection:
            if message.term < self.agreed_term:
                return  # Danger: a promise to a newer office would be forgotten for an older one.
            self.agreed, self.agreed_term = message.proposed, message.term
            self.agreed_digest = message.proposed_digest
        vote = messages.Vote(
            self.incarnation,
            self.kind,
            message.term,
            message.proposed,
            message.proposed_digest,
            not objection,
            objection[: messages.MAX_REASON],
        )
        if lender == self.number:
            self.voted(now, self.number, vote)
        else:
            self.say(vote, lender)

    def ready(self, digest: int) -> bool:
        """Whether a text that is here was made ready and judged; if not, that begins."""
        if digest not in self.judged and digest not in self.judging:
            self.judging.add(digest)

            def done(objection: str) -> None:
                self.judging.discard(digest)
                self.judged[digest] = objection

            self.judge(digest, self.text(digest), done)
        return digest in self.judged

    def put_in_force(self, number: int, digest: int) -> None:
        if number <= self.edition:
            raise BrokenError(f"edition {number} after {self.edition}", f"fleet {self.name}")
        self.edition, self.digest, self.knows = number, digest, True
        self.newest = max(self.newest, number)
        if self.agreed <= number:
            self.agreed = self.agreed_term = self.agreed_digest = 0
        self.take_up(number, digest)
        self.log(f"{self.name}: edition {number} is in force")
        if self.offer == digest:
            self.offer = None

    def answered(self, message: messages.PublishResponse) -> None:
        if message.digest == self.offer and message.reason:
            self.log(f"{self.name}: not published: {message.reason}")
            self.offer = None

    # In office.

    def open(self, now: float, term: int) -> None:
        self.open_at, self.term, self.recovered = now, term, False
        self.reports.clear()
        self.proposal = None
        self.waiting.clear()

    def close(self) -> None:
        self.open_at, self.proposal = None, None

    def reported(self, now: float, who: int, message: messages.VersionReport) -> None:
        if self.open_at is not None:
            self.reports[who], self.heard_at[who] = message, now
        if not message.version and self.edition and who != self.number:
            told = messages.VersionAnnouncement(
                self.incarnation, self.kind, 0, 0, self.edition, self.digest, 0, 0
            )
            self.say(told, who)

    def offered(self, now: float, who: int, message: messages.PublishRequest) -> None:
        if self.open_at is None:
            return
        if message.digest == self.digest:
            self.answer(who, message.digest, self.edition, "")
        elif message.replaces != self.edition:
            self.answer(who, message.digest, 0, f"edition {self.edition} came first; offer it again")
        elif self.proposal is not None and self.proposal.digest != message.digest:
            self.answer(who, message.digest, 0, "another text is being published; offer it again")
        else:
            self.waiting.setdefault(who, (message.digest, message.replaces))

    def answer(self, who: int, digest: int, edition: int, why: str) -> None:
        answer = messages.PublishResponse(
            self.incarnation, self.kind, digest, edition, why[: messages.MAX_REASON]
        )
        if who == self.number:
            self.answered(answer)
        else:
            self.say(answer, who)

    def voted(self, now: float, who: int, message: messages.Vote) -> None:
        proposal = self.proposal
        voted = message.term, message.version, message.digest
        if proposal and voted == (self.term, proposal.number, proposal.digest):
            proposal.votes[who] = "" if message.accepts else message.reason or "no reason given"

    def lead(self, now: float) -> None:
        if not self.recovered:
            self.recover(now)
        elif self.proposal is not None:
            self.decide(now, self.proposal)
        elif self.waiting:
            who, (digest, instead) = next(iter(self.waiting.items()))
            if instead != self.edition:
                del self.waiting[who]
                self.answer(who, digest, 0, f"edition {self.edition} came first; offer it again")
            elif self.want(digest, who):
                del self.waiting[who]
                self.propose(now, self.newest + 1, digest, who)

    def recover(self, now: float) -> None:
        """Danger: what a majority agreed to under another may be in force somewhere, and would be undone."""
        assert self.open_at is not None
        knowing = {who: r for who, r in self.reports.items() if r.is_current}
        enough = len(knowing) >= self.majority or len(self.reports) == self.members
        if not enough and not (len(self.reports) >= self.majority and now >= self.open_at + RECOVERS):
            return
        newest = max(knowing.items(), key=lambda item: item[1].version, default=None)
        if newest is not None and newest[1].version > self.edition:
            if self.want(newest[1].digest, newest[0]) and self.ready(newest[1].digest):
                self.put_in_force(newest[1].version, newest[1].digest)
            return
        agreed = [(r.accepted_term, r.accepted, r.accepted_digest, who) for who, r in self.reports.items()]
        term, number, digest, who = max(agreed)
        if number > self.edition:
            if self.want(digest, who):
                self.recovered = True
                self.propose(now, number, digest, None)
            return
        self.recovered = True
        if not self.edition and self.own is not None:
            self.propose(now, self.newest + 1, self.own, self.number)

    def propose(self, now: float, number: int, digest: int, by: int | None) -> None:
        # Danger: numbers that begin at one again after all have started anew would look older to who was
        # away.
        number = number if self.edition or by is None else max(number, self.incarnation)
        self.newest = max(self.newest, number)
        self.proposal = Proposal(number, digest, by, now)
        self.announce()

    def announce(self) -> None:
        proposal = self.proposal
        self.tellings += 1
        message = messages.VersionAnnouncement(
            self.incarnation,
            self.kind,
            self.tellings,
            self.term,
            self.edition,
            self.digest,
            proposal.number if proposal else 0,
            proposal.digest if proposal else 0,
        )
        self.say(message, None)
        if proposal is not None and proposal.digest in self.texts and self.ready(proposal.digest):
            self.vote(proposal.since, self.number, message)

    def decide(self, now: float, proposal: Proposal) -> None:
        objections = {who: why for who, why in proposal.votes.items() if why}
        agree = len(proposal.votes) - len(objections)
        if proposal.by is None:
            # Danger: it may be in force somewhere, whoever objects by now.
            agree, objections = len(proposal.votes), {}
        elif not self.one_objects and len(objections) <= self.members - self.majority:
            objections = {}
        heard = [who for who, at in self.heard_at.items() if now < at + LEASE]
        waits = now < proposal.since + HEARS_ALL and any(who not in proposal.votes for who in heard)
        if objections:
            who, why = next(iter(objections.items()))
            self.give_up(proposal, f"{who} objects: {why}")
        elif agree >= self.majority and not waits:
            self.proposal = None
            self.put_in_force(proposal.number, proposal.digest)
            if proposal.by is not None:
                self.answer(proposal.by, proposal.digest, proposal.number, "")
            self.announce()
        elif now >= proposal.since + GIVES_UP:
            self.give_up(proposal, f"{agree} of {self.members} agreed, {self.majority} are needed")

    def give_up(self, proposal: Proposal, why: str) -> None:
        self.proposal = None
        self.agreed = self.agreed_term = self.agreed_digest = 0
        self.log(f"{self.name}: edition {proposal.number} is not published: {why}")
        if proposal.by is not None:
            self.answer(proposal.by, proposal.digest, 0, why)
        self.announce()
