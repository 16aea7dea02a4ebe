"""Writes a sidecar's file with a comment on each key, and converts it from and to the platform's JSON."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Any, get_type_hints

import msgspec
import tomlkit
from tomlkit.items import AoT, Table

from brambleplank import addresses
from brambleplank.discovery.file.server_file import STATES, Server
from brambleplank.settings_checks import check_settings
from brambleplank.sidecar.platform_settings import (
    MICROSECONDS_PER_SECOND,
    PLATFORM_EFFECTS,
    platform_settings,
)
from brambleplank.sidecar.rules import max_connections
from brambleplank.sidecar.shapes import File
from brambleplank.tables import (
    DocumentReader,
    Seconds,
    Size,
    description_of,
    duration_text,
    is_shape,
    size_text,
)

COMMENT_COLUMN = 34  # column at which comments begin
MIB = 1024**2  # bytes


def toml_value(value: Any) -> Any:
    """Returns a value for TOML: durations and sizes as text, others unchanged."""
    if isinstance(value, Seconds):
        return duration_text(value)
    if isinstance(value, Size):
        return size_text(value)
    return value


def table_of(shape: Any, comments: bool, all_keys: bool) -> Table:
    """Returns a struct as a table, with its nested lists of tables but not its nested tables."""
    table = tomlkit.table()
    add_keys(table, shape, comments, all_keys)
    for field in msgspec.structs.fields(type(shape)):
        value = getattr(shape, field.name)
        if isinstance(value, list) and value and is_shape(type(value[0])):
            table.add(field.name, tables_of(value, comments, all_keys))
    return table


def tables_of(shapes: list[Any], comments: bool, all_keys: bool) -> AoT:
    """Returns structs as a list of tables."""
    tables = AoT([])
    for shape in shapes:
        tables.append(table_of(shape, comments, all_keys))
    return tables


def add_keys(table: Any, shape: Any, comments: bool, all_keys: bool) -> None:
    """Adds the plain keys of a struct to a table; without `all_keys`, only those not at their defaults."""
    hints = get_type_hints(type(shape), include_extras=True)
    for field in msgspec.structs.fields(type(shape)):
        value = getattr(shape, field.name)
        if value is None or contains_tables(value):
            continue
        default = field.default if field.default_factory is msgspec.NODEFAULT else field.default_factory()
        if value == default and (not all_keys or value in ("", [])):
            continue
        item = tomlkit.item(toml_value(value))
        if comments and (description := description_of(hints[field.name])):
            gap = COMMENT_COLUMN - len(f"{field.name} = {item.as_string()}")
            item.trivia.comment_ws = " " * max(2, gap)
            item.trivia.comment = f"# {description}"
        table.add(field.name, item)


def contains_tables(value: Any) -> bool:
    """Whether a value is a struct, or a list that contains one."""
    if isinstance(value, list):
        return any(is_shape(type(each)) for each in value)
    return is_shape(type(value))


def server_tables(servers: list[Server]) -> str:
    """Returns the [[server]] tables of servers, and [end].

    Builds the text without a tomlkit document, which takes seconds for thousands of tables.
    """
    defaults = Server(name="", address="")
    keys = [field.name for field in msgspec.structs.fields(Server)]
    lines: list[str] = []
    for server in servers:
        lines.append("[[server]]")
        for key in keys:
            value = getattr(server, key)
            if value != getattr(defaults, key):
                lines.append(f"{key} = {tomlkit.item(value).as_string()}")
        lines.append("")
    return "\n".join([*lines, "[end]", ""])


def servers_text(servers: list[Server]) -> str:
    """Returns the text of a file of servers, with [end] as its last line."""
    return (
        '# Servers; state = "draining" lets one finish what it has. Replace this file as a whole\n'
        "# (write another, then rename it); [end] stays its last line.\n\n" + server_tables(servers)
    )


def file_text(file: File, comments: bool = True, all_keys: bool = True) -> str:
    """Returns a file as TOML text; reading it gives an equal file."""
    document = tomlkit.document()
    if comments:
        document.add(tomlkit.comment(f"The sidecar of {file.application}: brambleplank check, explain, run."))
    add_keys(document, file, comments, all_keys)
    for name in get_type_hints(File, include_extras=True):
        value = getattr(file, name)
        if name in ("server", "end") or value is None:
            continue
        if name == "service_type":
            document.add(name, tables_of(value, comments, all_keys))
        elif is_shape(type(value)):
            has_no_mode = name == "listen" and value.socket is None  # `mode` only applies to a Unix socket
            table = table_of(value, comments, all_keys and not has_no_mode)
            if len(table):
                document.add(name, table)
    return document.as_string() + (f"\n{server_tables(file.server)}" if file.server else "")


def replace_file(path: Path, text: str) -> None:
    """Replaces a file atomically, so that no reader sees a partly written one."""
    part = path.with_name(f".{path.name}.part")
    part.write_text(text, encoding="utf-8")
    part.replace(path)


# From and to the platform's JSON.

EFFECTS_BY_PLATFORM_NAME = {word: effect for effect, word in PLATFORM_EFFECTS.items()}
DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY = 128  # MiB


def to_platform(file: File, servers: list[Server], discovery: str) -> dict[str, Any]:
    """Returns the platform's JSON of a sidecar, with its servers as `known` and a discovery address."""
    return {
        "name": file.application,
        "listen": file.listen.address or "",
        "discovery": discovery,
        "seed": secrets.token_hex(8),
        "limits": {"memory_mb": file.limits.memory // MIB, "sockets": file.limits.descriptors},
        "known": {"seq": 0, "whole": True, "hosts": [platform_server(server) for server in servers]},
        "settings": platform_settings(file),
    }


def platform_server(server: Server) -> dict[str, Any]:
    """Returns a server in the form of the platform's endpoint list."""
    states = {status: state for state, status in STATES.items()}
    return {
        "host": server.name,
        "dial": normalized(server.address),
        "site": server.zone,
        "class": "",
        "block": server.cell,
        "health": states[STATES[server.state]],
        "share": server.size,
        "born_ms": round(server.started.timestamp() * 1000) if server.started else 0,
    }


def normalized(address: str) -> str:
    """Returns an address in the platform's notation, or the text unchanged if it isn't an address."""
    parsed = addresses.parse(address)
    return addresses.to_text(parsed) if parsed else address


def from_platform(config: dict[str, Any]) -> File:
    """Converts the platform's JSON to a sidecar's file, without applying the rules of such files.

    Raises InvalidConfigurationError if the settings are invalid, and KeyError, TypeError or ValueError if
    another value is missing or of the wrong type.
    """
    settings = config["settings"]
    check_settings(settings)
    policy = settings["policy_limits"]
    specifics = settings.get("specifics") or {}
    hosts = [host for host in config.get("known", {}).get("hosts", ()) if host["health"] in STATES]
    document: dict[str, Any] = {
        "application": config["name"],
        "listen": {"address": config["listen"]},
        "sidecars": max(1, settings["balancers"]),
        "number": settings["slot_no"],
        "zone": settings.get("az", ""),
        "groups": bool(specifics.get("groups", False)),
        "probes": bool(policy.get("may_probe", False)),
        "customers": [item["name"] for item in settings.get("tenants") or ()],
        "limits": limits_table(config.get("limits", {}), len(hosts)),
        "connects": connects_table(policy),
        **rules_tables(settings["rules"]),
        "service_type": service_type_tables(settings["service_types"], specifics),
        "server": [server_table(host) for host in hosts],
        "end": {},
    }
    return decode_document(document)


def limits_table(limits: dict[str, Any], servers: int) -> dict[str, Any]:
    """Returns the table `limits`, with as many connections as descriptors and memory allow."""
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    memory = limits.get("memory_mb", DEFAULT_MEMORY) * MIB
    return {
        "connections": max_connections(descriptors, memory, servers),
        "descriptors": descriptors,
        "memory": size_text(memory),
    }


def connects_table(policy: dict[str, Any]) -> dict[str, Any]:
    """Returns the table `connects`."""
    return {
        "most": policy["max_connects"],
        "withdraw": policy["cancelling"],
        "up_within": time_text(policy["connect_timeout_us"]),
        "come_back_within": time_text(policy["max_retry_after_us"] if policy["retry_after"] else 0),
    }


def rules_tables(rules: dict[str, Any]) -> dict[str, Any]:
    """Returns the tables `drain` and `cold`."""
    return {
        "drain": {"window": time_text(rules["stop_sending_within_us"])},
        "cold": {
            "able": rules["cold_from"],
            "warm_within": time_text(rules["ramp_time_us"]),
            "falls_over_at": float(rules["overload_factor"]),
            "falls_within": time_text(rules["fall_us"]),
        },
    }


def service_type_tables(items: list[dict[str, Any]], specifics: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns the tables `service_type`."""
    message_targets = specifics.get("message_aim_us") or ()
    tables = []
    for number, item in enumerate(items):
        table = {
            "name": item["name"],
            "effect": EFFECTS_BY_PLATFORM_NAME[item["effect"]],
            "setup_target": time_text(item["setup_target_us"]),
            "connect_timeout": time_text(item["deadline_us"]),
        }
        if number < len(message_targets):
            table["message_target"] = time_text(message_targets[number])
        if item["effect"] == "by_key":
            table["group"] = item["group"]
            table["window"] = time_text(item["window_us"])
        tables.append(table)
    return tables


def server_table(host: dict[str, Any]) -> dict[str, Any]:
    """Returns the [[server]] table for a server of the platform's list."""
    return {
        "name": host["host"],
        "address": host["dial"],
        "zone": host.get("site", ""),
        "cell": int(host.get("block", 0)),
        "size": float(host.get("share") or 1.0),
        "state": host["health"],
    }


def time_text(microseconds: float) -> str:
    """Returns a time in microseconds as the text of a duration."""
    return duration_text(microseconds / MICROSECONDS_PER_SECOND)


def decode_document(document: dict[str, Any]) -> File:
    """Decodes tables built by this module into a file. Raises ValueError if a key has a fault."""
    reading = DocumentReader.from_tables(document)
    file = reading.decode(File, reading.tables)
    if reading.faults:
        raise ValueError("; ".join(f"{fault.key}: {fault.wrong}" for fault in reading.faults))
    return file
