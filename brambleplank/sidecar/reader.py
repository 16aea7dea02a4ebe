"""A sidecar's file, read and judged as a whole: from its text, the environment and the machine."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from brambleplank.checks import InvalidConfigurationError, check_settings
from brambleplank.discovery.file import server_file
from brambleplank.fleet.shapes import REQUEST_BUDGETS
from brambleplank.model import Settings
from brambleplank.settings import decode_settings
from brambleplank.sidecar.platform_settings import PLATFORM_EFFECTS, platform_settings
from brambleplank.sidecar.rules import Machine, check_file
from brambleplank.sidecar.shapes import File
from brambleplank.tables import DocumentReader, Fault, apply_rules

# Variables that give a value which the file leaves out. None may hide one that the file has.
ENVIRONMENT_KEYS: dict[str, tuple[str, ...]] = {
    "BRAMBLEPLANK_LISTEN": ("listen", "address"),
    "BRAMBLEPLANK_SOCKET": ("listen", "socket"),
    "BRAMBLEPLANK_SERVERS": ("servers", "file"),
    "BRAMBLEPLANK_ZONE": ("zone",),
    "BRAMBLEPLANK_NUMBER": ("number",),
}


@dataclass
class LoadedFile:
    """A sidecar's file as it was read: what it says, or every fault that keeps it from being used."""

    path: str
    file: File | None = None
    servers: list[server_file.Server] = field(default_factory=list)
    settings: Settings | None = None
    faults: list[Fault] = field(default_factory=list)
    reading: DocumentReader | None = None
    from_environment: dict[str, str] = field(default_factory=dict)  # the variable that gave a key, by key

    def fault_lines(self) -> list[str]:
        """Returns every fault as people read it."""
        return [f"{self.path}: {fault}" for fault in self.faults]

    def servers_path(self) -> str | None:
        """Returns the file of servers, beside the sidecar's own unless its path is whole; None for none."""
        if self.file is None or self.file.servers is None:
            return None
        return str(Path(self.path).parent / self.file.servers.file)


def machine_limits() -> Machine:
    """Returns what this machine allows this process."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return Machine(hard if hard != resource.RLIM_INFINITY else 0, max(0, memory))


def read_text(path: str) -> str | Fault:
    """Returns a file's text, or what keeps it from being read."""
    try:
        return Path(path).read_bytes().decode()
    except OSError as error:
        return Fault(1, "file", f"cannot be read: {error.strerror}", "name a file that is there")
    except UnicodeDecodeError as error:
        return Fault(1, "file", f"not UTF-8 at byte {error.start}", "save it as UTF-8")


def read(path: str, environment: dict[str, str] | None = None, limits: Machine | None = None) -> LoadedFile:
    """Returns the file at a path; every fault is in the result, none is raised."""
    loaded = LoadedFile(path)
    text = read_text(path)
    if isinstance(text, Fault):
        loaded.faults.append(text)
        return loaded
    variables = dict(os.environ) if environment is None else environment
    check_text(loaded, text, variables, limits or machine_limits())
    return loaded


def check_text(loaded: LoadedFile, text: str, environment: dict[str, str], limits: Machine) -> None:
    """Adds to the file what its text says, or every fault of it."""
    reading = DocumentReader(text)
    loaded.reading = reading
    if not reading.is_unreadable:
        apply_environment(loaded, reading, environment)
        file = reading.decode(File, reading.tables)
        loaded.file = file
        apply_rules([lambda: read_servers(loaded, file, reading)])
        check_file(reading, file, loaded.servers, limits)
        apply_rules([lambda: check_routes(loaded, file, reading)])
        if not reading.faults:
            loaded.settings = decode_sidecar_settings(reading, file)
    loaded.faults = sorted(set(reading.faults))


def apply_environment(loaded: LoadedFile, reading: DocumentReader, environment: dict[str, str]) -> None:
    """Takes up what the environment gives; what would hide a value of the file is a fault.

    Otherwise the file would say one thing and the sidecar do another.
    """
    for variable, keys in ENVIRONMENT_KEYS.items():
        if not environment.get(variable):
            continue
        table: Any = reading.tables
        for key in keys[:-1]:
            table = table.setdefault(key, {}) if isinstance(table, dict) else {}
        if not isinstance(table, dict):
            continue
        if keys[-1] in table:
            reading.add_fault(keys, f"{variable} in the environment would hide it", f"unset {variable}")
        else:
            text = environment[variable]
            table[keys[-1]] = int(text) if keys == ("number",) and text.isdigit() else text
            loaded.from_environment[".".join(keys)] = variable


def read_servers(loaded: LoadedFile, file: File, reading: DocumentReader) -> None:
    """The file of servers that the sidecar's names; its faults are named by its own lines."""
    loaded.servers = file.server or []
    path = loaded.servers_path()
    if path is None:
        return
    text = read_text(path)
    if isinstance(text, Fault):
        reading.add_fault(("servers", "file"), f"{path} {text.wrong}", text.instead)
        return
    listed, loaded.servers = server_file.parse(text)
    for fault in listed.faults:
        where = f"{path} line {fault.line}: {fault.key}"
        reading.add_fault(("servers", "file"), f"{where}: {fault.wrong}", fault.instead)


def check_routes(loaded: LoadedFile, file: File, reading: DocumentReader) -> None:
    """The file of rules that the fleet's table names, linted by what this file says.

    What only this needs is imported only here.
    """
    if file.fleet is None or not file.fleet.routes:
        return
    from brambleplank.fleet.routing import route_table
    from brambleplank.fleet.routing.lint import LintContext, lint

    path = str(Path(loaded.path).parent / file.fleet.routes)
    text = read_text(path)
    if isinstance(text, Fault):
        reading.add_fault(("fleet", "routes"), f"{path} {text.wrong}", text.instead)
        return
    table, faults = route_table.read(text)
    for fault in faults:
        wrong = f"{path} line {fault.line}: {fault.key}: {fault.wrong}"
        reading.add_fault(("fleet", "routes"), wrong, fault.instead)
    if table is None:
        return
    known = LintContext(
        [kind.name for kind in file.service_type],
        file.customers,
        [b.name for b in file.fleet.budget if b.of in REQUEST_BUDGETS],
        idempotency_ranks={
            kind.name: list(PLATFORM_EFFECTS).index(kind.effect) for kind in file.service_type
        },
        budget_kinds={b.name: b.of for b in file.fleet.budget},
    )
    for found in lint(table, known):
        if found.objects:
            wrong = f"{path} line {found.line}: {found.kind}: {found.wrong}"
            reading.add_fault(("fleet", "routes"), wrong, found.instead)


def decode_sidecar_settings(reading: DocumentReader, file: File) -> Settings | None:
    """Returns the settings, by the same checks and the same decoder as for the platform's JSON."""
    settings = platform_settings(file)
    try:
        check_settings(settings)
        return decode_settings(settings, sockets=True)
    except InvalidConfigurationError as error:
        reading.add_fault((), str(error), "report this: the sidecar's own checks should have named it")
        return None
