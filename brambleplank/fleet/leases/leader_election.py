"""Which process leads, and so lends: one at a time, by promises of a majority that run out.

A candidate sends heartbeats. Each member promises to follow one process at a time, for a lease from when it
heard the heartbeat that it names; the candidate counts the promise from when it sent that heartbeat, which
was earlier. So no two ever lead at once, however late, lost or repeated messages are and wherever the fleet
is cut, as long as the rates of two clocks differ by `MAX_CLOCK_DRIFT` at most. A process that starts anew
promises nothing for a lease, as it may have promised before. (Gray and Cheriton's leases; the promise of a
term as in Raft, without a log.)

Three rules keep the time without a leader short; `docs/design/fleet.md` gives the bound, as measured:

- *Pre-vote* (Ongaro's thesis, 9.6): a process becomes a candidate only once a majority has answered that each
  would follow it now. The question binds nobody, so one that hears nobody, or asks early, holds up nobody.
- *Step down*: a leader without its majority, and a candidate that fails, forgets its supporters before it
  sends anything else. Its next heartbeats say so, and free its followers from a promise without use.
- *Randomised time-outs* before each question, and for each candidacy.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from brambleplank.fleet.leases.candidacy import Candidacy, PreVotes
from brambleplank.fleet.leases.timing import GRANTER_CLOCK_FACTOR, HEARTBEAT_INTERVAL, LEASE_DURATION
from brambleplank.fleet.messages import Heartbeat

MAX_TERM_STEP = 1_000_000  # terms that one message may be ahead
RELEASE_HEARTBEATS = 3  # heartbeats by which one that stepped down tells its followers
MIN_CANDIDACY = 2.5 * HEARTBEAT_INTERVAL  # seconds that a candidacy without success lasts


@dataclass(frozen=True)
class DueHeartbeat:
    """A heartbeat that is to be sent now. Where its sender is no candidate, it asks for pre-votes."""

    term: int
    sequence: int
    is_candidate: bool  # or leader


@dataclass(frozen=True)
class FollowedLeader:
    """The leader or candidate that this process follows; it may be this process itself."""

    number: int | None = None  # None: nobody
    incarnation: int = 0
    heartbeat: int = 0  # sequence of the newest heartbeat received from it
    is_elected: bool = False  # whether it leads, as it says

    def is_incarnation(self, sender: int, incarnation: int) -> bool:
        """Returns whether it is that start of that member."""
        return (sender, incarnation) == (self.number, self.incarnation)


class HeartbeatSchedule:
    """When this process sends its next heartbeat, and which one."""

    def __init__(self, now: float) -> None:
        self.sequence = 0  # of the newest heartbeat
        self.due_at = now
        self.releases = 0  # heartbeats that are still to tell that this process stepped down

    def expedite(self, now: float, releases: int) -> None:
        """Makes the next heartbeat due at once, and so many of the next ones release followers."""
        self.due_at = now
        self.releases = releases

    def advance(self, now: float) -> int:
        """Returns the sequence number of a heartbeat that is sent now."""
        self.sequence += 1
        self.due_at = now + HEARTBEAT_INTERVAL
        return self.sequence

    def release_sent(self) -> None:
        """Notes that a heartbeat of no candidate is sent."""
        self.releases = max(0, self.releases - 1)


class LeaderElection:
    """One member's part: whom it follows, and whether it leads itself."""

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
        self.promised_until = now + LEASE_DURATION * GRANTER_CLOCK_FACTOR  # nobody else is followed before
        self.newest_heartbeats: dict[int, tuple[int, int]] = {}  # incarnation and sequence, by member
        self.newest_term = 0  # that any member reported
        # Members whose pre-vote request put off this process's own, since it last followed one.
        self.deferred_to: set[int] = set()
        self.election_at = self.election_timeout(now)

    @property
    def leader(self) -> int | None:
        """The member that is followed, or this one."""
        return self.followed.number

    def election_timeout(self, now: float) -> float:
        """When to ask for pre-votes. Lower numbers ask first, or several would become candidates at once."""
        position = 1 / 4 + 2 * self.number / self.members
        wait = HEARTBEAT_INTERVAL * position + self.rng.uniform(0, HEARTBEAT_INTERVAL / 4)
        return max(now, self.promised_until) + wait

    def is_leader(self, now: float) -> bool:
        """Returns whether this process leads."""
        return self.candidacy.is_leader(now)

    def supports_leader(self, now: float) -> bool:
        """Returns whether this process follows another, up to a lease after its last heartbeat."""
        return self.leader not in (None, self.number) and now < self.promised_until

    # Messages received.

    def receive_heartbeat(self, now: float, sender: int, heartbeat: Heartbeat) -> bool:
        """Takes a member's heartbeat. Returns whether it is to be answered by a pre-vote."""
        self.record_term(heartbeat.term)
        received = heartbeat.incarnation, heartbeat.sequence
        if sender == self.number or self.newest_heartbeats.get(sender, (0, 0)) >= received:
            return False  # A late or repeated one would look like life.
        self.newest_heartbeats[sender] = received
        if heartbeat.requests_pre_votes:
            return self.receive_pre_vote_request(now, sender, heartbeat)
        is_rival = self.candidacy.is_active and not self.is_leader(now)
        if is_rival and (heartbeat.is_leader or sender < self.number):
            self.step_down(now)
        if not self.followed.is_incarnation(sender, heartbeat.incarnation) and now < self.promised_until:
            return False  # Followed while a promise to another holds, two could lead at once.
        self.follow(now, sender, heartbeat)
        return False

    def receive_pre_vote_request(self, now: float, sender: int, heartbeat: Heartbeat) -> bool:
        """A member that is no candidate asks who would follow it. Returns whether to answer by a pre-vote."""
        if self.followed.is_incarnation(sender, heartbeat.incarnation):
            self.release(now)
        if self.candidacy.is_active or now < self.promised_until:
            return False
        if sender not in self.deferred_to:
            # Only once for each: one that hears no answer asks for ever.
            self.deferred_to.add(sender)
            self.election_at = max(self.election_at, now + HEARTBEAT_INTERVAL)
        return True

    def release(self, now: float) -> None:
        """The leader has stepped down, and does not count on promises for earlier heartbeats."""
        self.followed = replace(self.followed, number=None, is_elected=False)
        self.promised_until = now
        self.election_at = self.election_timeout(now)

    def follow(self, now: float, sender: int, heartbeat: Heartbeat) -> None:
        """Follows the sender of a heartbeat, for a lease from now on."""
        self.candidacy.withdraw()
        self.pre_votes.clear()
        self.deferred_to.clear()
        self.followed = FollowedLeader(sender, heartbeat.incarnation, heartbeat.sequence, heartbeat.is_leader)
        # The promise names this heartbeat, however late it is sent.
        self.promised_until = now + LEASE_DURATION * GRANTER_CLOCK_FACTOR
        self.election_at = self.election_timeout(now)

    def record_term(self, term: int) -> None:
        """Notes a term. The step is bounded, or a faulty member could use up all that a message can hold."""
        if self.newest_term < term <= self.newest_term + MAX_TERM_STEP:
            self.newest_term = term

    def receive_pre_vote(self, sender: int, sequence: int) -> None:
        """A member would follow this process, in answer to one of its heartbeats."""
        if not self.candidacy.is_active:
            self.pre_votes.receive(sender, sequence)

    def receive_support(self, now: float, sender: int, sequence: int, term: int = 0) -> None:
        """A member follows this process, and names the heartbeat that it promised for."""
        if self.candidacy.add_support(now, sender, sequence):
            self.record_term(term)
            self.candidacy.become_leader_if_supported(now, self.newest_term + 1)

    # Heartbeats to be sent.

    def due_heartbeat(self, now: float) -> DueHeartbeat | None:
        """Returns a heartbeat that is to be sent now, if one is.

        Called often: it also makes this process a candidate, and has it step down.
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
        """Returns the heartbeat that is sent now."""
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
        """A majority would follow this process."""
        self.newest_term += 1
        self.followed = replace(self.followed, number=self.number, incarnation=self.incarnation)
        self.pre_votes.clear()
        self.schedule.expedite(now, releases=0)
        ends_at = now + self.rng.uniform(MIN_CANDIDACY, LEASE_DURATION)
        self.candidacy.begin(self.newest_term, ends_at)

    def step_down(self, now: float) -> None:
        """Frees the supporters. Two candidates with half of the fleet each would remain so for ever."""
        self.candidacy.withdraw()
        self.followed = replace(self.followed, number=None)
        self.promised_until = now  # it was to itself
        self.election_at = now + self.rng.uniform(HEARTBEAT_INTERVAL / 4, LEASE_DURATION / 2)
        self.schedule.expedite(now, RELEASE_HEARTBEATS)

    def reset(self, now: float, incarnation: int) -> None:
        """Starts over. Under its old incarnation this process may have promised to follow another."""
        self.candidacy.withdraw()
        self.pre_votes.clear()
        self.incarnation = incarnation
        self.followed = replace(self.followed, number=None, heartbeat=0)
        self.promised_until = now + LEASE_DURATION * GRANTER_CLOCK_FACTOR
        self.election_at = self.election_timeout(now)
