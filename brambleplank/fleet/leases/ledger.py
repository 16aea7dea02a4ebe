"""The leader's record of what it has leased of one budget, and how it shares the budget out."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from brambleplank.fleet.errors import InvariantError
from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.leases.timing import GRANTER_CLOCK_FACTOR, HEARTBEAT_INTERVAL, LEASE_DURATION

SPARE_SHARE = 1 / 4  # of what no member wants, leased out evenly
SHARE_LIFETIME = HEARTBEAT_INTERVAL / 4  # seconds until the fair share is computed again


class Borrower(NamedTuple):
    """One start of a member."""

    number: int
    incarnation: int


class Renewal(NamedTuple):
    """What a borrower states of one budget in a lease request."""

    held: int  # units that it has; exact, as they can rise only by the answer to this request
    wanted: int  # units


@dataclass
class Claim:
    """What one borrower may have in use of one budget, and until when."""

    amount: int = 0
    expires_at: float = inf
    wanted: int = 0
    received_at: float = -inf

    def outstanding(self, now: float) -> int:
        """Returns the units that may be in use."""
        return self.amount if now < self.expires_at else 0


class Ledger:
    """The leader's record of what is outstanding of one budget."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.claims: dict[Borrower, Claim] = {}
        self.unknown_until = inf  # until then, earlier leaders may have granted what is not in these claims
        self.reported: set[int] = set()  # members that have stated all they have to this leader
        self.max_share = inf  # the most that any member gets while they want too much
        self.max_share_at = -inf  # when it was computed
        self.spare = 0  # units for each member beside what it wants

    def begin_term(self, now: float) -> None:
        """This process leads from now on. What the leader before has granted is not known here."""
        self.unknown_until = self.lease_end(now)
        self.reported.clear()

    def lease_end(self, now: float) -> float:
        """Until when what is granted now may be in use: the lease, and a window more."""
        window = self.budget.window
        return now + (LEASE_DURATION + window) * GRANTER_CLOCK_FACTOR if window else inf

    def outstanding(self, now: float) -> int:
        """Returns the units that may be in use of what was granted."""
        return sum(claim.outstanding(now) for claim in self.claims.values())

    def renew(
        self, now: float, borrower: Borrower, age: float, renewal: Renewal, earlier: Sequence[Borrower]
    ) -> int:
        """Returns the units that the borrower may use, counted from its request.

        `age` is in seconds since the borrower started, `earlier` are starts of the same member before it.
        Raises InvariantError if more would be outstanding than there is.
        """
        budget = self.budget
        held = min(renewal.held, budget.leasable)
        claim = self.claims.setdefault(borrower, Claim())
        claim.amount = held
        claim.expires_at = self.lease_end(now)
        claim.wanted = renewal.wanted
        claim.received_at = now
        self.expire_earlier(now, age, earlier)
        self.record_complete_report(now, borrower, age)
        amount = min(self.max_grant(now, held), min(renewal.wanted, self.fair_share(now)) + self.spare)
        claim.amount = max(held, amount)
        if amount > held and self.outstanding(now) > budget.leasable:
            problem = f"{self.outstanding(now)} units would be out of {budget.leasable}"
            raise InvariantError(problem, f"fleet budget {budget.name}")
        return amount

    def expire_earlier(self, now: float, age: float, earlier: Sequence[Borrower]) -> None:
        """Lets open units of earlier starts expire once their connections are known to be gone."""
        if self.budget.window:
            return
        for borrower in earlier:
            if borrower in self.claims:
                closed_at = now + max(0.0, self.budget.usage_expiry - age)
                self.claims[borrower].expires_at = min(self.claims[borrower].expires_at, closed_at)

    def record_complete_report(self, now: float, borrower: Borrower, age: float) -> None:
        """Notes who has stated all it has. Once all members have, nothing unknown is outstanding."""
        if age < self.budget.usage_expiry:
            return
        self.reported.add(borrower.number)
        if len(self.reported) == self.budget.members:
            self.unknown_until = min(self.unknown_until, now)

    def max_grant(self, now: float, held: int) -> int:
        """Returns the most that a borrower can have which holds so many units."""
        if now < self.unknown_until:
            # Granted before all that is outstanding is known, more could exceed the budget.
            return held
        return held + max(0, self.budget.leasable - self.outstanding(now))

    def fair_share(self, now: float) -> int:
        """Returns the most that any member gets (max-min fairness): small wants are met, the rest is even."""
        if now >= self.max_share_at + SHARE_LIFETIME:
            self.max_share_at = now
            self.forget_expired(now)
            self.compute_shares(now)
        return int(min(self.max_share, self.budget.leasable))

    def compute_shares(self, now: float) -> None:
        """Computes the largest share and the spare units from what borrowers wanted lately."""
        wanted = sorted(
            claim.wanted for claim in self.claims.values() if now < claim.received_at + LEASE_DURATION
        )
        units_left = self.budget.leasable
        self.max_share = inf
        # Without spare units, the first request after an idle time would find nothing leased.
        self.spare = int(max(0, units_left - sum(wanted)) * SPARE_SHARE) // self.budget.members
        if sum(wanted) <= units_left:
            return
        for n, units in enumerate(wanted):
            borrowers_left = len(wanted) - n
            if units * borrowers_left > units_left:
                self.max_share = units_left // borrowers_left
                return
            units_left -= units

    def forget_expired(self, now: float) -> None:
        """Drops the claims of borrowers that are silent and hold nothing."""
        expired = [
            borrower
            for borrower, claim in self.claims.items()
            if now >= claim.received_at + LEASE_DURATION and not claim.outstanding(now)
        ]
        for borrower in expired:
            del self.claims[borrower]
