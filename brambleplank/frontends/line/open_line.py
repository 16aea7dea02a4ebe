"""The OPEN line, which begins a connection of the line protocol."""

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
    """An OPEN line that is in form: id and key of a request, and its fields by their names on the wire."""

    id: str
    key: int
    fields: dict[str, str]

    @property
    def server_id(self) -> str | None:
        """The server at which the session was open before; None for a new request."""
        return self.fields.get("at")

    @property
    def client_timeout(self) -> float:
        """For how many seconds the client waits for its answer; only a new request says it."""
        return int(self.fields["d"]) / 1000

    @property
    def is_reconnecting(self) -> bool:
        """Whether the client had a session that ended, and comes again."""
        return self.fields.get("again") == "1"

    @property
    def wants_notices(self) -> bool:
        """Whether the client wants notices about its session."""
        return self.fields.get("notice") == "1"

    def group(self, settings: Settings) -> int | None:
        """Returns the affinity group; None if it names none, or the site has none."""
        return int(self.fields["g"], 16) if settings.has_groups and "g" in self.fields else None

    def opening(self, settings: Settings) -> RequestOpening:
        """Returns what the line asks for, in the proxy's terms."""
        return RequestOpening(
            traffic_class=self.fields["c"],
            key=self.key,
            group=self.group(settings),
            tenant=self.fields.get("t", ""),
            client_version=self.fields.get("v", ""),
        )


def parse_valid(line: bytes, settings: Settings) -> OpenLine | None:
    """Returns the decoded line; None if it is no opening that a server of this site could use."""
    opened = parse(line)
    return opened if opened and is_valid(opened.fields, settings) else None


def parse(line: bytes) -> OpenLine | None:
    """Returns the decoded line whatever the site has; None if it is not in form.

    Each field has to be in form, and none may come twice. A server reads the line too, and in its own way: it
    answers what it cannot use with an error or a close, which would look like a fault of the server.
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
    """Returns whether the site has what the request names, and lets its clients wait for so long."""
    traffic_class = settings.traffic_classes.get(fields.get("c", ""))
    if traffic_class is None or (settings.tenants and fields.get("t") not in settings.tenants):
        return False
    return "at" in fields or 0 < int(fields.get("d", 0)) <= round(traffic_class.deadline * 1000)
