"""Formats types, values and limits for the texts of faults."""

from __future__ import annotations

from typing import Any, get_args, get_origin

from brambleplank.tables.notes import value_type
from brambleplank.tables.units import Seconds, Size, duration_text, size_text

MAX_VALUE_LENGTH = 60  # characters of a value that are shown
TYPE_NAMES = {
    "str": "a text in quotes",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "Seconds": "a time with its unit",
    "Size": "a size with its unit",
    "list": "a list",
    "dict": "a table",
    "datetime": "a date and time with its zone",
}


def type_text(kind: Any) -> str:
    """Returns the description of a type, as the values that a key of it accepts."""
    words = getattr(kind, "__args__", None) if "Literal" in str(get_origin(kind)) else None
    if words:
        return "one of " + ", ".join(f'"{word}"' for word in words)
    if get_origin(kind) is list:
        return f"a list, each {type_text(value_type(get_args(kind)[0]))}"
    return TYPE_NAMES.get(getattr(kind, "__name__", ""), str(kind))


def value_text(value: Any) -> str:
    """Returns a value in TOML notation, truncated if it is long."""
    text = str(value).lower() if isinstance(value, bool) else str(value)
    text = f'"{text}"' if isinstance(value, str) else text
    return text if len(text) <= MAX_VALUE_LENGTH else text[: MAX_VALUE_LENGTH - 3] + "…"


def limit_text(value: Any, kind: Any) -> str:
    """Returns a bound of a range in the notation of its key's type."""
    if kind is Seconds:
        return f'"{duration_text(value)}"'
    return f'"{size_text(int(value))}"' if kind is Size else f"{value:g}"
