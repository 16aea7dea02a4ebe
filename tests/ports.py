"""Addresses on loopback for programs under test to listen on."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from itertools import count

# A port that the kernel chose and that was given back is soon given to another test that runs beside this
# one. These are of another range, and each test process begins elsewhere in it.
PORTS = count(10_000 + os.getpid() * 37 % 20_000)


def unused_address() -> tuple[str, int]:
    """Returns an address that nobody listens on."""
    while True:
        address = ("127.0.0.1", next(PORTS))
        with suppress(OSError), socket.create_server(address):
            return address


def unused_udp_address() -> tuple[str, int]:
    """Returns an address for datagrams; its host is this process's own, as other tests use the same ports."""
    return f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.1", unused_address()[1]


def udp_socket() -> socket.socket:
    """Returns a datagram socket at a port that the kernel chose."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    return bound


def address_text(bound: socket.socket) -> str:
    """Returns the address of a socket on loopback, as configurations write it."""
    return f"127.0.0.1:{bound.getsockname()[1]}"
