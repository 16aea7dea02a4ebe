"""The log's output while its reader does not read."""

from __future__ import annotations

import fcntl
import os
import socket
from collections.abc import Callable
from typing import Any

import pytest

from brambleplank.net.log_output import MAX_BUFFERED_BYTES, LogOutput, open_log_output
from tests.programs import Program
from tests.sample_settings import endpoint_list
from tests.stand_ins import StandInServer

PIPE_BYTES = 4096  # the smallest pipe
LINE = "x" * 99
F_SETPIPE_SZ = 1031


def make_pipe() -> tuple[int, int]:
    """Returns the ends of a pipe that holds one page."""
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, F_SETPIPE_SZ, PIPE_BYTES)
    return read_end, write_end


def make_socket_pair() -> tuple[int, int]:
    """Returns the ends of a stream socket, as a service manager connects standard error."""
    ours, theirs = socket.socketpair()
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, PIPE_BYTES)
    return ours.detach(), theirs.detach()


def test_unread_log_holds_up_no_client(start_program: Callable[..., Program]) -> None:
    # Guards against a full log pipe that blocks the process, and so all its clients.
    program = start_program(endpoint_list(41, True, s0=StandInServer().address))
    assert program.process.stderr
    fcntl.fcntl(program.process.stderr.fileno(), F_SETPIPE_SZ, PIPE_BYTES)
    for _ in range(3 * PIPE_BYTES // 80):  # each request's end is a line of 80 bytes and more
        client = program.open_request()
        assert client.read_line() == "UP r1"
        client.close()
    log = program.stop()
    assert log.count("end closed") > PIPE_BYTES // 80 and "shutdown: drained" in log


def open_output(descriptor: int) -> LogOutput:
    output = open_log_output(descriptor)
    assert output is not None
    return output


@pytest.mark.parametrize("make_ends", [make_pipe, make_socket_pair], ids=["pipe", "socket"])
def test_lines_wait_in_a_bounded_buffer_while_nobody_reads(make_ends: Callable[[], Any]) -> None:
    read_end, write_end = make_ends()
    output = open_output(write_end)
    accepted = 0
    while output.write_line(f"{accepted:06d} {LINE}"):
        accepted += 1
        assert accepted * len(LINE) < 2 * MAX_BUFFERED_BYTES
    assert accepted * len(LINE) > MAX_BUFFERED_BYTES // 2
    received = b""
    while received.count(b"\n") < accepted:
        received += os.read(read_end, PIPE_BYTES)
        output.flush()
    assert [int(line[:6]) for line in received.splitlines()] == [*range(accepted)]
    assert output.write_line(LINE)
    assert os.read(read_end, 2 * PIPE_BYTES) == f"{LINE}\n".encode()


def test_reader_that_has_gone_is_no_error() -> None:
    read_end, write_end = make_pipe()
    output = open_output(write_end)
    os.close(read_end)
    assert output.write_line(LINE) and output.write_line(LINE)


def test_other_users_of_the_pipe_still_block() -> None:
    # Guards against a flag on the shared pipe, which would make the application's own writes fail.
    read_end, write_end = make_pipe()
    output = open_output(write_end)
    assert output.write_line(LINE) and os.get_blocking(write_end)
    os.close(read_end)
