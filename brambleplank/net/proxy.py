"""The proxy: assembles its components, hosts the decisions and handles calls of endpoint sources."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from types import TracebackType

from brambleplank.decisions.balancer import Balancer
from brambleplank.decisions.request_invariants import RequestInvariants
from brambleplank.decisions.rotation import Rotation
from brambleplank.decisions.start_times import StartTimes
from brambleplank.interfaces import (
    ClientConnection,
    EndpointSource,
    HealthProbe,
    UpstreamConnection,
)
from brambleplank.model import Address, AttemptOutcome, Endpoint, EndpointStatus, Settings
from brambleplank.net.admission import ConnectionAdmission
from brambleplank.net.clock import Clock
from brambleplank.net.event_log import EventLog
from brambleplank.net.graceful_shutdown import GracefulShutdown
from brambleplank.net.health_probes import HealthProbes
from brambleplank.net.local_faults import LocalFaults
from brambleplank.net.log import LogWriter
from brambleplank.net.message_times import SWEEP_INTERVAL, MessageTimes
from brambleplank.net.operator_commands import OperatorCommands
from brambleplank.net.peer_exchange import PeerExchange
from brambleplank.net.peer_link import PeerLink
from brambleplank.net.request_lifecycle import RequestLifecycle
from brambleplank.net.sibling_processes import SiblingProcesses
from brambleplank.net.unanswered_requests import UnansweredRequests
from brambleplank.net.upstream_endpoint import upstream_endpoint_of
from brambleplank.records import Request, Server

MIN_FREE_SHARE_FOR_PROBES = 1 / 4  # share of the descriptors


class Proxy:
    """A proxy: implements the `Host` of the decisions and the callbacks of endpoint sources."""

    source: EndpointSource

    def __init__(
        self,
        clock: Clock,
        log: LogWriter,
        settings: Settings,
        seed: int,
        descriptors: int,
        probe: Callable[[ConnectionAdmission, HealthProbes, Server, Address], HealthProbe],
    ) -> None:
        """`descriptors` is the descriptor limit; `probe` connects to a server's address and sends a probe."""
        self.clock = clock
        self.log_writer = log
        self.settings = settings
        self.event_log = EventLog(log)
        self.local_faults = LocalFaults(log.write_line)
        self.admission = ConnectionAdmission(clock, descriptors)
        self.balancer = Balancer(self, settings, seed)
        self.invariants = RequestInvariants(settings, log.write_line)
        self.siblings = SiblingProcesses()
        self.requests = RequestLifecycle(
            clock,
            settings,
            self.balancer,
            self.admission,
            self.event_log,
            self.invariants,
            self.siblings,
        )
        self.message_times = MessageTimes(clock, settings, self.balancer, self.requests.clients)
        self.health_probes = HealthProbes(
            clock,
            settings,
            lambda: self.balancer.ready_servers,
            self.message_times.record_message_time,
            lambda probes, server, address: probe(self.admission, probes, server, address),
        )
        self.rotation = Rotation()
        self.start_times = StartTimes()
        self.serving = False
        self.stopping = False
        self.peer_exchange = PeerExchange(
            clock, log, settings, self.balancer, self.health_probes, self.siblings
        )
        self.operator_commands = OperatorCommands(
            self, clock, log, self.balancer, self.rotation, self.siblings
        )
        self._drained: Callable[[], None] | None = None
        self.graceful_shutdown = GracefulShutdown(
            clock,
            log,
            self.balancer,
            self.admission,
            self.requests,
            self._report_drained,
            self.invariants,
        )
        clock.call_after_reads(SWEEP_INTERVAL, self.message_times.sweep)
        unanswered = UnansweredRequests(
            clock, self.invariants, self.requests.clients, self.requests.abort_overdue
        )
        clock.call_later(SWEEP_INTERVAL, unanswered.sweep)
        clock.call_later(SWEEP_INTERVAL, self.flush_log)

    # Collaborators that are set after construction.

    def set_endpoint_source(self, source: EndpointSource) -> None:
        """Sets the endpoint source, in place of a previous one."""
        self.source = source

    @property
    def peer_link(self) -> PeerLink | None:
        """The link to the other proxies."""
        return self.peer_exchange.link

    def set_drained_callback(self, drained: Callable[[], None]) -> None:
        """Sets the callback for the end of a graceful shutdown, when no client is left."""
        self._drained = drained

    def adopt_state(self, started: float, serving: bool) -> None:
        """Adopts the start time and the readiness of the predecessor process."""
        self.requests.resumed_sessions.adopt_start_time(started)
        self.serving = serving

    @property
    def started_at(self) -> float:
        """When the first process of this proxy started, by `Clock.now`."""
        return self.requests.resumed_sessions.started_at

    @property
    def draining(self) -> bool:
        """Whether an operator is draining the proxy."""
        return self.operator_commands.draining

    def _report_drained(self) -> None:
        if self._drained is not None:
            self._drained()

    def migrate_client(self, client: ClientConnection) -> None:
        """Migrates a client whose session a fleet-wide rule ends."""
        self.requests.migrate_client(client)

    def accepts_requests(self) -> bool:
        """Returns whether clients should send new requests to this proxy."""
        fleet_admission = self.requests.fleet_admission
        is_ready = self.serving and (fleet_admission is None or fleet_admission.ready())
        return is_ready and not self.draining and (self.siblings.has_successor or not self.stopping)

    # Called by the endpoint source.

    def endpoints_received(
        self, endpoints: list[Endpoint], addresses: dict[str, Address], whole: bool
    ) -> None:
        """Handles an endpoint list and addresses by server; `whole`: servers that it lacks are removed."""
        now = self.clock.now()
        endpoints = self.start_times.to_monotonic(
            now, self.clock.wall_time(), endpoints, whole, self.settings.slow_start_time
        )
        for server_id, started in self.start_times.earlier_starts.items():
            if (server := self.balancer.servers.get(server_id)) and started < server.started:
                server.started = started
        for server_id, address in addresses.items():
            upstream_endpoint_of(self.balancer.find_or_add_server(now, server_id)).set_address(address)
        self.apply_endpoints(self.rotation.apply(endpoints, whole), whole)
        # Servers that operators have taken out count too: if all are out, requests are rejected at once.
        is_any_ready = any(endpoint.status is EndpointStatus.READY for endpoint in endpoints)
        self.serving = self.serving or is_any_ready

    def endpoint_list_confirmed(self) -> None:
        """Records that the list is current, as a keepalive from its source shows."""
        self.start_times.list_completed(self.clock.now())

    def apply_endpoints(self, endpoints: list[Endpoint], whole: bool) -> None:
        """Applies endpoints to the decisions; `whole`: servers that are not among them are removed."""
        now = self.clock.now()
        if self.serving:  # in the first list, all servers are new and not worth a line
            self.event_log.endpoints_changed(
                now, endpoints, self.balancer.servers, self.settings.slow_start_time
            )
        self.balancer.endpoints_received(now, endpoints, whole)
        self.peer_exchange.endpoints_changed()
        self.health_probes.close_unready()

    def endpoint_list_failed(self, why: str) -> None:
        """Handles a source's failure to read the list; the current list stays in use."""
        self.log_writer.write_line(f"list: {why}", list=why)
        self.balancer.endpoint_list_failed(self.clock.now())

    def metrics_text(self) -> str:
        """Returns all counters of this process in Prometheus text format."""
        return self.event_log.metrics.text(
            {
                "rule_violations": {rule.value: n for rule, n in self.invariants.violations.items()},
                "rule_crossings": {rule.value: n for rule, n in self.invariants.crossings.items()},
                "local_faults": {f"{call} {name}": n for (call, name), n in self.local_faults.counts.items()},
            }
        )

    def update_settings(self, settings: Settings) -> None:
        """Applies new settings to all components."""
        self.settings = settings
        self.health_probes.update_settings(settings)
        self.message_times.update_settings(settings)
        self.peer_exchange.update_settings(settings)
        self.requests.update_settings(settings)
        self.invariants.settings = settings
        self.balancer.update_settings(settings)

    # Called by the decisions (`Host`).

    def start_attempt(self, request: Request, server: Server, max_wait: float) -> None:
        """Starts an attempt with a timeout of `max_wait` seconds."""
        client: ClientConnection = request.handle
        client.request = request
        self.siblings.attempt_started(server)
        if self.requests.fleet_admission:
            self.requests.fleet_admission.attempt_started(server)
        client.open_upstream(upstream_endpoint_of(server), max_wait)

    def may_connect(self, upstream: UpstreamConnection) -> bool:
        """Returns whether an attempt may connect; checks the request invariants just before it does."""
        request = upstream.client.request
        now = self.clock.now()
        if request is None:  # a resumed session, which is not an attempt
            return True
        if not self.invariants.may_start_attempt(now, upstream.client.id, request):
            return False
        server = request.attempts[-1].server
        if self.balancer.slow_start.is_in_slow_start(now, server):
            self.invariants.attempt_started(
                now, server, self.balancer.slow_start.sustainable_attempts(now, server)
            )
        return True

    def may_send_opening(self, upstream: UpstreamConnection) -> bool:
        """Returns whether an attempt whose connection is up may send its opening."""
        request = upstream.client.request
        if request is None:
            return True
        return self.invariants.may_send_request(
            self.clock.now(), request, request.attempts[upstream.attempt_number]
        )

    def cancel_attempt(self, request: Request, number: int) -> None:
        """Cancels an attempt by its number; its outcome is reported in the event loop's next iteration."""
        client: ClientConnection = request.handle
        upstream = client.upstreams[number]
        if not upstream.ended:
            outcome = AttemptOutcome.CANCELLED if upstream.opening_written() else AttemptOutcome.ABANDONED
            upstream.close()
            self.clock.call_later(0, self.report_attempt_ended, request, upstream, outcome)

    def report_attempt_ended(
        self, request: Request, upstream: UpstreamConnection, outcome: AttemptOutcome
    ) -> None:
        """Reports the outcome of an attempt or session that the decisions have cancelled or migrated."""
        now = self.clock.now()
        self.balancer.attempt_ended(
            now, request, upstream.attempt_number, outcome, now - upstream.started_at, request.answered
        )

    def reject(self, request: Request, retry_after: float) -> None:
        """Answers that a retry is safe, preferably after `retry_after` seconds (0: no advice)."""
        client: ClientConnection = request.handle
        client.request = request  # for the reason in the log; the request may not have had an attempt
        self.invariants.request_rejected(client.id, request)
        client.reject(retry_after)

    def abort(self, request: Request) -> None:
        """Answers that the request may or may not have run."""
        client: ClientConnection = request.handle
        client.request = request
        client.abort("aborted")

    def migrate(self, request: Request) -> None:
        """Ends a session gracefully, so that its client reconnects."""
        client: ClientConnection = request.handle
        upstream = client.established_upstream
        if upstream is None or upstream.ended:
            return
        upstream.close()
        client.migrate()
        self.clock.call_later(0, self.report_attempt_ended, request, upstream, AttemptOutcome.CANCELLED)

    def probe(self, server: Server) -> None:
        """Probes a server if the settings, the handoff to a successor and the descriptors allow it."""
        # Near the limit, a probe could take a descriptor that the endpoint source or an answer needs.
        has_room = self.admission.free_share() > MIN_FREE_SHARE_FOR_PROBES
        if self.settings.probes_endpoints and not self.siblings.has_successor and has_room:
            self.health_probes.send(server)

    def report_message_time(self, server: Server, seconds: float) -> None:
        """Reports a server's message time to the other proxies."""
        self.peer_exchange.report_message_time(server, seconds)

    def send_load_report(
        self,
        connections: Iterable[tuple[Server, int]],
        complete: bool,
        recipient: int | None,
        is_aggregate: bool,
    ) -> None:
        """Sends connections by server to one proxy, given by number, or to all others (None)."""
        self.peer_exchange.send_load_report(connections, complete, recipient, is_aggregate)

    def send_permit_message(self, server: Server, recipient: int, message: int) -> None:
        """Requests a slow-start permit from a proxy, or answers a proxy's request."""
        self.peer_exchange.send_permit_message(server, recipient, message)

    def report_group_servers(self, group_servers: Iterable[tuple[int, Server]]) -> None:
        """Reports the servers of affinity groups to the other proxies."""
        self.peer_exchange.report_group_servers(group_servers)

    def free_descriptor_share(self) -> float:
        """Returns the free share of the descriptors; 0 if the fleet denies the retry being decided on.

        Reporting no free descriptors makes the decisions skip the retry; retries beyond the fleet's limit
        would make an overload worse.
        """
        return self.admission.free_share() if self.requests.take_retry_permission() else 0.0

    def follow_endpoints(self) -> None:
        """Makes the endpoint source follow the list, if it is not doing so."""
        self.source.ensure_watching()

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Calls with the time after a delay in seconds, once data that has arrived by then has been read."""
        self.clock.call_after_reads(delay, lambda: call(self.clock.now()))

    def log(self, text: str) -> None:
        """Writes a line to the proxy's log."""
        self.log_writer.write_line(text)

    def flush_log(self) -> None:
        """Writes log lines that wait for their reader, and schedules the next call."""
        self.clock.call_later(SWEEP_INTERVAL, self.flush_log)
        self.log_writer.flush()

    # Exceptions and shutdown.

    def call_or_abort(self, client: ClientConnection, call: Callable[..., None], *args: object) -> None:
        """Calls a function; on an exception, logs it and aborts the request, so the client gets an answer."""
        try:
            call(*args)
        except Exception as error:
            self.report_exception(error, error.__traceback__)
            client.abort("fault")

    def report_exception(self, error: BaseException, trace: TracebackType | None) -> None:
        """Logs an exception, which affected one connection, and where it was raised."""
        frame = traceback.extract_tb(trace)[-1] if trace else None
        location = f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno}" if frame else "-"
        self.log_writer.write_line(f"fault {type(error).__name__} at {location}: {error}")

    def stop(self) -> None:
        """Starts a graceful shutdown; the drained callback is called once no client is left."""
        if self.stopping:
            return
        self.stopping = True
        self.requests.begin_shutdown()
        self.log_writer.write_line("shutdown: requested")
        self.balancer.begin_shutdown(self.clock.now())
        self.graceful_shutdown.begin(self.siblings.has_successor)
        if self.siblings.has_successor:
            for client in [*self.requests.clients, *self.admission.pending]:
                self.siblings.hand_off(client)
