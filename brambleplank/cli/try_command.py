"""The command `brambleplank try`."""

from __future__ import annotations

import sys

import click


@click.command("try")
@click.option(
    "--seconds", type=click.FloatRange(4, 60), default=8.0, show_default=True, help="Duration of the trial."
)
@click.option("--flows", type=click.IntRange(5, 200), default=40, show_default=True, help="Flows per second.")
@click.option("--keep", type=click.Path(), help="Folder in which to keep the sidecar's files and log.")
def command(seconds: float, flows: int, keep: str | None) -> None:
    """Run a sidecar with four stand-in servers, drain one, kill one, and report the result of every flow.

    Everything runs on loopback; exits with code 1 if a rule was broken.
    """
    from brambleplank.emulator.trial import main

    sys.exit(main(seconds, flows, keep, click.echo))
