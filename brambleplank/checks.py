"""Checks shared by all readers of configuration: addresses, types and ranges."""

from __future__ import annotations

import re
from typing import Any

from brambleplank.errors import BrambleplankError

PORT = re.compile(r"[0-9]{1,5}")
MAX_NUMBER = 2**63  # larger whole numbers do not always fit into a float
TYPE_NAMES = {
    dict: "an object",
    list: "a list",
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    float: "a number",
}


class InvalidConfigurationError(BrambleplankError):
    """An invalid configuration value; the text begins with its key and a colon."""

    ADVICE = "fix that key; until then a start exits with 2 and a reload keeps the previous configuration"

    def __init__(self, text: str) -> None:
        where, _, wrong = text.partition(": ")
        super().__init__(wrong, where)


def parse_address(text: Any, key: str) -> tuple[str, int]:
    """Parses an address like 10.0.0.4:5000 into host and port. Raises InvalidConfigurationError."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise InvalidConfigurationError(f"{key}: need an address like 10.0.0.4:5000, not {text!r:.60}")
    return host, int(port)


def check_value(value: Any, key: str, kind: type, least: float = 0) -> None:
    """Raises InvalidConfigurationError for another type, and for a number below `least` or not finite."""
    is_of_kind = isinstance(value, (int, float) if kind is float else kind)
    is_boolean = isinstance(value, bool)  # an int to Python
    if not is_of_kind or is_boolean is not (kind is bool):
        raise InvalidConfigurationError(f"{key}: need {TYPE_NAMES[kind]}, not {value!r:.60}")
    if kind in (int, float) and not least <= value:
        raise InvalidConfigurationError(f"{key}: need at least {least}, not {value!r:.60}")
    if kind in (int, float) and value > MAX_NUMBER:
        raise InvalidConfigurationError(f"{key}: need at most {MAX_NUMBER}, not {value!r:.60}")


def check_finite_numbers(value: Any, key: str) -> None:
    """Raises InvalidConfigurationError for a number in a JSON value that is infinite, not a number or huge.

    Python's reader of JSON accepts such numbers, which compare as less or greater than any limit.
    """
    pending = [(key, value)]
    while pending:
        path, item = pending.pop()
        if isinstance(item, dict):
            pending.extend((f"{path}.{name}" if path else name, each) for name, each in item.items())
        elif isinstance(item, list):
            pending.extend((f"{path}[{number}]", each) for number, each in enumerate(item))
        elif isinstance(item, int | float) and not -MAX_NUMBER <= item <= MAX_NUMBER:
            raise InvalidConfigurationError(f"{path}: need a finite number, not {item!r:.60}")
