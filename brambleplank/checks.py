"""Checks shared by all readers of configuration: addresses, types and ranges."""

from __future__ import annotations

from math import inf
from typing import Any

from brambleplank.errors import BrambleplankError

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
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise InvalidConfigurationError(f"{key}: need an address like 10.0.0.4:5000, not {text!r:.60}")
    return host, int(port)


def check_value(value: Any, key: str, kind: type, least: float = 0) -> None:
    """Raises InvalidConfigurationError for another type, and for a number below `least` or not finite."""
    is_of_kind = isinstance(value, (int, float) if kind is float else kind)
    if not is_of_kind or (kind is not bool and value is True):
        raise InvalidConfigurationError(f"{key}: need {TYPE_NAMES[kind]}, not {value!r:.60}")
    if kind in (int, float) and not least <= value < inf:
        raise InvalidConfigurationError(f"{key}: need at least {least}, not {value!r:.60}")
