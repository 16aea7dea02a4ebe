"""The receiving half of both sides of a session of the line protocol."""

from __future__ import annotations

from twisted.protocols.basic import LineReceiver

from brambleplank.frontends.line.session_lines import CRLF, MAX_LINE_SIZE, SplitData, split_data


class SessionReceiver(LineReceiver):
    """Receives lines one by one, and whole lines in one piece once the session is established (raw mode).

    A step per line would let one client or server that sends very short lines hold up all others.
    """

    MAX_LENGTH = MAX_LINE_SIZE - len(CRLF)
    partial_line = b""  # of an established session

    def take_whole_lines(self, data: bytes) -> SplitData:
        """Returns the whole lines of an established session, and keeps the incomplete one after them."""
        lines = split_data(self.partial_line + data)
        self.partial_line = b"" if lines.is_overlong else lines.rest
        return lines

    def clearLineBuffer(self) -> bytes:  # noqa: N802
        """Returns the incomplete line, and forgets it."""
        partial_line: bytes = self.partial_line + super().clearLineBuffer()
        self.partial_line = b""
        return partial_line
