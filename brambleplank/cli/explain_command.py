"""The command `brambleplank explain`."""

from __future__ import annotations

import json
import sys

import click

from brambleplank.sidecar import explain, reader


@click.command("explain")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per value.")
def command(file: str, as_json: bool) -> None:
    """Show each effective value of FILE, with its origin, its description and the rule it serves."""
    loaded = reader.read(file)
    if loaded.faults:
        click.echo("\n".join(loaded.fault_lines()), err=True)
        sys.exit(2)
    found = list(explain.effective_values(loaded))
    if as_json:
        for value in found:
            click.echo(json.dumps(value.to_dict()))
        return
    columns = ("key", "value", "origin")
    key_width, value_width, origin_width = (max(len(getattr(row, name)) for row in found) for name in columns)
    for row in found:
        does = row.does + (f" [{row.rule}]" if row.rule else "")
        click.echo(
            f"{row.key:{key_width}}  {row.value:{value_width}}  {row.origin:{origin_width}}  {does}".rstrip()
        )
