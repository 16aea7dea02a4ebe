"""The leader's part in an agreement: recovers the state of a majority, then proposes one text at a time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from brambleplank.fleet import messages
from brambleplank.fleet.leases.timing import HEARTBEAT_INTERVAL, LEASE_DURATION
from brambleplank.fleet.versions.identity import AgreementCallbacks, AgreementIdentity
from brambleplank.fleet.versions.reviews import TextReviews
from brambleplank.fleet.versions.texts import TextStore

# Seconds after which a leader recovers from the reports of a majority even if restarted members are in it.
RECOVERY_TIMEOUT = 3 * LEASE_DURATION
VOTE_WAIT = 2 * HEARTBEAT_INTERVAL  # seconds that a proposal waits for the votes of all reachable members
PROPOSAL_TIMEOUT = 5 * LEASE_DURATION  # seconds until a proposal without a majority is abandoned
OTHER_TEXT_PROPOSED = "another text is being published; offer it again"


@dataclass
class Proposal:
    """The current proposal of this process as the leader."""

    version: int
    digest: int
    publisher: int | None  # the member that requested it; None: recovered from the members' reports
    proposed_at: float
    votes: dict[int, str] = field(default_factory=dict)  # objections by member; "": accepted


@dataclass(frozen=True)
class PublicationRequest:
    """A member's request to publish a text, and the version that the text replaces."""

    digest: int
    replaces: int


class Acceptor(Protocol):
    """The member's part in the same process, as far as the proposer needs it."""

    @property
    def version(self) -> int:
        """The version in force at this member; 0: none."""

    @property
    def digest(self) -> int:
        """The digest of the text in force."""

    @property
    def highest_version(self) -> int:
        """The highest version seen."""

    @property
    def file_digest(self) -> int | None:
        """The digest of this process's file."""

    def observe_version(self, version: int) -> None:
        """Updates the highest version seen."""

    def put_in_force(self, version: int, digest: int) -> None:
        """Puts a version in force."""

    def vote(self, leader: int, announcement: messages.VersionAnnouncement) -> None:
        """Votes on the proposal of an announcement."""

    def drop_accepted(self) -> None:
        """Discards the accepted proposal."""

    def receive_publish_response(self, response: messages.PublishResponse) -> None:
        """Handles the response to a publish request."""


class Proposer:
    """The leader's part in an agreement; idle while this process does not lead."""

    def __init__(
        self,
        identity: AgreementIdentity,
        callbacks: AgreementCallbacks,
        acceptor: Acceptor,
        texts: TextStore,
        reviews: TextReviews,
        one_objection_rejects: bool,
    ) -> None:
        """If `one_objection_rejects` is false, a text is rejected once no majority can accept it any more."""
        self.identity = identity
        self.callbacks = callbacks
        self.acceptor = acceptor
        self.texts = texts
        self.reviews = reviews
        self.one_objection_rejects = one_objection_rejects
        self.leader_since: float | None = None  # None: this process does not lead
        self.term = 0
        self.reports: dict[int, messages.VersionReport] = {}  # by member, in this term
        self.recovered = False  # whether the state of a majority is known
        self.proposal: Proposal | None = None
        self.queued_requests: dict[int, PublicationRequest] = {}  # by member
        self.announcements = 0  # sent by this process; the sequence of the newest one
        self.last_reachable_at: dict[int, float] = {}  # by member

    def become_leader(self, now: float, term: int) -> None:
        """Starts a term; the state of the members is not known yet."""
        self.leader_since = now
        self.term = term
        self.recovered = False
        self.reports.clear()
        self.proposal = None
        self.queued_requests.clear()

    def step_down(self) -> None:
        """Ends the term; an undecided proposal is left to the next leader."""
        self.leader_since = None
        self.proposal = None

    # Messages received.

    def note_reachable(self, now: float, member: int) -> None:
        """Records that a member is reachable now."""
        self.last_reachable_at[member] = now

    def receive_report(self, now: float, member: int, report: messages.VersionReport) -> None:
        """Records a member's report. A member without a version is sent the announcement of the one in force.

        The process does this as well while it is not the leader.
        """
        if self.leader_since is not None:
            self.reports[member] = report
            self.last_reachable_at[member] = now
        acceptor = self.acceptor
        if not report.version and acceptor.version and member != self.identity.number:
            announcement = messages.VersionAnnouncement(
                incarnation=self.identity.incarnation,
                kind=self.identity.kind,
                sequence=0,
                term=0,
                version=acceptor.version,
                digest=acceptor.digest,
                proposed=0,
                proposed_digest=0,
            )
            self.callbacks.send(announcement, member)

    def receive_publish_request(self, member: int, request: messages.PublishRequest) -> None:
        """Queues a member's request to publish a text, unless it can be answered at once."""
        if self.leader_since is None:
            return
        publication = PublicationRequest(request.digest, request.replaces)
        if self.is_decided(publication):
            self.respond_decided(member, publication)
        elif self.proposal is not None and self.proposal.digest != request.digest:
            self.respond(member, request.digest, 0, OTHER_TEXT_PROPOSED)
        else:
            self.queued_requests.setdefault(member, publication)

    def is_decided(self, request: PublicationRequest) -> bool:
        """Returns whether the text is in force, or another one has replaced what it was to replace."""
        return request.digest == self.acceptor.digest or request.replaces != self.acceptor.version

    def respond_decided(self, member: int, request: PublicationRequest) -> None:
        """Sends a member the outcome of a decided request.

        A member repeats its request until it is answered, so its text may have come into force meanwhile.
        """
        if request.digest == self.acceptor.digest:
            self.respond(member, request.digest, self.acceptor.version, "")
        else:
            self.respond(member, request.digest, 0, self.superseded_reason())

    def superseded_reason(self) -> str:
        """Returns the reason for refusing a text that replaces a version no longer in force."""
        return f"edition {self.acceptor.version} came first; offer it again"

    def respond(self, member: int, digest: int, version: int, reason: str) -> None:
        """Sends a member the outcome of its publish request; version 0: refused."""
        response = messages.PublishResponse(
            incarnation=self.identity.incarnation,
            kind=self.identity.kind,
            digest=digest,
            version=version,
            reason=reason[: messages.MAX_REASON],
        )
        if member == self.identity.number:
            self.acceptor.receive_publish_response(response)
        else:
            self.callbacks.send(response, member)

    def receive_vote(self, member: int, vote: messages.Vote) -> None:
        """Records a vote, if it is on the current proposal."""
        proposal = self.proposal
        if proposal is None:
            return
        if (vote.term, vote.version, vote.digest) == (self.term, proposal.version, proposal.digest):
            proposal.votes[member] = "" if vote.accepts else vote.reason or "no reason given"

    # The leader's work.

    def tick(self, now: float) -> None:
        """Continues recovery, the current proposal or the queue of requests, if this process leads."""
        if self.leader_since is None:
            return
        if not self.recovered:
            self.recover(now)
        elif self.proposal is not None:
            self.decide(now, self.proposal)
        elif self.queued_requests:
            self.propose_queued(now)

    def propose_queued(self, now: float) -> None:
        """Proposes the text of the oldest queued request, once it is stored here."""
        member, request = next(iter(self.queued_requests.items()))
        if self.is_decided(request):
            del self.queued_requests[member]
            self.respond_decided(member, request)
        elif self.texts.fetch(request.digest, member):
            del self.queued_requests[member]
            self.propose(now, self.acceptor.highest_version + 1, request.digest, member)

    def recover(self, now: float) -> None:
        """Recovers the state of a majority; without it, a version in force elsewhere could be replaced."""
        if not self.majority_reported(now):
            return
        acceptor = self.acceptor
        current = {member: report for member, report in self.reports.items() if report.is_current}
        newest = max(current.items(), key=lambda item: item[1].version, default=None)
        if newest is not None and newest[1].version > acceptor.version:
            member, report = newest
            if self.texts.fetch(report.digest, member) and self.reviews.ensure_reviewed(report.digest):
                acceptor.put_in_force(report.version, report.digest)
            return
        accepted = [
            (report.accepted_term, report.accepted, report.accepted_digest, member)
            for member, report in self.reports.items()
        ]
        _, version, digest, member = max(accepted)
        if version > acceptor.version:
            if self.texts.fetch(digest, member):
                self.recovered = True
                self.propose(now, version, digest, None)
            return
        self.recovered = True
        if not acceptor.version and acceptor.file_digest is not None:
            self.propose(now, acceptor.highest_version + 1, acceptor.file_digest, self.identity.number)

    def majority_reported(self, now: float) -> bool:
        """Returns whether the reports suffice for recovery.

        Those of members that restarted and do not know the version in force suffice once the wait is over, or
        all members have reported.
        """
        assert self.leader_since is not None
        majority = self.identity.majority
        current = sum(report.is_current for report in self.reports.values())
        if current >= majority or len(self.reports) == self.identity.members:
            return True
        return len(self.reports) >= majority and now >= self.leader_since + RECOVERY_TIMEOUT

    def propose(self, now: float, version: int, digest: int, publisher: int | None) -> None:
        """Proposes a text as a version."""
        if not self.acceptor.version and publisher is not None:
            # After a restart of all members, versions counted from 1 would be older than that of a member
            # that was unreachable meanwhile.
            version = max(version, self.identity.incarnation)
        self.acceptor.observe_version(version)
        self.proposal = Proposal(version, digest, publisher, now)
        self.announce()

    def announce(self) -> None:
        """Announces the version in force and the proposal to all members, and casts this member's vote."""
        proposal = self.proposal
        self.announcements += 1
        announcement = messages.VersionAnnouncement(
            incarnation=self.identity.incarnation,
            kind=self.identity.kind,
            sequence=self.announcements,
            term=self.term,
            version=self.acceptor.version,
            digest=self.acceptor.digest,
            proposed=proposal.version if proposal else 0,
            proposed_digest=proposal.digest if proposal else 0,
        )
        self.callbacks.send(announcement, None)
        if proposal is None or proposal.digest not in self.texts:
            return
        if self.reviews.ensure_reviewed(proposal.digest):
            self.acceptor.vote(self.identity.number, announcement)

    def decide(self, now: float, proposal: Proposal) -> None:
        """Commits the proposal, abandons it, or waits for more votes."""
        objections = self.effective_objections(proposal)
        accepted = len(proposal.votes) - len(objections)
        reachable = [member for member, at in self.last_reachable_at.items() if now < at + LEASE_DURATION]
        undecided = any(member not in proposal.votes for member in reachable)
        waiting = undecided and now < proposal.proposed_at + VOTE_WAIT
        majority = self.identity.majority
        if objections and self.objections_reject(objections):
            member, reason = next(iter(objections.items()))
            self.abandon(proposal, f"{member} objects: {reason}")
        elif accepted >= majority and not waiting:
            self.commit(proposal)
        elif now >= proposal.proposed_at + PROPOSAL_TIMEOUT:
            needed = f"{accepted} of {self.identity.members} agreed, {majority} are needed"
            self.abandon(proposal, needed)

    def effective_objections(self, proposal: Proposal) -> dict[int, str]:
        """Returns the objections that count, by member."""
        if proposal.publisher is None:
            # A recovered proposal may be in force elsewhere already, so objections come too late.
            return {}
        return {member: reason for member, reason in proposal.votes.items() if reason}

    def objections_reject(self, objections: dict[int, str]) -> bool:
        """Returns whether these objections reject a text."""
        identity = self.identity
        return self.one_objection_rejects or len(objections) > identity.members - identity.majority

    def commit(self, proposal: Proposal) -> None:
        """Puts an accepted proposal in force, and announces it."""
        self.proposal = None
        self.acceptor.put_in_force(proposal.version, proposal.digest)
        if proposal.publisher is not None:
            self.respond(proposal.publisher, proposal.digest, proposal.version, "")
        self.announce()

    def abandon(self, proposal: Proposal, reason: str) -> None:
        """Abandons a proposal, and announces that there is none."""
        self.proposal = None
        self.acceptor.drop_accepted()
        self.callbacks.log(f"{self.identity.name}: version {proposal.version} is not published: {reason}")
        if proposal.publisher is not None:
            self.respond(proposal.publisher, proposal.digest, 0, reason)
        self.announce()
