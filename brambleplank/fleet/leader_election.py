"""Which process leads, and so lends: one at a time, by promises of a majority that run out.

A candidate sends heartbeats. Each member promises to follow one process at a time, for a lease from when it
heard the heartbeat that it names; the candidate counts the promise from when it sent that heartbeat, which
was earlier. So no two ever lead at once, however late, lost or repeated messages are and wherever the fleet
is cut, as long as clocks run alike to `RATE`. A process that starts anew promises nothing for a lease, as it
may have promised before. (Gray and Cheriton's leases; the promise of a term as in Raft, without a log.)

Three rules keep the time without a leader short; `docs/design/fleet.md` gives the bound, as measured:

- *Pre-vote* (Ongaro's thesis, 9.6): a process becomes a candidate only once a majority has answered that each
  would follow it now. The question binds nobody, so one that hears nobody, or asks early, holds up nobody.
- *Step down*: a leader without its majority, and a candidate that fails, forgets its supporters before it
  sends anything else. Its next heartbeats say so, and free its followers from a promise without use.
- *Randomised time-outs* before each question, and for each candidacy.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from brambleplank.fleet.messages import Heartbeat

TELL = 1.0  # seconds between two beats, and between two askings
LEASE = 4.0  # seconds that a promise, or a loan, holds
RATE = 0.01  # by which clocks may differ
LONGER, SHORTER = (1 + RATE) ** 2, (1 - RATE) ** 2
KEPT_BEATS = 16
FURTHEST = 1_000_000  # terms that one word may be ahead
RELEASES = 3  # heartbeats by which one that stepped down tells its followers


@dataclass(frozen=True)
class DueBeat:
    """A heartbeat that is to be sent now. One that does not stand holds no support: it asks for pre-votes."""

    term: int
    number: int
    stands: bool


class LeaderElection:
    """One member's part: whom it follows, and whether it leads itself."""

    def __init__(self, number: int, members: int, incarnation: int, now: float, rng: Random) -> None:
        self.number, self.members, self.incarnation, self.rng = number, members, incarnation, rng
        self.majority = members // 2 + 1
        self.lender: int | None = None  # who is followed
        self.lender_incarnation = self.beat = 0
        self.serves = False  # whether that one leads, as it says
        self.beat_at = now  # when it was last heard
        self.promised_until = now + LEASE * LONGER  # nobody else is followed before
        self.newest: dict[int, tuple[int, int]] = {}  # incarnation and number of each member's newest beat
        self.term = self.seen = 0  # its own, or that of whom it follows; the newest that any told
        self.pre_votes: dict[int, float] = {}  # who would follow this process, and when that was asked
        self.yielded_to: set[int] = (
            set()
        )  # whose question put off this process's own, since it followed anyone
        self.releases = 0  # heartbeats that are still to tell that this process stepped down
        self.stands = False  # as candidate or leader
        self.led = False  # it has led since it stands
        self.give_up_at = 0.0  # when a candidacy without success ends
        self.number_of_beat = 0
        self.beat_due_at = now
        self.asked: dict[int, float] = {}  # this process's own beats that asked for pre-votes, and when
        self.sent: dict[int, float] = {}  # its own beats while it stands, and when
        self.supports: dict[int, float] = {}  # who follows it, and until when
        self.since: float | None = None  # it leads without a gap
        self.stand_at = self.election_timeout(now)

    def election_timeout(self, now: float) -> float:
        """When to ask for pre-votes. Lower numbers first: asking all at once, more than one would stand."""
        turn = TELL * (1 / 4 + 2 * self.number / self.members) + self.rng.uniform(0, TELL / 4)
        return max(now, self.promised_until) + turn

    def expires(self) -> float:
        """When the majority's support ends, as it stands."""
        held = sorted(self.supports.values(), reverse=True)
        return held[self.majority - 1] if len(held) >= self.majority else float("-inf")

    def in_office(self, now: float) -> bool:
        """Whether this process leads."""
        if self.stands and now < self.expires():
            return self.since is not None
        self.since = None
        return False

    def fresh(self, beat: int) -> bool:
        """Whether who names this beat spoke since this process has led without a gap."""
        return self.since is not None and self.sent.get(beat, float("-inf")) >= self.since

    # What this process hears.

    def heard_beat(self, now: float, who: int, beat: Heartbeat) -> bool:
        """Whether it is to be answered by a pre-vote."""
        self.see(beat.term)
        if who == self.number or self.newest.get(who, (0, 0)) >= (beat.incarnation, beat.number):
            return False  # late or repeated; it would look like life
        self.newest[who] = beat.incarnation, beat.number
        if beat.asks_pre_votes:
            return self.heard_question(now, who, beat)
        if self.stands and not self.in_office(now) and (beat.serves or who < self.number):
            self.step_down(now)
        same = (who, beat.incarnation) == (self.lender, self.lender_incarnation)
        if not same and now < self.promised_until:
            return False  # Followed while a promise to another holds, two could lead at once.
        self.follow(now, who, beat)
        return False

    def heard_question(self, now: float, who: int, beat: Heartbeat) -> bool:
        """One that stands no longer, or not yet, asks who would follow it."""
        if (who, beat.incarnation) == (self.lender, self.lender_incarnation):
            self.release(now)
        if self.stands or now < self.promised_until:
            return False
        if who not in self.yielded_to:
            # Only once for each: one that hears no answer asks for ever.
            self.yielded_to.add(who)
            self.stand_at = max(self.stand_at, now + TELL)
        return True

    def release(self, now: float) -> None:
        """Its leader has stepped down, and forgot what this process promised for earlier heartbeats."""
        self.lender = None
        self.serves = False
        self.promised_until = now
        self.stand_at = self.election_timeout(now)

    def follow(self, now: float, who: int, beat: Heartbeat) -> None:
        self.withdraw()
        self.pre_votes.clear()
        self.yielded_to.clear()
        self.lender, self.lender_incarnation, self.beat = who, beat.incarnation, beat.number
        self.serves, self.beat_at = beat.serves, now
        self.promised_until = now + LEASE * LONGER  # its promise names this heartbeat, however late it goes
        self.stand_at = self.election_timeout(now)

    def see(self, term: int) -> None:
        """Danger: one that lies of terms would bring all to the end of what a word can say."""
        if self.seen < term <= self.seen + FURTHEST:
            self.seen = term

    def promise(self, now: float) -> bool:
        """Whether this process follows its leader, up to the end of the lease from its last heartbeat."""
        return self.lender not in (None, self.number) and now < self.promised_until

    def pre_voted(self, now: float, who: int, beat: int) -> None:
        """Who would follow this process, in answer to one of its heartbeats."""
        if not self.stands and beat in self.asked:
            self.pre_votes[who] = self.asked[beat]

    def supported(self, now: float, who: int, beat: int, term: int = 0) -> None:
        """Who follows this process, and which beat it names.

        Danger: counted from now, it would last too long.
        """
        if not self.stands or beat not in self.sent:
            return
        if now >= self.expires():
            self.since = None
        until = self.sent[beat] + LEASE * SHORTER
        self.supports[who] = max(until, self.supports.get(who, until))
        self.see(term)
        if self.since is None and now < self.expires():
            # Danger: a lower term than that of the one before would let an older agreement go before a newer.
            self.since, self.term, self.led = now, max(self.term, self.seen + 1), True

    # What this process does by itself.

    def due_beat(self, now: float) -> DueBeat | None:
        """A heartbeat that is to be sent now, if one is. Called often; it also stands and steps down."""
        if self.stands and not self.in_office(now) and (self.led or now >= self.give_up_at):
            self.step_down(now)
        asks = not self.stands and now >= max(self.stand_at, self.promised_until)
        if asks and self.has_pre_votes(now):
            self.stand(now)
        if now < self.beat_due_at or not (asks or self.stands or self.releases):
            return None
        return self.next_beat(now)

    def next_beat(self, now: float) -> DueBeat:
        self.number_of_beat += 1
        self.beat_due_at = now + TELL
        if not self.stands:
            self.releases = max(0, self.releases - 1)
            self.remember(self.asked, now)
            return DueBeat(self.seen, self.number_of_beat, False)
        self.remember(self.sent, now)
        self.promised_until = now + LEASE * LONGER
        self.supported(now, self.number, self.number_of_beat)
        return DueBeat(self.term, self.number_of_beat, True)

    def remember(self, beats: dict[int, float], now: float) -> None:
        beats[self.number_of_beat] = now
        while len(beats) > KEPT_BEATS:
            del beats[next(iter(beats))]

    def has_pre_votes(self, now: float) -> bool:
        lately = sum(at > now - LEASE / 2 for at in self.pre_votes.values())
        return 1 + lately >= self.majority

    def stand(self, now: float) -> None:
        """A majority would follow this process. What it heard before is of no use for the next candidacy."""
        self.seen += 1
        self.stands, self.led, self.term, self.since = True, False, self.seen, None
        self.lender, self.lender_incarnation = self.number, self.incarnation
        self.pre_votes.clear()
        self.releases = 0
        self.beat_due_at = now
        self.give_up_at = now + self.rng.uniform(2.5 * TELL, LEASE)

    def step_down(self, now: float) -> None:
        """Two that stand against each other, each with half of the fleet, would do so for ever."""
        self.withdraw()
        self.lender = None
        self.promised_until = now  # it was to itself
        self.stand_at = now + self.rng.uniform(TELL / 4, LEASE / 2)
        self.releases = RELEASES
        self.beat_due_at = now

    def withdraw(self) -> None:
        """Nobody is counted upon as a supporter from here on, whatever arrives late."""
        self.stands, self.since = False, None
        self.supports.clear()
        self.sent.clear()

    def begin_anew(self, now: float, incarnation: int) -> None:
        """As a start: it may have promised before under its old incarnation."""
        self.withdraw()
        self.pre_votes.clear()
        self.incarnation, self.lender, self.beat = incarnation, None, 0
        self.promised_until = now + LEASE * LONGER
        self.stand_at = self.election_timeout(now)
