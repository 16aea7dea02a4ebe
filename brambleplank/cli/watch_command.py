"""The command `brambleplank watch`."""

from __future__ import annotations

import sys

import click


@click.command("watch")
@click.argument("file", type=click.Path())
@click.option("--seconds", type=click.FloatRange(0), default=0.0, help="Duration; 0: until interrupted.")
def command(file: str, seconds: float) -> None:
    """Follow the servers of FILE; print each change, its effect, the reason and the delay."""
    from brambleplank.sidecar.watch import main

    sys.exit(main(file, seconds, click.echo))
