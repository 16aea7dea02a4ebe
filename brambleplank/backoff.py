"""Waits that grow from one attempt to the next, up to a longest one. Free of I/O."""

from __future__ import annotations


def exponential_backoff(first: float, factor: float, steps: int, longest: float) -> float:
    """Returns `first` times `factor` for each of the steps, at most `longest` seconds.

    Worked out as a power, it would raise OverflowError once attempts have failed for an hour. `factor` is
    over 1.
    """
    wait = first
    for _ in range(steps):
        if wait >= longest:
            break
        wait *= factor
    return min(wait, longest)
