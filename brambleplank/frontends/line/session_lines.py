"""Splits the data of an established session into whole lines, without a step per line. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple

MAX_LINE_SIZE = 4096  # bytes, including the CRLF
CRLF = b"\r\n"


class SplitData(NamedTuple):
    """Data of a session: whole lines, and what follows them."""

    whole_lines: bytes  # including their CRLF
    rest: bytes  # an incomplete line, or everything from the first overlong line on

    @property
    def is_overlong(self) -> bool:
        """Whether the rest begins with a line that is longer than any may be."""
        return len(self.rest) >= MAX_LINE_SIZE


def split_data(data: bytes) -> SplitData:
    """Splits data after its last whole line, or before the first line that is too long."""
    end = 0
    while (delimiter := data.rfind(CRLF, end, end + MAX_LINE_SIZE)) >= 0:
        end = delimiter + len(CRLF)
    if end == len(data):
        return SplitData(data, b"")
    return SplitData(data[:end], data[end:])


def last_line(whole_lines: bytes) -> bytes:
    """Returns the last of some whole lines, without its CRLF."""
    begin = whole_lines.rfind(CRLF, 0, -len(CRLF))
    return whole_lines[begin + len(CRLF) if begin >= 0 else 0 : -len(CRLF)]
