"""The log: lines on standard error, so many a second at most."""

from __future__ import annotations

import sys
from collections.abc import Callable
from contextlib import suppress
from typing import Any

MAX_LINES_PER_SECOND = 200
MAX_TURNED_AWAY = 20  # of these, about clients that were turned away
MAX_ATTEMPTS = 40  # of these, about attempts that were not established


def format_plain_line(now: float, text: str, fields: dict[str, Any]) -> str:  # noqa: ARG001
    """Returns the time in Unix seconds and the text."""
    return f"{now:.3f} {text}"


def is_logged_occurrence(count: int) -> bool:
    """Returns whether the occurrence of this number, from 1, of a recurring event is logged.

    The first, the second, the fourth and so on are, so that a flood of one event leaves room for others.
    """
    return count & (count - 1) == 0


class LogWriter:
    """Writes lines up to a limit: a storm of them would fill the pipe behind standard error, and block."""

    def __init__(
        self,
        clock: Callable[[], float],
        form: Callable[[float, str, dict[str, Any]], str] = format_plain_line,
    ) -> None:
        """`form` makes a line of a time, a text and the fields of the text."""
        self._clock = clock
        self._form = form
        self._second = 0
        self._printed = 0
        self._dropped = 0
        self._turned_away = 0
        self._attempts = 0

    def write_line(self, text: str, turned_away: bool = False, attempt: bool = False, **fields: Any) -> None:
        """Writes a line; the fields are what the text says, for forms that keep them apart."""
        now = self._clock()
        if int(now) != self._second:
            if self._dropped:
                dropped = f"log: {self._dropped} lines dropped"
                self.print_line(self._form(now, dropped, {"dropped": self._dropped}))
            self._second = int(now)
            self._printed = 0
            self._dropped = 0
            self._turned_away = 0
            self._attempts = 0
        self._turned_away += turned_away
        self._attempts += attempt
        too_many = (turned_away and self._turned_away > MAX_TURNED_AWAY) or (
            attempt and self._attempts > MAX_ATTEMPTS
        )
        if self._printed >= MAX_LINES_PER_SECOND or too_many:
            self._dropped += 1
            return
        self._printed += 1
        self.print_line(self._form(now, text, fields))

    @staticmethod
    def print_line(line: str) -> None:
        """Prints a line; a reader that is gone must not make a request, or the shutdown, fail."""
        with suppress(OSError, ValueError):
            print(line, file=sys.stderr, flush=True)
