"""Loopback addresses on which programs under test can listen."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from itertools import count

# A port that the kernel assigned and that was closed may soon be assigned to another test running in
# parallel. These ports are outside the kernel's ephemeral range, and each test process starts at a different
# one.
PORTS = count(10_000 + os.getpid() * 37 % 20_000)


def unused_address() -> tuple[str, int]:
    """Returns an address on which no process listens."""
    while True:
        address = ("127.0.0.1", next(PORTS))
        with suppress(OSError), socket.create_server(address):
            return address


def unused_udp_address() -> tuple[str, int]:
    """Returns an address for datagrams; its host is unique to this process, as tests may share the port."""
    return f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.1", unused_address()[1]


def udp_socket() -> socket.socket:
    """Returns a datagram socket on a port that the kernel assigned."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    return bound


def address_text(bound: socket.socket) -> str:
    """Returns the address of a loopback socket in the format of configurations."""
    return f"127.0.0.1:{bound.getsockname()[1]}"
