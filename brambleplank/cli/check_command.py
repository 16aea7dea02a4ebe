"""The command `brambleplank check`."""

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
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--against", "old", type=click.Path(), help="Print what a reload would change against the file OLD."
)
def command(file: str, as_json: bool, old: str | None) -> None:
    """Report all faults of FILE, with line and key; exits with code 2 if there are any.

    FILE is a sidecar's file, or a file of [[server]] tables.
    """
    checked = read_and_check(file)
    changes: list[file_changes.Change] = []
    if old is not None and not checked.faults:
        changes = changes_since(old, checked)
    if as_json:
        click.echo(json.dumps(result_dict(file, checked, changes)))
    else:
        print_result(file, checked, changes)
        if old is not None and not checked.faults and not changes:
            click.echo("no changes")
        count = len(checked.faults)
        verdict = f"{count} to fix" if count else f"good; {len(checked.servers)} servers"
        click.echo(f"{file}: {verdict}")
    sys.exit(2 if checked.faults else 0)


@dataclass(frozen=True)
class CheckedFile:
    """The faults and servers of a file; `loaded` is None for a file of servers."""

    faults: list[Fault]
    servers: list[server_file.Server]
    loaded: reader.LoadedFile | None


def read_and_check(file: str) -> CheckedFile:
    """Reads and checks a sidecar's file or a file of servers."""
    text = reader.read_text(file)
    if isinstance(text, str) and server_file.is_server_file(text):
        reading, servers = server_file.parse(text)
        return CheckedFile(sorted(reading.faults), servers, None)
    loaded = reader.read(file)
    return CheckedFile(loaded.faults, loaded.servers, loaded)


def changes_since(old: str, checked: CheckedFile) -> list[file_changes.Change]:
    """Returns the changes against an old file; exits if that file has faults or is of the other kind."""
    before = read_and_check(old)
    if before.faults or (before.loaded is None) != (checked.loaded is None):
        for fault in before.faults:
            click.echo(f"{old}: {fault}", err=True)
        click.echo(f"{old}: has faults or is of another kind, so it can't be compared", err=True)
        sys.exit(2)
    if checked.loaded is None or before.loaded is None:
        return file_changes.changed_servers(before.servers, checked.servers)
    return file_changes.compare(before.loaded, checked.loaded)


def result_dict(file: str, checked: CheckedFile, changes: list[file_changes.Change]) -> dict[str, Any]:
    """Returns the result as a dictionary for JSON output."""
    return {
        "file": file,
        "good": not checked.faults,
        "faults": [fault.to_dict() for fault in checked.faults],
        "changes": [change.to_dict() for change in changes],
    }


def print_result(file: str, checked: CheckedFile, changes: list[file_changes.Change]) -> None:
    """Prints each fault and change."""
    for fault in checked.faults:
        click.echo(f"{file}: {fault}")
    for change in changes:
        click.echo(str(change))
