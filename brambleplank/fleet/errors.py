"""What can be wrong between processes of one fleet."""

from __future__ import annotations

from brambleplank.errors import BrambleplankError


class FleetError(BrambleplankError):
    """Of what proxies share."""

    ADVICE = "see docs/sharing.md"


class DatagramError(FleetError):
    """A datagram that is torn, too long, or of no form that is known: nothing of it is believed."""

    ADVICE = "look whether something else sends to this address; nothing was taken up"


class InvariantError(FleetError):
    """An invariant does not hold: this process falls back to what it has by right."""

    ADVICE = "keep the log and report it; this process goes on with its reserve"


class UnknownBudgetError(FleetError):
    """A budget that this process does not know by name."""

    ADVICE = "name one of the budgets in the table `fleet`"
