"""The candidacy of this process: the heartbeats that it sent, its pre-votes and its supporters."""

from __future__ import annotations

from brambleplank.fleet.leases.timing import HOLDER_CLOCK_FACTOR, LEASE_DURATION

MAX_SENT_HEARTBEATS = 16
NEVER = float("-inf")


class SentHeartbeats:
    """Send times of this process's latest heartbeats of one kind, by sequence number."""

    def __init__(self) -> None:
        self.times: dict[int, float] = {}  # oldest first

    def record(self, sequence: int, now: float) -> None:
        """Records a heartbeat that is sent now, and drops the oldest beyond the limit."""
        self.times[sequence] = now
        while len(self.times) > MAX_SENT_HEARTBEATS:
            del self.times[next(iter(self.times))]

    def clear(self) -> None:
        """Drops all, so that replies to them no longer count."""
        self.times.clear()


class PreVotes:
    """Pre-votes of members, in reply to this process's requests. They bind no one."""

    def __init__(self, majority: int) -> None:
        self.majority = majority
        self.requests = SentHeartbeats()
        self.requested_at: dict[int, float] = {}  # by member, when its pre-vote was requested

    def receive(self, sender: int, sequence: int) -> None:
        """Records a member's reply to the request with that sequence number."""
        if sequence in self.requests.times:
            self.requested_at[sender] = self.requests.times[sequence]

    def is_majority(self, now: float) -> bool:
        """Returns whether a majority, this process included, recently gave this process its pre-vote."""
        recent = sum(at > now - LEASE_DURATION / 2 for at in self.requested_at.values())
        return 1 + recent >= self.majority

    def clear(self) -> None:
        """Drops all pre-votes. They do not count for another candidacy."""
        self.requested_at.clear()


class Candidacy:
    """This process's candidacy, and its leadership while a majority supports it."""

    def __init__(self, majority: int) -> None:
        self.majority = majority
        self.is_active = False  # as a candidate or leader
        self.term = 0
        self.has_led = False  # since it became a candidate
        self.leader_since: float | None = None  # start of its uninterrupted leadership
        self.ends_at = 0.0  # when an unsuccessful candidacy ends
        self.heartbeats = SentHeartbeats()
        self.supporters: dict[int, float] = {}  # by member, when its support expires

    def begin(self, term: int, ends_at: float) -> None:
        """Starts a candidacy."""
        self.is_active = True
        self.has_led = False
        self.term = term
        self.leader_since = None
        self.ends_at = ends_at

    def withdraw(self) -> None:
        """Ends the candidacy and drops all support, including any in messages that arrive late."""
        self.is_active = False
        self.leader_since = None
        self.supporters.clear()
        self.heartbeats.clear()

    def has_failed(self, now: float) -> bool:
        """Returns whether to step down: the majority is lost, or was not reached in time."""
        return self.is_active and not self.is_leader(now) and (self.has_led or now >= self.ends_at)

    def support_expiry(self) -> float:
        """Returns when the support of a majority ends."""
        expiries = sorted(self.supporters.values(), reverse=True)
        return expiries[self.majority - 1] if len(expiries) >= self.majority else NEVER

    def is_leader(self, now: float) -> bool:
        """Returns whether this process leads. Late support does not restore a leadership that has expired."""
        if self.is_active and now < self.support_expiry():
            return self.leader_since is not None
        self.leader_since = None
        return False

    def sent_in_current_term(self, sequence: int) -> bool:
        """Returns whether a heartbeat was sent during the current uninterrupted leadership."""
        sent_at = self.heartbeats.times.get(sequence, NEVER)
        return self.leader_since is not None and sent_at >= self.leader_since

    def add_support(self, now: float, sender: int, sequence: int) -> bool:
        """Records support by a member that refers to a heartbeat. Returns whether that heartbeat is known.

        The support runs from when the heartbeat was sent. Counted from now, it would outlast the promise.
        """
        if not self.is_active or sequence not in self.heartbeats.times:
            return False
        if now >= self.support_expiry():
            self.leader_since = None
        expires_at = self.heartbeats.times[sequence] + LEASE_DURATION * HOLDER_CLOCK_FACTOR
        self.supporters[sender] = max(expires_at, self.supporters.get(sender, expires_at))
        return True

    def become_leader_if_supported(self, now: float, lowest_term: int) -> None:
        """Becomes the leader if a majority supports this process.

        With a lower term than the last leader's, an older agreement would replace a newer one.
        """
        if self.leader_since is None and now < self.support_expiry():
            self.leader_since = now
            self.term = max(self.term, lowest_term)
            self.has_led = True
