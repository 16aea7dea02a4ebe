"""A fake host for the decisions: it records their calls, and tests advance its clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from enum import Enum, auto
from typing import Any, TypeVar

from brambleplank import records
from brambleplank.decisions.balancer import Balancer
from brambleplank.model import AttemptOutcome, Endpoint, EndpointStatus
from brambleplank.records import Request
from tests.sample_settings import DECODED_SETTINGS

START_TIME = 400_000.0  # seconds; clocks of hosts need not start near zero


class HostCall(Enum):
    """A call of the balancer to its host, as recorded by a fake host."""

    START_ATTEMPT = auto()  # request, server, max_wait
    CANCEL_ATTEMPT = auto()  # request
    REJECT = auto()  # request, retry_after
    ABORT = auto()  # request
    MIGRATE = auto()  # request
    PROBE = auto()  # server
    REPORT_MESSAGE_TIME = auto()  # server, seconds
    SEND_LOAD_REPORT = auto()  # connections by server, complete, recipient
    SEND_PERMIT_MESSAGE = auto()  # server, recipient, message
    REPORT_GROUP_SERVERS = auto()  # ring positions and servers
    FOLLOW_ENDPOINTS = auto()  # None
    LOG = auto()  # text


class FakeHost:
    """A host without sockets. It records the balancer's calls; `advance` runs the timers."""

    peers: Sequence[FakeHost] = ()  # the other proxies of the same fleet

    def __init__(self, servers: int = 5, seed: int = 1, **changes: Any) -> None:
        self.now = START_TIME
        self.recorded_calls: list[tuple[HostCall, Any]] = []
        self.descriptor_share = 1.0
        self.timers: list[tuple[float, Callable[[float], None]]] = []
        self.balancer = Balancer(self, replace(DECODED_SETTINGS, **changes), seed)
        self.receive_endpoints(
            {f"10.0.0.{i}:80": EndpointStatus.READY for i in range(servers)}, complete=True
        )

    def receive_endpoints(
        self,
        statuses: dict[str, EndpointStatus],
        complete: bool = False,
        started: float = 0.0,
        zone: str = "a",
    ) -> None:
        """Passes an endpoint list, or changes to it, to the balancer."""
        self.balancer.endpoints_received(
            self.now,
            [Endpoint(name, zone, 0, status, 1.0, started) for name, status in statuses.items()],
            complete,
        )

    def server(self, server_id: str) -> records.Server:
        """Returns the balancer's record of a server."""
        return self.balancer.servers[server_id]

    def request(
        self,
        key: int | None = 7,
        time_left: float = 1.8,
        group: int | None = None,
        resumed: bool = False,
        reconnecting: bool = False,
        server: records.Server | None = None,
    ) -> Request:
        """Passes a request of the class `feed` to the balancer, with its deadline in `time_left` seconds."""
        traffic_class = self.balancer.settings.traffic_classes["feed"]
        deadline = self.now + time_left
        return self.balancer.request_received(
            self.now, None, traffic_class, key, group, deadline, resumed, reconnecting, server
        )

    def establish(self, request: Request, delay: float = 0.02) -> Request:
        """Reports the request's newest attempt as established after `delay` seconds; returns the request."""
        self.balancer.attempt_established(self.now, request, len(request.attempts) - 1, delay)
        return request

    def request_and_establish(self) -> bool:
        """Returns whether a new request gets an attempt, and establishes it."""
        request = self.request()
        return bool(request.attempts and self.establish(request))

    def end_attempt(
        self, request: Request, outcome: AttemptOutcome, delay: float = 0.1, complete: bool = False
    ) -> None:
        """Reports the end of the request's newest attempt."""
        self.balancer.attempt_ended(self.now, request, len(request.attempts) - 1, outcome, delay, complete)

    def establish_many(self, count: int, **how: Any) -> list[Request]:
        """Returns requests with `count` keys, 0.1 s apart, each established and ended immediately."""
        requests = []
        for key in range(count):
            self.advance(0.1)
            requests.append(self.establish(self.request(key, **how)))
            self.end_attempt(requests[-1], AttemptOutcome.OK, complete=True)
        return requests

    def advance(self, seconds: float) -> None:
        """Advances the clock, and runs the timers that become due in order of their times."""
        until = self.now + seconds
        while due := [timer for timer in self.timers if timer[0] <= until]:
            first = min(due, key=lambda timer: timer[0])
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            first[1](self.now)
        self.now = until

    def calls(self, kind: HostCall) -> list[Any]:
        """Returns the arguments of all recorded calls of that kind."""
        return [arguments for recorded, arguments in self.recorded_calls if recorded is kind]

    # Calls of the balancer.

    def start_attempt(self, request: Request, server: records.Server, max_wait: float) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.START_ATTEMPT, (request, server, max_wait)))

    def cancel_attempt(self, request: Request, number: int) -> None:  # noqa: ARG002  required by the protocol
        """Records the call."""
        self.recorded_calls.append((HostCall.CANCEL_ATTEMPT, request))

    def reject(self, request: Request, retry_after: float) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.REJECT, (request, retry_after)))

    def abort(self, request: Request) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.ABORT, request))

    def migrate(self, request: Request) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.MIGRATE, request))

    def probe(self, server: records.Server) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.PROBE, server))

    def report_message_time(self, server: records.Server, seconds: float) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.REPORT_MESSAGE_TIME, (server, seconds)))

    def send_load_report(
        self,
        connections: Iterable[tuple[records.Server, int]],
        complete: bool,
        recipient: int | None,
        is_aggregate: bool,  # noqa: ARG002  required by the protocol
    ) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.SEND_LOAD_REPORT, (list(connections), complete, recipient)))

    def send_permit_message(self, server: records.Server, recipient: int, message: int) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.SEND_PERMIT_MESSAGE, (server, recipient, message)))

    def report_group_servers(self, reports: Iterable[tuple[int, records.Server]]) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.REPORT_GROUP_SERVERS, list(reports)))

    def free_descriptor_share(self) -> float:
        """Returns the share that the test has set."""
        return self.descriptor_share

    def follow_endpoints(self) -> None:
        """Records the call."""
        self.recorded_calls.append((HostCall.FOLLOW_ENDPOINTS, None))

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Stores a timer for `advance`."""
        self.timers.append((self.now + delay, call))

    def log(self, text: str) -> None:
        """Records the line."""
        self.recorded_calls.append((HostCall.LOG, text))


class PeeredFakeHost(FakeHost):
    """A fake host whose peers receive its messages immediately; its probes are answered without delay."""

    def report_message_time(self, server: records.Server, seconds: float) -> None:
        """Passes the message time to every peer."""
        for peer in self.peers:
            peer.balancer.message_time_reported(peer.now, peer.server(server.id), seconds)

    def send_load_report(
        self,
        connections: Iterable[tuple[records.Server, int]],
        complete: bool,
        recipient: int | None,
        is_aggregate: bool,
    ) -> None:
        """Records the call and passes the report to its recipients."""
        super().send_load_report(connections, complete, recipient, is_aggregate)
        sender = self.balancer.settings.proxy_number
        for peer in self.peers:
            if recipient in (None, peer.balancer.settings.proxy_number):
                report = [(peer.server(server.id), count) for server, count in connections]
                peer.balancer.load_report_received(peer.now, sender, report, complete, is_aggregate)

    def send_permit_message(self, server: records.Server, recipient: int, message: int) -> None:
        """Passes the message to its recipient."""
        sender = self.balancer.settings.proxy_number
        for peer in self.peers:
            if recipient == peer.balancer.settings.proxy_number:
                peer.balancer.permit_message_received(peer.now, sender, peer.server(server.id), message)

    def report_group_servers(self, reports: Iterable[tuple[int, records.Server]]) -> None:
        """Records the call and passes the report to every peer."""
        super().report_group_servers(reports)
        for peer in self.peers:
            for position, server in reports:
                peer.balancer.group_server_reported(peer.now, position >> 96 << 96, peer.server(server.id))

    def probe(self, server: records.Server) -> None:
        """Records the call and reports a message time of zero."""
        super().probe(server)
        self.balancer.message_time_reported(self.now, server, 0.0, measured=True)


FakeHostT = TypeVar("FakeHostT", bound=FakeHost)


def make_fake_fleet(proxies: int, kind: type[FakeHostT], **changes: Any) -> list[FakeHostT]:
    """Returns `proxies` fake hosts that are each other's peers; peered ones exchange messages and probe."""
    with_peers = kind is PeeredFakeHost
    settings = {"may_message_peers": with_peers, "probes_endpoints": with_peers, **changes}
    hosts = [kind(proxies=proxies, proxy_number=n, seed=n, **settings) for n in range(proxies)]
    for host in hosts:
        host.peers = [other for other in hosts if other is not host]
    return hosts
