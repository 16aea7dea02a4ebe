"""The lifecycle of requests and sessions, between clients, the decisions and servers."""

from __future__ import annotations

from brambleplank.decisions.balancer import Balancer
from brambleplank.decisions.request_invariants import RequestInvariants
from brambleplank.interfaces import (
    ClientConnection,
    FleetAdmission,
    RequestOpening,
    ResumedSession,
    UpstreamConnection,
)
from brambleplank.model import AttemptOutcome, Settings
from brambleplank.net.admission import ConnectionAdmission
from brambleplank.net.clock import Clock
from brambleplank.net.event_log import EventLog
from brambleplank.net.resumed_sessions import ResumedSessions
from brambleplank.net.sibling_processes import SiblingProcesses
from brambleplank.net.upstream_endpoint import upstream_endpoint_of

# Reason codes of requests that were answered, or whose client disconnected, without being established here;
# "broke": the session ended while it was being handed off to this process.
ANSWERED_END_CODES = frozenset(
    ("rejected", "aborted", "unplaced", "early", "fault", "overdue", "left", "handed", "broke")
)
FAILURE_OUTCOMES = (
    AttemptOutcome.ERROR,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.RESET,
)  # outcomes that fleet members observe as failures of the server


class RequestLifecycle:
    """Handles the frontends' events: requests and sessions that start, are established and end."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        balancer: Balancer,
        admission: ConnectionAdmission,
        event_log: EventLog,
        invariants: RequestInvariants,
        siblings: SiblingProcesses,
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.balancer = balancer
        self.admission = admission
        self.event_log = event_log
        self.invariants = invariants
        self.siblings = siblings
        self.resumed_sessions = ResumedSessions(clock, balancer)
        self.clients: dict[ClientConnection, None] = {}  # clients with a request or session, oldest first
        self.fleet_admission: FleetAdmission | None = None
        self.is_shutting_down = False
        self._retrying_client: ClientConnection | None = None  # client whose attempt has just failed

    def set_fleet_admission(self, fleet_admission: FleetAdmission) -> None:
        """Sets the fleet's admission of requests."""
        self.fleet_admission = fleet_admission

    def update_settings(self, settings: Settings) -> None:
        """Applies new settings; existing requests keep their traffic class."""
        self.settings = settings

    def begin_shutdown(self) -> None:
        """Starts the shutdown: sessions established from now on are handed off to the successor, if any."""
        self.is_shutting_down = True

    def take_retry_permission(self) -> bool:
        """Returns whether the fleet allows the attempt that is being decided on; checks once per attempt."""
        client = self._retrying_client
        self._retrying_client = None
        return (
            client is None
            or self.fleet_admission is None
            or bool(client.end_code)
            or self.fleet_admission.allows_retry(client)
        )

    # Events of clients.

    def request_received(
        self,
        client: ClientConnection,
        opening: RequestOpening,
        answer_timeout: float,
        reconnecting: bool,
    ) -> None:
        """Handles a new request, whose answer is due `answer_timeout` seconds after `client.opened_at`."""
        self.clients[client] = None
        if self.fleet_admission:
            decision = self.fleet_admission.admit(client, opening)
            if not decision.admitted:
                client.reject(self.retry_after(decision.retry_after))
                return
        client.request = self.balancer.request_received(
            self.clock.now(),
            client,
            self.settings.traffic_classes[opening.traffic_class],
            opening.key,
            opening.group,
            client.opened_at + answer_timeout,
            False,
            reconnecting,
        )

    def retry_after(self, requested_delay: float | None) -> float:
        """Returns a rejected client's retry-after in seconds, randomized as clients are rejected in bursts.

        `requested_delay` is the delay set by a fleet rule, if any.
        """
        max_delay = self.settings.max_retry_after
        if requested_delay is not None:
            max_delay = min(requested_delay, max_delay)
        return max_delay * self.balancer.rng.uniform(0.5, 1.0) if self.settings.may_send_retry_after else 0.0

    def session_resumed(self, client: ClientConnection, opening: RequestOpening, server_id: str) -> None:
        """Handles a client that resumes a session opened at a server before this proxy started."""
        self.clients[client] = None
        server = self.resumed_sessions.resumable_server(server_id, self.settings.drain_grace)
        if server is None:
            client.abort("unplaced")
            return
        if self.fleet_admission:
            self.fleet_admission.session_resumed(client, opening)
        traffic_class = self.settings.traffic_classes[opening.traffic_class]
        client.resumed_session = ResumedSession(traffic_class, opening.key, opening.group, server)
        client.open_upstream(upstream_endpoint_of(server), 0.0)

    def client_disconnected(self, client: ClientConnection, reset: bool) -> None:
        """Handles a client that disconnected or violated the protocol; ends its attempts or session."""
        now = self.clock.now()
        if client.request and not client.established_upstream:
            self.balancer.client_disconnected(now, client.request)
        for upstream in client.upstreams:
            if upstream.ended:
                continue
            upstream.close(reset)
            if client.request:
                outcome = outcome_of_disconnect(upstream, reset)
                self.balancer.attempt_ended(
                    now, client.request, upstream.attempt_number, outcome, now - upstream.started_at, True
                )

    def client_closed(self, client: ClientConnection) -> None:
        """Removes a client whose connection is closed."""
        self.clients.pop(client, None)
        self.admission.client_closed(client)

    def notice(self, client: ClientConnection) -> str:
        """Returns the retirement notice for an established client that requested notices; "": none."""
        return self.fleet_admission.notice(client) if self.fleet_admission else ""

    def migrate_client(self, client: ClientConnection) -> None:
        """Migrates a client whose session a fleet-wide rule ends."""
        if client.request and client.established_upstream and not client.established_upstream.ended:
            self.balancer.migrate(client.request)

    def client_ended(self, client: ClientConnection, turned_away: bool) -> None:
        """Handles a client that has its final answer, or whose connection closed without one."""
        age = self.clock.now() - client.opened_at if client.opened_at else 0.0
        self.event_log.client_ended(client, age, turned_away)
        if client.id:
            self.admission.request_ended(client.id, was_attempted=bool(client.upstreams))
            if client.end_code not in ANSWERED_END_CODES and client.established_upstream is None:
                self.invariants.request_unanswered(client.id, f"ended as {client.end_code}, with no answer")
        if self.fleet_admission:
            self.fleet_admission.request_ended(client, client.end_code == "rejected")

    def abort_client(self, client: ClientConnection, code: str) -> None:
        """Aborts a request without its decisions, and ends its attempts; `code` is the reason code.

        An attempt that goes on could take effect after the client was told that it failed.
        """
        self.client_disconnected(client, False)
        client.abort(code)

    def abort_overdue(self, client: ClientConnection) -> None:
        """Aborts a request that the decisions did not answer in time."""
        self.abort_client(client, "overdue")

    # Events of servers.

    def upstream_established(self, upstream: UpstreamConnection) -> None:
        """Handles a server's acceptance of a request, or of a resumed session."""
        client = upstream.client
        now = self.clock.now()
        if self.is_shutting_down and self.siblings.has_successor:
            self.clock.call_later(0, self.siblings.hand_off, client)
        if client.resumed_session:
            session = client.resumed_session
            upstream.attempt_number = 0  # the request starts here, even if an earlier connection failed
            client.request = self.balancer.request_received(
                now,
                client,
                session.traffic_class,
                session.key,
                session.group,
                now,
                False,
                False,
                session.server,
            )
            return
        if client.request:
            if self.fleet_admission:
                self.fleet_admission.request_established(client)
                self.fleet_admission.attempt_finished(
                    client.request.attempts[upstream.attempt_number].server, True
                )
            self.balancer.attempt_established(
                now, client.request, upstream.attempt_number, now - upstream.started_at
            )

    def session_handed_off(self, upstream: UpstreamConnection) -> None:
        """Handles a session that another process of this proxy has taken over."""
        request = upstream.client.request
        now = self.clock.now()
        if request:
            self.balancer.attempt_ended(
                now,
                request,
                upstream.attempt_number,
                AttemptOutcome.CANCELLED,
                now - upstream.started_at,
                complete=True,
            )

    def upstream_ended(self, upstream: UpstreamConnection, outcome: AttemptOutcome, reset: bool) -> None:
        """Handles the end of an attempt or session; `reset`: by a connection reset."""
        client = upstream.client
        now = self.clock.now()
        if upstream.established:
            client.close_from_upstream(upstream.end_code(outcome), reset)
        else:
            self.event_log.attempt_failed(upstream, outcome, now - upstream.started_at)
            if client.resumed_session and not self.resumed_sessions.retry_connect(client, outcome):
                client.abort("unplaced")
        if client.request:
            if self.fleet_admission and not upstream.established:
                self._retrying_client = client
                if outcome in FAILURE_OUTCOMES:
                    self.fleet_admission.attempt_finished(
                        client.request.attempts[upstream.attempt_number].server, False
                    )
            self.balancer.attempt_ended(
                now,
                client.request,
                upstream.attempt_number,
                outcome,
                now - upstream.started_at,
                bool(client.end_code),
            )
            self._retrying_client = None


def outcome_of_disconnect(upstream: UpstreamConnection, reset: bool) -> AttemptOutcome:
    """Returns the outcome of an attempt or session whose client disconnected.

    An attempt that was not established is abandoned: counted as failed, clients that disconnect early would
    lower the concurrency limit.
    """
    if not upstream.established:
        return AttemptOutcome.ABANDONED
    return AttemptOutcome.CANCELLED if reset else AttemptOutcome.OK
