"""The one place where configuration is read, checked and given defaults: at the start, and on SIGHUP."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from math import inf
from typing import Any

from brambleplank.host import Terms
from brambleplank.net.discovery import GarbledError, list_of
from brambleplank.terms import EFFECTS, terms_of

FEWEST_DESCRIPTORS = 64
LIVE = ("discovery", "limits.sockets", "peers", "peers_all")  # what SIGHUP changes; the rest takes a restart
UNREAD = ("limits.cores", "limits.memory_mb")
KINDS = {
    dict: "an object", list: "a list", str: "a word", bool: "true or false", int: "a whole number",
    float: "a number",
}
READ: tuple[tuple[str, type, float], ...] = (  # key, kind, least
    ("balancers", int, 1), ("slot_no", int, 0), ("tick_us", float, 1), ("discovery", str, 0),
    ("service_types", list, 0), ("policy_limits.max_connects", int, 1),
    ("policy_limits.cancelling", bool, 0), ("policy_limits.retry_after", bool, 0),
    ("policy_limits.max_retry_after_us", float, 0), ("policy_limits.connect_timeout_us", float, 1),
    ("rules.stop_sending_within_us", float, 0), ("rules.ask_within_us", float, 1),
    ("rules.cold_from", float, 0), ("rules.ramp_time_us", float, 1), ("rules.overload_factor", float, 0),
    ("rules.fall_us", float, 1),
)
READ_OF_TYPES: tuple[tuple[str, type, float], ...] = (
    ("name", str, 0), ("effect", str, 0), ("setup_target_us", float, 1), ("deadline_us", float, 1),
)


class UnfitError(Exception):
    """What keeps the program from starting, in words that name the key."""


@dataclass(frozen=True)
class Told:
    """What this proxy was told at its start, or by SIGHUP."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    descriptors: int
    peer_listen: tuple[str, int] | None
    peers_all: tuple[str, int]
    peers: list[tuple[str, int]]
    known: dict[str, Any]
    terms: Terms
    file: dict[str, Any]  # as it was read


def address(text: Any, key: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise UnfitError(f"{key}: need an address like 10.0.0.4:5000, not {text!r:.60}")
    return host, int(port)


def read(before: Told | None = None) -> Told:
    path = os.environ.get("ROUTER_CONFIG")
    if not path:
        raise UnfitError("ROUTER_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as error:
        raise UnfitError(f"ROUTER_CONFIG: cannot read {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise UnfitError(f"ROUTER_CONFIG: {path} is not JSON: {error}") from None
    if not isinstance(told, dict):
        raise UnfitError(f"ROUTER_CONFIG: {path} holds no JSON object")
    return check(told, before)


def changed(before: Any, now: Any, key: str = "") -> list[str]:
    """The keys whose values differ, in the file's own words."""
    if not isinstance(before, dict) or not isinstance(now, dict):
        return [key] if before != now else []
    return [
        each for name in {**before, **now}
        for each in changed(before.get(name), now.get(name), f"{key}.{name}" if key else name)
    ]


def check(told: dict[str, Any], before: Told | None = None) -> Told:
    name = os.environ.get("ROUTER_NAME") or told.get("name")
    if not isinstance(name, str) or not name:
        raise UnfitError("name: need a word")
    try:
        seed = int(str(told.get("seed", "")), 16)
    except ValueError:
        raise UnfitError(f"seed: need a hexadecimal number, not {told.get('seed')!r:.60}") from None
    limits = told.get("limits", {})
    if not isinstance(limits, dict):
        raise UnfitError(f"limits: need an object, not {limits!r:.60}")
    descriptors = limits.get("sockets", 1024)
    if not isinstance(descriptors, int) or descriptors < FEWEST_DESCRIPTORS:
        raise UnfitError(f"limits.sockets: need {FEWEST_DESCRIPTORS} at least, not {descriptors!r:.60}")
    known = told.get("known", {"seq": 0, "whole": True, "hosts": []})
    try:
        list_of(known)
    except GarbledError as error:
        raise UnfitError(f"known: not a list of servers: {error}") from None
    check_settings(told.get("settings"))
    try:
        terms = terms_of(told["settings"], sockets=True)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        # Danger: a kind of value that nobody thought of would end the program, or a reload, in a traceback.
        raise UnfitError(f"settings: {type(error).__name__} {error}") from None
    where = os.environ.get("ROUTER_DISCOVERY") or told.get("discovery")
    if before:
        # Danger: the environment stays as it was at the start, and would hide what the file says now.
        moved = told.get("discovery") != before.file.get("discovery")
        where = told.get("discovery") if moved else ":".join(map(str, before.discovery))
    talks = terms.peers and told.get("peer_listen") is not None
    peers = told.get("peers", [])
    if not isinstance(peers, list):
        raise UnfitError(f"peers: need a list of addresses, not {peers!r:.60}")
    return Told(
        name=name,
        listen=address(os.environ.get("ROUTER_LISTEN") or told.get("listen"), "listen"),
        discovery=address(where, "discovery"),
        seed=seed,
        descriptors=descriptors,
        peer_listen=address(told["peer_listen"], "peer_listen") if talks else None,
        peers_all=address(told.get("peers_all"), "peers_all") if talks else ("", 0),
        peers=[address(peer, "peers") for peer in peers],
        known=known,
        terms=terms,
        file=told,
    )


def check_settings(settings: Any) -> None:
    """Every setting that is read: there, of its kind, in its range."""
    need(settings, "settings", dict)
    for key, kind, least in READ:
        value, at = settings, "settings"
        for part in key.split("."):
            need(value, at, dict)
            at = f"{at}.{part}"
            if part not in value:
                raise UnfitError(f"{at}: missing")
            value = value[part]
        need(value, at, kind, least)
    need(settings.get("tenants") or [], "settings.tenants", list)
    for i, item in enumerate(settings.get("tenants") or []):
        need(item, f"settings.tenants[{i}]", dict)
        need(item.get("name"), f"settings.tenants[{i}].name", str)
    if not settings["service_types"]:
        raise UnfitError("settings.service_types: need one at least")
    for i, item in enumerate(settings["service_types"]):
        at = f"settings.service_types[{i}]"
        need(item, at, dict)
        for key, kind, least in READ_OF_TYPES:
            if key not in item:
                raise UnfitError(f"{at}.{key}: missing")
            need(item[key], f"{at}.{key}", kind, least)
        if item["effect"] not in EFFECTS:
            raise UnfitError(f"{at}.effect: need one of {', '.join(EFFECTS)}, not {item['effect']!r:.40}")


def need(value: Any, key: str, kind: type, least: float = 0) -> None:
    right = isinstance(value, (int, float) if kind is float else kind) and (kind is bool or value is not True)
    if not right:
        raise UnfitError(f"{key}: need {KINDS[kind]}, not {value!r:.60}")
    if kind in (int, float) and not least <= value < inf:
        raise UnfitError(f"{key}: need {least} at least, not {value!r:.60}")
