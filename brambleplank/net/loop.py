"""The one reactor of this program: Twisted's for Linux, with its timers on the monotonic clock.

Twisted's own reactors take their seconds from the wall clock. Stepped back by an hour, each timer that is
pending then fires an hour late: deadlines, silences and the end of a planned stop would wait that long.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class MonotonicReactor(EPollReactor):
    """Timers are spans of real time, whatever the wall clock does."""

    seconds = staticmethod(time.monotonic)


reactor: Any = MonotonicReactor()
installReactor(reactor)
