"""Checks of stored values as they are read: each raises UnfitError, which names the key of the wrong one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from brambleplank.checks import InvalidConfigurationError, check_value
from brambleplank.model import Address

Value = TypeVar("Value")


def number(value: Any, key: str, least: float = 0) -> float:
    """A number of at least so much."""
    check_value(value, key, float, least)
    return float(value)


def whole(value: Any, key: str) -> int:
    """A whole number of -1 or more."""
    check_value(value, key, int, -1)
    return int(value)


def table(value: Any, key: str) -> dict[str, Any]:
    """A JSON object."""
    check_value(value, key, dict)
    return dict(value)


def items(value: Any, key: str) -> list[Any]:
    """A JSON array."""
    check_value(value, key, list)
    return list(value)


def texts(value: Any, key: str) -> list[str]:
    """A JSON array of strings."""
    for text in items(value, key):
        check_value(text, key, str)
    return list(value)


def two(value: Any, key: str) -> tuple[float, float]:
    """A pair of numbers."""
    if len(items(value, key)) != 2:
        raise InvalidConfigurationError(f"{key}: need two numbers")
    return number(value[0], key), number(value[1], key)


def each(value: Any, key: str, kind: Callable[[Any, str], Value]) -> dict[str, Value]:
    """A JSON object whose values are all of one kind."""
    return {name: kind(item, f"{key}.{name:.40}") for name, item in table(value, key).items()}


def address_text(address: Address) -> str:
    """An address as `host:port`, which `checks.parse_address` reads."""
    host, port = address
    return f"{host}:{port}"
