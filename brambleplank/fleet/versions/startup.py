"""How a restarted process learns the version in force before it follows a leader."""

from __future__ import annotations

from random import Random

from brambleplank.fleet.versions.identity import AgreementIdentity

MEMBERS_PER_ROUND = 3  # members besides the leader that get a report in one round
REPORT_ROUNDS = 10
MAX_CLAIMS = 12  # versions claimed to be in force, beyond which claims are ignored
MIN_CLAIMANTS = 2  # members that must claim the same version and digest


class StartupDiscovery:
    """Learns the version in force from several members, as the leader's process may just have ended."""

    def __init__(self, identity: AgreementIdentity, rng: Random) -> None:
        self.identity = identity
        self.rng = rng
        self.rounds_left = REPORT_ROUNDS
        # The members that claim a version to be in force, by the version and the digest of its text.
        self.claims: dict[tuple[int, int], set[int]] = {}

    def members_to_query(self, leader: int | None) -> list[int]:
        """Returns the members besides the leader that get a report in this round; none after the last one."""
        if not self.rounds_left:
            return []
        self.rounds_left -= 1
        others = [n for n in range(self.identity.members) if n not in (self.identity.number, leader)]
        return self.rng.sample(others, min(MEMBERS_PER_ROUND, len(others)))

    def add_claim(self, version: int, digest: int, member: int) -> bool:
        """Records a member's claim that a version is in force; returns whether enough members claim it.

        Otherwise a single faulty member could make this process use any text, as the highest version.
        """
        if len(self.claims) > MAX_CLAIMS:
            return False
        claimants = self.claims.setdefault((version, digest), set())
        claimants.add(member)
        return len(claimants) >= min(MIN_CLAIMANTS, self.identity.members - 1)

    def forget_claims(self) -> None:
        """Discards all claims."""
        self.claims.clear()
