"""Leader election: at most one process leads, and so grants leases, by promises of a majority that expire.

A candidate sends heartbeats. Each member promises to follow one process at a time, for a lease duration from
when it received the heartbeat that its promise refers to; the candidate counts the promise from when it sent
that heartbeat, which was earlier. So no two processes ever lead at once, however late, lost or duplicated
messages are and however the fleet is partitioned, as long as the rates of any two clocks differ by at most
`MAX_CLOCK_DRIFT`. A process that restarts promises nothing for a lease duration, as it may have promised
before. (Gray and Cheriton's leases; the promise of a term as in Raft, without a log.)

Four rules keep the time without a leader short; `docs/design/fleet.md` gives the bound, as measured:

- *Pre-vote* (Ongaro's thesis, 9.6): a process becomes a candidate only after a majority has replied that each
  would follow it now. A pre-vote binds no one, so a process that receives nothing, or that requests pre-votes
  early, delays no one.
- *Step-down*: a leader that has lost its majority, or a candidate that fails, drops its supporters before it
  sends anything else. Its next heartbeats announce this, and release its followers from a useless promise.
- *Unanswered requests*: a process whose heartbeats arrive, but that answers no lease request, is not followed
  any further for a while. Otherwise heartbeats that somebody sends in the name of a dead leader would keep
  the members from electing another.
- *Randomised timeouts* before each request for pre-votes, and for each candidacy.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from brambleplank.fleet.leases.candidacy import Candidacy, PreVotes
from brambleplank.fleet.leases.timing import GRANTER_CLOCK_FACTOR, HEARTBEAT_INTERVAL, LEASE_DURATION
from brambleplank.fleet.messages import Heartbeat

MAX_TERM_STEP = 1_000_000  # largest increase of the newest term by one message
RELEASE_HEARTBEATS = 3  # heartbeats that announce a step-down to the followers
UNANSWERED_TIME = 2.5 * LEASE_DURATION  # seconds without an answer from the followed process
IGNORED_TIME = 2 * LEASE_DURATION  # seconds for which it is not followed then
MIN_CANDIDACY = 2.5 * HEARTBEAT_INTERVAL  # seconds that an unsuccessful candidacy lasts at least


@dataclass(frozen=True)
class DueHeartbeat:
    """A heartbeat that is to be sent now. If its sender is not a candidate, it requests pre-votes."""

    term: int
    sequence: int
    is_candidate: bool  # or leader


@dataclass(frozen=True)
class FollowedLeader:
    """The leader or candidate that this process follows; it may be this process itself."""

    number: int | None = None  # None: nobody
    incarnation: int = 0
    heartbeat: int = 0  # sequence of the newest heartbeat received from it
    is_elected: bool = False  # whether its heartbeats state that it leads

    def is_incarnation(self, member: int, incarnation: int) -> bool:
        """Returns whether this is that incarnation of that member."""
        return (member, incarnation) == (self.number, self.incarnation)


class HeartbeatSchedule:
    """The time and sequence number of this process's next heartbeat."""

    def __init__(self, now: float) -> None:
        self.sequence = 0  # of the newest heartbeat
        self.due_at = now
        self.releases = 0  # heartbeats still to be sent that announce a step-down

    def expedite(self, now: float, releases: int) -> None:
        """Makes the next heartbeat due at once; the next `releases` heartbeats release followers."""
        self.due_at = now
        self.releases = releases

    def advance(self, now: float) -> int:
        """Returns the sequence number of a heartbeat that is sent now, and schedules the next."""
        self.sequence += 1
        self.due_at = now + HEARTBEAT_INTERVAL
        return self.sequence

    def release_sent(self) -> None:
        """Records that a heartbeat is sent while this process is not a candidate."""
        self.releases = max(0, self.releases - 1)


class LeaderElection:
    """One member's part in the election: which process it follows, and whether it leads itself."""

    def __init__(self, number: int, members: int, incarnation: int, now: float, rng: Random) -> None:
        self.number = number
        self.members = members
        self.incarnation = incarnation
        self.rng = rng
        majority = members // 2 + 1
        self.candidacy = Candidacy(majority)
        self.pre_votes = PreVotes(majority)
        self.schedule = HeartbeatSchedule(now)
        self.followed = FollowedLeader()
        self.followed_since = now  # when this process began to follow that member
        self.ignored_until: dict[int, float] = {}  # by member; it is not followed before
        self.promised_until = now + LEASE_DURATION * GRANTER_CLOCK_FACTOR  # follows no other before
        self.newest_heartbeats: dict[int, tuple[int, int]] = {}  # incarnation and sequence, by member
        self.newest_term = 0  # that any member reported
        # Members whose pre-vote requests have delayed this process's own since it last followed a member.
        self.deferred_to: set[int] = set()
        self.election_at = self.election_timeout(now)

    @property
    def leader(self) -> int | None:
        """The number of the followed process, which may be this one."""
        return self.followed.number

    def election_timeout(self, now: float) -> float:
        """Returns when to request pre-votes. Lower numbers go first, which avoids rival candidates."""
        position = 1 / 4 + 2 * self.number / self.members
        wait = HEARTBEAT_INTERVAL * position + self.rng.uniform(0, HEARTBEAT_INTERVAL / 4)
        return max(now, self.promised_until) + wait

    def is_leader(self, now: float) -> bool:
        """Returns whether this process leads."""
        return self.candidacy.is_leader(now)

    def supports_leader(self, now: float) -> bool:
        """Returns whether this process follows another, and its promise to it still holds."""
        return self.leader not in (None, self.number) and now < self.promised_until

    # Messages received.

    def receive_heartbeat(self, now: float, sender: int, heartbeat: Heartbeat) -> bool:
        """Handles a member's heartbeat. Returns whether to reply with a pre-vote."""
        self.record_term(heartbeat.term)
        received = heartbeat.incarnation, heartbeat.sequence
        if sender == self.number or self.newest_heartbeats.get(sender, (0, 0)) >= received:
            return False  # A late or duplicate heartbeat is no sign that its sender is alive.
        self.newest_heartbeats[sender] = received
        if heartbeat.requests_pre_votes:
            return self.receive_pre_vote_request(now, sender, heartbeat)
        if now < self.ignored_until.get(sender, now):
            return False
        is_rival = self.candidacy.is_active and not self.is_leader(now)
        if is_rival and (heartbeat.is_leader or sender < self.number):
            self.step_down(now)
        if not self.followed.is_incarnation(sender, heartbeat.incarnation) and now < self.promised_until:
            return False  # While a promise to another holds, two could lead at once.
        self.follow(now, sender, heartbeat)
        return False

    def receive_pre_vote_request(self, now: float, sender: int, heartbeat: Heartbeat) -> bool:
        """Handles a request for pre-votes by a member. Returns whether to reply with a pre-vote."""
        if self.followed.is_incarnation(sender, heartbeat.incarnation):
            self.release(now)
        if self.candidacy.is_active or now < self.promised_until:
            return False
        if sender not in self.deferred_to:
            # Only once for each member: one that receives no replies repeats its request indefinitely.
            self.deferred_to.add(sender)
            self.election_at = max(self.election_at, now + HEARTBEAT_INTERVAL)
        return True

    def release(self, now: float) -> None:
        """Ends the promise to the followed process, which has stepped down and no longer relies on it."""
        self.followed = replace(self.followed, number=None, is_elected=False)
        self.promised_until = now
        self.election_at = self.election_timeout(now)

    def follow(self, now: float, sender: int, heartbeat: Heartbeat) -> None:
        """Follows the sender of a heartbeat, for a lease duration from now."""
        self.candidacy.withdraw()
        self.pre_votes.clear()
        self.deferred_to.clear()
        if sender != self.leader:
            self.followed_since = now
        self.followed = FollowedLeader(sender, heartbeat.incarnation, heartbeat.sequence, heartbeat.is_leader)
        # However late the promise is sent, it refers to this heartbeat.
        self.promised_until = now + LEASE_DURATION * GRANTER_CLOCK_FACTOR
        self.election_at = self.election_timeout(now)

    def stop_following_if_unanswered(self, now: float, answered_at: float) -> bool:
        """Ignores the followed process for a while if it answers no requests; returns whether it begins now.

        `answered_at` is when a followed process last answered a lease request. The promise to it still holds.
        """
        leader = self.leader
        if leader is None or not self.supports_leader(now) or now < self.ignored_until.get(leader, now):
            return False
        if now < max(answered_at, self.followed_since) + UNANSWERED_TIME:
            return False
        self.ignored_until[leader] = now + IGNORED_TIME
        return True

    def record_term(self, term: int) -> None:
        """Records a term. The increase is bounded, as a faulty member could exhaust the range in messages."""
        if self.newest_term < term <= self.newest_term + MAX_TERM_STEP:
            self.newest_term = term

    def receive_pre_vote(self, sender: int, sequence: int) -> None:
        """Records a member's pre-vote, in reply to a heartbeat of this process."""
        if not self.candidacy.is_active:
            self.pre_votes.receive(sender, sequence)

    def receive_support(self, now: float, sender: int, sequence: int, term: int = 0) -> None:
        """Records the support of a member that refers to a heartbeat of this process."""
        if self.candidacy.add_support(now, sender, sequence):
            self.record_term(term)
            self.candidacy.become_leader_if_supported(now, self.newest_term + 1)

    # Heartbeats to be sent.

    def due_heartbeat(self, now: float) -> DueHeartbeat | None:
        """Returns the heartbeat that is to be sent now, if any.

        Called at each tick: it also makes this process a candidate, and makes it step down.
        """
        if self.candidacy.has_failed(now):
            self.step_down(now)
        wants_pre_votes = not self.candidacy.is_active and now >= max(self.election_at, self.promised_until)
        if wants_pre_votes and self.pre_votes.is_majority(now):
            self.become_candidate(now)
        if now < self.schedule.due_at:
            return None
        if not (wants_pre_votes or self.candidacy.is_active or self.schedule.releases):
            return None
        return self.next_heartbeat(now)

    def next_heartbeat(self, now: float) -> DueHeartbeat:
        """Returns a heartbeat that is sent now."""
        sequence = self.schedule.advance(now)
        if not self.candidacy.is_active:
            self.schedule.release_sent()
            self.pre_votes.requests.record(sequence, now)
            return DueHeartbeat(self.newest_term, sequence, False)
        self.candidacy.heartbeats.record(sequence, now)
        self.promised_until = now + LEASE_DURATION * GRANTER_CLOCK_FACTOR
        self.receive_support(now, self.number, sequence)
        return DueHeartbeat(self.candidacy.term, sequence, True)

    def become_candidate(self, now: float) -> None:
        """Becomes a candidate, after a majority gave this process its pre-votes."""
        self.newest_term += 1
        self.followed = replace(self.followed, number=self.number, incarnation=self.incarnation)
        self.pre_votes.clear()
        self.schedule.expedite(now, releases=0)
        ends_at = now + self.rng.uniform(MIN_CANDIDACY, LEASE_DURATION)
        self.candidacy.begin(self.newest_term, ends_at)

    def step_down(self, now: float) -> None:
        """Steps down and releases the supporters.

        Otherwise, two candidates with half of the votes each could block each other indefinitely.
        """
        self.candidacy.withdraw()
        self.followed = replace(self.followed, number=None)
        self.promised_until = now  # the promise was to this process itself
        self.election_at = now + self.rng.uniform(HEARTBEAT_INTERVAL / 4, LEASE_DURATION / 2)
        self.schedule.expedite(now, RELEASE_HEARTBEATS)

    def reset(self, now: float, incarnation: int) -> None:
        """Restarts under a new incarnation. The earlier one may have promised to follow another process."""
        self.candidacy.withdraw()
        self.pre_votes.clear()
        self.incarnation = incarnation
        self.followed = replace(self.followed, number=None, heartbeat=0)
        self.promised_until = now + LEASE_DURATION * GRANTER_CLOCK_FACTOR
        self.election_at = self.election_timeout(now)
