"""The tokens that all proxies of a fleet use at one server in slow start, without aggregators."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, replace
from math import sqrt
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brambleplank.decisions.slow_start import SlowStartBudget
from brambleplank.decisions.slow_start_slots import SlowStartSlots
from brambleplank.records import Server
from tests.sample_settings import DECODED_SETTINGS

WINDOW = DECODED_SETTINGS.overload_window
STARTED = 100.0  # when the server started
DURATION = 6 * WINDOW  # seconds of each simulation
FEW_ATTEMPTS = 30  # sustainable attempts per window below which the slack is larger


class FixedBudget(SlowStartBudget):
    """The budget of a server that can sustain the same number of attempts at any age."""

    sustainable = 1.0

    def sustainable_attempts(self, now: float, server: Server) -> float:
        return self.sustainable


@dataclass
class TokenUser:
    """The budget of one proxy, and its record of the server."""

    number: int
    budget: FixedBudget
    server: Server

    def try_attempt(self, now: float) -> bool:
        """Uses a token if one is usable; returns whether it did."""
        if self.budget.usable_tokens(now, self.server, [self.number]) <= 0:
            return False
        self.server.slow_start_sent += 1
        return True


def make_users(proxies: int, sustainable: float) -> list[TokenUser]:
    """Returns the proxies of a fleet, which all know what the server can sustain."""
    settings = replace(DECODED_SETTINGS, proxies=proxies, may_message_peers=False)
    context: Any = SimpleNamespace(settings=settings)
    endpoints: Any = SimpleNamespace(warm_count=5)
    counts: Any = SimpleNamespace(max_on_ready=0)
    users = []
    for number in range(proxies):
        pool = SimpleNamespace(slots=SlowStartSlots(context, endpoints, counts))
        budget = FixedBudget(context, cast(Any, pool))
        budget.sustainable = sustainable
        server = Server("10.0.0.9:80", STARTED)
        server.started = STARTED
        users.append(TokenUser(number, budget, server))
    return users


def attempts(users: list[TokenUser], requests_per_window: float, rng: Random) -> list[float]:
    """Returns when the proxies send attempts; requests arrive at random, at random proxies."""
    sent = []
    now = STARTED + rng.expovariate(requests_per_window / WINDOW)
    while now < STARTED + DURATION:
        if rng.choice(users).try_attempt(now):
            sent.append(now)
        now += rng.expovariate(requests_per_window / WINDOW)
    return sent


def most_in_a_window(sent: list[float]) -> int:
    """Returns the most attempts in any overload window."""
    return max((bisect_right(sent, at + WINDOW) - index for index, at in enumerate(sent)), default=0)


def limit(sustainable: float) -> float:
    """Returns the attempts per window that do not push the server over."""
    slack = 2 if sustainable >= FEW_ATTEMPTS else 3
    return sustainable + slack * sqrt(sustainable) + slack


@given(
    proxies=st.sampled_from([1, 2, 3, 7, 20, 64, 149]),
    sustainable=st.floats(0.5, 400.0),
    demand=st.floats(0.1, 20.0),
    seed=st.integers(0, 2**32),
)
def test_no_window_exceeds_what_the_server_sustains(
    proxies: int, sustainable: float, demand: float, seed: int
) -> None:
    sent = attempts(make_users(proxies, sustainable), demand * sustainable, Random(seed))
    assert most_in_a_window(sent) <= limit(sustainable)


@pytest.mark.parametrize("proxies", [200, 640])
@pytest.mark.parametrize("sustainable", [3.0, 12.0, 60.0, 300.0])
@pytest.mark.parametrize("demand", [0.5, 2.0, 8.0])
def test_no_window_exceeds_it_in_slots_of_two_windows(
    proxies: int, sustainable: float, demand: float
) -> None:
    sent = attempts(make_users(proxies, sustainable), demand * sustainable, Random(7))
    assert most_in_a_window(sent) <= limit(sustainable)
