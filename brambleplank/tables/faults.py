"""Faults of a file, and values that could not be read because of one."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import asdict, dataclass
from typing import Any

from brambleplank.errors import BrambleplankError


@dataclass(frozen=True, order=True)
class Fault:
    """One thing that is wrong in a file: where, what, and what to write instead."""

    line: int
    key: str
    wrong: str
    instead: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.key}: {self.wrong}; {self.instead}"

    def to_dict(self) -> dict[str, Any]:
        """Returns it as JSON has it."""
        return asdict(self)


class UnreadableValueError(BrambleplankError):
    """Something was made of a value that could not be read."""

    ADVICE = "mend the faults that are named; what rests on them is judged then"


class UnreadableValue:
    """Stands for a value with a fault, so that the rest of its file can still be judged.

    A default in its place would be judged as if someone had written it. Any use of it raises
    UnreadableValueError instead, and a rule that needs it is left out.
    """

    def _raise(self, *_: object) -> Any:
        raise UnreadableValueError

    __getattr__ = __eq__ = __ne__ = __lt__ = __le__ = __gt__ = __ge__ = _raise
    __bool__ = __len__ = __iter__ = __getitem__ = __contains__ = __hash__ = __str__ = __format__ = _raise
    __add__ = __radd__ = __sub__ = __rsub__ = __mul__ = __rmul__ = __float__ = __int__ = _raise


UNREADABLE: Any = UnreadableValue()


def apply_rules(rules: Iterable[Callable[[], object]]) -> None:
    """Calls each rule; one that needs a value which could not be read is left out."""
    for rule in rules:
        with suppress(UnreadableValueError):
            rule()
