"""The settled wall time, with which dates are compared, does not follow a forward step at once."""

from __future__ import annotations

import pytest

from brambleplank.net.clock import Clock

START_TIME = 1_800_000_000.0
HOUR = 3600.0


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> dict[str, float]:
    """The wall clock and the monotonic clock, set by the test."""
    clocks = {"wall": START_TIME, "monotonic": 500.0}
    monkeypatch.setattr("brambleplank.net.clock.time.time", lambda: clocks["wall"])
    monkeypatch.setattr("brambleplank.net.clock.time.monotonic", lambda: clocks["monotonic"])
    return clocks


def advance(clocks: dict[str, float], seconds: float) -> None:
    for clock in clocks:
        clocks[clock] += seconds


def test_forward_step_takes_effect_once_it_has_settled(clocks: dict[str, float]) -> None:
    clock = Clock()
    clocks["wall"] += HOUR
    for _ in range(14):
        assert clock.settled_wall_time() < START_TIME + 0.5 * HOUR
        advance(clocks, 60.0)
    clocks["wall"] -= HOUR  # the step is reverted before it has settled
    assert clock.settled_wall_time() == pytest.approx(START_TIME + 14 * 60.0)
    clocks["wall"] += HOUR
    for _ in range(16):
        clock.settled_wall_time()
        advance(clocks, 60.0)
    assert clock.settled_wall_time() == pytest.approx(clocks["wall"])


def test_backward_step_and_slow_drift_take_effect_at_once(clocks: dict[str, float]) -> None:
    clock = Clock()
    clocks["wall"] -= HOUR
    assert clock.settled_wall_time() == pytest.approx(START_TIME - HOUR)
    for _ in range(100):
        advance(clocks, 60.0)
        clocks["wall"] += 0.01
        assert clock.settled_wall_time() == pytest.approx(clocks["wall"])
