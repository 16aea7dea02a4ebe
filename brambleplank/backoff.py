"""Exponential backoff with an upper bound. Free of I/O."""

from __future__ import annotations


def exponential_backoff(first: float, factor: float, steps: int, longest: float) -> float:
    """Returns `first` multiplied by `factor` once for each step, at most `longest` seconds.

    Multiplies in a loop that ends at `longest`: `factor ** steps` would raise OverflowError once attempts
    have failed for an hour. `factor` must be greater than 1.
    """
    wait = first
    for _ in range(steps):
        if wait >= longest:
            break
        wait *= factor
    return min(wait, longest)
