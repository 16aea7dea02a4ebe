"""Start times in endpoint lists, by clocks that may be wrong, converted to the monotonic clock."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brambleplank.decisions.start_times import MAX_CLOCK_ERROR, StartTimes
from brambleplank.model import Endpoint, EndpointStatus

# The true Unix time is UNIX at monotonic time NOW.
NOW = 5_000.0
UNIX = 1_800_000_000.0
SLOW_START_TIME = 20.0
HOUR = 3600.0


def make_endpoint(server_id: str, started: float, status: EndpointStatus = EndpointStatus.READY) -> Endpoint:
    return Endpoint(server_id, "a", 0, status, 1.0, started)


def convert(times: StartTimes, now: float, wall_time: float, **starts: float) -> dict[str, float]:
    entries = [make_endpoint(server_id, started) for server_id, started in starts.items()]
    return {
        converted[0]: converted[5]
        for converted in times.to_monotonic(now, wall_time, entries, True, SLOW_START_TIME)
    }


def make_start_times(wall_time: float) -> StartTimes:
    """Returns the start times of a process that follows a list of servers started long ago."""
    times = StartTimes()
    convert(times, NOW - 60.0, wall_time - 60.0, s0=0.0, s1=UNIX - 10 * HOUR, s2=UNIX - 9 * HOUR)
    times.list_completed(NOW)
    return times


@pytest.mark.parametrize("clock_error", [-HOUR, -5.0, 0.0, 5.0, HOUR])
@pytest.mark.parametrize("list_clock_error", [-HOUR, -5.0, 0.0, 5.0, HOUR])
def test_new_start_is_no_older_than_the_list_without_it(clock_error: float, list_clock_error: float) -> None:
    times = make_start_times(UNIX + clock_error)
    assert (
        NOW
        <= convert(times, NOW + 0.5, UNIX + 0.5 + clock_error, new=UNIX + 0.4 + list_clock_error)["new"]
        <= NOW + 0.5
    )


def test_correct_clock_gives_the_age_after_an_outage() -> None:
    times = make_start_times(UNIX)
    starts = convert(times, NOW + 8.0, UNIX + 8.0, first=UNIX + 2.0, last=UNIX + 8.0)
    assert starts == {"first": NOW + 2.0, "last": NOW + 8.0}


def test_first_list_trusts_neither_clock_alone() -> None:
    clock_ahead = convert(StartTimes(), NOW, UNIX + HOUR, s0=0.0, s1=0.0, old=UNIX - 30.0, cold=UNIX - 1.0)
    assert clock_ahead == {"s0": 0.0, "s1": 0.0, "old": NOW - 29.0, "cold": NOW}
    wrong_server_clock = convert(StartTimes(), NOW, UNIX, s0=0.0, s1=0.0, wrong=UNIX + HOUR, cold=UNIX - 1.0)
    assert wrong_server_clock == {"s0": 0.0, "s1": 0.0, "wrong": NOW, "cold": NOW - 1.0}


def test_first_list_of_a_fleet_started_together_trusts_the_wall_clock() -> None:
    starts = convert(StartTimes(), NOW, UNIX, s0=UNIX - 300.0, s1=UNIX - 301.0, s2=UNIX - 302.0)
    assert starts == {"s0": NOW - 300.0, "s1": NOW - 301.0, "s2": NOW - 302.0}


def test_start_beyond_any_clock_error_is_old() -> None:
    assert (
        convert(StartTimes(), NOW, UNIX, s0=0.0, s1=UNIX - MAX_CLOCK_ERROR - 1)["s1"] < NOW - SLOW_START_TIME
    )


def test_changes_to_a_first_list_are_not_trusted() -> None:
    times = StartTimes()
    convert(times, NOW, UNIX + HOUR, s0=0.0, s1=0.0, s2=0.0)
    change = times.to_monotonic(
        NOW + 0.1, UNIX + HOUR, [make_endpoint("new", UNIX - 1.0)], False, SLOW_START_TIME
    )
    assert change[0][5] == pytest.approx(NOW + 0.1)


def test_newer_start_proves_older_starts_of_a_first_list() -> None:
    times = StartTimes()
    first = convert(times, NOW, UNIX, s0=0.0, s1=0.0, s2=0.0, one=UNIX - 9.0, two=UNIX - 7.0)
    assert first["one"] == NOW - 2.0 and first["two"] == NOW
    convert(times, NOW + 1.0, UNIX + 1.0, newer=UNIX + 0.5)
    assert times.starts["one"][1] == pytest.approx(NOW - 8.5)
    assert times.starts["two"][1] == pytest.approx(NOW - 6.5)
    # A server whose clock is ahead proves no more than this machine's wall clock.
    convert(times, NOW + 2.0, UNIX + 2.0, wrong=UNIX + HOUR)
    assert times.starts["one"][1] == pytest.approx(NOW - 9.0)


def test_start_reported_again_after_a_clock_step_is_the_same() -> None:
    times = make_start_times(UNIX)
    first = convert(times, NOW + 0.5, UNIX + 0.5, new=UNIX + 0.4)
    assert convert(times, NOW + 9.0, UNIX + 9.0 - HOUR, new=UNIX + 0.4) == first
    assert convert(times, NOW + 9.0, UNIX + 9.0, new=0.0) == first


def test_start_reported_earlier_than_before_is_a_new_start() -> None:
    times = make_start_times(UNIX)
    convert(times, NOW + 0.5, UNIX + 0.5, new=UNIX + 0.4)
    times.list_completed(NOW + 30.0)
    assert convert(times, NOW + 31.0, UNIX + 31.0, new=UNIX + 31.0 - HOUR)["new"] >= NOW + 30.0


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(-1e12, 1e12)), max_size=12), st.floats(0, 1e10))
def test_start_is_neither_in_the_future_nor_negative(
    starts: list[tuple[str, float]], wall_time: float
) -> None:
    times = StartTimes()
    for step, (server_id, started) in enumerate(starts):
        converted = convert(times, NOW + step, wall_time, **{server_id: started})[server_id]
        assert 0.0 <= converted <= NOW + step
