"""The budget of a server in slow start: what all proxies of a fleet send it together, in virtual time."""

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

STARTING = "10.0.0.9:80"  # the id of the server in slow start
WARM = 5  # servers
STEP = 0.05  # seconds
REQUEST_RATE = 30  # requests a second over the fleet
MEAN_SESSION_TIME = 10.0  # seconds
FIRST_START = 15.0  # seconds until the server starts
BURST_AT = 7.2  # seconds after the server's start
BURST_TIME = 1.5  # seconds that a burst lasts
FAIR_SHARE = 0.27  # of what the rule allows without its slack, for 200 proxies with 30 requests a second
UNEVEN = (0.4, 0.7, 1.0, 1.0, 1.0, 3.0)  # multiples of the mean that a proxy has of the clients


class Fleet:
    """Proxies with uneven shares of the clients.

    From the server's start on, all requests belong to it.
    """

    def __init__(self, proxies: int, kind: type[FakeHost], fault: str, seed: int) -> None:
        self.kind = kind
        self.fault = fault
        self.rng = Random(seed)
        self.fakes = make_fake_fleet(proxies, kind)
        self.weights = [self.rng.choice(UNEVEN) for _ in self.fakes]
        self.live = list(range(proxies))
        self.sent: list[float] = []
        self.starts: list[float] = []
        self.sessions: list[tuple[float, Any, Any]] = []
        self.keys = count()
        self.began_at = self.fakes[0].now

    def at(self, seconds: float) -> bool:
        """Returns whether the clock has just reached that time since the beginning."""
        return bool(abs(self.fakes[0].now - self.began_at - seconds) < STEP / 2)

    def aggregator(self) -> Any:
        """Returns the proxy that is the aggregator, if one is."""
        number = self.fakes[-1].balancer.server_pool.load_reports.aggregator
        return next((fake for fake in self.fakes if fake.balancer.settings.proxy_number == number), None)

    def cause_faults(self) -> None:
        """Starts the server, and causes the fault of this fleet when it is due."""
        again = (18.0, 20.5) if self.fault == "restarts" else ()
        if any(self.at(when) for when in (FIRST_START, *again)):
            self.starts.append(self.fakes[0].now)
            for fake in self.fakes:
                fake.receive_endpoints({STARTING: EndpointStatus.READY}, started=fake.now)
        aggregator = self.aggregator() if self.at(17.0) else None
        if aggregator and self.fault in ("dead", "stalled"):
            aggregator.peers = []  # its datagrams are lost
            if self.fault == "dead":
                self.live.remove(self.fakes.index(aggregator))
                for fake in self.fakes:
                    fake.peers = [other for other in fake.peers if other is not aggregator]
        if self.fault == "deaf" and self.at(17.0):
            for fake in self.fakes:
                fake.peers = []
        if self.fault == "new" and self.at(16.2):
            for number in self.rng.sample(self.live, 7 * len(self.live) // 10):
                self.restart(self.fakes[number])

    def restart(self, fake: FakeHost) -> None:
        """Restarts a proxy, which knows nothing then."""
        settings = fake.balancer.settings
        fake.timers = []
        fake.balancer = Balancer(fake, settings, 1000 + settings.proxy_number)
        fake.receive_endpoints({f"10.0.0.{n}:80": EndpointStatus.READY for n in range(WARM)}, complete=True)
        fake.receive_endpoints({STARTING: EndpointStatus.READY}, started=self.starts[-1])
        self.sessions = [each for each in self.sessions if each[1] is not fake]

    def key(self) -> int:
        ring = self.fakes[0].balancer.ring
        return next(
            key
            for key in self.keys
            if not self.starts or getattr(ring.owner(place_on_ring(b"key %d" % key)), "id", "") == STARTING
        )

    def request(self) -> None:
        fake = self.fakes[self.rng.choices(self.live, [self.weights[n] for n in self.live])[0]]
        request = fake.request(self.key())
        while request.active_attempt:
            self.sent += [fake.now] if request.active_attempt.server.id == STARTING else []
            if self.rng.random() < 0.1:
                fake.end_attempt(request, AttemptOutcome.FULL)  # it is refused, and retried
            else:
                fake.establish(request)
                self.sessions.append(
                    (fake.now + MEAN_SESSION_TIME * self.rng.uniform(0.5, 1.5), fake, request)
                )
                return

    def play(self) -> None:
        while self.fakes[0].now < self.began_at + FIRST_START + DECODED_SETTINGS.slow_start_time:
            for fake in self.fakes:
                fake.advance(STEP)
            self.cause_faults()
            for _ in range(int(REQUEST_RATE * STEP) + (self.rng.random() < REQUEST_RATE * STEP % 1)):
                self.request()
            for until, fake, request in [each for each in self.sessions if each[0] <= self.fakes[0].now]:
                fake.end_attempt(request, AttemptOutcome.OK, complete=True)
                self.sessions.remove((until, fake, request))

    def allowed(self, at: float, started: float) -> float:
        """Returns the attempts in an overload window that the settings allow, by what all really serve."""
        capacity = 1 - (1 - DECODED_SETTINGS.slow_start_initial_share) * (
            1 - (at - started) / DECODED_SETTINGS.slow_start_time
        )
        return (
            DECODED_SETTINGS.overload_factor
            * capacity
            * DECODED_SETTINGS.overload_window
            * REQUEST_RATE
            / WARM
        )


SEEDS = {  # of proxies that report to each other: the worst seeds found, by the number of proxies
    "none": {3: 5, 20: 0, 30: 3},
    "dead": {3: 0, 20: 7, 30: 7},
    "stalled": {3: 2, 20: 5, 30: 1},
    "deaf": {3: 7, 20: 7, 30: 3},
    "new": {3: 2, 20: 0, 30: 3},
    "restarts": {3: 5, 20: 1, 30: 3},
}
CASES: list[tuple[type[FakeHost], int, str, int]] = [
    (PeeredFakeHost, n, fault, seed) for fault, seeds in SEEDS.items() for n, seed in seeds.items()
]
CASES += [
    (FakeHost, 1, "none", 4),
    (FakeHost, 1, "restarts", 2),
    (FakeHost, 20, "none", 0),
    (FakeHost, 30, "restarts", 2),
]


@pytest.mark.parametrize(("kind", "proxies", "fault", "seed"), CASES)
def test_fleet_keeps_to_the_budget_under_faults(
    kind: type[FakeHost], proxies: int, fault: str, seed: int
) -> None:
    fleet = Fleet(proxies, kind, fault, seed)
    fleet.play()
    for started, until in zip(fleet.starts, [*fleet.starts[1:], inf], strict=True):
        sent = [at for at in fleet.sent if started <= at < until]
        for last in sent:
            in_time = sum(last - DECODED_SETTINGS.overload_window < at <= last for at in sent)
            allowed = fleet.allowed(last, started)
            assert in_time <= allowed + 2 * sqrt(allowed) + 2, f"{in_time} at {last - started:.2f} s"
    assert len(fleet.sent) > 40  # it gets requests all the same


class Burst(Fleet):
    """No request belongs to the server until it is some seconds old; then all do, and there are more."""

    def __init__(self, proxies: int, seed: int, times: int) -> None:
        super().__init__(proxies, FakeHost, "none", seed)
        self.times = times

    def is_in_burst(self, lasts: float) -> bool:
        """Returns whether the burst has begun, at most so many seconds ago."""
        since: float = self.fakes[0].now - self.began_at - FIRST_START - BURST_AT
        return 0.0 <= since < lasts

    def key(self) -> int:
        ring = self.fakes[0].balancer.ring
        wanted = self.is_in_burst(inf)
        return next(
            key
            for key in self.keys
            if (getattr(ring.owner(place_on_ring(b"key %d" % key)), "id", "") == STARTING) == wanted
        )

    def request(self) -> None:
        for _ in range(self.times if self.is_in_burst(BURST_TIME) else 1):
            super().request()


def excess(fleet: Fleet) -> float:
    """Returns by how many attempts the worst overload window is over the rule."""
    over = [-inf]
    for last in fleet.sent:
        in_time = sum(last - DECODED_SETTINGS.overload_window < at <= last for at in fleet.sent)
        allowed = fleet.allowed(last, fleet.starts[0])
        over.append(in_time - (allowed + 2 * sqrt(allowed) + 2))
    return max(over)


@pytest.mark.parametrize("times", [1, 5])  # five and 25 times its usual requests
@pytest.mark.parametrize("proxies", [1, 3, 20, 30, 200, 230])
def test_burst_keeps_to_the_budget(proxies: int, times: int) -> None:
    for seed in range(3):
        fleet = Burst(proxies, seed, times)
        fleet.play()
        assert excess(fleet) <= 0.0, f"seed {seed}"


@pytest.mark.parametrize("proxies", [200, 230])
def test_many_proxies_without_reports_use_a_fair_share_of_the_budget(
    proxies: int,
) -> None:
    used = 0.0
    budget = 0.0
    for seed in range(4):
        fleet = Fleet(proxies, FakeHost, "none", seed)
        fleet.play()
        assert excess(fleet) <= 0.0, f"seed {seed}"
        used += len(fleet.sent)
        start = fleet.starts[0]
        slots = range(int(DECODED_SETTINGS.slow_start_time / DECODED_SETTINGS.overload_window))
        budget += sum(fleet.allowed(start + slot * DECODED_SETTINGS.overload_window, start) for slot in slots)
    assert used >= FAIR_SHARE * budget  # each proxy has a request for it every six seconds


def test_two_slots_hold_no_more_than_the_rule_allows() -> None:
    for held in range(1, 80):
        fake = FakeHost(proxies=1)
        for key in range(held):
            fake.establish(fake.request(key, server=fake.balancer.ready_servers[key % WARM]))
        fake.receive_endpoints({STARTING: EndpointStatus.READY}, started=fake.now)
        fake.advance(DECODED_SETTINGS.slow_start_time / 4)
        capacity = 1 - (1 - DECODED_SETTINGS.slow_start_initial_share) * 3 / 4
        allowed = (
            DECODED_SETTINGS.overload_factor
            * capacity
            * DECODED_SETTINGS.overload_window
            * held
            / WARM
            / DECODED_SETTINGS.slow_start_time
        )
        slot = ceil(fake.balancer.slow_start.budget(fake.now, fake.server(STARTING)))
        assert 2 * slot <= allowed + 2 * sqrt(allowed) + 2, f"{held} held"


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
    aggregator.receive_endpoints({STARTING: EndpointStatus.READY}, started=aggregator.now)
    aggregator.advance(0.1)  # its budget is the one attempt that harms no server
    request = aggregator.request(7)
    assert [attempt.server.id for attempt in request.attempts] == [STARTING]
    aggregator.end_attempt(request, AttemptOutcome.TIMEOUT, 0.01)
    assert len(request.attempts) == 1 and aggregator.calls(HostCall.REJECT)


def test_proxies_without_reports_do_not_probe_a_server_in_slow_start() -> None:
    alone, reporting = (
        FakeHost(probes_endpoints=True, may_message_peers=peers, zone="a") for peers in (False, True)
    )
    for fake in (alone, reporting):
        fake.receive_endpoints({STARTING: EndpointStatus.READY}, started=fake.now)
        fake.advance(DECODED_SETTINGS.slow_start_time - 1.0)
    assert STARTING not in {server.id for server in alone.calls(HostCall.PROBE)}
    assert {server.id for server in alone.calls(HostCall.PROBE)} and STARTING in {
        s.id for s in reporting.calls(HostCall.PROBE)
    }
    alone.advance(5.0)
    assert STARTING in {server.id for server in alone.calls(HostCall.PROBE)}


def test_retry_has_to_be_connected_within_the_deduplication_window() -> None:
    traffic_class = replace(
        DECODED_SETTINGS.traffic_classes["feed"],
        idempotency=Idempotency.IDEMPOTENT_IN_GROUP,
        deduplication_window=0.5,
    )
    fake = FakeHost(traffic_classes={"feed": traffic_class})
    late = fake.request(1)
    fake.advance(0.4)  # a connection may take 0.15 s more, and only then the request is sent
    fake.end_attempt(late, AttemptOutcome.TIMEOUT, 0.4)
    soon = fake.request(1)
    fake.advance(0.3)
    fake.end_attempt(soon, AttemptOutcome.TIMEOUT, 0.3)
    assert (len(late.attempts), len(soon.attempts)) == (1, 2)


def test_request_waiting_for_a_permit_is_answered_before_the_shutdown_ends() -> None:
    fakes = make_aggregating_fleet(3)
    advance_together(fakes, 6.0)
    asking = next(
        fake
        for fake in fakes
        if fake.balancer.server_pool.load_reports.aggregator != fake.balancer.settings.proxy_number
    )
    asking.peers = []
    asking.receive_endpoints({server.id: EndpointStatus.REMOVED for server in asking.balancer.ready_servers})
    asking.receive_endpoints({STARTING: EndpointStatus.READY}, started=asking.now)
    request = asking.request(7, time_left=4.5)
    assert not request.attempts
    asking.balancer.begin_shutdown(asking.now)
    # The request goes there once its permit request has timed out.
    asking.receive_endpoints({"10.0.0.1:80": EndpointStatus.READY})
    asking.advance(DECODED_SETTINGS.shutdown_time + 0.01)
    assert request.answered
