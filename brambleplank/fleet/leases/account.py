"""One process's use of a budget: the units that it may use and those that it has used."""

from __future__ import annotations

from collections import deque
from math import ceil, inf
from typing import NamedTuple

from brambleplank.fleet.errors import InvariantError
from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.leases.timing import (
    HEARTBEAT_INTERVAL,
    HOLDER_CLOCK_FACTOR,
    LEASE_DURATION,
    MAX_CLOCK_DRIFT,
)

WINDOW_STEPS = 512  # steps of a window; units are summed per step
HEADROOM = 1 / 4  # share of recent demand that is requested on top, so that a rise finds free units


class SpendingStep(NamedTuple):
    """Units spent within one step of a window."""

    expires_at: float  # when the units leave the window
    units: int


class SpendingWindow:
    """Sums the units spent within a sliding window, in a bounded number of steps; never too low."""

    def __init__(self, window: float) -> None:
        self.window = window  # seconds
        self.step_length = window / WINDOW_STEPS
        self.steps: deque[SpendingStep] = deque()
        self.total = 0

    def add(self, now: float, units: int = 1) -> None:
        """Records units that are spent now."""
        self.expire(now)
        self.total += units
        expires_at = now + self.window
        if self.steps and self.steps[-1].expires_at > expires_at:
            last = self.steps.pop()
            self.steps.append(SpendingStep(last.expires_at, last.units + units))
        else:
            # Units spent later in this step expire together with these.
            self.steps.append(SpendingStep(expires_at + self.step_length, units))

    def expire(self, now: float) -> int:
        """Drops units that have left the window, and returns the sum of the rest."""
        while self.steps and self.steps[0].expires_at <= now:
            self.total -= self.steps.popleft().units
        return self.total


class Account:
    """One process's account of a budget."""

    def __init__(self, budget: Budget, number: int, now: float) -> None:
        self.budget = budget
        self.reserve = budget.reserve(number)
        self.open_units = 0  # of a count
        self.reset(now)

    def reset(self, now: float) -> None:
        """Resets the account for a new incarnation. Open units of a count remain.

        The reserve is unusable until what earlier incarnations may have used of it has expired.
        """
        self.reserve_usable_from = now + self.budget.usage_expiry
        self.leased = 0
        self.leased_until = -inf  # the lease of a count does not expire
        window = self.budget.window
        self.spent = SpendingWindow(window * (1 + MAX_CLOCK_DRIFT) or 1.0)
        self.refused = SpendingWindow(window or 2 * HEARTBEAT_INTERVAL)

    def usable_reserve(self, now: float) -> int:
        """Returns the units that this process may use without a lease."""
        return self.reserve if now >= self.reserve_usable_from else 0

    def allowance(self, now: float) -> int:
        """Returns the units that this process may use in all."""
        lease_valid = not self.budget.window or now < self.leased_until
        return (self.leased if lease_valid else 0) + self.usable_reserve(now)

    def used(self, now: float) -> int:
        """Returns the units in use: spent within the window, or open."""
        return self.spent.expire(now) if self.budget.window else self.open_units

    def has_free_unit(self, now: float) -> bool:
        """Returns whether one more unit may be used."""
        return self.used(now) < self.allowance(now)

    def try_acquire(self, now: float) -> bool:
        """Acquires one unit if one is free. `now` must be read for this call, as a stall may precede it."""
        if not self.has_free_unit(now):
            self.record_refusal(now)
            return False
        if self.budget.window:
            self.spent.add(now)
        else:
            self.open_units += 1
        return True

    def record_refusal(self, now: float) -> None:
        """Records that a unit was requested and none was free."""
        self.refused.add(now)

    def adopt(self) -> None:
        """Adds an open unit of a count from before this process started, whatever the allowance."""
        self.open_units += 1

    def release(self) -> None:
        """Releases one unit of a count. Raises InvariantError if none is open."""
        self.open_units -= 1
        if self.open_units < 0:
            raise InvariantError("more units were released than acquired", f"fleet budget {self.budget.name}")

    def release_unused(self, now: float) -> int:
        """Reduces the lease to the units in use or wanted; returns the most that can be in use from now on.

        The leader may lease the remainder to other members at once.
        """
        in_use = max(0, self.used(now) - self.usable_reserve(now))
        still_leased = self.leased if not self.budget.window or now < self.leased_until else 0
        self.leased = min(still_leased, max(in_use, self.wanted_units(now)))
        return max(self.leased, in_use)

    def wanted_units(self, now: float) -> int:
        """Returns the units to request a lease of."""
        requested = self.used(now) + self.refused.expire(now)
        if not requested:
            return 0
        return max(0, ceil(requested * (1 + HEADROOM)) + 1 - self.reserve)

    def receive_lease(self, requested_at: float, amount: int) -> None:
        """Applies a lease, which runs from its request; bounded, as a faulty leader could grant too much."""
        self.leased = min(amount, self.budget.leasable)
        self.leased_until = requested_at + LEASE_DURATION * HOLDER_CLOCK_FACTOR

    def drop_lease(self) -> None:
        """Drops the lease, so that only the reserve remains."""
        self.leased = 0
