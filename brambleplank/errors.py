"""Base class of all errors that this program raises.

Each error holds a problem, its location and advice. Whoever catches `BrambleplankError` at the top level (a
start, a reload, an operator's call) reports all three in one line; code below that doesn't print. `location`
is a key, a file and line, an address or a process, named as in the file.
"""

from __future__ import annotations


class BrambleplankError(Exception):
    """A problem, its location and advice for the operator; `ADVICE` is the default advice of a type."""

    ADVICE = "report this with the log line before it"

    def __init__(self, problem: str = "", location: str = "", advice: str = "") -> None:
        super().__init__(problem)
        self.problem = problem or type(self).__name__
        self.location = location
        self.advice = advice or self.ADVICE

    def __str__(self) -> str:
        return f"{self.location}: {self.problem}" if self.location else self.problem

    def with_advice(self) -> str:
        """Returns the error with its advice, in one line."""
        return f"{self}; {self.advice}"
