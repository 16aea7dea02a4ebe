"""Errors in the exchange between the processes of a fleet."""

from __future__ import annotations

from brambleplank.errors import BrambleplankError


class FleetError(BrambleplankError):
    """Base class of the fleet's errors."""

    ADVICE = "see docs/sharing.md"


class DatagramError(FleetError):
    """A datagram that is malformed, too long or not from another member. No part of it is used."""

    ADVICE = "check whether another program sends to this address; the datagram was dropped"


class InvariantError(FleetError):
    """A violated invariant. The process drops its leases and continues with its reserves only."""

    ADVICE = "keep the log and report it; this process continues with its reserves only"


class UnknownBudgetError(FleetError):
    """A budget name that is not configured in this process."""

    ADVICE = "use the name of a budget in the table `fleet`"
