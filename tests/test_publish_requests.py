"""Requests to publish a text, as the leader answers them."""

from __future__ import annotations

from random import Random

from brambleplank.fleet import messages
from brambleplank.fleet.versions.agreement import VersionAgreement
from brambleplank.fleet.versions.identity import AgreementCallbacks, AgreementIdentity

LEADER = 0
PUBLISHER = 1
INCARNATION = 7
TERM = 3


class LeaderAgreement:
    """The agreement of a leader in a fleet of two, and the messages that it sends."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []
        callbacks = AgreementCallbacks(
            lambda message, _: self.sent.append(message),
            lambda _digest, _text, answer: answer(""),
            lambda *_: None,
            lambda _: None,
        )
        identity = AgreementIdentity(0, "routes", LEADER, 2, INCARNATION)
        self.agreement = VersionAgreement(identity, callbacks, Random(1))
        self.agreement.put_in_force(1, self.agreement.texts.store(b"first"))
        self.proposer = self.agreement.proposer
        self.proposer.become_leader(0.0, TERM)
        self.proposer.recovered = True

    def responses(self) -> list[tuple[int, str]]:
        """Returns the version and the reason of each answer to a request."""
        return [
            (message.version, message.reason)
            for message in self.sent
            if isinstance(message, messages.PublishResponse)
        ]


def test_repeated_request_for_a_published_text_is_not_refused() -> None:
    # Guards against telling a member that its text was not published, although it is in force.
    leader = LeaderAgreement()
    digest = leader.agreement.texts.store(b"second")
    request = messages.PublishRequest(incarnation=INCARNATION, kind=0, digest=digest, replaces=1)
    leader.proposer.receive_publish_request(PUBLISHER, request)
    leader.agreement.tick(0.1, LEADER)
    leader.proposer.receive_publish_request(PUBLISHER, request)  # repeated at the next heartbeat
    proposal = leader.proposer.proposal
    assert proposal is not None
    vote = messages.Vote(
        incarnation=INCARNATION,
        kind=0,
        term=TERM,
        version=proposal.version,
        digest=digest,
        accepts=True,
        reason="",
    )
    leader.proposer.receive_vote(PUBLISHER, vote)
    leader.agreement.tick(0.2, LEADER)
    assert leader.agreement.version == 2
    leader.agreement.tick(0.3, LEADER)
    assert leader.responses() and {reason for _, reason in leader.responses()} == {""}
