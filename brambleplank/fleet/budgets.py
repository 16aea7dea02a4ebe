"""Budgets that hold over the whole fleet whoever hears whom: a rate in any window, or a count that stands.

Of each budget a small part is everyone's by right: the reserves. The rest is lent by who is in office. A loan
counts at the borrower from when it asked, at the lender from when it answered, which is later; so whatever
the lender holds to be out covers what is used. Each asking says the most that the borrower can still use, and
binds it to that, so what it does not need is free at once; if it falls silent, a rate stays out for its lease
and a window more, a count until its connections are known to be gone. (O'Neil's escrow method, with Gray and
Cheriton's leases.)

Invariant, over all processes, in true time: no window, or no instant, holds more than the budget.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass
from functools import cached_property
from math import ceil, inf

from brambleplank.fleet.errors import BrokenError
from brambleplank.fleet.leader_election import LEASE, LONGER, RATE, SHORTER, TELL

STEPS = 512  # parts of a window in which spending is remembered
HEADROOM = 1 / 4  # over what was asked for lately, so that a rise finds room
SPARE = 1 / 4  # of what nobody wants, lent out evenly
CONNECTIONS_GO = 7.0  # seconds after a process's end by which its connections are known to be gone


@dataclass(frozen=True)
class Budget:
    """What is limited over the fleet."""

    name: str
    limit: int  # units in any window, or at any instant
    window: float  # seconds; 0: a count that stands
    members: int
    reserves: float = 0.03  # the share that is everyone's by right, together

    @cached_property
    def tag(self) -> int:
        """How processes name it; one that is told otherwise has another name, and is lent apart."""
        text = f"{self.name} {self.limit} {self.window} {self.members} {self.reserves}"
        return zlib.crc32(text.encode())

    @cached_property
    def kept(self) -> int:
        """Units in all reserves together."""
        return int(self.limit * self.reserves)

    @property
    def lendable(self) -> int:
        return self.limit - self.kept

    @property
    def memory(self) -> float:
        """Seconds after which nothing is left of what a process did that has ended."""
        return (self.window or CONNECTIONS_GO) * LONGER

    def reserve(self, number: int) -> int:
        """What a process has by right. Where they are many, the first ones have one more than the others."""
        each, more = divmod(self.kept, self.members)
        return each + (number < more)


class Spent:
    """How much was spent within a window, in a bounded number of steps; never less than the truth."""

    def __init__(self, window: float) -> None:
        self.window, self.step = window, window / STEPS
        self.steps: deque[tuple[float, int]] = deque()  # until when each counts, and how much
        self.total = 0

    def add(self, now: float, units: int = 1) -> None:
        self.fade(now)
        self.total += units
        until = now + self.window
        if self.steps and self.steps[-1][0] > until:
            until, before = self.steps.pop()
            units += before
        else:
            until += self.step  # later units of this step go with it
        self.steps.append((until, units))

    def fade(self, now: float) -> int:
        while self.steps and self.steps[0][0] <= now:
            self.total -= self.steps.popleft()[1]
        return self.total


class Account:
    """One process's part of a budget: what it may use, and what it has used."""

    def __init__(self, budget: Budget, number: int, now: float) -> None:
        self.budget, self.reserve = budget, budget.reserve(number)
        self.begin_anew(now)

    def begin_anew(self, now: float) -> None:
        """A start. Danger: what the process before has used of the reserve is not known."""
        self.sound_at = now + self.budget.memory
        self.lent, self.lent_until = 0, -inf  # of a count a loan does not run out, as what stands does not
        self.held = 0  # of a count
        window = self.budget.window
        self.spent = Spent(window * (1 + RATE) or 1.0)
        self.refused = Spent(window or 2 * TELL)

    def by_right(self, now: float) -> int:
        return self.reserve if now >= self.sound_at else 0

    def allowance(self, now: float) -> int:
        counts = not self.budget.window or now < self.lent_until
        return (self.lent if counts else 0) + self.by_right(now)

    def used(self, now: float) -> int:
        return self.spent.fade(now) if self.budget.window else self.held

    def free(self, now: float) -> bool:
        return self.used(now) < self.allowance(now)

    def take(self, now: float) -> bool:
        """One unit, if there is one left. `now` is read for this call: a stall may lie before it."""
        if not self.free(now):
            self.refused.add(now)
            return False
        if self.budget.window:
            self.spent.add(now)
        else:
            self.held += 1
        return True

    def give_back(self) -> None:
        """One unit of a count is free again."""
        self.held -= 1
        if self.held < 0:
            raise BrokenError("more was given back than was taken", f"fleet budget {self.budget.name}")

    def binds(self, now: float) -> int:
        """Lowers what is lent here to what is in use or wanted; the most that can be out from now on.

        Whoever lends may lend the rest to others at once.
        """
        in_use = max(0, self.used(now) - self.by_right(now))
        still = self.lent if not self.budget.window or now < self.lent_until else 0
        self.lent = min(still, max(in_use, self.wants(now)))
        return max(self.lent, in_use)

    def wants(self, now: float) -> int:
        asked = self.used(now) + self.refused.fade(now)
        return max(0, ceil(asked * (1 + HEADROOM)) + 1 - self.reserve) if asked else 0

    def granted(self, asked_at: float, amount: int) -> None:
        """A loan, from when it was asked for. Danger: a confused lender could lend more than there is."""
        self.lent, self.lent_until = min(amount, self.budget.lendable), asked_at + LEASE * SHORTER

    def fall_back(self) -> None:
        """To the reserve alone, for want of trust in the rest."""
        self.lent = 0


Borrower = tuple[int, int]  # number and incarnation


@dataclass
class Claim:
    """What one borrower may have out of one budget: so much, until then."""

    amount: int = 0
    until: float = inf
    wants: int = 0
    heard_at: float = -inf

    def out(self, now: float) -> int:
        return self.amount if now < self.until else 0


class Ledger:
    """What who is in office holds to be out of one budget."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.claims: dict[Borrower, Claim] = {}
        self.unknown_until = inf  # before that, others may have lent what is not in these claims
        self.reported: set[int] = set()  # members that have said all they have, since it is in office
        self.level, self.level_at = inf, -inf  # the most that anyone gets, where all together want too much
        self.spare = 0  # that each gets beside what it wants

    def open(self, now: float) -> None:
        """In office from now on. Danger: what the one before lent is not known here."""
        self.unknown_until = self.ends(now)
        self.reported.clear()

    def ends(self, now: float) -> float:
        """Until when what is lent now may be in use: over its lease, and a window more."""
        window = self.budget.window
        return now + (LEASE + window) * LONGER if window else inf

    def out(self, now: float) -> int:
        """Units that may be in use of what is lent."""
        return sum(claim.out(now) for claim in self.claims.values())

    def asked(
        self, now: float, who: Borrower, age: float, has: int, wants: int, older: list[Borrower]
    ) -> int:
        """What the borrower may use, counted from its asking. `older`: earlier starts of its process.

        `has` is exact: what the borrower has can rise by the answer to this asking alone.
        """
        budget, has = self.budget, min(has, self.budget.lendable)
        claim = self.claims.setdefault(who, Claim())
        claim.amount, claim.until, claim.wants, claim.heard_at = has, self.ends(now), wants, now
        for before in older:
            if before in self.claims and not budget.window:
                gone = now + max(0.0, CONNECTIONS_GO * LONGER - age)
                self.claims[before].until = min(self.claims[before].until, gone)
        if age >= budget.memory:
            self.reported.add(who[0])
            if len(self.reported) == budget.members:
                self.unknown_until = min(self.unknown_until, now)
        # Danger: lent by who does not know all that is out, more than the budget would be.
        known = now >= self.unknown_until
        most = has + max(0, budget.lendable - self.out(now)) if known else has
        amount = min(most, min(wants, self.fair(now)) + self.spare)
        claim.amount = max(has, amount)
        if amount > has and self.out(now) > budget.lendable:
            wrong = f"{self.out(now)} units would be out of {budget.lendable}"
            raise BrokenError(wrong, f"fleet budget {budget.name}")
        return amount

    def fair(self, now: float) -> int:
        """The most that anyone gets, so that all together want no more than there is: those that want little
        get it, the others alike."""
        if now >= self.level_at + TELL / 4:
            self.level_at = now
            self.forget(now)
            wants = sorted(c.wants for c in self.claims.values() if now < c.heard_at + LEASE)
            left, self.level = self.budget.lendable, inf
            # Danger: where nothing is wanted yet, the first flow for a while would find nothing lent.
            self.spare = int(max(0, left - sum(wants)) * SPARE) // self.budget.members
            if sum(wants) > left:
                for n, want in enumerate(wants):
                    if want * (len(wants) - n) > left:
                        self.level = left // (len(wants) - n)
                        break
                    left -= want
        return int(min(self.level, self.budget.lendable))

    def forget(self, now: float) -> None:
        over = [
            who for who, claim in self.claims.items() if now >= claim.heard_at + LEASE and not claim.out(now)
        ]
        for who in over:
            del self.claims[who]
