"""Compares two files of a sidecar: which changes a reload applies, and which need a restart. Free of I/O."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

import msgspec

from brambleplank import addresses
from brambleplank.discovery.file.server_file import Server
from brambleplank.sidecar.reader import LoadedFile

RELOADABLE_KEYS = (
    "limits.connections",
    "limits.descriptors",
    "limits.memory",
    "servers.file",
)  # SIGHUP applies them
IGNORED_KEYS = ("end",)
RESTART_EFFECT = "its restart moves every standing connection once"


@dataclass(frozen=True)
class Change:
    """One key that differs; `breaks` is the effect on established sessions, empty if there is none."""

    key: str
    live: bool
    breaks: str = ""

    def __str__(self) -> str:
        when = "taken up by SIGHUP" if self.live else "waits for a restart"
        return f"{self.key}: {when}" + (f"; {self.breaks}" if self.breaks else "")

    def to_dict(self) -> dict[str, Any]:
        """Returns the change as a dictionary for JSON output."""
        return asdict(self)


def has_different_discovery(old: LoadedFile, new: LoadedFile) -> bool:
    """Whether the files use different kinds of discovery: the file itself, a file of servers, or Consul."""

    def kind(loaded: LoadedFile) -> tuple[bool, bool]:
        return loaded.servers_path() is not None, bool(loaded.file and loaded.file.consul)

    return kind(old) != kind(new)


def compare(old: LoadedFile, new: LoadedFile) -> list[Change]:
    """Returns the keys whose effective values differ between two valid files, in the order of the file."""
    if has_different_discovery(old, new):
        breaks = f"the kind of discovery differs; SIGHUP applies nothing of this file; {RESTART_EFFECT}"
        return [Change("servers", False, breaks)]
    return (
        changed_keys(old, new) + removed_service_types(old, new) + changed_servers(old.servers, new.servers)
    )


def changed_keys(old: LoadedFile, new: LoadedFile) -> list[Change]:
    """Returns the keys that differ, except the servers."""
    before = flatten(old.file)
    now = flatten(new.file)
    changes = []
    for key in [*now, *(key for key in before if key not in now)]:
        if before.get(key) == now.get(key) or key in IGNORED_KEYS or key == "server":
            continue
        is_live = key in RELOADABLE_KEYS
        changes.append(Change(key, is_live, "" if is_live else RESTART_EFFECT))
    return changes


def removed_service_types(old: LoadedFile, new: LoadedFile) -> list[Change]:
    """Returns the service types that the new file no longer has."""
    removed = {each.name for each in old.file.service_type} if old.file else set()
    removed -= {each.name for each in new.file.service_type} if new.file else set()
    breaks = "flows of this type are turned away as garbled after the restart"
    return [Change(f"service_type {name}", False, breaks) for name in sorted(removed)]


def changed_servers(old: list[Server], new: list[Server]) -> list[Change]:
    """Returns the servers that are added, removed or changed; established sessions stay on their server."""
    before = {server.name: server for server in old}
    changes = []
    for server in new:
        breaks = server_change(before.pop(server.name, None), server)
        if breaks:
            changes.append(Change(f"server {server.name}", True, breaks))
    for name, server in before.items():
        how = "" if server.state == "draining" else ", without having drained"
        breaks = f"gone{how}: flows that stand there stay until they end"
        changes.append(Change(f"server {name}", True, breaks))
    return changes


def server_change(old: Server | None, new: Server) -> str:
    """Returns how a server changed; empty if it didn't."""
    if old is None:
        return "new: flows are placed there"
    if addresses.parse(old.address) != addresses.parse(new.address):
        return "another address: flows that stand stay at the old one until they end"
    if old != new:
        return "draining: nothing new goes there" if new.state == "draining" else "differs"
    return ""


def flatten(value: Any, key: str = "") -> dict[str, Any]:
    """Returns the keys of nested tables, joined by dots, with their values; a list is one value."""
    if not isinstance(value, msgspec.Struct):
        return {key: value}
    found: dict[str, Any] = {}
    for name, inner in msgspec.structs.asdict(value).items():
        found.update(flatten(inner, f"{key}.{name}" if key else name))
    return found
