"""A gradual increase of attempts at servers that have recovered from overload."""

from __future__ import annotations

from brambleplank.decisions.stage import Penalty, Stage
from brambleplank.model import REPORT_PERIOD
from brambleplank.records import Request, Server

DOUBLING_PERIOD = 2 * REPORT_PERIOD  # seconds in which the allowed attempts at a server double
MAX_DOUBLINGS = 64.0


class RecoveryRamp(Stage):
    """Limits attempts at a server that is no longer overloaded; the limit doubles in each period.

    All proxies notice the recovery within the same second. If each of them sent all waiting requests there,
    the server would soon drop them.
    """

    def penalty(self, now: float, request: Request, server: Server) -> Penalty:
        """Returns HARMFUL for a server that has had as many recent attempts as its recovery allows."""
        overloaded_until = max(server.avoided_until(), server.dropping_until)
        doublings = min(MAX_DOUBLINGS, (now - overloaded_until) / DOUBLING_PERIOD)
        recent = server.recent_attempts.value(now, self.settings.overload_window)
        return Penalty.HARMFUL if recent >= 2**doublings and not request.resumed else Penalty.NONE

    def admit(self, now: float, request: Request) -> bool:
        """Counts the attempt at the target."""
        request.target.recent_attempts.add(now, self.settings.overload_window)
        return True
