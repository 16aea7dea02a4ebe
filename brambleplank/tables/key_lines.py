"""Finds the line of each key in a TOML text, and formats key paths for messages."""

from __future__ import annotations

import re

KeyPath = tuple[str | int, ...]  # names of tables and keys, and indices of tables in a list, counted from 0

HEADER = re.compile(r"\s*(\[\[?)\s*(.+?)\s*\]\]?\s*(?:#.*)?$")
KEY_PART = re.compile(r'"((?:[^"\\]|\\.)*)"|\'([^\']*)\'|([^.\s"\']+)')


def key_text(path: KeyPath) -> str:
    """Returns a key path as text, like service_type[2].effect; indices count from 1 there."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part + 1}]"
        else:
            text += f".{part}" if text else part
    return text or "file"


class KeyLines:
    """Maps each key of a TOML text to its line. The text must have been parsed before: it has to be valid."""

    def __init__(self, text: str) -> None:
        self.by_path: dict[KeyPath, int] = {}
        self.last_indices: dict[KeyPath, int] = {}  # index of the last table read of each list of tables
        self._read(text.split("\n"))

    def line_of(self, path: KeyPath) -> int:
        """Returns the line of a key, or of the innermost enclosing table that has one."""
        while path and path not in self.by_path:
            path = path[:-1]
        return self.by_path.get(path, 1)

    def _read(self, lines: list[str]) -> None:
        table: KeyPath = ()
        following = 0
        while following < len(lines):
            line = lines[following]
            following += 1
            number = following
            header = HEADER.match(line)
            if header and not line.lstrip().startswith("#"):
                table = self._open_table(key_parts(header[2]), header[1] == "[[")
                self.by_path.setdefault(table, number)
                continue
            key, value = split_at_equals(line)
            if value is None:
                continue
            path = table + key_parts(key)
            for end in range(len(table) + 1, len(path) + 1):
                self.by_path.setdefault(path[:end], number)
            following = line_after_value(value, lines, following)

    def _open_table(self, parts: KeyPath, is_in_list: bool) -> KeyPath:
        """Returns the full path of a table header, with the index of each table that is in a list."""
        path: KeyPath = ()
        for number, part in enumerate(parts):
            path += (part,)
            if is_in_list and number == len(parts) - 1:
                self.last_indices[path] = self.last_indices.get(path, -1) + 1
            if path in self.last_indices:
                path += (self.last_indices[path],)
        return path


class ValueScanner:
    """Scans a value that may span several lines; tracks open brackets and an open string."""

    def __init__(self) -> None:
        self.open_brackets = 0
        self.quote = ""  # delimiter that ends the open string; empty outside of strings

    @property
    def is_complete(self) -> bool:
        """Whether the value ended on the last line read."""
        return self.open_brackets <= 0 and len(self.quote) != 3

    def read_line(self, line: str) -> None:
        """Scans the next line up to its end or to a comment."""
        position = 0
        while position < len(line):
            step = self._read_in_string(line, position) if self.quote else self._read(line, position)
            if not step:
                return
            position += step

    def _read_in_string(self, line: str, position: int) -> int:
        """Scans inside a string; returns the number of characters consumed."""
        if line[position] == "\\" and self.quote[0] == '"':
            return 2
        if line.startswith(self.quote, position):
            length = len(self.quote)
            self.quote = ""
            return length
        return 1

    def _read(self, line: str, position: int) -> int:
        """Scans outside of strings; returns the number of characters consumed, 0 at a comment."""
        three = line[position : position + 3]
        one = line[position]
        if three in ('"""', "'''"):
            self.quote = three
            return 3
        if one in "\"'":
            self.quote = one
        elif one == "#":
            return 0
        elif one in "[{":
            self.open_brackets += 1
        elif one in "]}":
            self.open_brackets -= 1
        return 1


def line_after_value(value: str, lines: list[str], following: int) -> int:
    """Returns the index of the line after a value, which may span several lines."""
    scanner = ValueScanner()
    scanner.read_line(value)
    while not scanner.is_complete and following < len(lines):
        scanner.read_line(lines[following])
        following += 1
    return following


def split_at_equals(line: str) -> tuple[str, str | None]:
    """Returns the key of a line and the text after its equals sign; that text is None if there is no key."""
    quote = ""
    for position, letter in enumerate(line):
        if quote:
            quote = "" if letter == quote else quote
        elif letter in "\"'":
            quote = letter
        elif letter == "#":
            break
        elif letter == "=":
            return line[:position], line[position + 1 :]
    return "", None


def key_parts(key: str) -> KeyPath:
    """Returns the parts of a dotted key, without quotes."""
    return tuple("".join(part) for part in KEY_PART.findall(key))
