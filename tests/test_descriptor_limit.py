"""`limits.sockets` with a smaller process limit (RLIMIT_NOFILE)."""

from __future__ import annotations

import resource
from collections.abc import Callable
from typing import Any

import pytest

from tests.programs import Program
from tests.sample_settings import endpoint_list
from tests.stand_ins import StandInServer
from tests.waiting import wait_until

StartProgram = Callable[..., Program]
SET_LIMITS = """
import resource
resource.setrlimit(resource.RLIMIT_NOFILE, ({soft}, {hard}))
"""


def start_limited_program(start_program: StartProgram, soft: int, hard: int, sockets: int) -> Program:
    """Starts a program under these process limits, and waits until it serves."""
    patch = SET_LIMITS.format(soft=soft, hard=hard)
    program = start_program(
        endpoint_list(41, True, s0=StandInServer().address), patch=patch, limits=limits_with_sockets(sockets)
    )
    assert program.open_request().read_line() == "UP r1"
    return program


def limits_with_sockets(sockets: int) -> dict[str, Any]:
    return {"cores": 1.0, "memory_mb": 256, "sockets": sockets}


def soft_limit(program: Program) -> int:
    return resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE)[0]


def test_soft_limit_is_raised_at_start_and_reload(
    start_program: StartProgram,
) -> None:
    program = start_limited_program(start_program, soft=80, hard=300, sockets=200)
    assert soft_limit(program) == 200
    program.reload(limits=limits_with_sockets(250))
    wait_until(lambda: soft_limit(program) == 250)
    assert "RLIMIT_NOFILE" not in program.stop()


def test_smaller_hard_limit_is_used_and_logged(start_program: StartProgram) -> None:
    program = start_limited_program(start_program, soft=80, hard=120, sockets=200)
    assert "200, but RLIMIT_NOFILE lets this process open 120 at most" in program.next_log_line(
        "limits.sockets: "
    )
    assert soft_limit(program) == 120
    program.reload(limits=limits_with_sockets(300))
    assert "300, but RLIMIT_NOFILE" in program.next_log_line("limits.sockets: 300")


@pytest.mark.parametrize("sockets", [128, 1024])
def test_idle_clients_leave_the_last_descriptors_free(start_program: StartProgram, sockets: int) -> None:
    program = start_limited_program(start_program, soft=80, hard=128, sockets=sockets)
    idle = [program.connect() for _ in range(160)]
    assert program.open_request().read_line() == "UP r1"
    for client in idle:
        client.socket.close()
    assert "Too many open files" not in program.stop()
