"""What one process may use of a budget, and what it has used."""

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

WINDOW_STEPS = 512  # parts of a window in which spending is remembered
HEADROOM = 1 / 4  # over what was requested lately, so that a rise finds room


class SpendingStep(NamedTuple):
    """What was spent in one part of a window."""

    expires_at: float  # when it leaves the window
    units: int


class SpendingWindow:
    """Adds up what was spent within a window, in a bounded number of steps; never less than the truth."""

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
            # Later units of this step go with it.
            self.steps.append(SpendingStep(expires_at + self.step_length, units))

    def expire(self, now: float) -> int:
        """Forgets what has left the window, and returns the units that are in it."""
        while self.steps and self.steps[0].expires_at <= now:
            self.total -= self.steps.popleft().units
        return self.total


class Account:
    """One process's part of a budget."""

    def __init__(self, budget: Budget, number: int, now: float) -> None:
        self.budget = budget
        self.reserve = budget.reserve(number)
        self.open_units = 0  # open units of a count
        self.reset(now)

    def reset(self, now: float) -> None:
        """Starts over. What the process before has used of the reserve is not known, so it is waited out.

        Open units of a count stay with this process.
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
        """Returns the units that this process may use at all."""
        lease_valid = not self.budget.window or now < self.leased_until
        return (self.leased if lease_valid else 0) + self.usable_reserve(now)

    def used(self, now: float) -> int:
        """Returns the units in use: spent within the window, or open."""
        return self.spent.expire(now) if self.budget.window else self.open_units

    def has_free_unit(self, now: float) -> bool:
        """Returns whether one more unit may be used."""
        return self.used(now) < self.allowance(now)

    def try_acquire(self, now: float) -> bool:
        """Takes one unit, if one is left. `now` must be read for this call, as a stall may precede it."""
        if not self.has_free_unit(now):
            self.record_refusal(now)
            return False
        if self.budget.window:
            self.spent.add(now)
        else:
            self.open_units += 1
        return True

    def record_refusal(self, now: float) -> None:
        """Records that a unit was wanted, and there was none."""
        self.refused.add(now)

    def adopt(self) -> None:
        """Adds an open unit of a count from before this process began, whatever is allowed."""
        self.open_units += 1

    def release(self) -> None:
        """Frees one unit of a count. Raises InvariantError if none is open."""
        self.open_units -= 1
        if self.open_units < 0:
            raise InvariantError("more was given back than was taken", f"fleet budget {self.budget.name}")

    def release_unused(self, now: float) -> int:
        """Lowers the lease to what is in use or wanted, and returns the most that can be in use from now on.

        The leader may lease the rest to others at once.
        """
        in_use = max(0, self.used(now) - self.usable_reserve(now))
        still_leased = self.leased if not self.budget.window or now < self.leased_until else 0
        self.leased = min(still_leased, max(in_use, self.wanted_units(now)))
        return max(self.leased, in_use)

    def wanted_units(self, now: float) -> int:
        """Returns the units to ask a lease for."""
        requested = self.used(now) + self.refused.expire(now)
        if not requested:
            return 0
        return max(0, ceil(requested * (1 + HEADROOM)) + 1 - self.reserve)

    def receive_lease(self, requested_at: float, amount: int) -> None:
        """Takes a lease from the time of its request on; a faulty leader cannot grant more than there is."""
        self.leased = min(amount, self.budget.leasable)
        self.leased_until = requested_at + LEASE_DURATION * HOLDER_CLOCK_FACTOR

    def drop_lease(self) -> None:
        """Goes on with the reserve alone, where the rest cannot be trusted."""
        self.leased = 0
