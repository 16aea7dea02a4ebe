"""The attempts that all proxies of a fleet send to a server in slow start, in virtual time."""

from __future__ import annotations

from dataclasses import replace
from itertools import count
from math import ceil, inf, sqrt
from random import Random
from typing import Any

import pytest

from brambleplank.decisions.balancer import Balancer
from brambleplank.model import AttemptOutcome, EndpointStatus, Idempotency
from brambleplank.records import place_on_ring
from tests.aggregating_fleet import advance_together, make_aggregating_fleet
from tests.fake_host import FakeHost, HostCall, PeeredFakeHost, make_fake_fleet
from tests.sample_settings import DECODED_SETTINGS

NEW_SERVER = "10.0.0.9:80"  # the id of the server in slow start
WARM_SERVERS = 5
STEP = 0.05  # seconds
REQUEST_RATE = 30  # requests per second over the whole fleet
MEAN_SESSION_TIME = 10.0  # seconds
FIRST_START = 15.0  # seconds from the beginning of the test until the server starts
BURST_AT = 7.2  # seconds after the server's start until a burst begins
BURST_DURATION = 1.5  # seconds that a burst lasts
FAIR_SHARE = 0.27  # of the limit without its slack, for 200 proxies with 30 requests per second
CLIENT_SHARES = (0.4, 0.7, 1.0, 1.0, 1.0, 3.0)  # clients of a proxy, relative to the mean


class Fleet:
    """Proxies with uneven shares of the clients.

    From its start on, the server owns the keys of all requests.
    """

    def __init__(self, proxies: int, kind: type[FakeHost], fault: str, seed: int) -> None:
        self.kind = kind
        self.fault = fault
        self.rng = Random(seed)
        self.fakes = make_fake_fleet(proxies, kind)
        self.weights = [self.rng.choice(CLIENT_SHARES) for _ in self.fakes]
        self.live = list(range(proxies))
        self.sent: list[float] = []
        self.starts: list[float] = []
        self.sessions: list[tuple[float, Any, Any]] = []
        self.keys = count()
        self.started_at = self.fakes[0].now

    def is_time(self, seconds: float) -> bool:
        """Returns whether the clock has just reached that time, in seconds since the beginning."""
        return bool(abs(self.fakes[0].now - self.started_at - seconds) < STEP / 2)

    def aggregator(self) -> Any:
        """Returns the proxy that is the aggregator, if any."""
        number = self.fakes[-1].balancer.server_pool.load_reports.aggregator
        return next((fake for fake in self.fakes if fake.balancer.settings.proxy_number == number), None)

    def cause_faults(self) -> None:
        """Starts the server, and causes this fleet's fault at its time."""
        restarts = (18.0, 20.5) if self.fault == "server restarts" else ()
        if any(self.is_time(when) for when in (FIRST_START, *restarts)):
            self.starts.append(self.fakes[0].now)
            for fake in self.fakes:
                fake.receive_endpoints({NEW_SERVER: EndpointStatus.READY}, started=fake.now)
        aggregator = self.aggregator() if self.is_time(17.0) else None
        if aggregator and self.fault in ("aggregator dies", "aggregator cut off"):
            aggregator.peers = []  # its datagrams are lost
            if self.fault == "aggregator dies":
                self.live.remove(self.fakes.index(aggregator))
                for fake in self.fakes:
                    fake.peers = [other for other in fake.peers if other is not aggregator]
        if self.fault == "all cut off" and self.is_time(17.0):
            for fake in self.fakes:
                fake.peers = []
        if self.fault == "proxies restart" and self.is_time(16.2):
            for number in self.rng.sample(self.live, 7 * len(self.live) // 10):
                self.restart(self.fakes[number])

    def restart(self, fake: FakeHost) -> None:
        """Restarts a proxy without its state."""
        settings = fake.balancer.settings
        fake.timers = []
        fake.balancer = Balancer(fake, settings, 1000 + settings.proxy_number)
        fake.receive_endpoints(
            {f"10.0.0.{n}:80": EndpointStatus.READY for n in range(WARM_SERVERS)}, complete=True
        )
        fake.receive_endpoints({NEW_SERVER: EndpointStatus.READY}, started=self.starts[-1])
        self.sessions = [each for each in self.sessions if each[1] is not fake]

    def key(self) -> int:
        ring = self.fakes[0].balancer.ring
        return next(
            key
            for key in self.keys
            if not self.starts or getattr(ring.owner(place_on_ring(b"key %d" % key)), "id", "") == NEW_SERVER
        )

    def request(self) -> None:
        fake = self.fakes[self.rng.choices(self.live, [self.weights[n] for n in self.live])[0]]
        request = fake.request(self.key())
        while request.active_attempt:
            self.sent += [fake.now] if request.active_attempt.server.id == NEW_SERVER else []
            if self.rng.random() < 0.1:
                fake.end_attempt(request, AttemptOutcome.FULL)  # refused, then retried
            else:
                fake.establish(request)
                self.sessions.append(
                    (fake.now + MEAN_SESSION_TIME * self.rng.uniform(0.5, 1.5), fake, request)
                )
                return

    def run(self) -> None:
        while self.fakes[0].now < self.started_at + FIRST_START + DECODED_SETTINGS.slow_start_time:
            for fake in self.fakes:
                fake.advance(STEP)
            self.cause_faults()
            for _ in range(int(REQUEST_RATE * STEP) + (self.rng.random() < REQUEST_RATE * STEP % 1)):
                self.request()
            for until, fake, request in [each for each in self.sessions if each[0] <= self.fakes[0].now]:
                fake.end_attempt(request, AttemptOutcome.OK, complete=True)
                self.sessions.remove((until, fake, request))

    def allowed(self, at: float, started: float) -> float:
        """Returns the attempts per overload window that the settings allow at the real request rate."""
        capacity = 1 - (1 - DECODED_SETTINGS.slow_start_initial_share) * (
            1 - (at - started) / DECODED_SETTINGS.slow_start_time
        )
        return (
            DECODED_SETTINGS.overload_factor
            * capacity
            * DECODED_SETTINGS.overload_window
            * REQUEST_RATE
            / WARM_SERVERS
        )


SEEDS = {  # the worst seeds found for peered proxies, by fault and number of proxies
    "none": {3: 5, 20: 0, 30: 3},
    "aggregator dies": {3: 0, 20: 7, 30: 7},
    "aggregator cut off": {3: 2, 20: 5, 30: 1},
    "all cut off": {3: 7, 20: 7, 30: 3},
    "proxies restart": {3: 2, 20: 0, 30: 3},
    "server restarts": {3: 5, 20: 1, 30: 3},
}
CASES: list[tuple[type[FakeHost], int, str, int]] = [
    (PeeredFakeHost, n, fault, seed) for fault, seeds in SEEDS.items() for n, seed in seeds.items()
]
CASES += [
    (FakeHost, 1, "none", 4),
    (FakeHost, 1, "server restarts", 2),
    (FakeHost, 20, "none", 0),
    (FakeHost, 30, "server restarts", 2),
]


@pytest.mark.parametrize(("kind", "proxies", "fault", "seed"), CASES)
def test_fleet_stays_within_the_budget_under_faults(
    kind: type[FakeHost], proxies: int, fault: str, seed: int
) -> None:
    fleet = Fleet(proxies, kind, fault, seed)
    fleet.run()
    for started, until in zip(fleet.starts, [*fleet.starts[1:], inf], strict=True):
        sent = [at for at in fleet.sent if started <= at < until]
        for last in sent:
            in_window = sum(last - DECODED_SETTINGS.overload_window < at <= last for at in sent)
            allowed = fleet.allowed(last, started)
            assert in_window <= allowed + 2 * sqrt(allowed) + 2, f"{in_window} at {last - started:.2f} s"
    assert len(fleet.sent) > 40  # it still gets requests


class Burst(Fleet):
    """The server owns no requests until `BURST_AT`; then it owns all, and their rate rises for a while."""

    def __init__(self, proxies: int, seed: int, factor: int) -> None:
        super().__init__(proxies, FakeHost, "none", seed)
        self.factor = factor

    def is_in_burst(self, lasts: float) -> bool:
        """Returns whether the burst began at most `lasts` seconds ago."""
        since: float = self.fakes[0].now - self.started_at - FIRST_START - BURST_AT
        return 0.0 <= since < lasts

    def key(self) -> int:
        ring = self.fakes[0].balancer.ring
        wanted = self.is_in_burst(inf)
        return next(
            key
            for key in self.keys
            if (getattr(ring.owner(place_on_ring(b"key %d" % key)), "id", "") == NEW_SERVER) == wanted
        )

    def request(self) -> None:
        for _ in range(self.factor if self.is_in_burst(BURST_DURATION) else 1):
            super().request()


def excess(fleet: Fleet) -> float:
    """Returns the attempts above the limit in the worst overload window."""
    excesses = [-inf]
    for last in fleet.sent:
        in_window = sum(last - DECODED_SETTINGS.overload_window < at <= last for at in fleet.sent)
        allowed = fleet.allowed(last, fleet.starts[0])
        excesses.append(in_window - (allowed + 2 * sqrt(allowed) + 2))
    return max(excesses)


@pytest.mark.parametrize("factor", [1, 5])  # 5 and 25 times the server's usual requests
@pytest.mark.parametrize("proxies", [1, 3, 20, 30, 200, 230])
def test_burst_stays_within_the_budget(proxies: int, factor: int) -> None:
    for seed in range(3):
        fleet = Burst(proxies, seed, factor)
        fleet.run()
        assert excess(fleet) <= 0.0, f"seed {seed}"


@pytest.mark.parametrize("proxies", [200, 230])
def test_many_proxies_without_reports_use_a_fair_share_of_the_budget(
    proxies: int,
) -> None:
    used = 0.0
    budget = 0.0
    for seed in range(4):
        fleet = Fleet(proxies, FakeHost, "none", seed)
        fleet.run()
        assert excess(fleet) <= 0.0, f"seed {seed}"
        used += len(fleet.sent)
        start = fleet.starts[0]
        slots = range(int(DECODED_SETTINGS.slow_start_time / DECODED_SETTINGS.overload_window))
        budget += sum(fleet.allowed(start + slot * DECODED_SETTINGS.overload_window, start) for slot in slots)
    assert used >= FAIR_SHARE * budget  # each proxy has a request for the server every 6 to 8 seconds


def test_two_slots_together_stay_within_the_limit() -> None:
    for connections in range(1, 80):
        fake = FakeHost(proxies=1)
        for key in range(connections):
            fake.establish(fake.request(key, server=fake.balancer.ready_servers[key % WARM_SERVERS]))
        fake.receive_endpoints({NEW_SERVER: EndpointStatus.READY}, started=fake.now)
        fake.advance(DECODED_SETTINGS.slow_start_time / 4)
        capacity = 1 - (1 - DECODED_SETTINGS.slow_start_initial_share) * 3 / 4
        allowed = (
            DECODED_SETTINGS.overload_factor
            * capacity
            * DECODED_SETTINGS.overload_window
            * connections
            / WARM_SERVERS
            / DECODED_SETTINGS.slow_start_time
        )
        slot = ceil(fake.balancer.slow_start.budget(fake.now, fake.server(NEW_SERVER)))
        assert 2 * slot <= allowed + 2 * sqrt(allowed) + 2, f"{connections} connections"


def test_permit_is_for_one_attempt() -> None:
    fakes = make_aggregating_fleet(3)
    advance_together(fakes, 6.0)
    aggregator = next(
        fake
        for fake in fakes
        if fake.balancer.server_pool.load_reports.aggregator == fake.balancer.settings.proxy_number
    )
    for server in aggregator.balancer.ready_servers:
        aggregator.receive_endpoints({server.id: EndpointStatus.REMOVED})
    aggregator.receive_endpoints({NEW_SERVER: EndpointStatus.READY}, started=aggregator.now)
    aggregator.advance(0.1)  # its budget is the minimum of one attempt
    request = aggregator.request(7)
    assert [attempt.server.id for attempt in request.attempts] == [NEW_SERVER]
    aggregator.end_attempt(request, AttemptOutcome.TIMEOUT, 0.01)
    assert len(request.attempts) == 1 and aggregator.calls(HostCall.REJECT)


def test_proxies_without_reports_do_not_probe_a_server_in_slow_start() -> None:
    unpeered, peered = (
        FakeHost(probes_endpoints=True, may_message_peers=peers, zone="a") for peers in (False, True)
    )
    for fake in (unpeered, peered):
        fake.receive_endpoints({NEW_SERVER: EndpointStatus.READY}, started=fake.now)
        fake.advance(DECODED_SETTINGS.slow_start_time - 1.0)
    assert NEW_SERVER not in {server.id for server in unpeered.calls(HostCall.PROBE)}
    assert {server.id for server in unpeered.calls(HostCall.PROBE)} and NEW_SERVER in {
        s.id for s in peered.calls(HostCall.PROBE)
    }
    unpeered.advance(5.0)
    assert NEW_SERVER in {server.id for server in unpeered.calls(HostCall.PROBE)}


def test_retry_has_to_connect_within_the_deduplication_window() -> None:
    traffic_class = replace(
        DECODED_SETTINGS.traffic_classes["feed"],
        idempotency=Idempotency.IDEMPOTENT_IN_GROUP,
        deduplication_window=0.5,
    )
    fake = FakeHost(traffic_classes={"feed": traffic_class})
    late_retry = fake.request(1)
    fake.advance(0.4)  # connecting may take 0.15 s more, and only then is the request sent
    fake.end_attempt(late_retry, AttemptOutcome.TIMEOUT, 0.4)
    early_retry = fake.request(1)
    fake.advance(0.3)
    fake.end_attempt(early_retry, AttemptOutcome.TIMEOUT, 0.3)
    assert (len(late_retry.attempts), len(early_retry.attempts)) == (1, 2)


def test_request_waiting_for_a_permit_is_answered_before_the_shutdown_ends() -> None:
    fakes = make_aggregating_fleet(3)
    advance_together(fakes, 6.0)
    requester = next(
        fake
        for fake in fakes
        if fake.balancer.server_pool.load_reports.aggregator != fake.balancer.settings.proxy_number
    )
    requester.peers = []
    requester.receive_endpoints(
        {server.id: EndpointStatus.REMOVED for server in requester.balancer.ready_servers}
    )
    requester.receive_endpoints({NEW_SERVER: EndpointStatus.READY}, started=requester.now)
    request = requester.request(7, time_left=4.5)
    assert not request.attempts
    requester.balancer.begin_shutdown(requester.now)
    # The request goes to this server once its permit request has timed out.
    requester.receive_endpoints({"10.0.0.1:80": EndpointStatus.READY})
    requester.advance(DECODED_SETTINGS.shutdown_time + 0.01)
    assert request.answered


@pytest.mark.parametrize("connections", [200, 1000])
def test_budget_is_spread_over_the_window_under_constant_demand(connections: int) -> None:
    # Guards against a window's whole budget being free at once when a slot begins.
    fake = FakeHost(proxies=1)
    for key in range(connections):
        fake.establish(fake.request(key, server=fake.balancer.ready_servers[key % WARM_SERVERS]))
    fake.receive_endpoints({NEW_SERVER: EndpointStatus.READY}, started=fake.now)
    starting = fake.server(NEW_SERVER)
    keys = (
        key for key in count(1000) if fake.balancer.ring.owner(place_on_ring(b"key %d" % key)) is starting
    )
    parts_per_window = 8
    part = DECODED_SETTINGS.overload_window / parts_per_window
    for _ in range(3 * parts_per_window):
        budget = fake.balancer.slow_start.budget(fake.now, starting)
        sent = 0
        for _ in range(2 * ceil(budget)):
            request = fake.request(next(keys))
            sent += request.attempts[0].server is starting
            fake.end_attempt(request, AttemptOutcome.CANCELLED, complete=True)
        assert sent <= ceil(budget / parts_per_window) + 1
        fake.advance(part)
