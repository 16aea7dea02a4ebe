"""Who the members of a fleet are, what is known of their starts, and how much of the fleet is reachable."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleplank.fleet.leases.counts import Coverage
from brambleplank.fleet.leases.timing import LEASE_DURATION

MAX_EARLIER_INCARNATIONS = 4  # of a member
NEVER = float("-inf")


@dataclass
class MemberIdentity:
    """This process's place in its fleet."""

    number: int
    members: int
    incarnation: int  # names this start
    started_at: float  # on this process's clock

    def reset(self, now: float, incarnation: int) -> None:
        """Goes on under another incarnation, as if it had just started."""
        self.incarnation = incarnation
        self.started_at = now

    def age(self, now: float) -> float:
        """Returns the seconds since the start."""
        return max(0.0, now - self.started_at)


@dataclass
class MemberState:
    """What is known of another process."""

    incarnation: int = 0  # of its newest start
    last_request_sequence: int = 0  # sequence of its newest lease request
    last_request_at: float = NEVER  # when its newest lease request was received
    earlier_incarnations: tuple[int, ...] = ()  # incarnations of earlier starts

    def begin_incarnation(self, incarnation: int) -> None:
        """Takes note of a newer start."""
        if self.incarnation:
            self.earlier_incarnations = (*self.earlier_incarnations, self.incarnation)[
                -MAX_EARLIER_INCARNATIONS:
            ]
        else:
            self.earlier_incarnations = ()
        self.incarnation = incarnation
        self.last_request_sequence = 0

    def is_reachable(self, now: float) -> bool:
        """Returns whether it was heard within the length of a lease."""
        return now < self.last_request_at + LEASE_DURATION


class Membership:
    """The other members, and the coverage of what this process knows of the fleet."""

    def __init__(self, identity: MemberIdentity, now: float, log: Callable[[str], None]) -> None:
        self.identity = identity
        self.log = log
        self.others: dict[int, MemberState] = {}
        self.unreachable: set[int] = set()  # members that were logged as such
        self.leader_coverage = Coverage(1, identity.members, 0.0)  # as the leader last reported it
        self.leader_coverage_at = now
        self.partitioned = False
        self.partition_known_from = now + LEASE_DURATION  # a partition is not reported before

    def is_other(self, member: int) -> bool:
        """Returns whether a number is that of another member."""
        return 0 <= member < self.identity.members and member != self.identity.number

    def state(self, member: int) -> MemberState:
        """Returns what is known of another member."""
        return self.others.setdefault(member, MemberState())

    def receive_coverage(self, now: float, reachable: int, oldest: float) -> None:
        """Takes the leader's report of how many members it reaches, the least recent so many seconds ago."""
        self.leader_coverage = Coverage(reachable, self.identity.members, oldest)
        self.leader_coverage_at = now

    def coverage(self, now: float, leading: bool) -> Coverage:
        """Returns the coverage by this process itself if it leads, or as the leader reported it lately."""
        members = self.identity.members
        if leading:
            ages = [now - state.last_request_at for state in self.others.values() if state.is_reachable(now)]
            return Coverage(1 + len(ages), members, max(ages, default=0.0))
        if now >= self.leader_coverage_at + LEASE_DURATION or self.partitioned:
            return Coverage(1, members, 0.0)
        oldest = self.leader_coverage.oldest + now - self.leader_coverage_at
        return Coverage(self.leader_coverage.reachable, members, oldest)

    def log_unreachable(self, now: float) -> None:
        """Logs which members have become unreachable, or reachable again."""
        unreachable = {member for member, state in self.others.items() if not state.is_reachable(now)}
        for member in sorted(unreachable ^ self.unreachable):
            self.log(
                f"fleet: member {member} is {'unreachable' if member in unreachable else 'reachable again'}"
            )
        self.unreachable = unreachable

    def update_partition(self, now: float, granted_at: float) -> bool:
        """Finds out whether this process is partitioned: no leader answered it for the length of a lease.

        Returns whether that has changed.
        """
        partitioned = now >= max(granted_at + LEASE_DURATION, self.partition_known_from)
        changed = partitioned != self.partitioned
        self.partitioned = partitioned
        return changed
