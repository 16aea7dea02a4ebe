"""`brambleplank check`."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from typing import Any

import click

from brambleplank.discovery.file import server_file
from brambleplank.sidecar import file_changes, reader
from brambleplank.tables import Fault


@click.command("check")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for machines.")
@click.option("--against", "old", type=click.Path(), help="What a reload from OLD would mean.")
def command(file: str, as_json: bool, old: str | None) -> None:
    """Name every fault of FILE at once, by line and key; exit code 2 if there is one.

    FILE is a sidecar's file, or a file of [[server]] tables.
    """
    judged = judge(file)
    changes: list[file_changes.Change] = []
    if old is not None and not judged.faults:
        changes = changes_since(old, judged)
    if as_json:
        click.echo(json.dumps(plain(file, judged, changes)))
    else:
        show(file, judged, changes)
        if old is not None and not judged.faults and not changes:
            click.echo("nothing changes")
        count = len(judged.faults)
        verdict = f"{count} to mend" if count else f"good; {len(judged.servers)} servers"
        click.echo(f"{file}: {verdict}")
    sys.exit(2 if judged.faults else 0)


@dataclass(frozen=True)
class JudgedFile:
    """The faults and servers of a file; `loaded` is None for a list of servers."""

    faults: list[Fault]
    servers: list[server_file.Server]
    loaded: reader.LoadedFile | None


def judge(file: str) -> JudgedFile:
    """Reads a sidecar's file, or a list of servers."""
    text = reader.read_text(file)
    if isinstance(text, str) and server_file.is_server_file(text):
        reading, servers = server_file.parse(text)
        return JudgedFile(sorted(reading.faults), servers, None)
    loaded = reader.read(file)
    return JudgedFile(loaded.faults, loaded.servers, loaded)


def changes_since(old: str, judged: JudgedFile) -> list[file_changes.Change]:
    """Returns the changes against an old file; ends the command if they cannot be told."""
    before = judge(old)
    if before.faults or (before.loaded is None) != (judged.loaded is None):
        for fault in before.faults:
            click.echo(f"{old}: {fault}", err=True)
        click.echo(f"{old}: has faults or is of another kind: nothing can be said against it", err=True)
        sys.exit(2)
    if judged.loaded is None or before.loaded is None:
        return file_changes.changed_servers(before.servers, judged.servers)
    return file_changes.compare(before.loaded, judged.loaded)


def plain(file: str, judged: JudgedFile, changes: list[file_changes.Change]) -> dict[str, Any]:
    """Returns the result as JSON has it."""
    return {
        "file": file,
        "good": not judged.faults,
        "faults": [fault.to_dict() for fault in judged.faults],
        "changes": [change.to_dict() for change in changes],
    }


def show(file: str, judged: JudgedFile, changes: list[file_changes.Change]) -> None:
    """Prints each fault and change."""
    for fault in judged.faults:
        click.echo(f"{file}: {fault}")
    for change in changes:
        click.echo(str(change))
