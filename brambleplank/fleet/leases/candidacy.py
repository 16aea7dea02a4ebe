"""What a process holds of its own candidacy: the heartbeats it sent, its pre-votes and its supporters."""

from __future__ import annotations

from brambleplank.fleet.leases.timing import HOLDER_CLOCK_FACTOR, LEASE_DURATION

MAX_SENT_HEARTBEATS = 16
NEVER = float("-inf")


class SentHeartbeats:
    """When this process sent its latest heartbeats of one kind, by their sequence numbers."""

    def __init__(self) -> None:
        self.times: dict[int, float] = {}  # the oldest first

    def record(self, sequence: int, now: float) -> None:
        """Notes a heartbeat that is sent now, and forgets the oldest beyond the limit."""
        self.times[sequence] = now
        while len(self.times) > MAX_SENT_HEARTBEATS:
            del self.times[next(iter(self.times))]

    def clear(self) -> None:
        """Forgets all, so that no answer to one of them counts any more."""
        self.times.clear()


class PreVotes:
    """Who would follow this process, in answer to its requests. They bind nobody."""

    def __init__(self, majority: int) -> None:
        self.majority = majority
        self.requests = SentHeartbeats()
        self.requested_at: dict[int, float] = {}  # when each member's pre-vote was requested

    def receive(self, sender: int, sequence: int) -> None:
        """Takes a member's answer to the request of that sequence number."""
        if sequence in self.requests.times:
            self.requested_at[sender] = self.requests.times[sequence]

    def is_majority(self, now: float) -> bool:
        """Returns whether a majority, this process included, would follow it as of lately."""
        recent = sum(at > now - LEASE_DURATION / 2 for at in self.requested_at.values())
        return 1 + recent >= self.majority

    def clear(self) -> None:
        """Forgets the answers. They do not count for another candidacy."""
        self.requested_at.clear()


class Candidacy:
    """This process's candidacy, and its lead while a majority supports it."""

    def __init__(self, majority: int) -> None:
        self.majority = majority
        self.is_active = False  # as a candidate or leader
        self.term = 0
        self.has_led = False  # since it became a candidate
        self.leader_since: float | None = None  # since when it leads without a gap
        self.ends_at = 0.0  # when a candidacy without success ends
        self.heartbeats = SentHeartbeats()
        self.supporters: dict[int, float] = {}  # by member, until when it follows this process

    def begin(self, term: int, ends_at: float) -> None:
        """Becomes a candidate."""
        self.is_active = True
        self.has_led = False
        self.term = term
        self.leader_since = None
        self.ends_at = ends_at

    def withdraw(self) -> None:
        """Drops all support, also that of messages that arrive late."""
        self.is_active = False
        self.leader_since = None
        self.supporters.clear()
        self.heartbeats.clear()

    def has_failed(self, now: float) -> bool:
        """Returns whether this process should step down: it lost its majority, or never had one in time."""
        return self.is_active and not self.is_leader(now) and (self.has_led or now >= self.ends_at)

    def support_expiry(self) -> float:
        """Returns when the support of a majority ends."""
        expiries = sorted(self.supporters.values(), reverse=True)
        return expiries[self.majority - 1] if len(expiries) >= self.majority else NEVER

    def is_leader(self, now: float) -> bool:
        """Returns whether this process leads. A lead that has expired does not come back by late support."""
        if self.is_active and now < self.support_expiry():
            return self.leader_since is not None
        self.leader_since = None
        return False

    def sent_in_current_term(self, sequence: int) -> bool:
        """Returns whether a heartbeat was sent since this process has led without a gap."""
        sent_at = self.heartbeats.times.get(sequence, NEVER)
        return self.leader_since is not None and sent_at >= self.leader_since

    def add_support(self, now: float, sender: int, sequence: int) -> bool:
        """Counts a member that names the heartbeat it promised for. Returns whether that one is known.

        Counted from now and not from that heartbeat, the support would outlast the promise.
        """
        if not self.is_active or sequence not in self.heartbeats.times:
            return False
        if now >= self.support_expiry():
            self.leader_since = None
        expires_at = self.heartbeats.times[sequence] + LEASE_DURATION * HOLDER_CLOCK_FACTOR
        self.supporters[sender] = max(expires_at, self.supporters.get(sender, expires_at))
        return True

    def become_leader_if_supported(self, now: float, lowest_term: int) -> None:
        """Begins to lead once a majority supports this process.

        With a lower term than the last leader's, an older agreement would replace a newer one.
        """
        if self.leader_since is None and now < self.support_expiry():
            self.leader_since = now
            self.term = max(self.term, lowest_term)
            self.has_led = True
