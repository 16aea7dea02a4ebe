"""Faults found in a file, and a placeholder for values that could not be decoded."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import asdict, dataclass
from typing import Any

from brambleplank.errors import BrambleplankError


@dataclass(frozen=True, order=True)
class Fault:
    """One fault in a file: its line and key, what is wrong, and what to write instead."""

    line: int
    key: str
    wrong: str
    instead: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.key}: {self.wrong}; {self.instead}"

    def to_dict(self) -> dict[str, Any]:
        """Returns the fault as a dictionary for JSON output."""
        return asdict(self)


class UnreadableValueError(BrambleplankError):
    """A rule used a value that could not be decoded."""

    ADVICE = "fix the reported faults; the rules that depend on these values are checked after that"


class UnreadableValue:
    """Placeholder for a value that could not be decoded, so that the rest of the file can still be checked.

    A default in its place would be checked as if the file contained it. Any use of the placeholder raises
    UnreadableValueError instead, and `apply_rules` skips the rule that used it.
    """

    def _raise(self, *_: object) -> Any:
        raise UnreadableValueError

    __getattr__ = __eq__ = __ne__ = __lt__ = __le__ = __gt__ = __ge__ = _raise
    __bool__ = __len__ = __iter__ = __getitem__ = __contains__ = __hash__ = __str__ = __format__ = _raise
    __add__ = __radd__ = __sub__ = __rsub__ = __mul__ = __rmul__ = __float__ = __int__ = _raise


UNREADABLE: Any = UnreadableValue()


def apply_rules(rules: Iterable[Callable[[], object]]) -> None:
    """Calls each rule, and skips those that use a value which could not be decoded."""
    for rule in rules:
        with suppress(UnreadableValueError):
            rule()
