"""Invariants of a single process: checked at each step in tests, and in service if a setting enables it.

Invariants over all processes together (no window or instant over its budget, at most one leader) can only be
checked from outside, in true time: `benchmarks/fleet_simulation.py` does so.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from brambleplank.fleet.errors import InvariantError
from brambleplank.fleet.leases.account import Account
from brambleplank.fleet.leases.counts import Coverage
from brambleplank.fleet.leases.ledger import Ledger
from brambleplank.fleet.server_observations import MAX_EJECTED_SHARE


def check(now: float, accounts: Sequence[Account], ledgers: Sequence[Ledger], coverage: Coverage) -> None:
    """Checks accounts, ledgers and coverage. Raises InvariantError for the first violation."""
    for account in accounts:
        check_account(now, account)
    for ledger in ledgers:
        check_ledger(now, ledger)
    if not 1 <= coverage.reachable <= coverage.members or coverage.oldest < 0:
        raise InvariantError(f"coverage out of range: {coverage}", "fleet")


def check_account(now: float, account: Account) -> None:
    """Raises InvariantError if more units are leased or in use than the budget allows."""
    budget = account.budget
    location = f"fleet budget {budget.name}"
    if not 0 <= account.leased <= budget.leasable:
        raise InvariantError(f"{account.leased} units leased, at most {budget.leasable} allowed", location)
    max_units = budget.leasable + account.reserve
    used = account.used(now)
    if not 0 <= used <= max_units:
        raise InvariantError(f"{used} units in use, at most {max_units} allowed", location)


def check_ledger(now: float, ledger: Ledger) -> None:
    """Raises InvariantError if more units are outstanding than the budget can lease."""
    budget = ledger.budget
    outstanding = ledger.outstanding(now)
    if now >= ledger.unknown_until and outstanding > budget.leasable:
        raise InvariantError(
            f"{outstanding} units outstanding, at most {budget.leasable} allowed",
            f"fleet budget {budget.name}",
        )


def check_monotonic(previous: Mapping[str, int], current: Mapping[str, int]) -> None:
    """Checks versions, counts and retirement steps, by name. Raises InvariantError if one has decreased."""
    for name, value in current.items():
        if value < previous.get(name, value):
            raise InvariantError(f"decreased to {value} from {previous[name]}", f"fleet {name}")


def check_ejection_limit(ejected: Sequence[int], servers: Sequence[int]) -> None:
    """Raises InvariantError if more servers are ejected than may be at once."""
    if len(ejected) > MAX_EJECTED_SHARE * len(servers):
        raise InvariantError(f"{len(ejected)} of {len(servers)} servers are ejected", "fleet ejections")


class MonotonicValues:
    """Named values from several sources, none of which may decrease while the process runs."""

    def __init__(self, sources: list[Callable[[], dict[str, int]]]) -> None:
        self.sources = sources
        self.last: dict[str, int] = {}  # as of the last check

    def add(self, source: Callable[[], dict[str, int]]) -> None:
        """Adds a source of values."""
        self.sources.append(source)

    def current(self) -> dict[str, int]:
        """Returns the current values of all sources."""
        values: dict[str, int] = {}
        for source in self.sources:
            values.update(source())
        return values

    def check(self) -> None:
        """Raises InvariantError if a value has decreased since the last check."""
        current = self.current()
        check_monotonic(self.last, current)
        self.last = current

    def accept(self) -> None:
        """Makes the current values the baseline of the next check."""
        self.last = self.current()
