"""How a new process takes over from the one before it: one blocking request, before its reactor runs."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from brambleplank.checks import InvalidConfigurationError
from brambleplank.model import Address
from brambleplank.net.local_faults import retry_transient
from brambleplank.platform import upgrade_messages
from brambleplank.platform.handoff_state import STATE_FORMAT, HandoffState
from brambleplank.platform.socket_path import ShortSocketPath
from brambleplank.platform.stored_values import address_text
from brambleplank.platform.upgrade_messages import TakeoverRequest, TakeoverResponse

TIMEOUT = 2.0  # seconds for the process before to answer; it may be hung
MIN_READ_TIMEOUT = 0.001  # seconds; 0 would make the socket non-blocking
READ_SIZE = 256 * 1024  # bytes


@dataclass
class TakeoverResult:
    """What the process before gave."""

    channel: socket.socket
    sockets: dict[str, socket.socket] = field(default_factory=dict)  # listening, by key of the configuration
    state: HandoffState | None = None
    state_error: str = ""  # why there is no state
    bytes_after_answer: bytes = b""  # what the process before sent meanwhile
    unassigned_descriptors: list[int] = field(default_factory=list)  # that came along, ahead of their message

    def take_socket(self, key: str) -> socket.socket | None:
        """The listening socket of that key, if it came; it is the caller's from here on."""
        return self.sockets.pop(key, None)

    def close(self) -> None:
        """Closes the sockets that nobody adopted."""
        for each in (self.channel, *self.sockets.values()):
            each.close()


def request(path: str, wanted: dict[str, Address], log: Callable[[str], None]) -> TakeoverResult | None:
    """Takes over from the process before; None if there is none, or none that answers in time.

    It blocks, as nothing else runs in this process yet.
    """
    channel = retry_transient(
        lambda: socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC), TIMEOUT
    )
    descriptors: list[int] = []
    try:
        send_request(channel, path, wanted)
        response, remaining = receive_response(channel, descriptors)
        sockets = listening_sockets(response, wanted, descriptors)
    except (FileNotFoundError, ConnectionRefusedError):
        channel.close()  # there is no process before, or it has ended
        return None
    except (OSError, ValueError, InvalidConfigurationError) as error:
        # A process that hangs, is of another release or is killed meanwhile must not keep this one from
        # serving; what it has not given is learnt again.
        log(f"upgrade: taken over nothing: {type(error).__name__} {error}")
        for descriptor in descriptors:
            os.close(descriptor)
        channel.close()
        return None
    result = TakeoverResult(
        channel, sockets, bytes_after_answer=remaining, unassigned_descriptors=descriptors
    )
    try:
        result.state = state_of(response)
    except (InvalidConfigurationError, ValueError, TypeError, RecursionError) as error:
        result.state_error = str(error)
    return result


def send_request(channel: socket.socket, path: str, wanted: dict[str, Address]) -> None:
    """Connects to the process before, and names the addresses whose sockets are wanted."""
    with ShortSocketPath(path) as short_path:
        channel.settimeout(TIMEOUT)
        channel.connect(short_path)
    addresses = {key: address_text(address) for key, address in wanted.items()}
    channel.sendall(upgrade_messages.encode(TakeoverRequest(STATE_FORMAT, addresses).encode()))


def receive_response(channel: socket.socket, descriptors: list[int]) -> tuple[TakeoverResponse, bytes]:
    """The answer, and the bytes that follow it; descriptors that come with it are appended to the list."""
    until = time.monotonic() + TIMEOUT
    received = bytearray()
    # The process before may send its first report of holdings in the same piece as the answer.
    while b"\n" not in received:
        channel.settimeout(max(MIN_READ_TIMEOUT, until - time.monotonic()))
        piece, numbers, _, _ = socket.recv_fds(channel, READ_SIZE, upgrade_messages.MAX_SOCKETS)
        descriptors += numbers
        if not piece:
            raise ConnectionError("the process before ended amid it")
        received += piece
        if len(received) > upgrade_messages.MAX_LINE or time.monotonic() > until:
            raise TimeoutError("its answer is too long, or late")
    answer, _, remaining = bytes(received).partition(b"\n")
    return TakeoverResponse.decode(upgrade_messages.decode(answer)), remaining


def listening_sockets(
    response: TakeoverResponse, wanted: dict[str, Address], descriptors: list[int]
) -> dict[str, socket.socket]:
    """The sockets that came, by key; each takes its descriptor off the list.

    Raises UnfitError if they are not the ones that are wanted.
    """
    found = {}
    for key in response.sockets:
        if key not in wanted or not descriptors:
            raise InvalidConfigurationError(f"sockets: {key!r:.40} is not wanted, or did not come")
        found[key] = socket.socket(fileno=descriptors.pop(0))
        if found[key].getsockname() != wanted[key]:
            raise InvalidConfigurationError(f"sockets: {key} is at {found[key].getsockname()}")
        found[key].setblocking(False)
        found[key].set_inheritable(False)
    return found


def state_of(response: TakeoverResponse) -> HandoffState:
    """The state in an answer. Raises UnfitError where it cannot be read."""
    if response.state_format != STATE_FORMAT:
        raise InvalidConfigurationError(f"form {response.state_format!r:.20}, not {STATE_FORMAT}")
    return HandoffState.decode(response.state)
