"""Fleets in virtual time whose servers share one store: their behaviour when the store is overloaded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from brambleplank import records
from brambleplank.decisions.balancer import Balancer
from brambleplank.model import AttemptOutcome, EndpointStatus
from brambleplank.records import Request
from tests.fake_host import PeeredFakeHost
from tests.sample_settings import DECODED_SETTINGS, FEED

PROXIES = 200
SERVERS = 40
SESSIONS = 1000
STORE_RATE = 120.0  # calls per second that the store answers, one after another
ATTEMPT_DELAY = 0.03  # seconds that an attempt takes in addition to the store's time
RESET_SESSIONS = 360  # sessions that are reset at the same time
RESTART_STEP = 1.6  # seconds between the restarts of one tenth of the proxies and the next
MAX_RETRY_AFTER = 1.0  # seconds


class Member(PeeredFakeHost):
    """A proxy. An attempt is established when the store answers; if it ends early, its call stays queued."""

    def __init__(self, fleet: SharedStore, number: int, peers: bool) -> None:
        self.fleet = fleet
        self.unanswered: set[Request] = set()
        traffic_classes = {"feed": replace(FEED, max_attempts=5)}
        super().__init__(
            servers=SERVERS,
            seed=number,
            proxies=PROXIES,
            proxy_number=number,
            max_retry_after=MAX_RETRY_AFTER,
            traffic_classes=traffic_classes,
            may_message_peers=peers,
            probes_endpoints=peers,
        )

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        balancer = getattr(self, "balancer", None)
        self.fleet.schedule(delay, lambda: self.run_timer(balancer, call))

    def run_timer(self, balancer: Balancer | None, call: Callable[[float], None]) -> None:
        if balancer in (None, self.balancer):  # otherwise it has been restarted since
            self.now = self.fleet.now
            call(self.now)

    def start_attempt(self, request: Request, server: records.Server, max_wait: float) -> None:
        balancer = self.balancer
        number = len(request.attempts) - 1
        self.fleet.attempts.append(self.fleet.now)
        self.fleet.schedule(self.fleet.enqueue_call(), lambda: self.answer(balancer, request, number))
        self.fleet.schedule(
            max_wait, lambda: self.end_pending(balancer, request, number, AttemptOutcome.TIMEOUT)
        )

    def cancel_attempt(self, request: Request, number: int) -> None:
        balancer = self.balancer
        self.fleet.schedule(
            0.0, lambda: self.end_pending(balancer, request, number, AttemptOutcome.CANCELLED)
        )

    def is_pending(self, balancer: Balancer, request: Request, number: int) -> bool:
        self.now = self.fleet.now
        attempt = request.attempts[number]
        return balancer is self.balancer and not (attempt.ended or attempt.established)

    def arrive(self, key: int) -> None:
        self.now = self.fleet.now
        request = self.request(key, reconnecting=True)
        if not request.answered:
            self.unanswered.add(request)

    def answer(self, balancer: Balancer, request: Request, number: int) -> None:
        if self.is_pending(balancer, request, number):
            balancer.attempt_established(self.now, request, number, self.now - request.attempts[number].sent)
            self.unanswered.discard(request)
            self.fleet.sessions.append((self, request))

    def end_pending(self, balancer: Balancer, request: Request, number: int, outcome: AttemptOutcome) -> None:
        if self.is_pending(balancer, request, number):
            balancer.attempt_ended(
                self.now, request, number, outcome, self.now - request.attempts[number].sent, False
            )

    def reject(self, request: Request, retry_after: float) -> None:
        self.unanswered.discard(request)
        self.fleet.reconnect(retry_after)

    def probe(self, server: records.Server) -> None:
        """Does nothing, as the answers would show no overload."""


class SharedStore:
    """A fleet, its clients, and the store, which serves its queue in order, abandoned calls included."""

    def __init__(self, seed: int, peers: bool) -> None:
        self.now = 400_000.0
        self.rng = Random(seed)
        self.event_numbers = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.busy_until = 0.0
        self.keys = count()
        self.attempts: list[float] = []
        self.sessions: list[tuple[Member, Request]] = []
        self.members = [Member(self, number, peers) for number in range(PROXIES)]
        for member in self.members if peers else []:
            member.peers = [other for other in self.members if other is not member]

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        heappush(self.events, (self.now + delay, next(self.event_numbers), call))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heappop(self.events)
            call()
        self.now = until

    def enqueue_call(self) -> float:
        self.busy_until = max(self.busy_until, self.now) + 1 / STORE_RATE
        return self.busy_until - self.now + ATTEMPT_DELAY

    def arrive_somewhere(self) -> None:
        self.rng.choice(self.members).arrive(next(self.keys))

    def reconnect(self, retry_after: float) -> None:
        """Schedules a client's reconnection; half of the clients respect the retry-after."""
        delay = retry_after if self.rng.random() < 0.5 else 0.0
        self.schedule(delay + self.rng.uniform(0.02, 0.1), self.arrive_somewhere)

    def establish_sessions(self) -> None:
        """Establishes all sessions, before the first fault."""
        for number in range(SESSIONS):
            self.schedule(number * 25 / SESSIONS, self.arrive_somewhere)
        self.run(30.0)
        assert len(self.sessions) == SESSIONS

    def reset_sessions(self, number: int) -> None:
        for member, request in [self.sessions.pop() for _ in range(number)]:
            member.now = self.now
            member.end_attempt(request, AttemptOutcome.RESET)
            self.schedule(self.rng.uniform(0.0, 0.5), self.arrive_somewhere)

    def restart(self, member: Member) -> None:
        """Restarts a proxy: it gets the endpoint list only, and its clients reconnect soon."""
        member.now = self.now
        settings = member.balancer.settings
        member.balancer = Balancer(member, settings, 1000 + settings.proxy_number)
        member.receive_endpoints(
            {f"10.0.0.{n}:80": EndpointStatus.READY for n in range(SERVERS)}, complete=True
        )
        ended = [each for each in self.sessions if each[0] is member]
        self.sessions = [each for each in self.sessions if each[0] is not member]
        for _ in [*ended, *member.unanswered]:
            self.schedule(self.rng.uniform(0.0, 0.7), self.arrive_somewhere)
        member.unanswered.clear()

    def restart_all(self) -> list[int]:
        """Restarts one tenth of the proxies per step. Returns the established sessions after each step."""
        established = []
        for tenth in range(10):
            for member in self.members[tenth::10]:
                self.restart(member)
            self.run(RESTART_STEP)
            established.append(len(self.sessions))
        return established


@pytest.mark.parametrize("peers", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
def test_retries_do_not_keep_a_shared_store_overloaded_while_all_proxies_restart(
    seed: int, peers: bool
) -> None:
    fleet = SharedStore(seed, peers)
    fleet.establish_sessions()
    fleet.reset_sessions(RESET_SESSIONS)
    established = fleet.restart_all()
    # The store recovers from the reset within seconds; the restarts cause half of the load it can take.
    assert min(established[4:]) > 0.75 * SESSIONS, established
    fleet.run(2 * DECODED_SETTINGS.shutdown_time)
    assert len(fleet.sessions) > 0.98 * SESSIONS
