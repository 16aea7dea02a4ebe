"""The version agreements of one process, one for each kind of text."""

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
    """Passes messages and changes of leadership to the agreements."""

    def __init__(self, election: LeaderElection) -> None:
        self.election = election
        self.by_kind: dict[int, VersionAgreement] = {}

    def add(self, agreement: VersionAgreement) -> None:
        """Adds the agreement on one kind of text."""
        self.by_kind[agreement.identity.kind] = agreement

    def for_each(self, call: Callable[[VersionAgreement], object]) -> None:
        """Calls a function with each agreement."""
        for agreement in self.by_kind.values():
            call(agreement)

    def tick(self, now: float) -> None:
        """Continues the work of each agreement, about ten times a second."""
        self.for_each(lambda agreement: agreement.tick(now, self.election.leader))

    def report(self, now: float, leader: int | None) -> None:
        """Sends the reports to the leader; the leader sends its announcements to all members."""
        self.for_each(lambda agreement: agreement.report(now, leader))

    def become_leader(self, now: float, term: int) -> None:
        """Starts a term of this process as the leader."""
        self.for_each(lambda agreement: agreement.proposer.become_leader(now, term))

    def step_down(self) -> None:
        """Ends the term of this process as the leader."""
        self.for_each(lambda agreement: agreement.proposer.step_down())

    def note_reachable(self, now: float, sender: int) -> None:
        """Records that a member is reachable now."""
        self.for_each(lambda agreement: agreement.proposer.note_reachable(now, sender))

    def versions(self) -> dict[str, int]:
        """Returns the versions in force at this member, by the name of their agreement."""
        return {f"version of {each.identity.name}": each.version for each in self.by_kind.values()}

    def receive(self, now: float, sender: int, message: AgreementMessage) -> None:
        """Handles a message; those about chunks name no kind of text and go to all agreements."""
        match message:
            case messages.ChunkRequest():
                self.for_each(lambda agreement: agreement.texts.send_chunks(sender, message))
            case messages.Chunk():
                self.for_each(lambda agreement: agreement.texts.receive_chunk(now, message))
            case _:
                agreement = self.by_kind.get(message.kind)
                if agreement is not None:
                    self.dispatch(now, sender, message, agreement)

    def dispatch(
        self,
        now: float,
        sender: int,
        message: VersionMessage,
        agreement: VersionAgreement,
    ) -> None:
        """Passes a message to its agreement; publish responses only from the leader that is followed.

        Announcements of other members serve a process that does not know yet which version is in force.
        """
        followed = self.election.followed
        is_followed = followed.is_incarnation(sender, message.incarnation)
        match message:
            case messages.VersionAnnouncement():
                if is_followed and followed.is_elected:
                    agreement.receive_announcement(sender, message)
                elif not agreement.is_current:
                    agreement.receive_startup_announcement(sender, message)
            case messages.VersionReport():
                agreement.proposer.receive_report(now, sender, message)
            case messages.Vote():
                agreement.proposer.receive_vote(sender, message)
            case messages.PublishRequest():
                agreement.proposer.receive_publish_request(sender, message)
            case messages.PublishResponse():
                if is_followed:
                    agreement.receive_publish_response(message)
