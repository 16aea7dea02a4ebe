"""Joins the lines of an endpoint list, which may be indented, to one JSON text. Free of I/O."""

from __future__ import annotations

import re

from brambleplank.discovery.platform.endpoint_list import MalformedListError

MAX_LIST_SIZE = 4 * 1024 * 1024  # bytes
TOKEN_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # strings and brackets


class ListLines:
    """The lines of a list that is still incomplete.

    Counts brackets, as parsing a long indented list again at each line would block the reactor.
    """

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._open_brackets = 0  # nesting depth after the lines
        self._size = 0  # bytes

    def __len__(self) -> int:
        """Returns the number of lines of the incomplete list."""
        return len(self._lines)

    def add(self, line: bytes) -> bytes | None:
        """Adds a line; returns the text of the list if it is complete now. Raises MalformedListError."""
        self._size += len(line)
        self._lines.append(line)
        self._open_brackets += sum(
            (token in b"{[") - (token in b"}]") for token in TOKEN_PATTERN.findall(line)
        )
        if self._size > MAX_LIST_SIZE:
            raise MalformedListError("overlong line")
        if not line.strip():
            raise MalformedListError("garbled: empty line within a list")
        if self._open_brackets > 0:
            return None
        text = b"\n".join(self._lines)
        self._lines = []
        self._open_brackets = 0
        self._size = 0
        return text
