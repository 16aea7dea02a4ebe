"""Lists the effective values of a file, with their origin, description and rule. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict, dataclass
from typing import Any, get_args, get_type_hints

import msgspec

from brambleplank.sidecar.reader import LoadedFile
from brambleplank.sidecar.shapes import File
from brambleplank.sidecar.writer import toml_value
from brambleplank.tables import (
    KeyPath,
    description_of,
    is_shape,
    key_metadata,
    key_text,
    value_text,
    value_type,
)

MAX_LISTED_SERVERS = 20  # more servers than these are only counted


@dataclass(frozen=True)
class Value:
    """The effective value of one key of a file."""

    key: str
    value: str
    origin: str
    does: str
    rule: str

    def to_dict(self) -> dict[str, Any]:
        """Returns the value as a dictionary for JSON output."""
        return asdict(self)


def effective_values(loaded: LoadedFile) -> Iterator[Value]:
    """Yields every effective value of a file that could be decoded."""
    if loaded.file is not None and loaded.reading is not None:
        yield from table_values(loaded, loaded.file, ())


def table_values(loaded: LoadedFile, shape: Any, at: KeyPath) -> Iterator[Value]:
    """Yields the values of a table and of its nested tables."""
    hints = get_type_hints(type(shape), include_extras=True)
    for field in msgspec.structs.fields(type(shape)):
        hint = hints[field.name]
        value = getattr(shape, field.name)
        path = (*at, field.name)
        if isinstance(value, list) and list_item_shape(hint) is not None:
            if field.name == "server" and len(value) > MAX_LISTED_SERVERS:
                yield Value("server", f"{len(value)} servers", value_origin(loaded, path), "", "")
                continue
            for number, each in enumerate(value):
                yield from table_values(loaded, each, (*path, number))
        elif is_shape(type(value)):
            yield from table_values(loaded, value, path)
        elif not (value is None and is_shape(value_type(hint))):
            text = "none" if value is None else value_text(toml_value(value))
            rule = key_metadata(hint, "rule", "")
            yield Value(key_text(path), text, value_origin(loaded, path), description_of(hint), rule)


def list_item_shape(hint: Any) -> Any:
    """Returns the struct of the tables in a list; None if the key isn't a list of tables."""
    return next((each for each in get_args(value_type(hint)) if is_shape(each)), None)


def value_origin(loaded: LoadedFile, path: KeyPath) -> str:
    """Returns the origin of a value: an environment variable, a line of the file, or the default."""
    key = ".".join(str(part) for part in path)
    if key in loaded.from_environment:
        return f"environment {loaded.from_environment[key]}"
    lines = loaded.reading.key_lines.by_path if loaded.reading else {}
    return f"line {lines[path]}" if path in lines else "default"


def all_keys(shape: Any = File, at: str = "") -> Iterator[tuple[str, Any]]:
    """Yields every key that a file can have, with its type hint."""
    for name, hint in get_type_hints(shape, include_extras=True).items():
        kind = value_type(hint)
        key = f"{at}.{name}" if at else name
        inner = kind if is_shape(kind) else list_item_shape(hint)
        if inner is not None:
            yield from all_keys(inner, key)
        else:
            yield key, hint
