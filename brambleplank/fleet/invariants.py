"""What always holds within one process, as code: checked by tests at each step, in service by a setting.

What holds over all processes together (no window, no instant over its budget; one leader at most) can only
be judged from outside, in true time: `benchmarks/fleet_simulation.py` does.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from brambleplank.fleet.errors import InvariantError
from brambleplank.fleet.leases.account import Account
from brambleplank.fleet.leases.counts import Coverage
from brambleplank.fleet.leases.ledger import Ledger
from brambleplank.fleet.server_observations import MAX_EJECTED_SHARE


def check(now: float, accounts: Sequence[Account], ledgers: Sequence[Ledger], coverage: Coverage) -> None:
    """Checks use, leases and coverage. Raises InvariantError, naming what does not hold."""
    for account in accounts:
        check_account(now, account)
    for ledger in ledgers:
        check_ledger(now, ledger)
    if not 1 <= coverage.reachable <= coverage.members or coverage.oldest < 0:
        raise InvariantError(f"coverage says {coverage}", "fleet")


def check_account(now: float, account: Account) -> None:
    """Raises InvariantError where more is leased or used than there can be."""
    budget = account.budget
    location = f"fleet budget {budget.name}"
    if not 0 <= account.leased <= budget.leasable:
        raise InvariantError(f"{account.leased} are lent of {budget.leasable}", location)
    most = budget.leasable + account.reserve
    used = account.used(now)
    if not 0 <= used <= most:
        raise InvariantError(f"{used} are used of {most}", location)


def check_ledger(now: float, ledger: Ledger) -> None:
    """Raises InvariantError where more is outstanding than there is."""
    budget = ledger.budget
    outstanding = ledger.outstanding(now)
    if now >= ledger.unknown_until and outstanding > budget.leasable:
        raise InvariantError(
            f"{outstanding} units are out of {budget.leasable}", f"fleet budget {budget.name}"
        )


def check_monotonic(previous: Mapping[str, int], current: Mapping[str, int]) -> None:
    """Of versions, counts and steps of retirements, by name. Raises InvariantError where one has fallen."""
    for name, value in current.items():
        if value < previous.get(name, value):
            raise InvariantError(f"{value} after {previous[name]}", f"fleet {name}")


def check_ejection_limit(ejected: Sequence[int], servers: Sequence[int]) -> None:
    """Raises InvariantError where more servers are judged bad than may be at once."""
    if len(ejected) > MAX_EJECTED_SHARE * len(servers):
        raise InvariantError(f"{len(ejected)} of {len(servers)} servers are passed over", "fleet judgements")


class MonotonicValues:
    """Values that never fall while a process runs, by name, of several sources."""

    def __init__(self, sources: list[Callable[[], dict[str, int]]]) -> None:
        self.sources = sources
        self.last: dict[str, int] = {}  # as of the last check

    def add(self, source: Callable[[], dict[str, int]]) -> None:
        """Adds a source of values."""
        self.sources.append(source)

    def current(self) -> dict[str, int]:
        """Returns all values."""
        values: dict[str, int] = {}
        for source in self.sources:
            values.update(source())
        return values

    def check(self) -> None:
        """Raises InvariantError where a value has fallen since the last check."""
        current = self.current()
        check_monotonic(self.last, current)
        self.last = current

    def accept(self) -> None:
        """Takes the values as they are."""
        self.last = self.current()
