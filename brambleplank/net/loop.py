"""The reactor of this program: Twisted's epoll reactor with timers on the monotonic clock.

Twisted's reactors use the wall clock. If it is stepped back by an hour, every pending timer fires an hour
late: deadlines, silence detection and the end of a graceful shutdown would be delayed that long.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose timers are unaffected by steps of the wall clock."""

    seconds = staticmethod(time.monotonic)


reactor: Any = MonotonicReactor()
installReactor(reactor)
