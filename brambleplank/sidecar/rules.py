"""Rules of a sidecar's file that its structs cannot express. Free of I/O.

Ranges of single keys are in `shapes.py`. The rules here involve several keys, the form of a value, or the
limits of the machine, which the caller passes.
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
from brambleplank.fleet.shapes import check_budgets, check_members
from brambleplank.sidecar.shapes import OUTSIDE_LOOPBACK_CONSENT, File
from brambleplank.tables import DocumentReader, apply_rules, duration_text, size_text

FIRST_UNPRIVILEGED_PORT = 1024
MAX_SOCKET_PATH_BYTES = 107  # limit of Linux (sun_path without its final zero byte)
# Share of descriptors and memory kept for final answers and the endpoint list, the same as in the decisions.
RESERVED_SHARE = 1 / 8
PROGRAM_DESCRIPTORS = 24  # for the log, the reactor, discovery, and descriptors that are about to be closed
BASE_MEMORY = 44 * 1024**2  # bytes of an idle sidecar; docs/sidecar.md describes the measurement
MEMORY_PER_CONNECTION = 48 * 1024  # bytes, including the unsent lines of a standing connection
MEMORY_PER_SERVER = 16 * 1024  # bytes
OPEN_VALUE = re.compile(r"[!-+\--~]{1,128}")  # valid value of a field of OPEN: no spaces, no commas


@dataclass(frozen=True)
class Machine:
    """Limits of this machine for a process of this user; 0 for unknown or unlimited."""

    descriptors: int = 0
    memory: int = 0


def check_file(reading: DocumentReader, file: File, servers: list[Server], machine: Machine) -> None:
    """Adds every fault to `reading`. `servers` are those of the file itself or of the file of servers."""
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
    """Returns the indices of a list's items; none if the list could not be decoded."""
    items = getattr(file, key)
    return range(len(items)) if isinstance(items, list) else range(0)


def check_application(reading: DocumentReader, file: File) -> None:
    """The application must have a name."""
    if not file.application.strip():
        reading.add_fault(("application",), "empty name", 'write application = "maps"')


def check_number(reading: DocumentReader, file: File) -> None:
    """The number must be below the number of sidecars.

    Each sidecar needs its own: two with the same number both use its share of a server in slow start.
    """
    if file.number >= file.sidecars:
        reading.add_fault(
            ("number",),
            f"{file.number} is not below sidecars, {file.sidecars}; numbers count from 0",
            f"write 0 to {file.sidecars - 1}",
        )


def check_fleet(reading: DocumentReader, file: File) -> None:
    """The table `fleet`, if there is one, must be valid with the service types, customers and sidecars."""
    if file.fleet is not None:
        kinds = [kind.name for kind in file.service_type]
        check_budgets(reading, file.fleet, kinds, file.customers, ("fleet",))
        check_members(reading, file.fleet, file.sidecars, ("fleet",))


def check_customer(reading: DocumentReader, file: File, n: int) -> None:
    """A customer's name must be a valid value in OPEN, and unique."""
    name = file.customers[n]
    if not OPEN_VALUE.fullmatch(name):
        reading.add_fault(
            ("customers", n),
            f'"{name}" cannot be sent in OPEN',
            "write 1 to 128 printable ASCII characters without spaces or commas",
        )
    if name in file.customers[:n]:
        reading.add_fault(("customers", n), f'"{name}" is listed twice', "write each customer once")


def check_server_source(reading: DocumentReader, file: File) -> None:
    """The file must have one source of servers: [[server]] tables, a file of servers, or Consul."""
    if file.server and file.servers:
        reading.add_fault(
            ("servers", "file"), "this file also has [[server]] tables", "keep [servers] or [[server]]"
        )
    if file.consul and (file.server or file.servers):
        reading.add_fault(
            ("consul",), "this file has another source of servers too", "keep one of consul, servers, server"
        )
    if not file.server and not file.servers and not file.consul:
        reading.add_fault(
            ("servers",), "missing: no source of servers", 'write [servers] with file = "maps.servers.toml"'
        )


def check_consul(reading: DocumentReader, file: File) -> None:
    """Agents must be valid and unique addresses, and services unique names; each list needs an item."""
    if file.consul is None:
        return
    seen: set[tuple[str, int] | None] = set()
    if not file.consul.agents:
        reading.add_fault(("consul", "agents"), "need at least one", 'write agents = ["127.0.0.1:8500"]')
    for n, text in enumerate(file.consul.agents):
        where = addresses.parse(text)
        if where is None:
            reading.add_fault(
                ("consul", "agents", n), f'"{text}" is not an address', 'write one like "127.0.0.1:8500"'
            )
        elif where in seen:
            reading.add_fault(("consul", "agents", n), f'"{text}" is listed twice', "write each agent once")
        seen.add(where)
    if not file.consul.services or len(set(file.consul.services)) < len(file.consul.services):
        reading.add_fault(
            ("consul", "services"), "need at least one, each once", 'write services = ["feeds"]'
        )
    if "" in file.consul.services:
        reading.add_fault(("consul", "services"), "one name is empty", 'write services = ["feeds"]')


def check_steady_times(reading: DocumentReader, file: File) -> None:
    """The shortest steady time must not exceed the longest."""
    if file.consul and file.consul.steady > file.consul.steadiest:
        reading.add_fault(
            ("consul", "steady"),
            f"greater than consul.steadiest, {duration_text(file.consul.steadiest)}",
            "write that or less",
        )


def check_end_mark(reading: DocumentReader, file: File) -> None:
    """A file with servers must end with [end]: a truncated file is often valid TOML, with fewer servers."""
    if file.server and file.end is None:
        report_missing_end(reading)
    elif file.end is not None:
        check_end_is_last(reading)


def check_listener(reading: DocumentReader, file: File) -> None:
    """The listener must be either a valid local address or a valid path of a Unix socket."""
    listen = file.listen
    if (listen.address is None) == (listen.socket is None):
        both = "both an address and a socket" if listen.address else "neither an address nor a socket"
        reading.add_fault(
            ("listen",), both, 'write address = "127.0.0.1:7400", or socket = "/run/…", not both'
        )
    if listen.socket is not None:
        if not listen.socket.startswith("/") or "\0" in listen.socket:
            reading.add_fault(
                ("listen", "socket"), "need an absolute path", 'write one like "/run/maps/b.sock"'
            )
        elif len(listen.socket.encode()) > MAX_SOCKET_PATH_BYTES:
            reading.add_fault(
                ("listen", "socket"), f"longer than {MAX_SOCKET_PATH_BYTES} bytes", "choose a shorter path"
            )
    if listen.address is None:
        return
    where = addresses.parse(listen.address)
    if where is None:
        reading.add_fault(
            ("listen", "address"), f'"{listen.address}" is not an address', 'write one like "127.0.0.1:7400"'
        )
        return
    if where[1] < FIRST_UNPRIVILEGED_PORT:
        # Only root could start it, and a sidecar needs no privileges.
        reading.add_fault(
            ("listen", "address"),
            f"port {where[1]} is privileged",
            f"write {FIRST_UNPRIVILEGED_PORT} or more",
        )
    if not addresses.is_loopback(where[0]) and listen.outside_loopback != OUTSIDE_LOOPBACK_CONSENT:
        # Clients aren't authenticated: whoever reaches the listener sends requests as the application.
        reading.add_fault(
            ("listen", "address"),
            f"{where[0]} is outside loopback",
            f'write 127.0.0.1, or outside_loopback = "{OUTSIDE_LOOPBACK_CONSENT}"',
        )


def check_socket_mode(reading: DocumentReader, file: File) -> None:
    """The mode of the socket must be octal, and let the owner read and write."""
    if not re.fullmatch(r"0?[0-7]{3}", str(file.listen.mode)):
        reading.add_fault(
            ("listen", "mode"), f'"{file.listen.mode}" is not an octal mode', 'write mode = "0660"'
        )
    elif int(file.listen.mode, 8) & 0o600 != 0o600:
        reading.add_fault(("listen", "mode"), "its owner may not read and write", 'write mode = "0660"')


def check_outside_loopback(reading: DocumentReader, file: File) -> None:
    """Only the exact text of OUTSIDE_LOOPBACK_CONSENT opens the listener to other machines."""
    if file.listen.outside_loopback not in ("", OUTSIDE_LOOPBACK_CONSENT):
        reading.add_fault(
            ("listen", "outside_loopback"),
            "not the exact text that allows it",
            f'write outside_loopback = "{OUTSIDE_LOOPBACK_CONSENT}", or leave it out',
        )


def check_attempts_fit(reading: DocumentReader, file: File, n: int) -> None:
    """All attempts must fit into the connect timeout; otherwise the last would follow the final answer."""
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
    """There must be a service type."""
    if not file.service_type:
        reading.add_fault(("service_type",), "need at least one", "write [[service_type]] with a name")


def check_name(reading: DocumentReader, file: File, n: int) -> None:
    """A service type's name must be a valid value in OPEN, and unique."""
    name = file.service_type[n].name
    if not OPEN_VALUE.fullmatch(str(name)):  # raises for a name that could not be decoded
        reading.add_fault(
            ("service_type", n, "name"),
            f'"{name}" cannot be sent in OPEN',
            "write 1 to 128 printable ASCII characters without spaces or commas",
        )
    if any(each.name == name for each in file.service_type[:n]):
        reading.add_fault(
            ("service_type", n, "name"), f'"{name}" is used twice', "give each service type its own name"
        )


def check_setup_target(reading: DocumentReader, file: File, n: int) -> None:
    """The setup target must not exceed the connect timeout."""
    kind = file.service_type[n]
    if kind.setup_target > kind.connect_timeout:
        longest = duration_text(kind.connect_timeout)
        reading.add_fault(
            ("service_type", n, "setup_target"),
            f"{duration_text(kind.setup_target)} is greater than the connect timeout, {longest}",
            f"write {longest} or less",
        )


def check_group(reading: DocumentReader, file: File, n: int) -> None:
    """Referenced service types must have a group, others none."""
    check_referenced_key(reading, file, n, "group", 'write group = "all", "zone" or "cell"')


def check_window(reading: DocumentReader, file: File, n: int) -> None:
    """Referenced service types must have a window, others none."""
    check_referenced_key(reading, file, n, "window", 'write window = "5s"')


def check_referenced_key(reading: DocumentReader, file: File, n: int, key: str, instead: str) -> None:
    """Referenced service types must have the key, others must not.

    Group and window tell which servers drop a repeat, and for how long; without them it could run twice.
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
    """Descriptors must suffice for the configured connections, and be within the limit of the machine."""
    limits = file.limits
    needed = descriptors_for(limits.connections, servers if file.probes else 0)
    if limits.descriptors < needed:
        # Requests would be rejected for lack of descriptors although the application keeps to its limit.
        reading.add_fault(
            ("limits", "descriptors"),
            f"{limits.descriptors} are too few for {limits.connections} connections and {servers} servers",
            f"write {needed} or more, or fewer connections",
        )
    if machine.descriptors and limits.descriptors > machine.descriptors:
        reading.add_fault(
            ("limits", "descriptors"),
            f"{limits.descriptors} is more than the hard limit of this user, {machine.descriptors}",
            f"write {machine.descriptors} or less, or raise the limit (ulimit -Hn)",
        )


def check_memory(reading: DocumentReader, file: File, servers: int, machine: Machine) -> None:
    """Memory must suffice for the configured connections, and be within that of the machine."""
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
    """Returns the descriptors needed for a number of standing connections and of probed servers."""
    return ceil((2 * connections + probed + PROGRAM_DESCRIPTORS) / (1 - RESERVED_SHARE)) + 1


def max_connections(descriptors: int, memory: int, servers: int) -> int:
    """Returns the standing connections that these limits allow, at least 1; `check_file` refuses too many."""
    by_descriptors = (int((descriptors - 1) * (1 - RESERVED_SHARE)) - servers - PROGRAM_DESCRIPTORS) // 2
    by_memory = (
        int(memory * (1 - RESERVED_SHARE)) - BASE_MEMORY - servers * MEMORY_PER_SERVER
    ) // MEMORY_PER_CONNECTION
    return max(1, min(by_descriptors, by_memory))


def memory_for(connections: int, servers: int) -> int:
    """Returns the memory needed for connections and servers in bytes, rounded up to whole MiB."""
    held = BASE_MEMORY + connections * MEMORY_PER_CONNECTION + servers * MEMORY_PER_SERVER
    return ceil(held / (1 - RESERVED_SHARE) / 1024**2) * 1024**2


def check_cold_times(reading: DocumentReader, file: File) -> None:
    """The time in which an overloaded cold server fails must not exceed its warm-up time."""
    if file.cold.falls_within > file.cold.warm_within:
        longest = duration_text(file.cold.warm_within)
        reading.add_fault(
            ("cold", "falls_within"),
            f"{duration_text(file.cold.falls_within)} is greater than cold.warm_within, {longest}",
            f"write {longest} or less",
        )


def check_not_own_listener(reading: DocumentReader, file: File, n: int, server: Server) -> None:
    """No server may be the sidecar's own listener: requests would loop until descriptors run out."""
    where = addresses.parse(file.listen.address) if file.listen.address else None
    there = addresses.parse(server.address)
    if where and there and addresses.listener_accepts(where, there):
        reading.add_fault(
            ("server", n, "address") if file.server else ("servers", "file"),
            f'"{server.address}" of {server.name} is this sidecar\'s own listener',
            "write the server's address there, or listen elsewhere",
        )
