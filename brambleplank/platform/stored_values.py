"""Decodes stored values; each function raises InvalidConfigurationError, which names the key, if invalid."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from brambleplank.checks import InvalidConfigurationError, check_value
from brambleplank.model import Address

Value = TypeVar("Value")


def decode_number(value: Any, key: str, minimum: float = 0) -> float:
    """Returns a number of at least `minimum`."""
    check_value(value, key, float, minimum)
    return float(value)


def decode_integer(value: Any, key: str) -> int:
    """Returns an integer of -1 or more."""
    check_value(value, key, int, -1)
    return int(value)


def decode_object(value: Any, key: str) -> dict[str, Any]:
    """Returns a JSON object."""
    check_value(value, key, dict)
    return dict(value)


def decode_array(value: Any, key: str) -> list[Any]:
    """Returns a JSON array."""
    check_value(value, key, list)
    return list(value)


def decode_strings(value: Any, key: str) -> list[str]:
    """Returns a JSON array of strings."""
    for text in decode_array(value, key):
        check_value(text, key, str)
    return list(value)


def decode_number_pair(value: Any, key: str) -> tuple[float, float]:
    """Returns a pair of numbers."""
    if len(decode_array(value, key)) != 2:
        raise InvalidConfigurationError(f"{key}: need two numbers")
    return decode_number(value[0], key), decode_number(value[1], key)


def decode_mapping(value: Any, key: str, decode_value: Callable[[Any, str], Value]) -> dict[str, Value]:
    """Returns a JSON object, with each value decoded by `decode_value`."""
    return {name: decode_value(item, f"{key}.{name:.40}") for name, item in decode_object(value, key).items()}


def address_text(address: Address) -> str:
    """Returns an address as `host:port`, which `checks.parse_address` decodes."""
    host, port = address
    return f"{host}:{port}"
