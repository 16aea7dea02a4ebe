"""The members of a fleet: their incarnations, when each was last reached, and the fleet's coverage."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleplank.fleet.leases.counts import Coverage
from brambleplank.fleet.leases.timing import LEASE_DURATION

MAX_EARLIER_INCARNATIONS = 4  # of each member
NEVER = float("-inf")


@dataclass
class MemberIdentity:
    """The identity of this process in its fleet."""

    number: int
    members: int
    incarnation: int  # identifies this start of the process
    started_at: float  # on this process's clock

    def reset(self, now: float, incarnation: int) -> None:
        """Continues under another incarnation, as if the process had just started."""
        self.incarnation = incarnation
        self.started_at = now

    def age(self, now: float) -> float:
        """Returns the seconds since the start."""
        return max(0.0, now - self.started_at)


@dataclass
class MemberState:
    """What this process knows of another member."""

    incarnation: int = 0  # the newest one seen
    last_request_sequence: int = 0  # sequence of its newest lease request
    last_request_at: float = NEVER  # when a lease request of it last arrived
    earlier_incarnations: tuple[int, ...] = ()  # oldest first

    def begin_incarnation(self, incarnation: int) -> None:
        """Records a newer incarnation of the member."""
        if self.incarnation:
            self.earlier_incarnations = (*self.earlier_incarnations, self.incarnation)[
                -MAX_EARLIER_INCARNATIONS:
            ]
        else:
            self.earlier_incarnations = ()
        self.incarnation = incarnation
        self.last_request_sequence = 0

    def is_reachable(self, now: float) -> bool:
        """Returns whether a lease request of the member arrived within the last lease duration."""
        return now < self.last_request_at + LEASE_DURATION


class Membership:
    """The other members, and how much of the fleet is reachable."""

    def __init__(self, identity: MemberIdentity, now: float, log: Callable[[str], None]) -> None:
        self.identity = identity
        self.log = log
        self.others: dict[int, MemberState] = {}
        self.unreachable: set[int] = set()  # members that were logged as unreachable
        self.leader_coverage = Coverage(1, identity.members, 0.0)  # as the leader last reported it
        self.leader_coverage_at = now
        self.partitioned = False
        self.partition_reported_from = now + LEASE_DURATION  # no partition is reported before

    def is_other(self, member: int) -> bool:
        """Returns whether a number is that of another member."""
        return 0 <= member < self.identity.members and member != self.identity.number

    def state(self, member: int) -> MemberState:
        """Returns the state of another member."""
        return self.others.setdefault(member, MemberState())

    def receive_coverage(self, now: float, reachable: int, oldest: float) -> None:
        """Records the leader's coverage: reachable members, and seconds since the oldest contact."""
        self.leader_coverage = Coverage(reachable, self.identity.members, oldest)
        self.leader_coverage_at = now

    def coverage(self, now: float, leading: bool) -> Coverage:
        """Returns this member's own coverage if it leads, else the leader's latest, if it is recent."""
        members = self.identity.members
        if leading:
            ages = [now - state.last_request_at for state in self.others.values() if state.is_reachable(now)]
            return Coverage(1 + len(ages), members, max(ages, default=0.0))
        if now >= self.leader_coverage_at + LEASE_DURATION or self.partitioned:
            return Coverage(1, members, 0.0)
        oldest = self.leader_coverage.oldest + now - self.leader_coverage_at
        return Coverage(self.leader_coverage.reachable, members, oldest)

    def log_unreachable(self, now: float) -> None:
        """Logs the members that have become unreachable, or reachable again."""
        unreachable = {member for member, state in self.others.items() if not state.is_reachable(now)}
        for member in sorted(unreachable ^ self.unreachable):
            self.log(
                f"fleet: member {member} is {'unreachable' if member in unreachable else 'reachable again'}"
            )
        self.unreachable = unreachable

    def update_partition(self, now: float, granted_at: float) -> bool:
        """Updates whether this process is partitioned: no leader has answered it for a lease duration.

        Returns whether that has changed.
        """
        partitioned = now >= max(granted_at + LEASE_DURATION, self.partition_reported_from)
        changed = partitioned != self.partitioned
        self.partitioned = partitioned
        return changed
