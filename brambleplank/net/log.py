"""The log: lines on standard error, with a rate limit. Writing never waits for the reader."""

from __future__ import annotations

import atexit
import sys
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from brambleplank.net.log_output import LogOutput, open_log_output

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
    """Writes log lines up to a rate limit, and counts the lines that were dropped."""

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
        self._output: LogOutput | None = None
        self._has_opened_output = False

    def write_line(self, text: str, turned_away: bool = False, attempt: bool = False, **fields: Any) -> None:
        """Writes a line; the fields are the values in the text, for structured formats."""
        now = self._clock()
        if int(now) != self._second:
            if self._dropped:
                dropped = f"log: {self._dropped} lines dropped"
                if self.print_line(self._format_line(now, dropped, {"dropped": self._dropped})):
                    self._dropped = 0
            self._second = int(now)
            self._written = 0
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
        if not self.print_line(self._format_line(now, text, fields)):
            self._dropped += 1

    def print_line(self, line: str) -> bool:
        """Prints a line; returns False if it was dropped, as the reader does not read.

        Ignores a closed pipe, which must not fail a request or the shutdown.
        """
        with suppress(OSError, ValueError):
            output = self._open_output()
            if output is not None:
                return output.write_line(line)
            print(line, file=sys.stderr, flush=True)
        return True

    def flush(self) -> None:
        """Writes lines that wait for the reader, as far as it has room; called periodically."""
        if self._output is not None:
            self._output.flush()

    def _open_output(self) -> LogOutput | None:
        """Returns the output to standard error's pipe or socket, opened once; None for a file or terminal."""
        if not self._has_opened_output:
            self._has_opened_output = True
            with suppress(OSError, ValueError):  # a replaced standard error may have no descriptor
                self._output = open_log_output(sys.stderr.fileno())
            if self._output is not None:
                atexit.register(self._output.drain)
        return self._output
