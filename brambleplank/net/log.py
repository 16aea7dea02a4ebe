"""The log: lines on standard error, with a rate limit."""

from __future__ import annotations

import sys
from collections.abc import Callable
from contextlib import suppress
from typing import Any

MAX_LINES_PER_SECOND = 200
MAX_TURNED_AWAY_LINES = 20  # of these per second, on clients that were turned away
MAX_ATTEMPT_LINES = 40  # of these per second, on attempts that were not established


def format_plain_line(now: float, text: str, fields: dict[str, Any]) -> str:  # noqa: ARG001
    """Returns the time in Unix seconds and the text."""
    return f"{now:.3f} {text}"


def is_logged_occurrence(count: int) -> bool:
    """Returns whether an occurrence of a recurring event, numbered from 1, is logged.

    The 1st, 2nd, 4th, 8th and so on are, so that frequent events don't crowd out other lines.
    """
    return count & (count - 1) == 0


class LogWriter:
    """Writes log lines up to a rate limit: a burst could fill standard error's pipe and block the process."""

    def __init__(
        self,
        clock: Callable[[], float],
        format_line: Callable[[float, str, dict[str, Any]], str] = format_plain_line,
    ) -> None:
        """`format_line` returns a log line for a time, a text and the fields that the text contains."""
        self._clock = clock
        self._format_line = format_line
        self._second = 0
        self._written = 0
        self._dropped = 0
        self._turned_away = 0
        self._attempts = 0

    def write_line(self, text: str, turned_away: bool = False, attempt: bool = False, **fields: Any) -> None:
        """Writes a line; the fields are the values in the text, for structured formats."""
        now = self._clock()
        if int(now) != self._second:
            if self._dropped:
                dropped = f"log: {self._dropped} lines dropped"
                self.print_line(self._format_line(now, dropped, {"dropped": self._dropped}))
            self._second = int(now)
            self._written = 0
            self._dropped = 0
            self._turned_away = 0
            self._attempts = 0
        self._turned_away += turned_away
        self._attempts += attempt
        too_many = (turned_away and self._turned_away > MAX_TURNED_AWAY_LINES) or (
            attempt and self._attempts > MAX_ATTEMPT_LINES
        )
        if self._written >= MAX_LINES_PER_SECOND or too_many:
            self._dropped += 1
            return
        self._written += 1
        self.print_line(self._format_line(now, text, fields))

    @staticmethod
    def print_line(line: str) -> None:
        """Prints a line, ignoring a closed pipe, which must not fail a request or the shutdown."""
        with suppress(OSError, ValueError):
            print(line, file=sys.stderr, flush=True)
