"""`brambleplank check`."""

from __future__ import annotations

import json
import sys

import click

from brambleplank.sidecar import against, reader
from brambleplank.sources.file import entries


@click.command("check")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for machines.")
@click.option("--against", "old", type=click.Path(), help="What a reload from OLD would mean.")
def command(file: str, as_json: bool, old: str | None) -> None:
    """Name every fault of FILE at once, by line and key; exit code 2 if there is one.

    FILE is a sidecar's file, or a file of [[server]] tables.
    """
    text = reader.text_of(file)
    if isinstance(text, str) and entries.is_list(text):
        reading, servers = entries.read(text)
        faults, told = sorted(reading.faults), None
        says = f"{len(servers)} servers"
    else:
        told = reader.read(file)
        faults = told.faults
        says = f"{len(told.servers)} servers"
    changes: list[against.Change] = []
    if old is not None and told is not None and not faults:
        before = reader.read(old)
        if before.faults:
            click.echo("\n".join(before.lines()), err=True)
            click.echo(f"{old}: has faults itself, so nothing can be said against it", err=True)
            sys.exit(2)
        changes = against.compare(before, told)
    if as_json:
        found = {
            "file": file, "good": not faults, "faults": [fault.plain() for fault in faults],
            "changes": [change.plain() for change in changes],
        }
        click.echo(json.dumps(found))
    else:
        for fault in faults:
            click.echo(f"{file}: {fault}")
        for change in changes:
            click.echo(str(change))
        if old is not None and not faults and not changes:
            click.echo("nothing changes")
        click.echo(f"{file}: {len(faults)} to mend" if faults else f"{file}: good; {says}")
    sys.exit(2 if faults else 0)
