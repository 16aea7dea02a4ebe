"""The command `brambleplank new`."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from brambleplank.discovery.file.server_file import Server, check_duplicates
from brambleplank.sidecar import reader, writer
from brambleplank.sidecar.rules import check_file, descriptors_for, memory_for
from brambleplank.sidecar.shapes import File
from brambleplank.tables import DocumentReader, apply_rules, size_text

EFFECTS = ("repeatable", "referenced", "once-only")
DEFAULT_LISTEN = "127.0.0.1:7400"
MIB = 1024**2  # bytes
MIN_MEMORY = 128 * MIB
MEMORY_STEP = 64 * MIB
MIN_DESCRIPTORS = 1024
SERVICE_HELP = "NAME:EFFECT:SETUP:TIMEOUT, and :GROUP:WINDOW for referenced; may be given again."


@click.command("new")
@click.option("--application", help="The application's name.")
@click.option("--listen", help=f"Address on loopback where it connects; {DEFAULT_LISTEN} if left out.")
@click.option("--socket", help="Path of a Unix socket, instead of --listen.")
@click.option("--service", "services", multiple=True, help=SERVICE_HELP)
@click.option("--server", "servers", multiple=True, help="NAME=ADDRESS; may be given again.")
@click.option("--consul", "agents", multiple=True, help="Servers from Consul: an agent; may be given again.")
@click.option("--consul-service", "found", multiple=True, help="A service there; may be given again.")
@click.option("--zone", default="", help="The sidecar's own zone.")
@click.option("--connections", type=int, help="Standing connections at most.")
@click.option("--drain", help='Drain window, like "1s".')
@click.option("--connects", type=int, help="Connects per flow, 1 to 4.")
@click.option("--ask", is_flag=True, help="Prompt for missing options, even without a terminal.")
@click.option("-o", "--out", type=click.Path(), help="The file to write; APPLICATION.toml if left out.")
@click.option("--force", is_flag=True, help="Overwrite existing files.")
def command(**options: Any) -> None:
    """Write a commented file for one application, from options or prompts, and its file of servers.

    Writes nothing if `check` would report a fault.
    """
    write_files(complete_options(Options(**options)))


@dataclass
class Options:
    """The options of the command line."""

    application: str | None
    listen: str | None
    socket: str | None
    services: tuple[str, ...]
    servers: tuple[str, ...]
    agents: tuple[str, ...]
    found: tuple[str, ...]  # services in Consul
    zone: str
    connections: int | None
    drain: str | None
    connects: int | None
    ask: bool
    out: str | None
    force: bool


def complete_options(options: Options) -> Options:
    """Prompts for missing options. Raises UsageError if there is no terminal for a required one."""
    can_ask = options.ask or sys.stdin.isatty()
    options.application = options.application or ask_text(can_ask, "Application", "--application")
    if not options.listen and not options.socket:
        question = "Address where it connects"
        options.listen = (
            ask_text(can_ask, question, "--listen", DEFAULT_LISTEN) if can_ask else DEFAULT_LISTEN
        )
    if not options.services:
        options.services = (ask_service(can_ask),)
    if not options.servers and not options.agents:
        answer = ask_text(can_ask, "Servers (NAME=ADDRESS, by blanks)", "--server")
        options.servers = tuple(answer.split())
    if options.found and not options.agents:
        raise click.UsageError("--consul-service: needs --consul with the address of an agent")
    return options


def write_files(options: Options) -> None:
    """Writes the file and its file of servers; exits if they have a fault or exist already."""
    path = Path(options.out or f"{options.application}.toml")
    servers_path = path.with_name(f"{path.stem}.servers.toml")
    servers = [parse_server(text, options.zone) for text in options.servers]
    file = checked_file(document_from(options, servers_path.name), servers)
    texts = {path: writer.file_text(file)}
    if file.servers:
        texts[servers_path] = writer.servers_text(servers)
    for each in texts:
        if each.exists() and not options.force:
            raise click.ClickException(f"{each}: exists already; use --force to overwrite it")
    for each, text in reversed(texts.items()):
        writer.replace_file(each, text)
    click.echo(f"{path}: written; servers in {servers_path}" if file.servers else f"{path}: written")
    click.echo(f"Next: brambleplank check {path}; brambleplank run {path}")


def document_from(options: Options, servers_file: str) -> dict[str, Any]:
    """Returns the tables of the file for the options."""
    document: dict[str, Any] = {
        "application": options.application,
        "zone": options.zone,
        "listen": {"socket": options.socket} if options.socket else {"address": options.listen},
        "service_type": [parse_service(text) for text in options.services],
    }
    if options.agents:
        document["consul"] = {"agents": list(options.agents), "services": list(options.found)}
    if options.servers or not options.agents:
        document["servers"] = {"file": servers_file}
    if options.drain:
        document["drain"] = {"window": options.drain}
    if options.connects is not None:
        document["connects"] = {"most": options.connects}
    if options.connections is not None:
        limits = limits_for(options.connections, len(options.servers))
        document["limits"] = {"connections": options.connections, **limits}
    return document


def ask_text(can_ask: bool, question: str, option: str, default: str | None = None) -> str:
    """Prompts for a value; raises UsageError, which names the option, if there is no terminal."""
    if not can_ask:
        raise click.UsageError(f"{option}: missing, and standard input is not a terminal to ask on")
    answer: str = click.prompt(question, default=default)
    return answer


def ask_service(can_ask: bool) -> str:
    """Prompts for a service type; returns it in the form of --service."""
    name = ask_text(can_ask, "Service type", "--service", "warnings")
    effect = click.prompt("What if a flow runs twice?", type=click.Choice(EFFECTS), default="once-only")
    setup = click.prompt("Setup target", default="300ms")
    timeout = click.prompt("Connect timeout", default="1800ms")
    parts = [name, effect, setup, timeout]
    if effect == "referenced":
        groups = click.Choice(("all", "zone", "cell"))
        parts.append(click.prompt("Servers that drop repeats", type=groups, default="all"))
        parts.append(click.prompt("For how long", default="5s"))
    return ":".join(parts)


def parse_service(text: str) -> dict[str, Any]:
    """Parses a --service option into the table of a service type."""
    parts = text.split(":")
    if len(parts) not in (4, 6):
        raise click.UsageError(f"--service {text}: need {SERVICE_HELP}")
    keys = ("name", "effect", "setup_target", "connect_timeout", "group", "window")
    return dict(zip(keys, parts, strict=False))


def parse_server(text: str, zone: str) -> Server:
    """Parses a --server option."""
    name, equals, address = text.partition("=")
    if not equals:
        raise click.UsageError(f"--server {text}: need NAME=ADDRESS")
    return Server(name=name, address=address, zone=zone)


def limits_for(connections: int, servers: int) -> dict[str, Any]:
    """Returns limits of descriptors and memory that suffice for a number of connections, rounded up."""
    needed = max(MIN_MEMORY, memory_for(connections, servers))
    memory = -(-needed // MEMORY_STEP) * MEMORY_STEP
    return {
        "descriptors": max(MIN_DESCRIPTORS, descriptors_for(connections, servers)),
        "memory": size_text(memory),
    }


def checked_file(document: dict[str, Any], servers: list[Server]) -> File:
    """Decodes and checks the file; prints all faults and exits if there are any."""
    reading = DocumentReader.from_tables(document)
    file = reading.decode(File, reading.tables)
    check_file(reading, file, servers, reader.machine_limits())
    apply_rules([lambda: check_duplicates(reading, servers, ("server",))])
    if reading.faults:
        for fault in sorted(set(reading.faults)):
            click.echo(f"{fault.key}: {fault.wrong}; {fault.instead}", err=True)
        sys.exit(2)
    return file
