"""The leader's record of the units of one budget that it has leased, and their division among members."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from brambleplank.fleet.errors import InvariantError
from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.leases.timing import GRANTER_CLOCK_FACTOR, HEARTBEAT_INTERVAL, LEASE_DURATION

SPARE_SHARE = 1 / 4  # of the units that no member wants, leased evenly to all
SHARE_LIFETIME = HEARTBEAT_INTERVAL / 4  # seconds until the fair share is recomputed


class Borrower(NamedTuple):
    """One incarnation of a member."""

    number: int
    incarnation: int


class Renewal(NamedTuple):
    """What a borrower states about one budget in a lease request."""

    held: int  # units; exact, as only the reply to this request can raise them
    wanted: int  # units


@dataclass
class Claim:
    """The units of one budget that one borrower may have in use, and until when."""

    amount: int = 0
    expires_at: float = inf
    wanted: int = 0
    received_at: float = -inf

    def outstanding(self, now: float) -> int:
        """Returns the units that may be in use."""
        return self.amount if now < self.expires_at else 0


class Ledger:
    """The leader's record of the outstanding units of one budget."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.claims: dict[Borrower, Claim] = {}
        self.unknown_until = inf  # until then, earlier leaders' grants may be missing in `claims`
        self.reported: set[int] = set()  # members that have stated all their units to this leader
        self.max_share = inf  # units; the most that any member gets while demand exceeds the budget
        self.max_share_at = -inf  # when `max_share` was computed
        self.spare = 0  # units for each member beyond those that it wants

    def begin_term(self, now: float) -> None:
        """Starts a term of this process. The grants of earlier leaders are unknown."""
        self.unknown_until = self.lease_end(now)
        self.reported.clear()

    def lease_end(self, now: float) -> float:
        """Returns until when units granted now may be in use: for the lease and one more window."""
        window = self.budget.window
        return now + (LEASE_DURATION + window) * GRANTER_CLOCK_FACTOR if window else inf

    def outstanding(self, now: float) -> int:
        """Returns the granted units that may be in use."""
        return sum(claim.outstanding(now) for claim in self.claims.values())

    def renew(
        self, now: float, borrower: Borrower, age: float, renewal: Renewal, earlier: Sequence[Borrower]
    ) -> int:
        """Returns the units that the borrower may use, counted from its request.

        `age` is in seconds since the borrower started; `earlier` are earlier incarnations of the same member.
        Raises InvariantError if more units would be outstanding than the budget can lease.
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
            problem = f"{self.outstanding(now)} units would be outstanding, at most {budget.leasable} allowed"
            raise InvariantError(problem, f"fleet budget {budget.name}")
        return amount

    def expire_earlier(self, now: float, age: float, earlier: Sequence[Borrower]) -> None:
        """Expires open units of earlier incarnations when their connections are known to be closed."""
        if self.budget.window:
            return
        for borrower in earlier:
            if borrower in self.claims:
                closed_at = now + max(0.0, self.budget.usage_expiry - age)
                self.claims[borrower].expires_at = min(self.claims[borrower].expires_at, closed_at)

    def record_complete_report(self, now: float, borrower: Borrower, age: float) -> None:
        """Records a member that has stated all its units, with none left of earlier incarnations.

        Once all members have, no unknown units are outstanding.
        """
        if age < self.budget.usage_expiry:
            return
        self.reported.add(borrower.number)
        if len(self.reported) == self.budget.members:
            self.unknown_until = min(self.unknown_until, now)

    def max_grant(self, now: float, held: int) -> int:
        """Returns the most units that a borrower which holds `held` can get."""
        if now < self.unknown_until:
            # While not all outstanding units are known, a larger lease could exceed the budget.
            return held
        return held + max(0, self.budget.leasable - self.outstanding(now))

    def fair_share(self, now: float) -> int:
        """Returns the most that any member gets (max-min fairness).

        Small demands are met in full, and the rest is divided evenly.
        """
        if now >= self.max_share_at + SHARE_LIFETIME:
            self.max_share_at = now
            self.forget_expired(now)
            self.compute_shares(now)
        return int(min(self.max_share, self.budget.leasable))

    def compute_shares(self, now: float) -> None:
        """Computes the largest share and the spare units from the recent demand of the borrowers."""
        wanted = sorted(
            claim.wanted for claim in self.claims.values() if now < claim.received_at + LEASE_DURATION
        )
        units_left = self.budget.leasable
        self.max_share = inf
        # Without spare units, the first request after an idle time would find no units leased.
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
        """Drops the claims of silent borrowers that have no units outstanding."""
        expired = [
            borrower
            for borrower, claim in self.claims.items()
            if now >= claim.received_at + LEASE_DURATION and not claim.outstanding(now)
        ]
        for borrower in expired:
            del self.claims[borrower]
