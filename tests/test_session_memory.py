"""Tests of the memory that sessions hold while nobody reads what is sent on them."""

from __future__ import annotations

import re
import threading
from pathlib import Path
from types import SimpleNamespace

from twisted.internet.abstract import FileDescriptor

from brambleplank.net.buffers import PooledConnection
from tests.flood import Flood, Kind
from tests.ports import unused_address
from tests.programs import Program
from tests.sample_settings import endpoint_list
from tests.test_floods import FLOOD_TIME, start_with_servers
from tests.test_sockets import StartProgram
from tests.test_upgrade import stop_gracefully, wait_until_ready

MEMORY_LIMIT = 192 * 1024  # KiB, over the standing connections at the largest descriptor limit
LARGEST_DESCRIPTOR_LIMIT = 4096
PROCESS_MEMORY = 64 * 1024  # KiB of a process without connections, at most
MEMORY_PER_SESSION = (MEMORY_LIMIT - PROCESS_MEMORY) / (LARGEST_DESCRIPTOR_LIMIT / 2)  # KiB
STUCK_SESSIONS = 100
UPGRADED_SESSIONS = 40
READING_INTERVAL = 0.05  # seconds
STABLE_READINGS = 20


class UnwritableTransport(PooledConnection, FileDescriptor):
    """A transport whose other side does not read."""

    def __init__(self) -> None:
        FileDescriptor.__init__(self, SimpleNamespace(addWriter=lambda _: None))  # type: ignore[arg-type]
        self.connected = 1


def test_small_pieces_of_a_write_buffer_take_little_more_memory_than_their_bytes() -> None:
    # Guards against lines of 3 bytes that took twenty times their size while nobody read them.
    transport = UnwritableTransport()
    for _ in range(20_000):
        transport.write(b"1\r\n")
    pieces = transport._tempDataBuffer
    assert len(pieces) <= 65 and transport.unsent_data() == b"1\r\n" * 20_000


def resident_memory(program: Program) -> int:
    """Returns the memory that a program holds, in KiB."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])


def test_sessions_whose_two_sides_send_and_do_not_read_stay_within_the_memory_limit(
    start_program: StartProgram,
) -> None:
    # Guards against a process over its memory limit: short lines in write buffers were kept one by one.
    with Flood("servers", Kind.UNREAD, 4, FLOOD_TIME) as servers:
        program = start_with_servers(start_program, servers, sockets=1024)
        program.open_request().close()
        before = resident_memory(program)
        address = ":".join(map(str, program.address))
        with Flood("clients", Kind.UNREAD, STUCK_SESSIONS, FLOOD_TIME, address) as clients:
            established = clients.first_line()
            assert established >= STUCK_SESSIONS / 2
            grown = settled_growth(program, before)
    assert grown <= MEMORY_PER_SESSION * established, f"{grown} KiB for {established} sessions"


def settled_growth(program: Program, before: int) -> int:
    """Waits until the memory of a program no longer grows; returns by how many KiB it has grown."""
    pause = threading.Event()
    readings = [0, 1]
    while min(readings) < max(readings):
        pause.wait(READING_INTERVAL)
        readings = [*readings, resident_memory(program) - before][-STABLE_READINGS:]
    return readings[-1]


def test_sessions_with_full_buffers_are_handed_over_in_an_upgrade(start_program: StartProgram) -> None:
    # Guards against sessions that are lost, or refused by the next process, as their buffers are full.
    with Flood("servers", Kind.UNREAD, 4, FLOOD_TIME) as servers:
        addresses = {f"s{number}": address for number, address in enumerate(servers.first_line())}
        mgmt = ":".join(map(str, unused_address()))
        program = start_program(endpoint_list(41, True, **addresses), limits={"sockets": 1024}, mgmt=mgmt)
        wait_until_ready(program)
        address = ":".join(map(str, program.address))
        with Flood("clients", Kind.UNREAD, UPGRADED_SESSIONS, FLOOD_TIME, address) as clients:
            established = clients.first_line()
            settled_growth(program, 0)
            successor = wait_until_ready(program.upgrade())
            log = stop_gracefully(program)
            # Sessions at servers that answer no lines are moved; the others go along.
            handed_off = re.search(r"upgrade: (\d+) connections handed off", log)
            assert handed_off and int(handed_off[1]) + log.count("end moved ") == established
            ended = re.findall(r" end (\w+) ", successor.kept_log())
            assert int(handed_off[1]) > 0 and set(ended) <= {"moved"}
            assert resident_memory(successor) < PROCESS_MEMORY + MEMORY_PER_SESSION * established
        assert "fault" not in successor.kept_log()
