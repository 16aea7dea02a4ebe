"""The platform's configuration: the one place where it is read and checked, at the start and on SIGHUP."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from brambleplank.checks import InvalidConfigurationError, check_settings, parse_address
from brambleplank.discovery.platform.endpoint_list import MalformedListError, decode_list
from brambleplank.model import Address, Settings
from brambleplank.platform.reload import FIXED_SETTINGS, require_same_keys
from brambleplank.platform.stored_values import address_text
from brambleplank.settings import decode_settings

if TYPE_CHECKING:
    from brambleplank.fleet.shapes import FleetSettings

DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 64
EMPTY_LIST = {"seq": 0, "whole": True, "hosts": []}


@dataclass(frozen=True)
class PeerConfiguration:
    """Where the other proxies of a site are, and where this one receives their datagrams."""

    listen: Address
    broadcast: Address  # what is sent there reaches all of them
    numbers: dict[Address, int]  # of each proxy


@dataclass(frozen=True)
class PlatformConfiguration:
    """What one proxy is configured to do, as of its start or the last reload."""

    listen: Address
    discovery: Address
    seed: int
    descriptors: int  # that the proxy may open
    peers: PeerConfiguration | None  # None where proxies may not talk to each other
    operators: Address | None  # where operators call, if anywhere
    known: dict[str, Any]  # the endpoint list to begin with, in discovery's form
    settings: Settings
    file: dict[str, Any]  # as it was read
    fleet: FleetSettings | None = None  # what the proxy shares with other processes, where the key is given


def read(previous: PlatformConfiguration | None = None) -> PlatformConfiguration:
    """Reads the file that ROUTER_CONFIG names; `previous` is what a reload replaces.

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
        raise InvalidConfigurationError(f"ROUTER_CONFIG: {path} holds no JSON object")
    return decode(content, previous)


def decode(file: dict[str, Any], previous: PlatformConfiguration | None = None) -> PlatformConfiguration:
    """Decodes a file and the environment; `previous` is what a reload replaces.

    Raises InvalidConfigurationError.
    """
    if previous:
        require_same_keys(previous.file, file)
    check_name(file)
    seed = decode_seed(file)
    descriptors = decode_descriptors(file)
    known = decode_known(file)
    raw_settings = settings_to_apply(file, previous)
    settings = decode_checked_settings(raw_settings)
    peer_addresses = decode_peer_addresses(file)
    listen = parse_address(os.environ.get("ROUTER_LISTEN") or file.get("listen"), "listen")
    discovery = parse_address(discovery_address(file, previous), "discovery")
    peers = None
    if settings.may_message_peers and file.get("peer_listen") is not None:
        # The peers are of this kind, in the order of their own numbers; the other kind may be numbered first.
        first_number = settings.proxy_number - raw_settings["slot_no"]
        peers = PeerConfiguration(
            listen=parse_address(file["peer_listen"], "peer_listen"),
            broadcast=parse_address(file.get("peers_all"), "peers_all"),
            numbers={peer: first_number + index for index, peer in enumerate(peer_addresses)},
        )
    operators = os.environ.get("ROUTER_MGMT") or file.get("mgmt")
    members = len(peer_addresses) if peers else 0
    return PlatformConfiguration(
        listen=listen,
        discovery=discovery,
        seed=seed,
        descriptors=descriptors,
        peers=peers,
        operators=parse_address(operators, "mgmt") if operators is not None else None,
        known=known,
        settings=settings,
        file=file,
        fleet=previous.fleet if previous else decode_fleet(file, settings, members, operators is not None),
    )


def check_name(file: dict[str, Any]) -> None:
    """Raises InvalidConfigurationError unless the proxy has a name."""
    name = os.environ.get("ROUTER_NAME") or file.get("name")
    if not isinstance(name, str) or not name:
        raise InvalidConfigurationError("name: need a word")


def decode_seed(file: dict[str, Any]) -> int:
    """The seed of the proxy's random numbers. Raises InvalidConfigurationError."""
    try:
        return int(str(file.get("seed", "")), 16)
    except ValueError:
        raise InvalidConfigurationError(
            f"seed: need a hexadecimal number, not {file.get('seed')!r:.60}"
        ) from None


def decode_descriptors(file: dict[str, Any]) -> int:
    """How many descriptors the proxy may open. Raises InvalidConfigurationError."""
    limits = file.get("limits", {})
    if not isinstance(limits, dict):
        raise InvalidConfigurationError(f"limits: need an object, not {limits!r:.60}")
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if not isinstance(descriptors, int) or descriptors < MIN_DESCRIPTORS:
        raise InvalidConfigurationError(
            f"limits.sockets: need {MIN_DESCRIPTORS} at least, not {descriptors!r:.60}"
        )
    return descriptors


def decode_known(file: dict[str, Any]) -> dict[str, Any]:
    """The endpoint list to begin with. Raises InvalidConfigurationError."""
    known = file.get("known", EMPTY_LIST)
    try:
        decode_list(known)
    except MalformedListError as error:
        raise InvalidConfigurationError(f"known: not a list of servers: {error}") from None
    return dict(known)


def settings_to_apply(file: dict[str, Any], previous: PlatformConfiguration | None) -> dict[str, Any]:
    """The settings of a file; those that take a restart are as before. Raises InvalidConfigurationError."""
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
        # A kind of value that no check foresees would end the program, or a reload, in a traceback.
        raise InvalidConfigurationError(f"settings: {type(error).__name__} {error}") from None


def decode_peer_addresses(file: dict[str, Any]) -> list[Address]:
    """The addresses of the proxies of this kind, by their own numbers. Raises InvalidConfigurationError."""
    peers = file.get("peers", [])
    if not isinstance(peers, list):
        raise InvalidConfigurationError(f"peers: need a list of addresses, not {peers!r:.60}")
    return [parse_address(peer, "peers") for peer in peers]


def discovery_address(file: dict[str, Any], previous: PlatformConfiguration | None) -> Any:
    """Where discovery is, unchecked.

    On a reload the environment does not count: it stays as it was at the start, and would hide what the
    file says now.
    """
    if previous is None:
        return os.environ.get("ROUTER_DISCOVERY") or file.get("discovery")
    if file.get("discovery") != previous.file.get("discovery"):
        return file.get("discovery")
    return address_text(previous.discovery)


def decode_fleet(
    file: dict[str, Any], settings: Settings, members: int, operators: bool
) -> FleetSettings | None:
    """What the key `fleet` says; None without it, and then nothing of it is imported.

    Raises InvalidConfigurationError.
    """
    if file.get("fleet") is None:
        return None
    if operators:
        raise InvalidConfigurationError("fleet: not with mgmt: two processes of one number would be there")
    if not members:
        raise InvalidConfigurationError("fleet: not without peers: it speaks by peer_listen and peers")
    try:
        from brambleplank.fleet import shapes
        from brambleplank.tables import DocumentReader
    except ImportError as error:
        raise InvalidConfigurationError(
            f"fleet: needs {error.name}; install requirements-sidecar.txt"
        ) from None
    reading = DocumentReader.from_tables({"fleet": file["fleet"]})
    table = reading.decode(shapes.Fleet, file["fleet"], ("fleet",))
    if not reading.faults:
        if table.listen or table.members:
            raise InvalidConfigurationError(
                "fleet.members: here they are the peers; leave listen and members out"
            )
        shapes.judge(reading, table, settings.traffic_classes, settings.tenants, ("fleet",))
    if reading.faults:
        fault = min(reading.faults)
        raise InvalidConfigurationError(f"{fault.key}: {fault.wrong}; {fault.instead}")
    folder = os.path.dirname(os.environ.get("ROUTER_CONFIG", ""))
    return shapes.decode_fleet_settings(table, file["settings"]["slot_no"], members, folder)
