"""Metadata of the keys of a file's structs: description, example, range, and the rule a key serves."""

from __future__ import annotations

from collections.abc import Iterable
from functools import cache
from typing import Any, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta


def key_note(does: str, example: str, rule: str = "", least: float = 0.0, most: float = 0.0) -> Meta:
    """Returns the metadata of one key for `Annotated`; it has a range if `most` is given."""
    extra: dict[str, Any] = {"rule": rule}
    if most:
        extra["range"] = (least, most)
    return Meta(description=does, examples=[example], extra=extra)


def default_value(value: Any) -> Any:
    """Returns a field with a default that msgspec can't write into a JSON schema, such as Seconds.

    `sidecar/schema.py` adds the defaults of Seconds and Size there.
    """
    return msgspec.field(default_factory=lambda: value)


@cache
def type_hints_of(shape: type[msgspec.Struct]) -> dict[str, Any]:
    """Returns the keys of a struct with their types and metadata."""
    return get_type_hints(shape, include_extras=True)


def value_type(hint: Any) -> Any:
    """Returns the type of a key, without metadata and without None."""
    while hasattr(hint, "__metadata__"):
        hint = get_args(hint)[0]
    types = [each for each in get_args(hint) if each is not type(None)]
    if get_origin(hint) is not list and len(types) == 1:
        return value_type(types[0])
    return hint


def is_shape(kind: Any) -> bool:
    """Whether a type is a struct that describes a table."""
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def notes_of(hint: Any) -> Iterable[Meta]:
    """Yields the metadata of a key, also that inside an optional type."""
    for note in getattr(hint, "__metadata__", ()):
        if isinstance(note, Meta):
            yield note
    if get_origin(hint) is not list:
        for each in get_args(hint):
            if hasattr(each, "__metadata__") or get_args(each):
                yield from notes_of(each)


def key_metadata(hint: Any, name: str, default: Any = None) -> Any:
    """Returns an entry of the `extra` metadata of a key, such as "rule" or "range"."""
    for note in notes_of(hint):
        if name in (note.extra or {}):
            return (note.extra or {})[name]
    return default


def is_in_range(hint: Any, value: Any) -> bool:
    """Whether a value is in the range of its key. NaN never is; None (key left out) always is."""
    limits = key_metadata(hint, "range")
    return value is None or limits is None or bool(limits[0] <= value <= limits[1])


def example_of(hint: Any) -> str:
    """Returns an example value of a key, in TOML."""
    for note in notes_of(hint):
        if note.examples:
            return str(note.examples[0])
    return "…"


def description_of(hint: Any) -> str:
    """Returns the description of a key, or an empty text."""
    return next((note.description for note in notes_of(hint) if note.description), "")
