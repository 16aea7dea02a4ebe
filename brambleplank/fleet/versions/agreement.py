"""Agreement of the whole fleet on texts, in numbered versions that never go back.

The leader proposes one text at a time. Each member judges it by what it knows itself and accepts it, or says
why not; what it has accepted it keeps. Accepted by a majority, with no objection, the version is in force. A
new leader asks a majority first: what one of them accepted in the newest term may be in force somewhere, so
it is proposed again before anything else. (Single-value agreement as in Paxos; the leases of the election
settle who proposes.) What a member knows is lost with its process. If a majority restarts at once, the fleet
goes on with what the others have, or with the leader's file.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from brambleplank.fleet import messages
from brambleplank.fleet.errors import InvariantError
from brambleplank.fleet.versions.identity import AgreementCallbacks, AgreementIdentity
from brambleplank.fleet.versions.proposer import Proposer, PublicationRequest
from brambleplank.fleet.versions.reviews import TextReviews
from brambleplank.fleet.versions.startup import StartupDiscovery
from brambleplank.fleet.versions.texts import TextStore, digest_of


@dataclass(frozen=True)
class AcceptedProposal:
    """A proposal that this process accepted and that is not in force yet; version 0: there is none."""

    version: int = 0
    term: int = 0
    digest: int = 0


NOTHING_ACCEPTED = AcceptedProposal()


@dataclass(frozen=True)
class AnnouncementId:
    """Orders the announcements of one leader."""

    sender: int = 0
    incarnation: int = 0
    sequence: int = 0

    def supersedes(self, other: AnnouncementId) -> bool:
        """Returns whether this one is of another leader, or later than the other."""
        same_sender = (self.sender, self.incarnation) == (other.sender, other.incarnation)
        return not same_sender or self.sequence > other.sequence


@dataclass(frozen=True)
class UnfinishedAnnouncement:
    """An announcement whose texts are still being fetched or judged."""

    leader: int
    message: messages.VersionAnnouncement


class VersionAgreement:
    """One member's part in the agreement on one kind of text."""

    def __init__(
        self,
        identity: AgreementIdentity,
        callbacks: AgreementCallbacks,
        rng: Random,
        one_objection_rejects: bool = True,
    ) -> None:
        """With `one_objection_rejects` false, a text is rejected only if it cannot get a majority."""
        self.identity = identity
        self.callbacks = callbacks
        self.texts = TextStore(identity, callbacks.send, self.digests_in_use)
        self.reviews = TextReviews(callbacks.judge, self.texts.text)
        self.proposer = Proposer(identity, callbacks, self, self.texts, self.reviews, one_objection_rejects)
        self.startup = StartupDiscovery(identity, rng)
        self.version = 0  # in force here; 0: none was agreed on yet
        self.digest = 0  # of its text
        self.is_current = False  # whether it has learnt since its start which version is in force
        self.newest = 0  # the highest version seen
        self.accepted = NOTHING_ACCEPTED
        self.file_digest: int | None = None  # the file, used until a version is in force
        self.publication: PublicationRequest | None = None  # asked for by this process, not decided yet
        self.newest_announcement = AnnouncementId()
        self.unfinished: UnfinishedAnnouncement | None = None

    def digests_in_use(self) -> set[int | None]:
        """Returns the texts that must be kept."""
        publishing = self.publication.digest if self.publication else None
        used = {self.digest, self.accepted.digest, publishing, self.file_digest}
        if self.proposer.proposal is not None:
            used.add(self.proposer.proposal.digest)
        return used

    # Calls of this process.

    def begin_with(self, text: bytes) -> None:
        """Takes the file, used until the fleet says which version is in force."""
        self.file_digest = self.texts.keep(text)

    def publish(self, text: bytes, leader: int | None) -> None:
        """Asks the leader to publish an operator's text, now and with each report until it is decided."""
        if digest_of(text) == self.digest:
            self.log(f"version {self.version} is that text already")
            return
        # Without the version that it replaces, a request from before a partition could replace a version
        # that was published during it.
        self.publication = PublicationRequest(self.texts.keep(text), replaces=self.version)
        self.send_publish_request(leader)

    def tick(self, now: float, leader: int | None) -> None:
        """Called about every tenth of a second."""
        self.texts.request_chunks(now)
        unfinished = self.unfinished
        if unfinished is not None:
            # Waiting for the next announcement would delay the halt of a retirement by a second.
            self.unfinished = None
            if unfinished.leader == leader:
                self.apply_announcement(unfinished.leader, unfinished.message)
        self.proposer.tick(now)

    def report(self, now: float, leader: int | None) -> None:
        """Sends this member's report to the leader, and as the leader the announcement to all."""
        report = self.version_report()
        if not self.version:
            for member in self.startup.members_to_ask(leader):
                self.callbacks.send(report, member)
        if leader is None:
            return
        if leader == self.identity.number:
            self.proposer.receive_report(now, leader, report)
        else:
            self.callbacks.send(report, leader)
        self.send_publish_request(leader)
        if self.proposer.leader_since is not None and self.proposer.recovered:
            # Announced before recovery, it would make members drop what they accepted, which may be in force.
            self.proposer.announce()

    def version_report(self) -> messages.VersionReport:
        """Returns what this member holds."""
        return messages.VersionReport(
            incarnation=self.identity.incarnation,
            kind=self.identity.kind,
            version=self.version,
            digest=self.digest,
            accepted=self.accepted.version,
            accepted_term=self.accepted.term,
            accepted_digest=self.accepted.digest,
            is_current=self.is_current,
        )

    def send_publish_request(self, leader: int | None) -> None:
        """Sends the pending publish request, if there is one."""
        if self.publication is None or leader is None:
            return
        request = messages.PublishRequest(
            incarnation=self.identity.incarnation,
            kind=self.identity.kind,
            digest=self.publication.digest,
            replaces=self.publication.replaces,
        )
        if leader == self.identity.number:
            self.proposer.receive_publish_request(leader, request)
        else:
            self.callbacks.send(request, leader)

    def log(self, line: str) -> None:
        """Logs a line under the name of the agreement."""
        self.callbacks.log(f"{self.identity.name}: {line}")

    # Messages received.

    def receive_announcement(self, leader: int, message: messages.VersionAnnouncement) -> None:
        """Takes the leader's announcement of what is in force and proposed."""
        announcement = AnnouncementId(leader, message.incarnation, message.sequence)
        if not announcement.supersedes(self.newest_announcement):
            return  # A late one without a proposal would undo what was accepted since.
        self.newest_announcement = announcement
        self.unfinished = None
        self.apply_announcement(leader, message)

    def apply_announcement(self, leader: int, message: messages.VersionAnnouncement) -> None:
        """Applies what is in force, then votes on what is proposed, as far as the texts are here."""
        self.note_version(max(message.version, message.proposed))
        if message.version == self.version:
            self.is_current = self.is_current or message.version > 0
        elif message.version > self.version:
            if not self.prepare(message.digest, leader):
                self.unfinished = UnfinishedAnnouncement(leader, message)
                return
            self.put_in_force(message.version, message.digest)
        if message.proposed > self.version:
            # The text in force comes first; a proposal waits for it.
            if self.version != message.version:
                return
            if self.prepare(message.proposed_digest, leader):
                self.vote(leader, message)
            else:
                self.unfinished = UnfinishedAnnouncement(leader, message)
        elif message.term >= self.accepted.term and message.version >= self.version:
            self.drop_accepted()  # it is in force, or was abandoned
            self.reviews.forget_others(self.digest)

    def prepare(self, digest: int, source: int) -> bool:
        """Returns whether a text is here and judged; if not, it is fetched from the source or judged."""
        return self.texts.fetch(digest, source) and self.reviews.is_reviewed(digest)

    def learn_at_start(self, member: int, message: messages.VersionAnnouncement) -> None:
        """Takes an announcement after a restart, before this process follows a leader.

        What this process had accepted before its restart stays unknown.
        """
        if message.version <= self.version:
            return
        confirmed = self.startup.is_confirmed(message.version, message.digest, member)
        if confirmed and self.prepare(message.digest, member):
            self.put_in_force(message.version, message.digest)
            self.is_current = False
            self.startup.forget_claims()

    def vote(self, leader: int, announcement: messages.VersionAnnouncement) -> None:
        """Votes on the proposal of an announcement, whose text was judged."""
        objection = self.reviews.objection(announcement.proposed_digest)
        if not objection:
            if announcement.term < self.accepted.term:
                return  # Accepting it would forget what was accepted from a leader of a newer term.
            self.accepted = AcceptedProposal(
                announcement.proposed, announcement.term, announcement.proposed_digest
            )
        vote = messages.Vote(
            incarnation=self.identity.incarnation,
            kind=self.identity.kind,
            term=announcement.term,
            version=announcement.proposed,
            digest=announcement.proposed_digest,
            accepts=not objection,
            reason=objection[: messages.MAX_REASON],
        )
        if leader == self.identity.number:
            self.proposer.receive_vote(leader, vote)
        else:
            self.callbacks.send(vote, leader)

    def receive_publish_response(self, response: messages.PublishResponse) -> None:
        """Takes the outcome of the pending publish request; a refusal ends it."""
        if self.publication is not None and response.digest == self.publication.digest and response.reason:
            self.log(f"not published: {response.reason}")
            self.publication = None

    # Changes of what this member holds.

    def note_version(self, number: int) -> None:
        """Raises the highest version seen."""
        self.newest = max(self.newest, number)

    def drop_accepted(self) -> None:
        """Forgets the accepted proposal."""
        self.accepted = NOTHING_ACCEPTED

    def put_in_force(self, number: int, digest: int) -> None:
        """Applies a version. Raises InvariantError if it is not newer than the one in force."""
        if number <= self.version:
            raise InvariantError(f"version {number} after {self.version}", f"fleet {self.identity.name}")
        self.version = number
        self.digest = digest
        self.is_current = True
        self.note_version(number)
        if self.accepted.version <= number:
            self.drop_accepted()
        self.callbacks.apply(number, digest)
        self.log(f"version {number} is in force")
        if self.publication is not None and self.publication.digest == digest:
            self.publication = None
