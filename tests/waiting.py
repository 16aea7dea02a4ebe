"""Waiting for a condition, with a limit."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

TEST_TIMEOUT = 15.0  # seconds; far longer than any single step of a test takes
POLL_INTERVAL = 0.02  # seconds


def wait_until(condition: Callable[[], Any], timeout: float = TEST_TIMEOUT) -> Any:
    """Returns the first true value of a condition; fails the test if there is none before the timeout."""
    pause = threading.Event()
    deadline = time.monotonic() + timeout
    while not (value := condition()):
        assert time.monotonic() < deadline, f"never true: {getattr(condition, '__qualname__', condition)}"
        pause.wait(POLL_INTERVAL)
    return value
