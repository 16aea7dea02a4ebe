"""The last phase of a graceful shutdown: waits until the remaining clients are done or out of time."""

from __future__ import annotations

from collections.abc import Callable

from brambleplank.decisions.balancer import Balancer
from brambleplank.decisions.request_invariants import RequestInvariants
from brambleplank.net.admission import ConnectionAdmission
from brambleplank.net.clock import Clock
from brambleplank.net.log import LogWriter
from brambleplank.net.request_lifecycle import RequestLifecycle

CHECK_INTERVAL = 0.1  # seconds
ACCEPT_GRACE = 0.5  # seconds from the start of the shutdown in which clients may still connect
READ_GRACE = 0.5  # seconds after the shutdown deadline in which clients may still read their answers


class GracefulShutdown:
    """Checks periodically whether the proxy is drained, and then calls `drained` once."""

    def __init__(
        self,
        clock: Clock,
        log: LogWriter,
        balancer: Balancer,
        admission: ConnectionAdmission,
        requests: RequestLifecycle,
        drained: Callable[[], None],
        invariants: RequestInvariants,
    ) -> None:
        self._clock = clock
        self._log = log
        self._balancer = balancer
        self._admission = admission
        self._requests = requests
        self._drained = drained
        self._invariants = invariants

    def begin(self, has_successor: bool) -> None:
        """Starts the checks: after `ACCEPT_GRACE`, or sooner if a successor accepts new clients."""
        self._clock.call_after_reads(CHECK_INTERVAL if has_successor else ACCEPT_GRACE, self.check)

    def check(self) -> None:
        """Completes the shutdown if the proxy is drained, otherwise checks again later."""
        now = self._clock.now()
        # Scheduled first, as an exception below would otherwise leave the process running forever.
        next_check = self._clock.call_after_reads(CHECK_INTERVAL, self.check)
        if now >= self._balancer.shutdown_at:
            self._end_remaining()
        if self.is_drained(now):
            next_check.cancel()
            self._log.write_line(f"invariants: {self._invariants.summary()}")
            self._log.write_line("shutdown: drained")
            self._drained()

    def is_drained(self, now: float) -> bool:
        """Returns whether the process can end without cutting off a client.

        Besides requests and sessions, it waits until the shutdown deadline for connections that have not sent
        their whole request, in the kernel's backlog too, and `READ_GRACE` longer for clients that have not
        read their answer. A handed-off connection is this process's until the successor acknowledges it.
        """
        if self._requests.siblings.awaits_acknowledgement():
            return False
        admission = self._admission
        is_overdue = now >= self._balancer.shutdown_at
        is_read_grace_over = now >= self._balancer.shutdown_at + READ_GRACE
        # Clients with an answer stay among the requests until they have closed their connections.
        open_requests = any(not client.end_code for client in self._requests.clients)
        connecting = admission.pending or admission.has_paused_listener()
        reading = self._requests.clients or admission.closing or admission.evicted
        return not (open_requests or (connecting and not is_overdue) or (reading and not is_read_grace_over))

    def _end_remaining(self) -> None:
        """Evicts connections without a request, and aborts resumed sessions that no server has confirmed."""
        for client in list(self._admission.pending):
            client.evict()
        for client in list(self._requests.clients):
            is_resuming = client.resumed_session is not None and client.established_upstream is None
            if is_resuming and not client.end_code:
                self._requests.abort_client(client, "unplaced")
