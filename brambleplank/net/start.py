"""The one place where configuration is read, checked and given defaults."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from typing import Any

from brambleplank.host import Terms
from brambleplank.terms import MalformedError, terms_of


class UnfitError(Exception):
    """What keeps the program from starting, in words that name the key."""


@dataclass(frozen=True)
class Told:
    """What this proxy was told at its start."""

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


def address(text: Any, key: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise UnfitError(f"{key}: need an address like 10.0.0.4:5000, not {text!r:.60}")
    return host, int(port)


def read() -> Told:
    path = os.environ.get("ROUTER_CONFIG")
    if not path:
        raise UnfitError("ROUTER_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as error:
        raise UnfitError(f"ROUTER_CONFIG: cannot read {path}: {error.strerror}") from None
    except ValueError as error:
        raise UnfitError(f"ROUTER_CONFIG: {path} is not JSON: {error}") from None
    if not isinstance(told, dict):
        raise UnfitError(f"ROUTER_CONFIG: {path} holds no JSON object")
    return check(told)


def check(told: dict[str, Any]) -> Told:
    name = os.environ.get("ROUTER_NAME") or told.get("name")
    if not isinstance(name, str) or not name:
        raise UnfitError("name: missing")
    try:
        seed = int(str(told.get("seed", "")), 16)
    except ValueError:
        raise UnfitError(f"seed: need a hexadecimal number, not {told.get('seed')!r:.60}") from None
    limits = told.get("limits", {})
    descriptors = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(descriptors, int) or descriptors < 64:
        raise UnfitError(f"limits.sockets: need a whole number from 64 on, not {descriptors!r:.60}")
    if not isinstance(told.get("settings"), dict):
        raise UnfitError("settings: missing or not an object")
    try:
        terms = terms_of(told["settings"], sockets=True)
    except (MalformedError, KeyError, TypeError) as error:
        raise UnfitError(f"settings: lack or garble {error}") from None
    talks = terms.peers and told.get("peer_listen") is not None
    peers = told.get("peers", [])
    if not isinstance(peers, list):
        raise UnfitError(f"peers: need a list of addresses, not {peers!r:.60}")
    return Told(
        name=name,
        listen=address(os.environ.get("ROUTER_LISTEN") or told.get("listen"), "listen"),
        discovery=address(os.environ.get("ROUTER_DISCOVERY") or told.get("discovery"), "discovery"),
        seed=seed,
        descriptors=descriptors,
        peer_listen=address(told["peer_listen"], "peer_listen") if talks else None,
        peers_all=address(told.get("peers_all"), "peers_all") if talks else ("", 0),
        peers=[address(peer, "peers") for peer in peers],
        known=told.get("known") or {"seq": 0, "whole": True, "hosts": []},
        terms=terms,
    )
