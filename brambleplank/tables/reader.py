"""Decodes one TOML text into structs and collects its faults."""

from __future__ import annotations

import re
import tomllib
from difflib import get_close_matches
from functools import cached_property
from typing import Any, TypeVar, get_args, get_origin

import msgspec

from brambleplank.tables.faults import UNREADABLE, Fault
from brambleplank.tables.key_lines import KeyLines, KeyPath, key_text
from brambleplank.tables.notes import (
    example_of,
    is_in_range,
    is_shape,
    key_metadata,
    type_hints_of,
    value_type,
)
from brambleplank.tables.texts import limit_text, type_text, value_text
from brambleplank.tables.units import decode_unit

Shape = TypeVar("Shape", bound=msgspec.Struct)


class DocumentReader:
    """Decodes one TOML text: holds its parsed tables, the lines of its keys, and the faults found so far."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.faults: list[Fault] = []
        self.tables: dict[str, Any] = {}
        try:
            self.tables = tomllib.loads(text)
        except (tomllib.TOMLDecodeError, RecursionError) as error:
            self.faults.append(syntax_fault(text, error))
        self.last_table = next(reversed(self.tables), "")

    @classmethod
    def from_tables(cls, tables: dict[str, Any]) -> DocumentReader:
        """Returns a reader of tables built in memory, which have no text and no lines."""
        reader = cls("")
        reader.tables = tables
        reader.last_table = next(reversed(tables), "")
        return reader

    @cached_property
    def key_lines(self) -> KeyLines:
        """The lines of all keys, computed on first use: a file without faults doesn't need them."""
        return KeyLines(self.text if self.tables else "")

    @property
    def is_unreadable(self) -> bool:
        """Whether the text could not be parsed at all."""
        return bool(self.faults) and not self.tables

    def add_fault(self, path: KeyPath, wrong: str, instead: str) -> None:
        """Records a fault of a key: what is wrong, and what to write instead."""
        self.faults.append(Fault(self.key_lines.line_of(path), key_text(path), wrong, instead))

    def decode(self, shape: type[Shape], table: Any, at: KeyPath = ()) -> Shape:
        """Returns the table as a struct, with UNREADABLE for each value that has a fault."""
        if not isinstance(table, dict):
            wrong = f"need a table, not {value_text(table)}"
            self.add_fault(at, wrong, f"write [{key_text(at)}] on a line of its own")
            return UNREADABLE  # type: ignore[no-any-return]
        hints = type_hints_of(shape)
        self._check_keys(table, hints, at)
        given = {}
        for field in msgspec.structs.fields(shape):
            hint = hints[field.name]
            path = (*at, field.name)
            if field.name in table:
                given[field.name] = self._decode_value(hint, table[field.name], path)
            elif field.required:
                given[field.name] = UNREADABLE
                self.add_fault(path, "missing", f"write {field.name} = {example_of(hint)}")
        return shape(**given)

    def _check_keys(self, table: dict[str, Any], hints: dict[str, Any], at: KeyPath) -> None:
        """Records a fault for each key that the struct doesn't have."""
        for key in table:
            if key not in hints:
                near = get_close_matches(key, hints, 1)
                instead = f"write {near[0]}" if near else f"remove it; known keys here: {', '.join(hints)}"
                self.add_fault((*at, key), "unknown key", instead)

    def _decode_value(self, hint: Any, value: Any, path: KeyPath) -> Any:
        """Returns the decoded value of one key, or UNREADABLE."""
        kind = value_type(hint)
        if get_origin(kind) is list and is_shape(get_args(kind)[0]):
            return self._decode_tables(get_args(kind)[0], value, path)
        if is_shape(kind):
            return self.decode(kind, value, path)
        try:
            decoded = msgspec.convert(value, hint, dec_hook=decode_unit)
        except msgspec.ValidationError:
            wrong = f"need {type_text(kind)}, not {value_text(value)}"
            self.add_fault(path, wrong, f"write {path[-1]} = {example_of(hint)}")
            return UNREADABLE
        if not is_in_range(hint, decoded):
            least, most = key_metadata(hint, "range")
            instead = f"write {limit_text(least, kind)} to {limit_text(most, kind)}"
            self.add_fault(path, f"{value_text(value)} is out of range", instead)
            return UNREADABLE
        return decoded

    def _decode_tables(self, shape: type[Shape], value: Any, path: KeyPath) -> Any:
        """Returns the decoded tables of a list, or UNREADABLE if the value is not a list."""
        if not isinstance(value, list):
            wrong = f"need a list of tables, not {value_text(value)}"
            self.add_fault(path, wrong, f"write [[{key_text(path)}]]")
            return UNREADABLE
        decoded = decode_all(shape, value)
        if decoded is not None:
            return decoded
        return [self.decode(shape, each, (*path, number)) for number, each in enumerate(value)]


def syntax_fault(text: str, error: Exception) -> Fault:
    """Returns the fault of a text that the TOML parser refused, also for nesting too deep."""
    where = re.search(r"\s*\(at line (\d+), column (\d+)\)", str(error))
    line = int(where[1]) if where else max(1, text.rstrip("\n").count("\n") + 1)
    wrong = re.sub(r"\s*\(at .*\)", "", str(error)) or type(error).__name__
    return Fault(line, "file", f"not TOML: {wrong}", "fix this line first")


def decode_all(shape: type[Shape], tables: list[Any]) -> list[Shape] | None:
    """Decodes all tables of a list in one call, as there may be thousands; None if any has a fault."""
    try:
        decoded = msgspec.convert(tables, list[shape], dec_hook=decode_unit)  # type: ignore[valid-type]
    except msgspec.ValidationError:
        return None
    for key, hint in type_hints_of(shape).items():
        if not all(is_in_range(hint, getattr(each, key)) for each in decoded):
            return None
    return decoded
