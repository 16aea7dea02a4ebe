"""Reads and checks the platform's configuration file, at the start and on SIGHUP."""

from __future__ import annotations

import json
import os
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from brambleplank.checks import InvalidConfigurationError, check_finite_numbers, check_value, parse_address
from brambleplank.discovery.platform.endpoint_list import MalformedListError, decode_list
from brambleplank.model import Address, Settings
from brambleplank.platform.reload import (
    FIXED_SETTINGS,
    require_full_lists,
    require_same_keys,
    require_same_kinds,
)
from brambleplank.platform.stored_values import address_text
from brambleplank.settings import decode_settings
from brambleplank.settings_checks import check_settings

if TYPE_CHECKING:
    from brambleplank.fleet.shapes import FleetSettings

DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 64
HEXADECIMAL = re.compile(r"[0-9a-fA-F]{1,64}")
EMPTY_LIST = {"seq": 0, "whole": True, "hosts": []}


@dataclass(frozen=True)
class PeerConfiguration:
    """Addresses for datagrams between the proxies of a site."""

    listen: Address
    broadcast: Address  # reaches all of them
    numbers: dict[Address, int]  # proxy numbers by address


@dataclass(frozen=True)
class PlatformConfiguration:
    """The configuration of one proxy, as of its start or its last successful reload."""

    listen: Address
    discovery: Address
    seed: int
    descriptor_limit: int  # descriptors that the proxy may use
    peers: PeerConfiguration | None  # None if proxies exchange no messages
    operator_address: Address | None  # of the management interface, if there is one
    initial_list: dict[str, Any]  # used until discovery answers, in its format
    settings: Settings
    file: dict[str, Any]  # the JSON object that was read
    fleet: FleetSettings | None = None  # budgets and routes shared with other processes, if any


def read(previous: PlatformConfiguration | None = None) -> PlatformConfiguration:
    """Reads the file that ROUTER_CONFIG names; `previous` is the configuration that a reload replaces.

    Raises InvalidConfigurationError.
    """
    path = os.environ.get("ROUTER_CONFIG")
    if not path:
        raise InvalidConfigurationError("ROUTER_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
    except OSError as error:
        raise InvalidConfigurationError(f"ROUTER_CONFIG: cannot read {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError(f"ROUTER_CONFIG: {path} is not JSON: {error}") from None
    if not isinstance(content, dict):
        raise InvalidConfigurationError(f"ROUTER_CONFIG: {path} does not hold a JSON object")
    return decode(content, previous)


def decode(file: dict[str, Any], previous: PlatformConfiguration | None = None) -> PlatformConfiguration:
    """Decodes a configuration file and the environment; `previous` is what a reload replaces.

    Raises InvalidConfigurationError.
    """
    check_finite_numbers({name: value for name, value in file.items() if name != "known"}, "")
    if previous:
        require_same_keys(previous.file, file)
    check_name(file)
    seed = decode_seed(file)
    descriptor_limit = decode_descriptor_limit(file)
    initial_list = decode_initial_list(file)
    raw_settings = settings_to_apply(file, previous)
    settings = decode_checked_settings(raw_settings)
    peer_addresses = decode_peer_addresses(file)
    listen = parse_address(os.environ.get("ROUTER_LISTEN") or file.get("listen"), "listen")
    discovery = parse_address(discovery_address(file, previous), "discovery")
    for key in ("peer_listen", "peers_all"):
        if file.get(key) is not None:
            parse_address(file[key], key)
    peers = None
    if settings.may_message_peers and file.get("peer_listen") is not None:
        # `peers` lists the proxies of this kind by slot; those of the other kind may have the lower numbers.
        first_number = settings.proxy_number - raw_settings["slot_no"]
        peers = PeerConfiguration(
            listen=parse_address(file["peer_listen"], "peer_listen"),
            broadcast=parse_address(file.get("peers_all"), "peers_all"),
            numbers={peer: first_number + index for index, peer in enumerate(peer_addresses)},
        )
    operators = os.environ.get("ROUTER_MGMT") or file.get("mgmt")
    members = len(peer_addresses) if peers else 0
    fleet = decode_fleet(file, settings, members, operators is not None)
    if previous:
        require_same_kinds(previous.file, file)
        require_full_lists(previous.file, file)
    return PlatformConfiguration(
        listen=listen,
        discovery=discovery,
        seed=seed,
        descriptor_limit=descriptor_limit,
        peers=peers,
        operator_address=parse_address(operators, "mgmt") if operators is not None else None,
        initial_list=initial_list,
        settings=settings,
        file=file,
        fleet=previous.fleet if previous else fleet,
    )


def check_name(file: dict[str, Any]) -> None:
    """Raises InvalidConfigurationError unless the proxy has a name."""
    name = os.environ.get("ROUTER_NAME") or file.get("name")
    if not isinstance(name, str) or not name:
        raise InvalidConfigurationError("name: need a non-empty string, here or in ROUTER_NAME")


def decode_seed(file: dict[str, Any]) -> int:
    """Returns the seed of the proxy's random numbers. Raises InvalidConfigurationError."""
    seed = file.get("seed")
    if not isinstance(seed, str) or not HEXADECIMAL.fullmatch(seed):
        raise InvalidConfigurationError(f"seed: need a string of hexadecimal digits, not {seed!r:.60}")
    return int(seed, 16)


def decode_descriptor_limit(file: dict[str, Any]) -> int:
    """Returns how many descriptors the proxy may use. Raises InvalidConfigurationError."""
    limits = file.get("limits", {})
    if not isinstance(limits, dict):
        raise InvalidConfigurationError(f"limits: need an object, not {limits!r:.60}")
    for unused in ("cores", "memory_mb"):
        if limits.get(unused) is not None:
            check_value(limits[unused], f"limits.{unused}", float)
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if not isinstance(descriptors, int) or descriptors < MIN_DESCRIPTORS:
        raise InvalidConfigurationError(
            f"limits.sockets: need {MIN_DESCRIPTORS} at least, not {descriptors!r:.60}"
        )
    return descriptors


def decode_initial_list(file: dict[str, Any]) -> dict[str, Any]:
    """Returns the endpoint list under the key `known`. Raises InvalidConfigurationError."""
    initial_list = file.get("known", EMPTY_LIST)
    try:
        decode_list(initial_list)
    except MalformedListError as error:
        raise InvalidConfigurationError(
            f"known: need an endpoint list as discovery sends it: {error}"
        ) from None
    return dict(initial_list)


def settings_to_apply(file: dict[str, Any], previous: PlatformConfiguration | None) -> dict[str, Any]:
    """Returns the settings of a file; on a reload, those that need a restart keep their previous value.

    Raises InvalidConfigurationError.
    """
    check_settings(file.get("settings"))
    if previous is None:
        return dict(file["settings"])
    before = previous.file["settings"]
    return {**file["settings"], **{key: before.get(key, "") for key in FIXED_SETTINGS}}


def decode_checked_settings(raw_settings: dict[str, Any]) -> Settings:
    """Decodes settings. Raises InvalidConfigurationError."""
    try:
        return decode_settings(raw_settings, sockets=True)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        # Without this, a value that no check covers would end the start, or a reload, with a traceback.
        raise InvalidConfigurationError(
            f"settings: cannot be decoded: {type(error).__name__}: {error}"
        ) from None


def decode_peer_addresses(file: dict[str, Any]) -> list[Address]:
    """Returns the addresses of the proxies of this kind, by slot. Raises InvalidConfigurationError."""
    peers = file.get("peers", [])
    if not isinstance(peers, list):
        raise InvalidConfigurationError(f"peers: need a list of addresses, not {peers!r:.60}")
    addresses = [parse_address(peer, f"peers[{number}]") for number, peer in enumerate(peers)]
    for number, address in enumerate(addresses):
        if address in addresses[:number]:
            raise InvalidConfigurationError(f"peers[{number}]: {peers[number]} is used twice")
    return addresses


def discovery_address(file: dict[str, Any], previous: PlatformConfiguration | None) -> Any:
    """Returns the unchecked address of discovery.

    A reload ignores the environment, which cannot change after the start and would override a new address
    in the file.
    """
    if previous is None:
        return os.environ.get("ROUTER_DISCOVERY") or file.get("discovery")
    if file.get("discovery") != previous.file.get("discovery"):
        return file.get("discovery")
    return address_text(previous.discovery)


def decode_fleet(
    file: dict[str, Any], settings: Settings, members: int, operators: bool
) -> FleetSettings | None:
    """Decodes the key `fleet`; returns None, and imports nothing of the fleet, if it is absent.

    Raises InvalidConfigurationError.
    """
    if file.get("fleet") is None:
        return None
    if operators:
        raise InvalidConfigurationError(
            "fleet: not with mgmt: during an upgrade two processes would be members with the same number"
        )
    if not members:
        raise InvalidConfigurationError(
            "fleet: not without peers: members exchange datagrams over peer_listen and peers"
        )
    try:
        from brambleplank.fleet import shapes
        from brambleplank.tables import DocumentReader
    except ImportError as error:
        raise InvalidConfigurationError(
            f"fleet: needs the Python module {error.name}; install requirements-sidecar.txt"
        ) from None
    reader = DocumentReader.from_tables({"fleet": file["fleet"]})
    table = reader.decode(shapes.Fleet, file["fleet"], ("fleet",))
    if not reader.faults:
        if table.listen or table.members:
            raise InvalidConfigurationError(
                "fleet.members: the members are those of peers; remove fleet.listen and fleet.members"
            )
        shapes.check_budgets(reader, table, settings.traffic_classes, settings.tenants, ("fleet",))
    if reader.faults:
        fault = min(reader.faults)
        raise InvalidConfigurationError(f"{fault.key}: {fault.wrong}; {fault.instead}")
    folder = os.path.dirname(os.environ.get("ROUTER_CONFIG", ""))
    return shapes.decode_fleet_settings(table, file["settings"]["slot_no"], members, folder)
