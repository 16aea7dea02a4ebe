"""Connects the proxy to its fleet: datagrams, periodic work and fleet-wide admission of requests."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from twisted.internet import threads
from twisted.internet.protocol import DatagramProtocol

from brambleplank.decisions.balancer import Balancer
from brambleplank.fleet.errors import DatagramError
from brambleplank.fleet.leases.timing import HEARTBEAT_INTERVAL
from brambleplank.fleet.member import FleetMember
from brambleplank.fleet.retirement.plan import RetirementStep
from brambleplank.fleet.retirement.progress import RetirementProgress
from brambleplank.fleet.routing.active_routes import ActiveRoutes, requests_counted
from brambleplank.fleet.routing.admission import RequestAdmission
from brambleplank.fleet.routing.lint import LintContext
from brambleplank.fleet.server_observations import EJECTION_DURATION
from brambleplank.fleet.shapes import REQUEST_BUDGETS, FleetSettings
from brambleplank.interfaces import AdmissionDecision, ClientConnection, RequestOpening
from brambleplank.model import Address, Idempotency, Settings
from brambleplank.net.clock import Clock
from brambleplank.net.log import LogWriter, is_logged_occurrence
from brambleplank.net.loop import reactor
from brambleplank.records import Server
from brambleplank.server_tags import MAX_TAG_WIDTH, ServerTags

TICK_INTERVAL = 0.1  # seconds
IDEMPOTENCY_RANKS = {  # a larger rank is less safe to repeat
    Idempotency.IDEMPOTENT: 0,
    Idempotency.IDEMPOTENT_IN_GROUP: 1,
    Idempotency.NON_IDEMPOTENT: 2,
}


class FleetHost(Protocol):
    """The part of the proxy that the link uses."""

    @property
    def clock(self) -> Clock:
        """The proxy's clock."""

    @property
    def log_writer(self) -> LogWriter:
        """The proxy's log."""

    @property
    def settings(self) -> Settings:
        """The settings in force."""

    @property
    def balancer(self) -> Balancer:
        """The balancer, whose ready servers are the subject of messages between members."""

    def migrate_client(self, client: ClientConnection) -> None:
        """Migrates a client whose session a fleet-wide rule ends."""


class FleetLink:
    """Passes datagrams, ticks and requests between the proxy and its fleet member; makes no decisions."""

    def __init__(
        self,
        host: FleetHost,
        fleet_settings: FleetSettings,
        seed: int,
        send: Callable[[bytes, int | None], None],
        notices: bool,
    ) -> None:
        """Joins the fleet.

        `send` takes a datagram and a member's number, or None for all members; `notices` is whether clients
        may be sent retirement notices. Raises RouteTableError, or OSError if the route file cannot be read.
        """
        self._host = host
        self._clock = host.clock
        self._log = host.log_writer
        self._fleet_settings = fleet_settings
        self._notices = notices
        self._tagged_servers: list[Server] | None = None  # the list from which the tags were computed
        self._tags = ServerTags([])
        self.fleet = self._join(seed, send)
        self.routing: ActiveRoutes | None = None
        self.retirement_progress: RetirementProgress | None = None
        if fleet_settings.routes:
            self._load_routes(Path(fleet_settings.routes))
        self.admission = RequestAdmission(
            self.fleet, fleet_settings.table.budget, self.routing, self.retirement_progress, notices
        )
        self._ignored_datagrams = 0
        self._next_observation_at = 0.0
        self._ejected_servers: set[Server] = set()  # at the last evaluation of observations
        self._attempts_at_outliers = 0
        self._clock.call_later(0, self.tick)

    def _join(self, seed: int, send: Callable[[bytes, int | None], None]) -> FleetMember:
        """Creates this process's fleet member; its incarnation is the wall time in milliseconds."""
        return FleetMember(
            self._fleet_settings.number,
            self._fleet_settings.members,
            self._fleet_settings.budgets(),
            int(self._clock.wall_time() * 1000),
            self._clock.now(),
            seed,
            send,
            self._log.write_line,
            lambda: [*self.servers_by_tag()],
            self._fleet_settings.table.check,
        )

    def _load_routes(self, path: Path) -> None:
        """Loads the initial route table from a file. Raises RouteTableError or OSError."""
        text = path.read_bytes()
        self.routing = ActiveRoutes(
            self.fleet, self.lint_context, self.run_in_thread, text, self._log.write_line
        )
        self.retirement_progress = RetirementProgress(
            self.fleet,
            self.routing,
            self._clock.settled_wall_time,
            lambda: len(self._host.balancer.ready_servers),
            self._log.write_line,
        )

    def tick(self) -> None:
        """Runs the periodic work of the fleet, and schedules the next tick."""
        self._clock.call_later(TICK_INTERVAL, self.tick)
        now = self._clock.now()
        self.fleet.tick(now)
        if self.retirement_progress is not None:
            self.retirement_progress.tick(now)
        if now >= self._next_observation_at:
            self._next_observation_at = now + HEARTBEAT_INTERVAL  # ejections arrive as often
            self._mark_outliers(now)
            for client in self.admission.sessions_to_migrate(now):
                self._host.migrate_client(client)

    def _mark_outliers(self, now: float) -> None:
        """Marks the servers that several members observed as failing as outliers."""
        servers = self.servers_by_tag()
        ejected = {servers[tag] for tag in self.fleet.server_observer.ejected_servers(now, list(servers))}
        for server in ejected:
            server.mark_outlier(now + EJECTION_DURATION)
            if server not in self._ejected_servers:
                self._log.write_line(
                    f"fleet: {server.id} is marked as an outlier: several members found it failing"
                )
        self._ejected_servers = ejected

    def datagram_received(self, data: bytes, member: int) -> None:
        """Handles a datagram from a member, given by number; datagrams of another fleet are ignored."""
        try:
            self.fleet.receive_datagram(self._clock.now(), member, data)
        except DatagramError as error:
            self._ignored_datagrams += 1
            if is_logged_occurrence(self._ignored_datagrams):
                text = f"fleet: datagram of member {member} ignored, {self._ignored_datagrams} so far"
                self._log.write_line(f"{text}: {error.with_advice()}")

    def lint_context(self, first_check: bool) -> LintContext:
        """Returns the state of this process and its fleet against which a route table is linted.

        `first_check`: the table has not been linted before, so its dates are compared with the wall clock.
        """
        settings = self._host.settings
        budgets = [account.budget for account in self.fleet.accounts.values()]
        tables = self._fleet_settings.table.budget
        return LintContext(
            service_types=sorted(settings.traffic_classes),
            customers=sorted(settings.tenants),
            budgets=[table.name for table in tables if table.of in REQUEST_BUDGETS],
            idle_budgets=[budget.name for budget in budgets if not budget.leasable],
            requests_counted=requests_counted(self.fleet),
            coverage=str(self.fleet.coverage(self._clock.now())),
            idempotency_ranks={
                name: IDEMPOTENCY_RANKS[traffic_class.idempotency]
                for name, traffic_class in settings.traffic_classes.items()
            },
            budget_kinds={table.name: table.of for table in tables},
            notices=self._notices,
            wall_time=self._clock.settled_wall_time() if first_check else None,
            retirement_steps=self._retirement_steps(),
        )

    def _retirement_steps(self) -> dict[str, tuple[int, RetirementStep]]:
        """Returns the current step of each retirement, with its number, by the retirement's name."""
        if self.routing is None or self.retirement_progress is None:
            return {}
        steps = {}
        for retirement in self.routing.table.retirements.values():
            step = self.retirement_progress.current_step(retirement)
            if step is not None:
                steps[retirement.name] = (self.retirement_progress.positions[retirement.name].step, step)
        return steps

    def run_in_thread(self, function: Callable[[], Any], callback: Callable[[Any], None]) -> None:
        """Runs `function` in a thread, then passes the result to `callback` in the reactor's thread.

        Parsing a table of thousands of rules takes about a second, which would block all requests.
        """
        result: Any = threads.deferToThreadPool(reactor, reactor.getThreadPool(), function)
        result.addCallback(callback)
        result.addErrback(
            lambda failure: self._log.write_line(f"fleet: {type(failure.value).__name__}: {failure.value}")
        )

    def servers_by_tag(self) -> dict[int, Server]:
        """Returns the ready servers by the tags that members use in their messages."""
        ready = self._host.balancer.ready_servers
        if ready is not self._tagged_servers:
            self._tagged_servers = ready
            self._tags = ServerTags(ready)
        return self._tags.servers_by_tag(MAX_TAG_WIDTH)

    # Called by the proxy (`FleetAdmission`).

    def ready(self) -> bool:
        """Returns whether a route table is in force, or none is configured."""
        return self.routing is None or self.routing.is_ready(self._clock.now())

    def reload(self) -> None:
        """Reads the route file again and proposes its table to the fleet."""
        if self.routing is None:
            return
        path = self._fleet_settings.routes
        try:
            text = Path(path).read_bytes()
        except OSError as error:
            self._log.write_line(f"routes: {path}: {error.strerror}; the table in force stays")
            return
        self.routing.publish(self._clock.now(), text)

    def admit(self, client: ClientConnection, opening: RequestOpening) -> AdmissionDecision:
        """Returns whether a new request may be attempted."""
        admitted, retry_after = self.admission.admit(
            self._clock.now(),
            client,
            opening.traffic_class,
            opening.tenant,
            opening.client_version,
            opening.key,
            opening.group,
        )
        return AdmissionDecision(admitted, retry_after)

    def session_resumed(self, client: ClientConnection, opening: RequestOpening) -> None:
        """Counts a session from before the start of this process, which is resumed."""
        self.admission.adopt(
            client,
            opening.traffic_class,
            opening.tenant,
            opening.client_version,
            opening.key,
            opening.group,
        )

    def notice(self, client: ClientConnection) -> str:
        """Returns the retirement notice for an established client that requested notices; "": none."""
        return self.admission.retirement_notice(client)

    def allows_retry(self, client: ClientConnection) -> bool:
        """Returns whether the request may have a further attempt."""
        return self.admission.allow_further_attempt(self._clock.now(), client)

    def request_established(self, client: ClientConnection) -> None:
        """Records that a request is established."""
        self.admission.request_established(client)

    def request_ended(self, client: ClientConnection, rejected: bool) -> None:
        """Records that a request has its final answer, or that a session has ended."""
        self.admission.request_ended(client, rejected)

    def attempt_started(self, server: Server) -> None:
        """Logs why a server was chosen although it is marked as an outlier."""
        if server not in self._ejected_servers:
            return
        self._attempts_at_outliers += 1
        if not is_logged_occurrence(self._attempts_at_outliers):
            return
        since_end = self._clock.now() - server.outlier_until
        reason = f"its mark ended {since_end:.3f} s ago" if since_end >= 0 else "no server is better"
        self._log.write_line(
            f"fleet: attempt at {server.id} although it is marked as an outlier: {reason}; "
            f"{self._attempts_at_outliers} so far"
        )

    def attempt_finished(self, server: Server, succeeded: bool) -> None:
        """Records the result of an attempt at a server, for the members' observations."""
        self.servers_by_tag()
        if (tag := self._tags.tag(server, MAX_TAG_WIDTH)) is not None:
            self.fleet.server_observer.record_attempt(self._clock.now(), tag, succeeded)


class FleetDatagramProtocol(DatagramProtocol):
    """Sends and receives the fleet's datagrams on a separate address, not on that of the peers."""

    noisy = False
    transport: Any

    def __init__(
        self,
        addresses: tuple[Address, ...],
        own: int,
        send_failed: Callable[[int | None], None] | None = None,
    ) -> None:
        """`own` is this member's number; `send_failed` gets the errno of each failed send."""
        self.addresses = addresses
        self.own_number = own
        self._send_failed = send_failed
        self.numbers = {address: number for number, address in enumerate(addresses)}
        self._receive: Callable[[bytes, int], None] | None = None

    def set_receiver(self, receive: Callable[[bytes, int], None]) -> None:
        """Registers the handler of received datagrams; it gets the data and the sender's number."""
        self._receive = receive

    def send(self, data: bytes, to: int | None) -> None:
        """Sends a datagram to one member, given by number, or to all others (None)."""
        for number in range(len(self.addresses)) if to is None else [to]:
            if number != self.own_number and self.transport is not None:
                try:
                    self.transport.write(data, self.addresses[number])
                except OSError as error:
                    if self._send_failed is not None:
                        self._send_failed(error.errno)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Passes on datagrams from members' addresses only; other senders could impersonate members."""
        if self._receive is not None and addr in self.numbers:
            self._receive(datagram, self.numbers[addr])

    def connectionRefused(self) -> None:  # noqa: N802
        """Ignores refused datagrams: the member is down, and receives later ones once it is back."""
