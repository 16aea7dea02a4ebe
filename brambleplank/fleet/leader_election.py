"""Who lends: one process at a time, by promises of a majority that run out.

A process that stands for the office sends beats. Each member promises to follow one at a time, for a lease
from when it says so; the one that stands counts the promise from when it sent the beat that is named, which
was earlier. So no two are ever in office at once, however late, lost or repeated words are and wherever the
fleet is cut, as long as clocks run alike to `RATE`. A process that starts anew promises nothing for a lease,
as it may have promised before. (Gray and Cheriton's leases; the promise of a term as in Raft, without a log.)
"""

from __future__ import annotations

from random import Random

from brambleplank.fleet.messages import Heartbeat

TELL = 1.0  # seconds between two beats, and between two askings
LEASE = 4.0  # seconds that a promise, or a loan, holds
RATE = 0.01  # by which clocks may differ
LONGER, SHORTER = (1 + RATE) ** 2, (1 - RATE) ** 2
KEPT_BEATS = 16
FURTHEST = 1_000_000  # terms that one word may be ahead


class LeaderElection:
    """One member's part: whom it follows, and whether it is in office itself."""

    def __init__(self, number: int, members: int, incarnation: int, now: float, rng: Random) -> None:
        self.number, self.members, self.incarnation, self.rng = number, members, incarnation, rng
        self.majority = members // 2 + 1
        self.lender: int | None = None  # who is followed
        self.lender_incarnation = self.beat = 0
        self.serves = False  # whether that one is in office, as it says
        self.beat_at = now  # when it was last heard
        self.promised_until = now + LEASE * LONGER  # nobody else is followed before
        self.term = self.seen = 0  # its own, or that of whom it follows; the newest that any told
        self.barren: dict[int, float] = {}  # who stands without coming into office, and since when
        self.stands = False
        self.stood_at = 0.0
        self.number_of_beat = 0
        self.sent: dict[int, float] = {}  # this process's own beats, and when
        self.supports: dict[int, float] = {}  # who follows it, and until when
        self.since: float | None = None  # in office without a gap
        self.stand_at = self.turn_to_stand(now)

    def turn_to_stand(self, now: float) -> float:
        """Lower numbers first. Danger: standing all at once, none finds a majority that is free."""
        turn = TELL * (1 / 4 + 2 * self.number / self.members) + self.rng.uniform(0, TELL / 4)
        return max(now + LEASE / 2, self.promised_until) + turn

    def expires(self) -> float:
        """When the majority's support ends, as it stands."""
        held = sorted(self.supports.values(), reverse=True)
        return held[self.majority - 1] if len(held) >= self.majority else float("-inf")

    def in_office(self, now: float) -> bool:
        if self.stands and now < self.expires():
            return self.since is not None
        self.since = None
        return False

    def fresh(self, beat: int) -> bool:
        """Whether who names this beat spoke since this process has been in office without a gap."""
        return self.since is not None and self.sent.get(beat, float("-inf")) >= self.since

    def heard_beat(self, now: float, who: int, beat: Heartbeat) -> None:
        self.see(beat.term)
        if who == self.number:
            return
        same = (who, beat.incarnation) == (self.lender, self.lender_incarnation)
        if beat.serves:
            self.barren.pop(who, None)
        else:
            # Danger: one that is heard and hears nobody would be followed for ever, and serve never.
            since = self.barren.setdefault(who, now)
            if now >= since + 4 * LEASE:
                since = self.barren[who] = now
            if now >= since + LEASE:
                return
        if self.stands and not self.in_office(now) and (beat.serves or who < self.number):
            self.give_way()
        if not self.stands:
            self.stand_at = max(self.stand_at, self.turn_to_stand(now))  # somebody does already
        if not same and now < self.promised_until:
            return  # Danger: followed while a promise to another holds, two could be in office.
        if same and beat.number <= self.beat:
            return  # late or repeated; it would look like life
        self.withdraw()
        self.lender, self.lender_incarnation, self.beat = who, beat.incarnation, beat.number
        self.serves, self.beat_at = beat.serves, now
        self.stand_at = self.turn_to_stand(now)

    def see(self, term: int) -> None:
        """Danger: one that lies of terms would bring all to the end of what a word can say."""
        if self.seen < term <= self.seen + FURTHEST:
            self.seen = term

    def give_way(self) -> None:
        """Danger: two that stand against each other, each with half of the fleet, would do so for ever."""
        self.withdraw()
        self.lender = None
        self.stand_at = self.promised_until + self.rng.uniform(1.5 * TELL, LEASE)

    def withdraw(self) -> None:
        self.stands, self.since = False, None
        self.supports.clear()
        self.sent.clear()

    def promise(self, now: float) -> bool:
        """Whether this process says now that it follows its lender; from here on it holds to that."""
        if self.lender in (None, self.number) or now >= self.beat_at + 1.5 * TELL:
            return False
        self.promised_until = now + LEASE * LONGER
        return True

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
            self.since, self.term = now, max(self.term, self.seen + 1)

    def due_beat(self, now: float) -> tuple[int, int] | None:
        """Term and number of a beat that is to be sent now, if one is.

        Called often; it also stands and withdraws.
        """
        if self.stands and not self.in_office(now) and now >= self.stood_at + LEASE:
            self.give_way()
        if not self.stands and now >= max(self.stand_at, self.promised_until):
            self.seen += 1
            self.stands, self.stood_at, self.term = True, now, self.seen
            self.lender, self.lender_incarnation, self.since = self.number, self.incarnation, None
        if not self.stands:
            return None
        last = self.sent.get(self.number_of_beat)
        if last is not None and now < last + TELL:
            return None
        if self.in_office(now):
            self.stood_at = now
        self.number_of_beat += 1
        self.sent[self.number_of_beat] = now
        while len(self.sent) > KEPT_BEATS:
            del self.sent[next(iter(self.sent))]
        self.promised_until = now + LEASE * LONGER
        self.supported(now, self.number, self.number_of_beat)
        return self.term, self.number_of_beat

    def begin_anew(self, now: float, incarnation: int) -> None:
        """As a start: it may have promised before under its old incarnation."""
        self.withdraw()
        self.incarnation, self.lender, self.beat = incarnation, None, 0
        self.promised_until = now + LEASE * LONGER
        self.stand_at = self.turn_to_stand(now)
