"""`brambleplank explain`."""

from __future__ import annotations

import json
import sys

import click

from brambleplank.sidecar import explain, reader


@click.command("explain")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="One JSON object a value, for machines.")
def command(file: str, as_json: bool) -> None:
    """Show each effective value of FILE, where it comes from and which rule it serves."""
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
    key, worth, origin = (max(len(getattr(each, name)) for each in found) for name in columns)
    for each in found:
        does = each.does + (f" [{each.rule}]" if each.rule else "")
        click.echo(f"{each.key:{key}}  {each.value:{worth}}  {each.origin:{origin}}  {does}".rstrip())
