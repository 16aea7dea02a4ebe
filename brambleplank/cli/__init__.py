"""The command `brambleplank`, with one module for each subcommand."""

from __future__ import annotations

import importlib

import click

COMMANDS = ("new", "check", "explain", "run", "convert", "schema", "watch", "try")


class LazyGroup(click.Group):
    """Imports the module of a subcommand only when needed, to keep the start of the others fast."""

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002  the base class's argument
        """Returns the names of all subcommands, in the order of the help page."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:  # noqa: ARG002
        """Imports and returns a subcommand; None if there is none of that name."""
        if cmd_name not in COMMANDS:
            return None
        module = importlib.import_module(f"brambleplank.cli.{cmd_name}_command")
        found: click.Command = module.command
        return found


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A balancer for long-lived connections, beside one application.

    Begin with `brambleplank try`, then `brambleplank new`.
    """
