"""Decodes TOML tables into msgspec structs and reports every fault with its key and line. Free of I/O.

Stopping at the first fault would make an operator edit and check a file once for each of them. So msgspec
decodes each key separately and all faults are collected: unknown keys (with the closest known key), missing
keys, and values of the wrong type or out of range.
"""

from brambleplank.tables.faults import Fault, UnreadableValueError, apply_rules
from brambleplank.tables.key_lines import KeyLines, KeyPath, key_text
from brambleplank.tables.notes import (
    default_value,
    description_of,
    is_shape,
    key_metadata,
    key_note,
    type_hints_of,
    value_type,
)
from brambleplank.tables.reader import DocumentReader
from brambleplank.tables.texts import value_text
from brambleplank.tables.units import Date, Seconds, Size, duration_text, parse_seconds, parse_size, size_text

__all__ = [
    "Date",
    "DocumentReader",
    "Fault",
    "KeyLines",
    "KeyPath",
    "Seconds",
    "Size",
    "UnreadableValueError",
    "apply_rules",
    "default_value",
    "description_of",
    "duration_text",
    "is_shape",
    "key_metadata",
    "key_note",
    "key_text",
    "parse_seconds",
    "parse_size",
    "size_text",
    "type_hints_of",
    "value_text",
    "value_type",
]
