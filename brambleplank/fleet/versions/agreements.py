"""The agreements of one process, by their kinds of text."""

from __future__ import annotations

from collections.abc import Callable

from brambleplank.fleet import messages
from brambleplank.fleet.leases.leader_election import LeaderElection
from brambleplank.fleet.versions.agreement import VersionAgreement

VersionMessage = (
    messages.VersionReport
    | messages.VersionAnnouncement
    | messages.Vote
    | messages.PublishRequest
    | messages.PublishResponse
)
AgreementMessage = VersionMessage | messages.ChunkRequest | messages.Chunk


class Agreements:
    """Hands messages and changes of leadership to each agreement."""

    def __init__(self, election: LeaderElection) -> None:
        self.election = election
        self.by_kind: dict[int, VersionAgreement] = {}

    def add(self, agreement: VersionAgreement) -> None:
        """Adds the agreement on one kind of text."""
        self.by_kind[agreement.identity.kind] = agreement

    def each(self, call: Callable[[VersionAgreement], object]) -> None:
        """Calls with each agreement."""
        for agreement in self.by_kind.values():
            call(agreement)

    def tick(self, now: float) -> None:
        """Called about every tenth of a second."""
        self.each(lambda agreement: agreement.tick(now, self.election.leader))

    def report(self, now: float, leader: int | None) -> None:
        """Reports to the leader, or as the leader to all."""
        self.each(lambda agreement: agreement.report(now, leader))

    def become_leader(self, now: float, term: int) -> None:
        """Begins a term."""
        self.each(lambda agreement: agreement.proposer.become_leader(now, term))

    def step_down(self) -> None:
        """Ends the term."""
        self.each(lambda agreement: agreement.proposer.step_down())

    def note_reachable(self, now: float, who: int) -> None:
        """Notes that a member is reachable."""
        self.each(lambda agreement: agreement.proposer.note_reachable(now, who))

    def versions(self) -> dict[str, int]:
        """Returns the versions in force here, by name."""
        return {f"version of {each.identity.name}": each.version for each in self.by_kind.values()}

    def receive(self, now: float, who: int, message: AgreementMessage) -> None:
        """Takes a message about chunks of texts, which agreements share, or about one kind of text."""
        match message:
            case messages.ChunkRequest():
                self.each(lambda agreement: agreement.texts.send_chunks(who, message))
            case messages.Chunk():
                self.each(lambda agreement: agreement.texts.receive_chunk(now, message))
            case _:
                agreement = self.by_kind.get(message.kind)
                if agreement is not None:
                    self.hand_on(now, who, message, agreement)

    def hand_on(
        self,
        now: float,
        who: int,
        message: VersionMessage,
        agreement: VersionAgreement,
    ) -> None:
        """Hands a message to its agreement; what only a leader may say, if it is from the one followed."""
        followed = self.election.followed
        is_followed = followed.is_incarnation(who, message.incarnation)
        match message:
            case messages.VersionAnnouncement():
                if is_followed and followed.is_elected:
                    agreement.receive_announcement(who, message)
                elif not agreement.is_current:
                    agreement.learn_at_start(who, message)
            case messages.VersionReport():
                agreement.proposer.receive_report(now, who, message)
            case messages.Vote():
                agreement.proposer.receive_vote(who, message)
            case messages.PublishRequest():
                agreement.proposer.receive_publish_request(who, message)
            case messages.PublishResponse():
                if is_followed:
                    agreement.receive_publish_response(message)
