"""The command `brambleplank convert`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import NoReturn

import click

from brambleplank import addresses
from brambleplank.checks import InvalidConfigurationError
from brambleplank.sidecar import reader, writer


@click.command("convert")
@click.argument("file", type=click.Path())
@click.option("--discovery", help="Address of the platform's discovery; needed for JSON output.")
@click.option("-o", "--out", type=click.Path(), help="File to write instead of standard output.")
def command(file: str, discovery: str | None, out: str | None) -> None:
    """Convert the platform's JSON to a sidecar's file, or a sidecar's file to the platform's JSON."""
    text = reader.read_text(file)
    if not isinstance(text, str):
        fail(f"{file}: {text.wrong}; {text.instead}")
    result = to_toml(file, text) if text.lstrip().startswith("{") else to_json(file, discovery)
    if out:
        Path(out).write_text(result, encoding="utf-8")
    else:
        click.echo(result, nl=False)


def to_json(file: str, discovery: str | None) -> str:
    """Converts a sidecar's file to the platform's JSON; exits if the platform has no equivalent."""
    loaded = reader.read(file)
    if loaded.faults or loaded.file is None:
        fail("\n".join(loaded.fault_lines()))
    if loaded.file.listen.socket:
        fail(f"{file}: listen.socket: the platform has no Unix sockets; write an address")
    if loaded.file.consul:
        fail(f"{file}: consul: the platform follows its own discovery; write [servers] or [[server]]")
    where = addresses.parse(discovery or "")
    if where is None:
        fail("--discovery: need the address of the platform's discovery, like 10.2.0.1:8500")
    return (
        json.dumps(writer.to_platform(loaded.file, loaded.servers, addresses.to_text(where)), indent=1) + "\n"
    )


def to_toml(file: str, text: str) -> str:
    """Converts the platform's JSON to a sidecar's file; exits if the JSON is invalid."""
    try:
        return writer.file_text(writer.from_platform(json.loads(text)))
    except (InvalidConfigurationError, ValueError, RecursionError) as error:
        fail(f"{file}: {error}")
    except KeyError as error:
        fail(f"{file}: {error.args[0]}: missing")
    except (TypeError, AttributeError, IndexError) as error:
        fail(f"{file}: not valid platform JSON: {error}")


def fail(reason: str) -> NoReturn:
    """Prints the reason to standard error and exits with code 2."""
    click.echo(reason, err=True)
    sys.exit(2)
