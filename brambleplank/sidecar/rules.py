"""What no sidecar's file may say, where several keys are at fault together. Free of I/O.

Each rule's comment names what it guards. Where a value of one key alone is at fault, its range in `shapes.py`
refuses it; here stand the rules that need two keys, or the machine's limits, which the caller tells.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import partial
from math import ceil

from brambleplank import addresses
from brambleplank.discovery.file.server_file import (
    Server,
    check_duplicates,
    check_end_is_last,
    report_missing_end,
)
from brambleplank.fleet.shapes import judge as judge_fleet
from brambleplank.fleet.shapes import judge_members
from brambleplank.sidecar.shapes import OUTSIDE_LOOPBACK_CONSENT, File
from brambleplank.tables import DocumentReader, apply_rules, duration_text, size_text

FIRST_UNPRIVILEGED_PORT = 1024
MAX_SOCKET_PATH_BYTES = 107  # bytes, as Linux has it
# Share of descriptors and memory kept for final answers and the endpoint list, the same as in the decisions.
RESERVED_SHARE = 1 / 8
PROGRAM_DESCRIPTORS = 24  # descriptors for the log, the reactor, the list, and those about to be closed
BASE_MEMORY = 44 * 1024**2  # bytes that it holds with nothing to do, measured; docs/sidecar.md says how
MEMORY_PER_CONNECTION = 48 * 1024  # bytes a standing connection may come to hold, its unsent lines included
MEMORY_PER_SERVER = 16 * 1024
OPEN_VALUE = re.compile(r"[!-+\--~]{1,128}")  # what a field of OPEN can carry


@dataclass(frozen=True)
class Machine:
    """What this machine allows a process of this user; 0 where it does not say."""

    descriptors: int = 0
    memory: int = 0


def check_file(reading: DocumentReader, file: File, servers: list[Server], machine: Machine) -> None:
    """Adds every fault to the reading. `servers` are those of the file itself or of the file it names."""
    apply_rules(
        [
            partial(check_application, reading, file),
            partial(check_listener, reading, file),
            partial(check_socket_mode, reading, file),
            partial(check_outside_loopback, reading, file),
            partial(check_has_service_type, reading, file),
            partial(check_cold_times, reading, file),
            partial(check_server_source, reading, file),
            partial(check_number, reading, file),
            partial(check_consul, reading, file),
            partial(check_fleet, reading, file),
            partial(check_steady_times, reading, file),
            partial(check_end_mark, reading, file),
            partial(check_descriptors, reading, file, len(servers), machine),
            partial(check_memory, reading, file, len(servers), machine),
            *(partial(check_customer, reading, file, n) for n in item_numbers(file, "customers")),
            *(
                partial(rule, reading, file, n)
                for n in item_numbers(file, "service_type")
                for rule in (check_attempts_fit, check_name, check_setup_target, check_group, check_window)
            ),
            *(partial(check_not_own_listener, reading, file, n, server) for n, server in enumerate(servers)),
            lambda: check_duplicates(reading, file.server, ("server",)),
        ]
    )


def item_numbers(file: File, key: str) -> range:
    """The numbers of a list's items; none where it could not be read."""
    items = getattr(file, key)
    return range(len(items)) if isinstance(items, list) else range(0)


def check_application(reading: DocumentReader, file: File) -> None:
    """The application has a name."""
    if not file.application.strip():
        reading.add_fault(("application",), "need a word", 'write application = "maps"')


def check_number(reading: DocumentReader, file: File) -> None:
    """A sidecar has a number of its own; with another's, a server in slow start gets the share of several."""
    if file.number >= file.sidecars:
        reading.add_fault(
            ("number",),
            f"{file.number} is none of {file.sidecars} sidecars, counted from 0",
            f"write 0 to {file.sidecars - 1}",
        )


def check_fleet(reading: DocumentReader, file: File) -> None:
    """Who shares what with whom, where anything is."""
    if file.fleet is not None:
        kinds = [kind.name for kind in file.service_type]
        judge_fleet(reading, file.fleet, kinds, file.customers, ("fleet",))
        judge_members(reading, file.fleet, file.sidecars, ("fleet",))


def check_customer(reading: DocumentReader, file: File, n: int) -> None:
    """A customer's name fits into OPEN, and is there once."""
    name = file.customers[n]
    if not OPEN_VALUE.fullmatch(name):
        reading.add_fault(
            ("customers", n), f'"{name}" cannot stand in OPEN', "write printable letters, no space or comma"
        )
    if name in file.customers[:n]:
        reading.add_fault(("customers", n), f'"{name}" stands twice', "write each customer once")


def check_server_source(reading: DocumentReader, file: File) -> None:
    """Servers stand in this file, or in one that it names."""
    if file.server and file.servers:
        reading.add_fault(
            ("servers", "file"), "servers stand in this file too", "keep [servers] or [[server]]"
        )
    if file.consul and (file.server or file.servers):
        reading.add_fault(
            ("consul",), "servers come from elsewhere too", "keep one of consul, servers, server"
        )
    if not file.server and not file.servers and not file.consul:
        reading.add_fault(
            ("servers",), "missing: no servers", 'write [servers] with file = "maps.servers.toml"'
        )


def check_consul(reading: DocumentReader, file: File) -> None:
    """Consul's agents and services, where it is the source."""
    if file.consul is None:
        return
    seen: set[tuple[str, int] | None] = set()
    if not file.consul.agents:
        reading.add_fault(("consul", "agents"), "need one at least", 'write agents = ["127.0.0.1:8500"]')
    for n, text in enumerate(file.consul.agents):
        where = addresses.parse(text)
        if where is None:
            reading.add_fault(
                ("consul", "agents", n), f'"{text}" is no address', 'write one like "127.0.0.1:8500"'
            )
        elif where in seen:
            reading.add_fault(("consul", "agents", n), f'"{text}" stands twice', "write each agent once")
        seen.add(where)
    if not file.consul.services or len(set(file.consul.services)) < len(file.consul.services):
        reading.add_fault(
            ("consul", "services"), "need one at least, each once", 'write services = ["feeds"]'
        )
    if "" in file.consul.services:
        reading.add_fault(("consul", "services"), "one has no name", 'write services = ["feeds"]')


def check_steady_times(reading: DocumentReader, file: File) -> None:
    """The shortest steady time is not over the longest."""
    if file.consul and file.consul.steady > file.consul.steadiest:
        reading.add_fault(
            ("consul", "steady"),
            f"over steadiest, {duration_text(file.consul.steadiest)}",
            "write that or less",
        )


def check_end_mark(reading: DocumentReader, file: File) -> None:
    """A file with servers ends with its mark: half of one is often well formed, and lists fewer."""
    if file.server and file.end is None:
        report_missing_end(reading)
    elif file.end is not None:
        check_end_is_last(reading)


def check_listener(reading: DocumentReader, file: File) -> None:
    """Where the application connects."""
    listen = file.listen
    if (listen.address is None) == (listen.socket is None):
        both = "both an address and a socket" if listen.address else "neither an address nor a socket"
        reading.add_fault(
            ("listen",), both, 'write address = "127.0.0.1:7400", or socket = "/run/…", not both'
        )
    if listen.socket is not None:
        if not listen.socket.startswith("/") or "\0" in listen.socket:
            reading.add_fault(("listen", "socket"), "need a whole path", 'write one like "/run/maps/b.sock"')
        elif len(listen.socket.encode()) > MAX_SOCKET_PATH_BYTES:
            reading.add_fault(
                ("listen", "socket"), f"longer than {MAX_SOCKET_PATH_BYTES} bytes", "choose a shorter path"
            )
    if listen.address is None:
        return
    where = addresses.parse(listen.address)
    if where is None:
        reading.add_fault(
            ("listen", "address"), f'"{listen.address}" is no address', 'write one like "127.0.0.1:7400"'
        )
        return
    if where[1] < FIRST_UNPRIVILEGED_PORT:
        # It would start for root alone, and a sidecar needs no rights of its own.
        reading.add_fault(
            ("listen", "address"),
            f"port {where[1]} is privileged",
            f"write {FIRST_UNPRIVILEGED_PORT} or more",
        )
    if not addresses.is_loopback(where[0]) and listen.outside_loopback != OUTSIDE_LOOPBACK_CONSENT:
        # Whoever reaches it opens requests in the application's name; nothing asks who it is.
        reading.add_fault(
            ("listen", "address"),
            f"{where[0]} is outside loopback",
            f'write 127.0.0.1, or outside_loopback = "{OUTSIDE_LOOPBACK_CONSENT}"',
        )


def check_socket_mode(reading: DocumentReader, file: File) -> None:
    """The mode of the socket is octal, and its owner may use it."""
    if not re.fullmatch(r"0?[0-7]{3}", str(file.listen.mode)):
        reading.add_fault(("listen", "mode"), f'"{file.listen.mode}" is no mode', 'write mode = "0660"')
    elif int(file.listen.mode, 8) & 0o600 != 0o600:
        reading.add_fault(("listen", "mode"), "its owner may not use it", 'write mode = "0660"')


def check_outside_loopback(reading: DocumentReader, file: File) -> None:
    """Only the exact words open the listener to other machines."""
    if file.listen.outside_loopback not in ("", OUTSIDE_LOOPBACK_CONSENT):
        reading.add_fault(
            ("listen", "outside_loopback"),
            "other words than asked for",
            f'write outside_loopback = "{OUTSIDE_LOOPBACK_CONSENT}", or leave it out',
        )


def check_attempts_fit(reading: DocumentReader, file: File, n: int) -> None:
    """All attempts fit into the connect timeout; the last ones would come after the final answer."""
    kind = file.service_type[n]
    total = file.connects.most * file.connects.up_within
    if total > kind.connect_timeout:
        reading.add_fault(
            ("service_type", n, "connect_timeout"),
            f"{file.connects.most} connects of {duration_text(file.connects.up_within)} do not fit in "
            f"{duration_text(kind.connect_timeout)}",
            f"write {duration_text(total)} or more, or fewer connects",
        )


def check_has_service_type(reading: DocumentReader, file: File) -> None:
    """There is a service type."""
    if not file.service_type:
        reading.add_fault(("service_type",), "need one at least", "write [[service_type]] with a name")


def check_name(reading: DocumentReader, file: File, n: int) -> None:
    """A service type's name fits into OPEN, and is there once."""
    name = file.service_type[n].name
    if not OPEN_VALUE.fullmatch(str(name)):  # a name that could not be read raises here
        reading.add_fault(
            ("service_type", n, "name"),
            f'"{name}" cannot stand in OPEN',
            "write printable letters, no space or comma",
        )
    if any(each.name == name for each in file.service_type[:n]):
        reading.add_fault(
            ("service_type", n, "name"), f'"{name}" stands twice', "give each service type its own name"
        )


def check_setup_target(reading: DocumentReader, file: File, n: int) -> None:
    """The setup target is not over the connect timeout."""
    kind = file.service_type[n]
    if kind.setup_target > kind.connect_timeout:
        longest = duration_text(kind.connect_timeout)
        reading.add_fault(
            ("service_type", n, "setup_target"),
            f"{duration_text(kind.setup_target)} is over the connect timeout {longest}",
            f"write {longest} or less",
        )


def check_group(reading: DocumentReader, file: File, n: int) -> None:
    """A group belongs to referenced flows."""
    check_referenced_key(reading, file, n, "group", 'write group = "all", "zone" or "cell"')


def check_window(reading: DocumentReader, file: File, n: int) -> None:
    """A window belongs to referenced flows."""
    check_referenced_key(reading, file, n, "window", 'write window = "5s"')


def check_referenced_key(reading: DocumentReader, file: File, n: int, key: str, instead: str) -> None:
    """Group and window belong to referenced flows, and to no others.

    Without them nobody knows where, and for how long, a repeat is dropped: it would run twice.
    """
    kind = file.service_type[n]
    value = getattr(kind, key)
    if kind.effect == "referenced" and value is None:
        reading.add_fault(("service_type", n, key), f"missing: referenced without {key}", instead)
    elif kind.effect != "referenced" and value is not None:
        what = "never repeated" if kind.effect == "once-only" else "repeated anywhere"
        reading.add_fault(
            ("service_type", n, key),
            f"{kind.effect} flows are {what}",
            f'leave {key} out, or write effect = "referenced"',
        )


def check_descriptors(reading: DocumentReader, file: File, servers: int, machine: Machine) -> None:
    """Descriptors for the connections that the file states."""
    limits = file.limits
    needed = descriptors_for(limits.connections, servers if file.probes else 0)
    if limits.descriptors < needed:
        # Requests would be rejected for want of descriptors while the application keeps to its limit.
        reading.add_fault(
            ("limits", "descriptors"),
            f"{limits.descriptors} are too few for {limits.connections} connections and {servers} servers",
            f"write {needed} or more, or fewer connections",
        )
    if machine.descriptors and limits.descriptors > machine.descriptors:
        reading.add_fault(
            ("limits", "descriptors"),
            f"{limits.descriptors} are more than the {machine.descriptors} that this user may hold here",
            f"write {machine.descriptors} or less, or raise the limit (ulimit -Hn)",
        )


def check_memory(reading: DocumentReader, file: File, servers: int, machine: Machine) -> None:
    """Memory for the connections that the file states."""
    limits = file.limits
    bytes_needed = memory_for(limits.connections, servers)
    if limits.memory < bytes_needed:
        reading.add_fault(
            ("limits", "memory"),
            f"{size_text(limits.memory)} is too little for {limits.connections} connections and {servers} "
            "servers",
            f'write "{size_text(bytes_needed)}" or more, or fewer connections',
        )
    if machine.memory and limits.memory > machine.memory:
        reading.add_fault(
            ("limits", "memory"),
            f"{size_text(limits.memory)} is more than the {size_text(machine.memory)} of this machine",
            f'write "{size_text(machine.memory)}" or less',
        )


def descriptors_for(connections: int, probed: int) -> int:
    """The fewest descriptors for so many standing connections, and servers that are probed."""
    return ceil((2 * connections + probed + PROGRAM_DESCRIPTORS) / (1 - RESERVED_SHARE)) + 1


def max_connections(descriptors: int, memory: int, servers: int) -> int:
    """The most standing connections that these bear; 1 at least, and `check` says if that is too many."""
    by_descriptors = (int((descriptors - 1) * (1 - RESERVED_SHARE)) - servers - PROGRAM_DESCRIPTORS) // 2
    by_memory = (
        int(memory * (1 - RESERVED_SHARE)) - BASE_MEMORY - servers * MEMORY_PER_SERVER
    ) // MEMORY_PER_CONNECTION
    return max(1, min(by_descriptors, by_memory))


def memory_for(connections: int, servers: int) -> int:
    """The least memory for them in bytes, a whole number of MiB."""
    held = BASE_MEMORY + connections * MEMORY_PER_CONNECTION + servers * MEMORY_PER_SERVER
    return ceil(held / (1 - RESERVED_SHARE) / 1024**2) * 1024**2


def check_cold_times(reading: DocumentReader, file: File) -> None:
    """A server falls over within its warm-up."""
    if file.cold.falls_within > file.cold.warm_within:
        longest = duration_text(file.cold.warm_within)
        reading.add_fault(
            ("cold", "falls_within"),
            f"{duration_text(file.cold.falls_within)} is over the warm-up of {longest}",
            f"write {longest} or less",
        )


def check_not_own_listener(reading: DocumentReader, file: File, n: int, server: Server) -> None:
    """No server is the sidecar: its requests would come in again and again until descriptors run out."""
    where = addresses.parse(file.listen.address) if file.listen.address else None
    there = addresses.parse(server.address)
    if where and there and addresses.listener_accepts(where, there):
        reading.add_fault(
            ("server", n, "address") if file.server else ("servers", "file"),
            f'"{server.address}" of {server.name} is this sidecar\'s own listener',
            "write the server's address there, or listen elsewhere",
        )
