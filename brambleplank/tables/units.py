"""Durations, sizes and dates in the notation of configuration files."""

from __future__ import annotations

import re
from datetime import datetime
from typing import Annotated, Any

from msgspec import Meta

DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|min|h)")
SIZE = re.compile(r"([0-9]+)(B|KiB|MiB|GiB)")
SECONDS_IN = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES_IN = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
MICROSECONDS_IN = {"s": 1_000_000, "ms": 1000}

Date = Annotated[datetime, Meta(tz=True)]  # a date and time with a time zone


class Seconds(float):
    """A duration, written like "300ms" or "3s"."""


class Size(int):
    """A number of bytes, written like "64MiB"."""


def parse_seconds(text: str) -> Seconds | None:
    """Parses a duration like "300ms"; returns None if the text is not one."""
    match = DURATION.fullmatch(text)
    return Seconds(float(match[1]) * SECONDS_IN[match[2]]) if match else None


def duration_text(value: float) -> str:
    """Formats a duration in the largest of s, ms and us that keeps it exact to the microsecond."""
    microseconds = round(value * 1e6)
    for unit, factor in MICROSECONDS_IN.items():
        if microseconds % factor == 0:
            return f"{microseconds // factor}{unit}"
    return f"{microseconds}us"


def parse_size(text: str) -> Size | None:
    """Parses a size like "64MiB" into bytes; returns None if the text is not one."""
    match = SIZE.fullmatch(text)
    return Size(int(match[1]) * BYTES_IN[match[2]]) if match else None


def size_text(value: int) -> str:
    """Formats a number of bytes in the largest unit that divides it."""
    for unit in ("GiB", "MiB", "KiB"):
        if value and value % BYTES_IN[unit] == 0:
            return f"{value // BYTES_IN[unit]}{unit}"
    return f"{value}B"


def decode_unit(kind: type, value: Any) -> Any:
    """Decodes a duration or a size; the `dec_hook` of msgspec for these types. Raises ValueError."""
    if isinstance(value, str):
        decoded: Seconds | Size | None = None
        if kind is Seconds:
            decoded = parse_seconds(value)
        elif kind is Size:
            decoded = parse_size(value)
        if decoded is not None:
            return decoded
    raise ValueError("not a duration or size with a unit")
