"""Loopback addresses on which programs under test can listen."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from functools import cache
from itertools import cycle

# A port that the kernel assigned and that was closed may soon be assigned to another test running in
# parallel. These ports are below the kernel's ephemeral range.
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 200


class PortBlock:
    """A range of ports that belongs to this test process for as long as it lives.

    The process listens on the first port of its block, and no other test process on this machine uses a block
    whose first port it cannot bind. Otherwise a program could bind a port that another test has just chosen,
    and that test would talk to the wrong program.
    """

    def __init__(self) -> None:
        for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK):
            with suppress(OSError):
                self.lock = bind_exclusively(first)
                self.ports = cycle(range(first + 1, first + PORTS_PER_BLOCK))
                return
        raise RuntimeError("all blocks of test ports are in use; end other test runs")


def bind_exclusively(port: int) -> socket.socket:
    """Listens on a port without sharing it with any other socket. Raises OSError if it is in use."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.bind(("127.0.0.1", port))
        listener.listen(1)
    except OSError:
        listener.close()
        raise
    return listener


@cache
def own_block() -> PortBlock:
    """Returns the block of this process, which it claims at the first call."""
    return PortBlock()


def unused_address() -> tuple[str, int]:
    """Returns an address on which no process listens, and which no other test process returns."""
    while True:
        address = ("127.0.0.1", next(own_block().ports))
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
