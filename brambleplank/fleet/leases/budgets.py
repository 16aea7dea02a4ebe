"""Budgets that hold over the whole fleet under any partition: a rate in any window, or a count of open units.

A small part of each budget is split into reserves, which members use without a lease. The leader leases the
rest (`ledger.py`) to the members that use it (`account.py`). A lease runs at the borrower from its request on
and at the leader from the grant on, which is later; so the units that the leader counts as outstanding
include all that are in use. Each request states the most that the borrower can still use, and binds it to
that, so the leader can lease the remainder at once. If a borrower falls silent, units of a rate stay
outstanding for the lease and one more window, those of a count until its connections are known to be closed.
(O'Neil's escrow method, with Gray and Cheriton's leases.)

Invariant, over all processes, in true time: no window, or no instant, has more units in use than the budget.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import cached_property

from brambleplank.fleet.leases.timing import GRANTER_CLOCK_FACTOR

CONNECTION_EXPIRY = 7.0  # seconds after a process's end by which its connections are known to be closed
DEFAULT_RESERVE_SHARE = 0.03  # of the limit


@dataclass(frozen=True)
class Budget:
    """A limit over the whole fleet."""

    name: str
    limit: int  # units in any window, or at any instant
    window: float  # seconds; 0: a count of open units
    members: int
    reserve_share: float = DEFAULT_RESERVE_SHARE  # of the limit, for all reserves together

    @cached_property
    def tag(self) -> int:
        """Identifies the budget in messages. It covers all settings: other settings are another budget."""
        text = f"{self.name} {self.limit} {self.window} {self.members} {self.reserve_share}"
        return zlib.crc32(text.encode())

    @cached_property
    def reserved(self) -> int:
        """Units in all reserves together."""
        return int(self.limit * self.reserve_share)

    @property
    def leasable(self) -> int:
        """Units that the leader may lease."""
        return self.limit - self.reserved

    @property
    def usage_expiry(self) -> float:
        """Seconds after the end of a process by which none of its units are in use."""
        return (self.window or CONNECTION_EXPIRY) * GRANTER_CLOCK_FACTOR

    def reserve(self, number: int) -> int:
        """Returns the units that a member may use without a lease. A remainder goes to the lowest numbers."""
        each, remainder = divmod(self.reserved, self.members)
        return each + (number < remainder)
