"""Server files: their schema, their checks, and their conversion to endpoints. Free of I/O."""

from __future__ import annotations

import re
from datetime import datetime
from functools import partial
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from brambleplank import addresses
from brambleplank.model import Address, Endpoint, EndpointStatus
from brambleplank.tables import DocumentReader, KeyPath, apply_rules

STATES = {"ready": EndpointStatus.READY, "draining": EndpointStatus.DRAINING}
SERVER_NAME = re.compile(r"[!-~]{1,128}")  # what log lines and datagrams can hold
MAX_SIZE = 100.0  # relative to the usual size of 1; the minimum is 1 / MAX_SIZE


class Server(msgspec.Struct, forbid_unknown_fields=True):
    """One server."""

    name: Annotated[str, Meta(description="the same for as long as it lives", examples=['"feed1"'])]
    address: Annotated[
        str,
        Meta(
            description="where it listens; numbers or localhost",
            examples=['"127.0.0.1:7501"'],
        ),
    ]
    zone: Annotated[str, Meta(description="its zone, for referenced flows and probes", examples=['"a"'])] = ""
    cell: Annotated[
        int,
        Meta(
            description="its cell, for referenced flows",
            examples=["0"],
            extra={"range": (0, 2**31)},
        ),
    ] = 0
    size: Annotated[
        float,
        Meta(
            description="how much it bears beside the others",
            examples=["1.0"],
            extra={"range": (1 / MAX_SIZE, MAX_SIZE)},
        ),
    ] = 1.0
    state: Annotated[
        Literal["ready", "draining"],
        Meta(
            description="draining: finishes what it has, gets nothing new",
            examples=['"ready"'],
        ),
    ] = "ready"
    started: Annotated[
        Annotated[datetime, Meta(tz=True)] | None,
        Meta(
            description="when it last started, if lately: it is cold from then on",
            examples=["2026-01-31T08:00:00Z"],
        ),
    ] = None


class End(msgspec.Struct, forbid_unknown_fields=True):
    """The last table of a file that lists servers.

    Danger: half of a file is often a whole one with fewer servers, and all others would be taken for gone.
    """


class List(msgspec.Struct, forbid_unknown_fields=True):
    """A file of servers alone."""

    server: list[Server] = []
    end: End | None = None


def is_server_file(text: str) -> bool:
    """Whether a text holds only tables of a server file, and so is not a sidecar's file."""
    tables = set(DocumentReader(text).tables)
    return bool(tables) and tables <= {"server", "end"}


def parse(text: str) -> tuple[DocumentReader, list[Server]]:
    """Parses a server file; no servers are returned if the document has faults."""
    document = DocumentReader(text)
    if document.is_unreadable:
        return document, []
    servers = document.decode(List, document.tables).server
    if "end" not in document.tables:
        report_missing_end(document)
    else:
        check_end_is_last(document)
    apply_rules([lambda: check_duplicates(document, servers, ("server",))])
    return document, [] if document.faults else servers


def report_missing_end(document: DocumentReader) -> None:
    """Adds a fault, at the last line, for a file without the `end` table."""
    last_line = document.text.rstrip("\n").count("\n") + 1
    document.key_lines.by_path.setdefault(("end",), last_line)
    document.add_fault(
        ("end",), "missing: this may be half of a file", "end the file with a line [end], written last"
    )


def check_end_is_last(document: DocumentReader) -> None:
    """Adds a fault if another table follows `end`."""
    if document.last_table != "end":
        document.add_fault(("end",), "not the last table", "move [end] to the last line")


def check_duplicates(document: DocumentReader, servers: list[Server], path: KeyPath) -> None:
    """Adds faults for invalid or duplicate names and addresses; addresses are compared after parsing."""
    checks = DuplicateChecks(document, path)
    apply_rules(
        partial(check, index, server)
        for index, server in enumerate(servers)
        for check in (checks.check_name, checks.check_address)
    )


class DuplicateChecks:
    """Checks each server of a list against the ones before it."""

    def __init__(self, document: DocumentReader, path: KeyPath) -> None:
        self.document = document
        self.path = path  # of the list of servers
        self.names: dict[str, int] = {}
        self.addresses: dict[Address, int] = {}

    def check_name(self, index: int, server: Server) -> None:
        """Adds a fault if the name is invalid or that of an earlier server."""
        key = (*self.path, index, "name")
        if not SERVER_NAME.fullmatch(str(server.name)):  # raises for a name that could not be decoded
            self.document.add_fault(key, "need a word", 'write letters without spaces, like "feed1"')
        elif server.name in self.names:
            wrong = f'"{server.name}" is server[{self.names[server.name] + 1}] already'
            self.document.add_fault(key, wrong, "give each server a name of its own")
        self.names.setdefault(server.name, index)

    def check_address(self, index: int, server: Server) -> None:
        """Adds a fault if the address is invalid or that of an earlier server."""
        key = (*self.path, index, "address")
        address = addresses.parse(server.address)
        if address is None:
            wrong = f'"{server.address}" is no address'
            self.document.add_fault(key, wrong, 'write one like "127.0.0.1:7501"')
        elif address in self.addresses:
            wrong = f'"{server.address}" is server[{self.addresses[address] + 1}] already'
            self.document.add_fault(key, wrong, "give each server an address of its own")
        else:
            self.addresses[address] = index


def endpoints_of(servers: list[Server]) -> tuple[list[Endpoint], dict[str, Address]]:
    """Returns the endpoints of valid servers, and their addresses by server name."""
    endpoints: list[Endpoint] = []
    addresses_by_server: dict[str, Address] = {}
    for server in servers:
        started = server.started.timestamp() if server.started else 0.0
        endpoints.append(
            Endpoint(server.name, server.zone, server.cell, STATES[server.state], server.size, started)
        )
        address: Any = addresses.parse(server.address)
        addresses_by_server[server.name] = address
    return endpoints, addresses_by_server
