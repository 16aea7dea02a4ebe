"""Connects the proxy to its fleet: datagrams, ticks, and the requests of the proxy."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from twisted.internet import threads
from twisted.internet.protocol import DatagramProtocol

from brambleplank.decisions.balancer import Balancer
from brambleplank.fleet.errors import DatagramError
from brambleplank.fleet.member import FleetMember
from brambleplank.fleet.retirement.plan import RetirementStep
from brambleplank.fleet.retirement.progress import RetirementProgress
from brambleplank.fleet.routing.active_routes import ActiveRoutes, requests_counted
from brambleplank.fleet.routing.admission import RequestAdmission
from brambleplank.fleet.routing.lint import LintContext
from brambleplank.fleet.server_observations import EJECTION_DURATION
from brambleplank.fleet.shapes import REQUEST_BUDGETS, FleetSettings
from brambleplank.interfaces import AdmissionVerdict, ClientConnection, RequestOpening
from brambleplank.model import Address, Idempotency, Settings
from brambleplank.net.clock import Clock
from brambleplank.net.log import LogWriter, is_logged_occurrence
from brambleplank.net.loop import reactor
from brambleplank.records import Server
from brambleplank.server_tags import MAX_TAG_WIDTH, ServerTags

TICK_INTERVAL = 0.1  # seconds
OBSERVATION_INTERVAL = 1.0  # seconds between two looks at what other members observed of servers
IDEMPOTENCY_RANKS = {  # larger: requests need more care
    Idempotency.IDEMPOTENT: 0,
    Idempotency.IDEMPOTENT_IN_GROUP: 1,
    Idempotency.NON_IDEMPOTENT: 2,
}


class FleetHost(Protocol):
    """What the link needs of the proxy."""

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
        """The decisions, whose `ready` servers members name to each other."""

    def migrate_client(self, client: ClientConnection) -> None:
        """Migrates a client whose session has ended over the whole fleet."""


class FleetLink:
    """The proxy's side of its fleet: it carries datagrams, ticks and requests, and decides nothing."""

    def __init__(
        self,
        host: FleetHost,
        fleet_settings: FleetSettings,
        seed: int,
        send: Callable[[bytes, int | None], None],
        notices: bool,
    ) -> None:
        """Joins the fleet.

        `send` takes a datagram and a member's number, or None for all members; `notices` says whether clients
        may be sent notices. Raises RouteTableError, or OSError for a file of routes that cannot be read.
        """
        self._host = host
        self._clock = host.clock
        self._log = host.log_writer
        self._fleet_settings = fleet_settings
        self._notices = notices
        self._tagged_servers: list[Server] | None = None  # the list that the tags were made of
        self._tags = ServerTags([])
        self.fleet = self._join(seed, send)
        self.routing: ActiveRoutes | None = None
        self.retiring: RetirementProgress | None = None
        if fleet_settings.routes:
            self._follow_routes(Path(fleet_settings.routes))
        self.admission = RequestAdmission(
            self.fleet, fleet_settings.table.budget, self.routing, self.retiring, notices
        )
        self._ignored_datagrams = 0
        self._next_observation_at = 0.0
        self._ejected: set[Server] = set()  # by other members' observations, as last looked
        self._clock.call_later(0, self.tick)

    def _join(self, seed: int, send: Callable[[bytes, int | None], None]) -> FleetMember:
        """Returns this process's part in the fleet; its incarnation is the wall time in milliseconds."""
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

    def _follow_routes(self, path: Path) -> None:
        """Reads the first table of routes. Raises RouteTableError or OSError."""
        text = path.read_bytes()
        self.routing = ActiveRoutes(
            self.fleet, self.lint_context, self.run_in_thread, text, self._log.write_line
        )
        self.retiring = RetirementProgress(
            self.fleet,
            self.routing,
            self._clock.settled_wall_time,
            lambda: len(self._host.balancer.ready_servers),
            self._log.write_line,
        )

    def tick(self) -> None:
        """Does what is due in the fleet; repeats itself."""
        self._clock.call_later(TICK_INTERVAL, self.tick)
        now = self._clock.now()
        self.fleet.tick(now)
        if self.retiring is not None:
            self.retiring.tick(now)
        if now >= self._next_observation_at:
            self._next_observation_at = now + OBSERVATION_INTERVAL
            self._mark_outliers(now)
            for client in self.admission.sessions_to_migrate(now):
                self._host.migrate_client(client)

    def _mark_outliers(self, now: float) -> None:
        """Marks the servers that several members found failing."""
        servers = self.servers_by_tag()
        ejected = {servers[tag] for tag in self.fleet.server_observer.ejected_servers(now, list(servers))}
        for server in ejected:
            server.mark_slow(now + EJECTION_DURATION)
            if server not in self._ejected:
                self._log.write_line(
                    f"fleet: {server.id} is marked as an outlier: several members found it failing"
                )
        self._ejected = ejected

    def datagram_received(self, data: bytes, member: int) -> None:
        """Reads a datagram of the member of that number; what is not of this fleet is ignored."""
        try:
            self.fleet.receive_datagram(self._clock.now(), member, data)
        except DatagramError as error:
            self._ignored_datagrams += 1
            if is_logged_occurrence(self._ignored_datagrams):
                text = f"fleet: datagram of member {member} ignored, {self._ignored_datagrams} so far"
                self._log.write_line(f"{text}: {error.with_advice()}")

    def lint_context(self, first_check: bool) -> LintContext:
        """Returns what this process knows of its fleet, against which a table of routes is checked.

        `first_sight`: the table has not been checked before, so its dates are compared with the wall clock.
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
        """Returns how far each retirement is: the number of its step, and the step."""
        if self.routing is None or self.retiring is None:
            return {}
        steps = {}
        for retirement in self.routing.table.retirements.values():
            step = self.retiring.current_step(retirement)
            if step is not None:
                steps[retirement.name] = (self.retiring.positions[retirement.name].step, step)
        return steps

    def run_in_thread(self, call: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """Calls in a thread, then `done` with the result in the reactor's.

        Reading a table of thousands of rules takes a second, in which no request would be answered.
        """
        result: Any = threads.deferToThreadPool(reactor, reactor.getThreadPool(), call)
        result.addCallback(done)
        result.addErrback(lambda why: self._log.write_line(f"fleet: {type(why.value).__name__}: {why.value}"))

    def servers_by_tag(self) -> dict[int, Server]:
        """Returns the servers that the list calls ready, as members name them to each other."""
        ready = self._host.balancer.ready_servers
        if ready is not self._tagged_servers:
            self._tagged_servers = ready
            self._tags = ServerTags(ready)
        return self._tags.servers_by_tag(MAX_TAG_WIDTH)

    # What the proxy asks, and reports of its requests.

    def ready(self) -> bool:
        """Returns whether a table of routes is in force, where there has to be one."""
        return self.routing is None or self.routing.is_ready(self._clock.now())

    def reload(self) -> None:
        """Reads the file of routes again, and offers it to the fleet."""
        if self.routing is None:
            return
        path = self._fleet_settings.routes
        try:
            text = Path(path).read_bytes()
        except OSError as error:
            self._log.write_line(f"routes: {path}: {error.strerror}; the table in force stays")
            return
        self.routing.publish(self._clock.now(), text)

    def admit(self, client: ClientConnection, opening: RequestOpening) -> AdmissionVerdict:
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
        return AdmissionVerdict(admitted, retry_after)

    def session_resumed(self, client: ClientConnection, opening: RequestOpening) -> None:
        """A session from before the start goes on."""
        self.admission.adopt(
            client,
            opening.traffic_class,
            opening.tenant,
            opening.client_version,
            opening.key,
            opening.group,
        )

    def notice(self, client: ClientConnection) -> str:
        """Returns the notice for an established client that asked for it; "": none."""
        return self.admission.retirement_notice(client)

    def allows_further_attempt(self, client: ClientConnection) -> bool:
        """Returns whether a request may be attempted once more."""
        return self.admission.allow_further_attempt(self._clock.now(), client)

    def request_established(self, client: ClientConnection) -> None:
        """A request is established."""
        self.admission.request_established(client)

    def request_ended(self, client: ClientConnection, rejected: bool) -> None:
        """A request has its final answer, or a session has ended."""
        self.admission.request_ended(client, rejected)

    def attempt_finished(self, server: Server, good: bool) -> None:
        """Reports how an attempt at a server went."""
        self.servers_by_tag()
        if (tag := self._tags.tag(server, MAX_TAG_WIDTH)) is not None:
            self.fleet.server_observer.record_attempt(self._clock.now(), tag, good)


class FleetDatagramProtocol(DatagramProtocol):
    """Datagrams of the members of a fleet that have an address of their own for it."""

    noisy = False
    transport: Any

    def __init__(
        self,
        addresses: tuple[Address, ...],
        own: int,
        send_failed: Callable[[int | None], None] | None = None,
    ) -> None:
        """`own` is this member's number; `send_failed` gets the errno of what this machine could not send."""
        self.addresses = addresses
        self.own_number = own
        self._send_failed = send_failed
        self.numbers = {address: number for number, address in enumerate(addresses)}
        self._receive: Callable[[bytes, int], None] | None = None

    def set_receiver(self, receive: Callable[[bytes, int], None]) -> None:
        """Registers what gets each datagram and the number of the member that sent it."""
        self._receive = receive

    def send(self, data: bytes, to: int | None) -> None:
        """Sends a datagram to the member of that number, or to all others (None)."""
        for number in range(len(self.addresses)) if to is None else [to]:
            if number != self.own_number and self.transport is not None:
                try:
                    self.transport.write(data, self.addresses[number])
                except OSError as failed:
                    if self._send_failed is not None:
                        self._send_failed(failed.errno)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Hands on what members sent: anything else that reaches the port could act in their name."""
        if self._receive is not None and addr in self.numbers:
            self._receive(datagram, self.numbers[addr])

    def connectionRefused(self) -> None:  # noqa: N802
        """Does nothing: a member is down, and comes back by itself."""
