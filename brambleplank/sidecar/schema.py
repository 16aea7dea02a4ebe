"""Generates the JSON schema of a sidecar's file, for editors."""

from __future__ import annotations

import json
import tomllib
from datetime import datetime
from typing import Any, get_args, get_type_hints

import msgspec

from brambleplank.sidecar.shapes import File
from brambleplank.tables import Seconds, Size, duration_text, is_shape, size_text, value_type

UNITS = {
    Seconds: {"type": "string", "pattern": r"^[0-9]+(\.[0-9]+)?(us|ms|s|min|h)$"},
    Size: {"type": "string", "pattern": r"^[0-9]+(B|KiB|MiB|GiB)$"},
}


def schema() -> str:
    """Returns the schema as JSON text, generated from the structs in `shapes.py`."""
    shapes, parts = msgspec.json.schema_components([File], schema_hook=UNITS.__getitem__)
    found: dict[str, Any] = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "brambleplank sidecar",
        **shapes[0],
        "$defs": {name.rpartition(".")[2]: part for name, part in parts.items()},
    }
    for shape in inner_shapes(File):
        properties = found["$defs"][shape.__name__]["properties"]
        for field in msgspec.structs.fields(shape):
            default = None if field.default_factory is msgspec.NODEFAULT else field.default_factory()
            if isinstance(default, Seconds | Size):
                properties[field.name]["default"] = as_file_values(default)
    return json.dumps(as_file_values(found), indent=2, default=datetime.isoformat) + "\n"


def inner_shapes(shape: type[msgspec.Struct]) -> set[type[msgspec.Struct]]:
    """Returns a struct and all structs nested in it."""
    found = {shape}
    for hint in get_type_hints(shape, include_extras=True).values():
        for kind in (value_type(hint), *get_args(value_type(hint))):
            if is_shape(kind):
                found |= inner_shapes(kind)
    return found


def as_file_values(value: Any) -> Any:
    """Returns part of a schema with durations and sizes as text, and examples as JSON values.

    Drops examples that are headers of tables.
    """
    if isinstance(value, dict):
        return {
            key: [tomllib.loads(f"x = {each}")["x"] for each in inner if "[[" not in each]
            if key == "examples"
            else as_file_values(inner)
            for key, inner in value.items()
        }
    if isinstance(value, list):
        return [as_file_values(inner) for inner in value]
    if isinstance(value, Seconds):
        return duration_text(value)
    if isinstance(value, Size):
        return size_text(value)
    return value
