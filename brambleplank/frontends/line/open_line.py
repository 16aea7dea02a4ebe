"""Parses the OPEN line, which starts a request of the line protocol."""

from __future__ import annotations

import re
from dataclasses import dataclass

from brambleplank.interfaces import RequestOpening
from brambleplank.model import Settings

LINE_PATTERN = re.compile(r"OPEN ([0-9a-fA-F]{1,32}) ([0-9a-fA-F]{1,32}) ([!-~]{1,3500})")
FIELD_PATTERN = re.compile(r"([a-z][a-z0-9_]{0,31})=([!-+\--~]{1,128})")
VALUE_PATTERNS = {
    "d": re.compile(r"[0-9]{1,10}"),
    "g": re.compile(r"[0-9a-fA-F]{1,32}"),
    "r": re.compile(r"[01]"),
    "h": re.compile(r"[0-9.eE+-]{1,24}"),
    "again": re.compile(r"[01]"),
}


@dataclass(frozen=True)
class OpenLine:
    """A well-formed OPEN line: the request's id, its key, and its fields by their names on the wire."""

    id: str
    key: int
    fields: dict[str, str]

    @property
    def server_id(self) -> str | None:
        """The server of a session that the client resumes; None for a new request."""
        return self.fields.get("at")

    @property
    def client_timeout(self) -> float:
        """How many seconds the client waits for the answer; valid for a new request only."""
        return int(self.fields["d"]) / 1000

    @property
    def is_reconnecting(self) -> bool:
        """Whether the client opens a new session to replace one that has ended."""
        return self.fields.get("again") == "1"

    @property
    def wants_notices(self) -> bool:
        """Whether the client asks for notices about its session."""
        return self.fields.get("notice") == "1"

    def group(self, settings: Settings) -> int | None:
        """Returns the affinity group; None if the line names none, or affinity groups are not configured."""
        return int(self.fields["g"], 16) if settings.has_groups and "g" in self.fields else None

    def opening(self, settings: Settings) -> RequestOpening:
        """Returns the request in the form that the proxy takes."""
        return RequestOpening(
            traffic_class=self.fields["c"],
            key=self.key,
            group=self.group(settings),
            tenant=self.fields.get("t", ""),
            client_version=self.fields.get("v", ""),
        )


def parse_valid(line: bytes, settings: Settings) -> OpenLine | None:
    """Returns the parsed line; None if it is malformed or not valid under the settings."""
    opened = parse(line)
    return opened if opened and is_valid(opened.fields, settings) else None


def parse(line: bytes) -> OpenLine | None:
    """Returns the parsed line, not checked against the settings; None if it is malformed.

    Every field must be well-formed and none may occur twice. The line is also passed on to a server, which
    would answer a malformed field with an error or a close, and that would count as a failure of the server.
    """
    match = LINE_PATTERN.fullmatch(line.decode(errors="replace"))
    if not match:
        return None
    fields: dict[str, str] = {}
    for part in match[3].split(","):
        field = FIELD_PATTERN.fullmatch(part)
        if not field or field[1] in fields:
            return None
        if field[1] in VALUE_PATTERNS and not VALUE_PATTERNS[field[1]].fullmatch(field[2]):
            return None
        fields[field[1]] = field[2]
    return OpenLine(match[1], int(match[2], 16), fields)


def is_valid(fields: dict[str, str], settings: Settings) -> bool:
    """Returns whether the traffic class and the tenant are configured and the deadline is within its limit.

    A resumed session (`at`) has no deadline.
    """
    traffic_class = settings.traffic_classes.get(fields.get("c", ""))
    if traffic_class is None or (settings.tenants and fields.get("t") not in settings.tenants):
        return False
    return "at" in fields or 0 < int(fields.get("d", 0)) <= round(traffic_class.deadline * 1000)
