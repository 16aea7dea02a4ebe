"""What a restarted process asks and learns of the version in force, before it follows a leader."""

from __future__ import annotations

from random import Random

from brambleplank.fleet.versions.identity import AgreementIdentity

MEMBERS_PER_ROUND = 3  # other members that a restarted process reports to at once
REPORT_ROUNDS = 10  # rounds of reports that it sends to them
MAX_CLAIMS = 12  # versions that members call in force
MIN_CLAIMANTS = 2  # members that must agree on one


class StartupDiscovery:
    """Learns the version in force from other members, as the leader may just have ended."""

    def __init__(self, identity: AgreementIdentity, rng: Random) -> None:
        self.identity = identity
        self.rng = rng
        self.rounds_left = REPORT_ROUNDS
        # Versions with their digests that members called in force, and by whom.
        self.claims: dict[tuple[int, int], set[int]] = {}

    def members_to_query(self, leader: int | None) -> list[int]:
        """Returns the members beside the leader to report to in this round; none once all rounds are over."""
        if not self.rounds_left:
            return []
        self.rounds_left -= 1
        others = [n for n in range(self.identity.members) if n not in (self.identity.number, leader)]
        return self.rng.sample(others, min(MEMBERS_PER_ROUND, len(others)))

    def add_claim(self, version: int, digest: int, member: int) -> bool:
        """Notes that a member calls a version in force, and returns whether enough members do.

        A single faulty one could otherwise give this process any text under the highest number.
        """
        if len(self.claims) > MAX_CLAIMS:
            return False
        claimants = self.claims.setdefault((version, digest), set())
        claimants.add(member)
        return len(claimants) >= min(MIN_CLAIMANTS, self.identity.members - 1)

    def forget_claims(self) -> None:
        """Forgets what members called in force."""
        self.claims.clear()
