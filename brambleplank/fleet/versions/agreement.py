"""Fleet-wide agreement on texts in numbered versions, which only increase.

The leader proposes one text at a time. Each member reviews the text against its own state, and either accepts
it or votes against it with a reason; it remembers the proposal that it accepted. Once a majority has accepted
a version and no objection rejects it, the version is in force. A new leader first collects the reports of a
majority: the proposal that one of them accepted in the newest term may already be in force at some member, so
the leader proposes it again before anything else. This is single-decree Paxos; the leases of the election
determine the proposer.

A member's state is lost with its process. If a majority restarts at once, the fleet continues with the state
of the other members, or with the leader's file.
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
    """A proposal that this member accepted and that is not in force yet; version 0: none."""

    version: int = 0
    term: int = 0
    digest: int = 0


NOTHING_ACCEPTED = AcceptedProposal()


@dataclass(frozen=True)
class AnnouncementId:
    """Identifies an announcement, and orders those of one leader process."""

    sender: int = 0
    incarnation: int = 0
    sequence: int = 0

    def supersedes(self, other: AnnouncementId) -> bool:
        """Returns whether this announcement is newer than the other, or from another leader process."""
        same_sender = (self.sender, self.incarnation) == (other.sender, other.incarnation)
        return not same_sender or self.sequence > other.sequence


@dataclass(frozen=True)
class PendingAnnouncement:
    """An announcement whose texts are still being downloaded or reviewed."""

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
        """If `one_objection_rejects` is false, a text is rejected once no majority can accept it any more."""
        self.identity = identity
        self.callbacks = callbacks
        self.texts = TextStore(identity, callbacks.send, self.digests_in_use)
        self.reviews = TextReviews(callbacks.review, self.texts.text)
        self.proposer = Proposer(identity, callbacks, self, self.texts, self.reviews, one_objection_rejects)
        self.startup = StartupDiscovery(identity, rng)
        self.version = 0  # in force at this member; 0: none yet
        self.digest = 0  # of the text in force
        self.is_current = False  # whether it has learned, since its start, which version is in force
        self.highest_version = 0  # the highest one seen, in force or proposed
        self.accepted = NOTHING_ACCEPTED
        self.file_digest: int | None = None  # of this process's file, used until a version is in force
        self.publication: PublicationRequest | None = None  # requested by this process, not decided yet
        self.newest_announcement = AnnouncementId()
        self.pending_announcement: PendingAnnouncement | None = None

    def digests_in_use(self) -> set[int | None]:
        """Returns the digests of the texts that must stay stored."""
        publishing = self.publication.digest if self.publication else None
        used = {self.digest, self.accepted.digest, publishing, self.file_digest}
        if self.proposer.proposal is not None:
            used.add(self.proposer.proposal.digest)
        return used

    # Called by this process.

    def set_initial_text(self, text: bytes) -> None:
        """Stores the text of this process's file, which is used until a version is in force."""
        self.file_digest = self.texts.store(text)

    def publish(self, text: bytes, leader: int | None) -> None:
        """Requests publication of an operator's text; the request is repeated until the leader decides."""
        if digest_of(text) == self.digest:
            self.log(f"not published: version {self.version} already has this text")
            return
        # The request names the version that it replaces. Otherwise a request from before a partition could
        # replace a version that was published during it.
        self.publication = PublicationRequest(self.texts.store(text), replaces=self.version)
        self.send_publish_request(leader)

    def tick(self, now: float, leader: int | None) -> None:
        """Continues downloads, the pending announcement and the leader's work, about ten times a second."""
        self.texts.request_chunks(now)
        pending = self.pending_announcement
        if pending is not None:
            # Waiting for the next announcement would delay the halt of a retirement by a second.
            self.pending_announcement = None
            if pending.leader == leader:
                self.apply_announcement(pending.leader, pending.message)
        self.proposer.tick(now)

    def report(self, now: float, leader: int | None) -> None:
        """Sends this member's report to the leader; the leader sends its announcement to all members."""
        report = self.version_report()
        if not self.version:
            for member in self.startup.members_to_query(leader):
                self.callbacks.send(report, member)
        if leader is None:
            return
        if leader == self.identity.number:
            self.proposer.receive_report(now, leader, report)
        else:
            self.callbacks.send(report, leader)
        self.send_publish_request(leader)
        if self.proposer.leader_since is not None and self.proposer.recovered:
            # Before recovery, an announcement would make members drop the proposal that they accepted,
            # although it may be in force elsewhere.
            self.proposer.announce()

    def version_report(self) -> messages.VersionReport:
        """Returns this member's report: the version in force, and the accepted proposal."""
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
        """Logs a line, prefixed with the name of the agreement."""
        self.callbacks.log(f"{self.identity.name}: {line}")

    # Messages received.

    def receive_announcement(self, leader: int, message: messages.VersionAnnouncement) -> None:
        """Handles the leader's announcement of the versions in force and proposed."""
        announcement = AnnouncementId(leader, message.incarnation, message.sequence)
        if not announcement.supersedes(self.newest_announcement):
            return  # A delayed announcement without a proposal would drop a proposal accepted since.
        self.newest_announcement = announcement
        self.pending_announcement = None
        self.apply_announcement(leader, message)

    def apply_announcement(self, leader: int, message: messages.VersionAnnouncement) -> None:
        """Puts the announced version in force, then votes on the proposal, once their texts are reviewed."""
        self.observe_version(max(message.version, message.proposed))
        if message.version == self.version:
            self.is_current = self.is_current or message.version > 0
        elif message.version > self.version:
            if not self.prepare(message.digest, leader):
                self.pending_announcement = PendingAnnouncement(leader, message)
                return
            self.put_in_force(message.version, message.digest)
        if message.proposed > self.version:
            # The leader's version is older than the one in force here: no vote until it has caught up.
            if self.version != message.version:
                return
            if self.prepare(message.proposed_digest, leader):
                self.vote(leader, message)
            else:
                self.pending_announcement = PendingAnnouncement(leader, message)
        elif message.term >= self.accepted.term and message.version >= self.version:
            self.drop_accepted()  # the proposal is in force, or was abandoned
            self.reviews.forget_others(self.digest)

    def prepare(self, digest: int, source: int) -> bool:
        """Returns whether a text is stored and reviewed; if not, starts its download or its review."""
        return self.texts.fetch(digest, source) and self.reviews.ensure_reviewed(digest)

    def receive_startup_announcement(self, member: int, message: messages.VersionAnnouncement) -> None:
        """Handles an announcement received after a restart, before this process follows a leader.

        The process does not count as current afterwards: the proposal that it accepted before its restart
        is lost.
        """
        if message.version <= self.version:
            return
        confirmed = self.startup.add_claim(message.version, message.digest, member)
        if confirmed and self.prepare(message.digest, member):
            self.put_in_force(message.version, message.digest)
            self.is_current = False
            self.startup.forget_claims()

    def vote(self, leader: int, announcement: messages.VersionAnnouncement) -> None:
        """Votes on the proposal of an announcement, whose text has been reviewed."""
        objection = self.reviews.objection(announcement.proposed_digest)
        if not objection:
            if announcement.term < self.accepted.term:
                return  # Accepting it would replace a proposal accepted from a leader of a newer term.
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
        """Handles the response to the pending publish request; a refusal ends the request."""
        if self.publication is not None and response.digest == self.publication.digest and response.reason:
            self.log(f"not published: {response.reason}")
            self.publication = None

    # State changes.

    def observe_version(self, version: int) -> None:
        """Updates the highest version seen."""
        self.highest_version = max(self.highest_version, version)

    def drop_accepted(self) -> None:
        """Discards the accepted proposal."""
        self.accepted = NOTHING_ACCEPTED

    def put_in_force(self, version: int, digest: int) -> None:
        """Puts a version in force. Raises InvariantError if it is not newer than the one in force."""
        if version <= self.version:
            raise InvariantError(f"version {version} after {self.version}", f"fleet {self.identity.name}")
        self.version = version
        self.digest = digest
        self.is_current = True
        self.observe_version(version)
        if self.accepted.version <= version:
            self.drop_accepted()
        self.callbacks.apply(version, digest)
        self.log(f"version {version} is in force")
        if self.publication is not None and self.publication.digest == digest:
            self.publication = None
