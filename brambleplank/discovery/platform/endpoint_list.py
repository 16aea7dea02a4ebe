"""Decodes and encodes the platform's JSON form of an endpoint list. Free of I/O."""

from __future__ import annotations

from math import inf, isfinite
from typing import Any, NamedTuple

from brambleplank.errors import BrambleplankError
from brambleplank.model import Address, Endpoint, EndpointStatus

STATUSES = {
    "ready": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.REMOVED,
}
STATUS_NAMES = {status: name for name, status in STATUSES.items()}
DEFAULT_SIZE = 1.0
MAX_PORT = 65535
MS_PER_SECOND = 1000


class MalformedListError(BrambleplankError, ValueError):
    """An endpoint list that is malformed, or changes that do not follow the list before."""

    ADVICE = "check the list that discovery serves; the last list stays in use"


class EndpointList(NamedTuple):
    """A full endpoint list, or changes to the one before it."""

    version: int
    is_whole: bool  # if so, servers that are not in it are removed
    endpoints: list[Endpoint]
    addresses: dict[str, Address]  # by server id


def decode_list(encoded: Any) -> EndpointList:
    """Decodes a list. Raises MalformedListError."""
    endpoints: list[Endpoint] = []
    addresses: dict[str, Address] = {}
    try:
        for host in encoded["hosts"]:
            endpoint, address = decode_host(host)
            endpoints.append(endpoint)
            addresses[host["host"]] = address
        return EndpointList(int(encoded["seq"]), bool(encoded["whole"]), endpoints, addresses)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise MalformedListError(f"{type(error).__name__} {error}") from None


def decode_host(host: Any) -> tuple[Endpoint, Address]:
    """Decodes one server.

    Raises KeyError, TypeError, ValueError, AttributeError or OverflowError if it is malformed.
    """
    name, port = host["dial"].rsplit(":", 1)
    size = float(host.get("share") or DEFAULT_SIZE)
    started = (host.get("born_ms") or 0) / MS_PER_SECOND
    # The decisions compare sizes and start times, so both must be finite; the port must be one of TCP.
    usable = 0 < int(port) <= MAX_PORT and 0 < size < inf and isfinite(started)
    if not (usable and name and host["host"]):
        raise ValueError(f"out of range in {host['host']!r:.40}")
    endpoint = Endpoint(
        id=str(host["host"]),
        zone=str(host["site"]),
        cell=int(host["block"]),
        status=STATUSES[host["health"]],
        size=size,
        started=started,
    )
    return endpoint, (name, int(port))


def encode_list(version: int, endpoints: list[Endpoint], addresses: dict[str, Address]) -> dict[str, Any]:
    """Encodes a full endpoint list."""
    hosts = [encode_host(endpoint, addresses[endpoint.id]) for endpoint in endpoints]
    return {"seq": version, "whole": True, "hosts": hosts}


def encode_host(endpoint: Endpoint, address: Address) -> dict[str, Any]:
    """Encodes one server."""
    return {
        "host": endpoint.id,
        "dial": ":".join(map(str, address)),
        "site": endpoint.zone,
        "block": endpoint.cell,
        "health": STATUS_NAMES[endpoint.status],
        "share": endpoint.size,
        "born_ms": endpoint.started * MS_PER_SECOND,
    }
