"""Parses, formats and compares addresses. Free of I/O and of name look-ups."""

from __future__ import annotations

from functools import lru_cache
from ipaddress import IPv4Address, IPv6Address, ip_address

from brambleplank.model import Address

LOCALHOST_ADDRESSES = {"localhost": "127.0.0.1", "localhost.localdomain": "127.0.0.1", "ip6-localhost": "::1"}


@lru_cache(4096)
def parse(text: str) -> Address | None:
    """Parses "127.0.0.1:7400", "[::1]:7400" or "localhost:7400" into host and port; None if it is invalid.

    Names other than those of the local host are invalid: a look-up can hang, and its result can change under
    established sessions.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return None
    found = parse_ip(host)
    return (str(found), int(port)) if found else None


def parse_ip(host: str) -> IPv4Address | IPv6Address | None:
    """Returns the IP address of a host; None if the host is a name other than those of the local host.

    An IPv4-mapped IPv6 address is returned as IPv4.
    """
    try:
        found = ip_address(LOCALHOST_ADDRESSES.get(host.lower().rstrip("."), host))
    except ValueError:
        return None
    mapped = getattr(found, "ipv4_mapped", None)
    return mapped or found


def is_loopback(host: str) -> bool:
    """Whether a host is a loopback address."""
    found = parse_ip(host)
    return found is not None and found.is_loopback


def listener_accepts(listener: Address, other: Address) -> bool:
    """Whether the listener would accept a connection to the other address.

    A listener on the unspecified address (0.0.0.0 or ::) accepts connections to every address of this
    machine; only loopback is known to be one without a system call.
    """
    if listener[1] != other[1]:
        return False
    here = parse_ip(listener[0])
    there = parse_ip(other[0])
    if here is None or there is None:
        return listener[0] == other[0]
    if here.is_unspecified:
        return there.is_unspecified or there.is_loopback
    return here == there or (there.is_unspecified and here.is_loopback)


def to_text(address: Address) -> str:
    """Formats an address as host:port, with brackets round an IPv6 host."""
    return f"[{address[0]}]:{address[1]}" if ":" in address[0] else f"{address[0]}:{address[1]}"
