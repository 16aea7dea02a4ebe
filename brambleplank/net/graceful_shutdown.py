"""The end of a graceful shutdown: waits until no client is left that could lose anything."""

from __future__ import annotations

from collections.abc import Callable, Collection

from brambleplank.decisions.balancer import Balancer
from brambleplank.decisions.request_invariants import RequestInvariants
from brambleplank.interfaces import ClientConnection
from brambleplank.net.admission import ConnectionAdmission
from brambleplank.net.clock import Clock
from brambleplank.net.log import LogWriter

CHECK_INTERVAL = 0.1  # seconds
ACCEPT_GRACE = 0.5  # seconds after the begin in which clients may still connect
READ_GRACE = 0.5  # seconds after the end of the shutdown time in which answers may still be read


class GracefulShutdown:
    """Looks again and again whether the proxy is drained; then `drained` is called once."""

    def __init__(
        self,
        clock: Clock,
        log: LogWriter,
        balancer: Balancer,
        admission: ConnectionAdmission,
        clients: Collection[ClientConnection],
        drained: Callable[[], None],
        invariants: RequestInvariants,
    ) -> None:
        self._clock = clock
        self._log = log
        self._balancer = balancer
        self._admission = admission
        self._clients = clients
        self._drained = drained
        self._invariants = invariants

    def begin(self, has_successor: bool) -> None:
        """Begins to look; a successor accepts the clients that still connect, so they are not waited for."""
        self._clock.call_after_reads(CHECK_INTERVAL if has_successor else ACCEPT_GRACE, self.check)

    def check(self) -> None:
        """Ends the shutdown, or checks again later.

        Ended at once, it would cut off clients that have connected and not sent all of their request yet,
        in the kernel too, and those that have not read their answer; nobody waits longer than for these.
        """
        now = self._clock.now()
        # Scheduled first: an exception below would otherwise leave the process running for ever.
        next_check = self._clock.call_after_reads(CHECK_INTERVAL, self.check)
        if now >= self._balancer.shutdown_at:
            self._end_remaining()
        if self.is_drained(now):
            next_check.cancel()
            self._log.write_line(f"invariants: {self._invariants.summary()}")
            self._log.write_line("shutdown: drained")
            self._drained()

    def is_drained(self, now: float) -> bool:
        """Returns whether no client is left, and none that connects or reads its answer is waited for."""
        admission = self._admission
        is_overdue = now >= self._balancer.shutdown_at
        is_read_grace_over = now >= self._balancer.shutdown_at + READ_GRACE
        connecting = admission.pending or admission.has_paused_listener()
        reading = admission.closing or admission.evicted
        return not (self._clients or (connecting and not is_overdue) or (reading and not is_read_grace_over))

    def _end_remaining(self) -> None:
        """Ends who has sent no request, and sessions whose server of before may never answer."""
        for client in list(self._admission.pending):
            client.evict()
        for client in list(self._clients):
            if client.resumed_session is not None and client.established_upstream is None:
                client.abort("unplaced")
