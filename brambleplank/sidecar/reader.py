"""Reads and checks a sidecar's file, with the environment variables and the limits of the machine."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from brambleplank.checks import InvalidConfigurationError
from brambleplank.discovery.file import server_file
from brambleplank.fleet.shapes import REQUEST_BUDGETS
from brambleplank.model import Settings
from brambleplank.settings import decode_settings
from brambleplank.settings_checks import check_settings
from brambleplank.sidecar.platform_settings import PLATFORM_EFFECTS, platform_settings
from brambleplank.sidecar.rules import Machine, check_file
from brambleplank.sidecar.shapes import File
from brambleplank.tables import DocumentReader, Fault, apply_rules

# Variables that set a key which the file leaves out; for a key in the file they are a fault.
ENVIRONMENT_KEYS: dict[str, tuple[str, ...]] = {
    "BRAMBLEPLANK_LISTEN": ("listen", "address"),
    "BRAMBLEPLANK_SOCKET": ("listen", "socket"),
    "BRAMBLEPLANK_SERVERS": ("servers", "file"),
    "BRAMBLEPLANK_ZONE": ("zone",),
    "BRAMBLEPLANK_NUMBER": ("number",),
}


@dataclass
class LoadedFile:
    """A sidecar's file after reading: its decoded content, or every fault that keeps it from being used."""

    path: str
    file: File | None = None
    servers: list[server_file.Server] = field(default_factory=list)
    settings: Settings | None = None
    faults: list[Fault] = field(default_factory=list)
    reading: DocumentReader | None = None
    from_environment: dict[str, str] = field(default_factory=dict)  # environment variable by the key it set

    def fault_lines(self) -> list[str]:
        """Returns each fault as a line of text that begins with the path of the file."""
        return [f"{self.path}: {fault}" for fault in self.faults]

    def servers_path(self) -> str | None:
        """Returns the path of the file of servers, or None. A relative path starts at the sidecar's file."""
        if self.file is None or self.file.servers is None:
            return None
        return str(Path(self.path).parent / self.file.servers.file)


def machine_limits() -> Machine:
    """Returns the limits of this machine for this process."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return Machine(hard if hard != resource.RLIM_INFINITY else 0, max(0, memory))


def read_text(path: str) -> str | Fault:
    """Returns the text of a file, or the fault that kept it from being read."""
    try:
        return Path(path).read_bytes().decode()
    except OSError as error:
        return Fault(
            1, "file", f"cannot be read: {error.strerror}", "name a file that exists and is readable"
        )
    except UnicodeDecodeError as error:
        return Fault(1, "file", f"not UTF-8 at byte {error.start}", "save it as UTF-8")


def read(path: str, environment: dict[str, str] | None = None, limits: Machine | None = None) -> LoadedFile:
    """Reads and checks the file at a path; faults are returned in the result, not raised."""
    loaded = LoadedFile(path)
    text = read_text(path)
    if isinstance(text, Fault):
        loaded.faults.append(text)
        return loaded
    variables = dict(os.environ) if environment is None else environment
    check_text(loaded, text, variables, limits or machine_limits())
    return loaded


def check_text(loaded: LoadedFile, text: str, environment: dict[str, str], limits: Machine) -> None:
    """Fills `loaded` with the decoded content of the text, or with all its faults."""
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
    """Adds the values of environment variables; a variable for a key that the file has is a fault.

    An override would make the sidecar run with a value other than the one in its file.
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
    """Reads the file of servers that the sidecar's file names; its faults carry the lines of that file."""
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
    """Reads the route table that `fleet.routes` names, and lints it against the sidecar's file.

    Imports the routing modules here, as sidecars without a route table don't need them.
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
    """Returns the settings; uses the same checks and decoder as for the platform's JSON."""
    settings = platform_settings(file)
    try:
        check_settings(settings)
        return decode_settings(settings, sockets=True)
    except InvalidConfigurationError as error:
        reading.add_fault((), str(error), "report this as a bug: the checks of the file should have found it")
        return None
