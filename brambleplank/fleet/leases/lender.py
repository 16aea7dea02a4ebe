"""Grants leases on all budgets, where this process leads."""

from __future__ import annotations

from collections.abc import Sequence

from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.leases.ledger import Borrower, Ledger, Renewal
from brambleplank.fleet.messages import Lease, LeaseRequest

MS_PER_SECOND = 1000  # in a second


class Lender:
    """The leader's ledgers, by the tags of their budgets."""

    def __init__(self, budgets: Sequence[Budget]) -> None:
        self.ledgers = {budget.tag: Ledger(budget) for budget in budgets}

    def begin_term(self, now: float) -> None:
        """Begins a term, in which what was granted before is not known."""
        for ledger in self.ledgers.values():
            ledger.begin_term(now)

    def grant(
        self, now: float, borrower: Borrower, request: LeaseRequest, earlier: Sequence[Borrower]
    ) -> list[Lease]:
        """Returns leases on the budgets of a request that are known here.

        `earlier` are starts of the same member before. Raises InvariantError if more would be outstanding
        than there is.
        """
        leases = []
        for allocation in request.allocations:
            ledger = self.ledgers.get(allocation.budget)
            if ledger is not None:
                renewal = Renewal(allocation.held, allocation.wanted)
                amount = ledger.renew(now, borrower, request.age / MS_PER_SECOND, renewal, earlier)
                leases.append(Lease(allocation.budget, amount))
        return leases
