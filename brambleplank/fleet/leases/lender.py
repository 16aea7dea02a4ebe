"""Grants leases on all budgets while this process leads."""

from __future__ import annotations

from collections.abc import Sequence

from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.leases.ledger import Borrower, Ledger, Renewal
from brambleplank.fleet.messages import Lease, LeaseRequest

MS_PER_SECOND = 1000


class Lender:
    """The leader's ledgers, by budget tag."""

    def __init__(self, budgets: Sequence[Budget]) -> None:
        self.ledgers = {budget.tag: Ledger(budget) for budget in budgets}

    def begin_term(self, now: float) -> None:
        """Starts a term, in which the grants of earlier leaders are unknown."""
        for ledger in self.ledgers.values():
            ledger.begin_term(now)

    def grant(
        self, now: float, borrower: Borrower, request: LeaseRequest, earlier: Sequence[Borrower]
    ) -> list[Lease]:
        """Returns leases on those budgets of a request that this process has configured.

        `earlier` are earlier incarnations of the same member. Raises InvariantError if more units would be
        outstanding than a budget can lease.
        """
        leases = []
        for allocation in request.allocations:
            ledger = self.ledgers.get(allocation.budget)
            if ledger is not None:
                renewal = Renewal(allocation.held, allocation.wanted)
                amount = ledger.renew(now, borrower, request.age / MS_PER_SECOND, renewal, earlier)
                leases.append(Lease(allocation.budget, amount))
        return leases
