"""The command `brambleplank schema`."""

from __future__ import annotations

import click

from brambleplank.sidecar.schema import schema


@click.command("schema")
def command() -> None:
    """Print the JSON schema of a sidecar's file, for editors."""
    click.echo(schema(), nl=False)
