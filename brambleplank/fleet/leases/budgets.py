"""Budgets that hold over the whole fleet under any partition: a rate in any window, or a count of open units.

A small part of each budget belongs to the members without asking: their reserves. The leader leases the rest
(`ledger.py`) to members that spend it (`account.py`). A lease counts at the borrower from its request on and
at the leader from its answer on, which is later; so what the leader calls outstanding covers all that is
used. Each request states the most that the borrower can still use, and binds it to that, so the leader can
lease the remainder at once. If a borrower falls silent, a rate stays outstanding for its lease and a window
more, a count until its connections are known to be gone. (O'Neil's escrow method, with Gray and Cheriton's
leases.)

Invariant, over all processes, in true time: no window, or no instant, holds more than the budget.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import cached_property

from brambleplank.fleet.leases.timing import GRANTER_CLOCK_FACTOR

CONNECTION_EXPIRY = 7.0  # seconds after a process's end by which its connections are known to be gone
DEFAULT_RESERVE_SHARE = 0.03  # share of the limit


@dataclass(frozen=True)
class Budget:
    """What is limited over the fleet."""

    name: str
    limit: int  # units in any window, or at any instant
    window: float  # seconds; 0: a count of open units
    members: int
    reserve_share: float = DEFAULT_RESERVE_SHARE  # share of the limit in all reserves together

    @cached_property
    def tag(self) -> int:
        """Names the budget in messages; one with other settings has another tag, and is leased apart."""
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
        """Seconds after which a process that has ended uses nothing any more."""
        return (self.window or CONNECTION_EXPIRY) * GRANTER_CLOCK_FACTOR

    def reserve(self, number: int) -> int:
        """Returns the units that a member has without a lease. A remainder goes to the lowest numbers."""
        each, remainder = divmod(self.reserved, self.members)
        return each + (number < remainder)
