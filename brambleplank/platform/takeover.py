"""Takeover from the predecessor: one blocking request, made before the reactor of this process runs."""

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

TIMEOUT = 2.0  # seconds to wait for the answer; the predecessor may hang
MIN_READ_TIMEOUT = 0.001  # seconds; 0 would make the socket non-blocking
READ_SIZE = 256 * 1024  # bytes


@dataclass
class TakeoverResult:
    """What this process received from its predecessor."""

    channel: socket.socket
    sockets: dict[str, socket.socket] = field(default_factory=dict)  # listening, by key of the configuration
    state: HandoffState | None = None
    state_error: str = ""  # why `state` is None
    bytes_after_answer: bytes = b""  # received together with the answer
    unassigned_descriptors: list[int] = field(default_factory=list)  # received ahead of their message

    def take_socket(self, key: str) -> socket.socket | None:
        """Returns the listening socket of a key, if there is one; the caller owns it."""
        return self.sockets.pop(key, None)

    def close(self) -> None:
        """Closes the channel and the listening sockets that were not taken."""
        for opened in (self.channel, *self.sockets.values()):
            opened.close()


def request_takeover(
    path: str, requested: dict[str, Address], log: Callable[[str], None]
) -> TakeoverResult | None:
    """Takes over from the predecessor; returns None if there is none, or if the takeover fails.

    Blocks; nothing else runs in this process yet.
    """
    channel = retry_transient(
        lambda: socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC), TIMEOUT
    )
    descriptors: list[int] = []
    try:
        send_request(channel, path, requested)
        response, remaining = receive_response(channel, descriptors)
        sockets = listening_sockets(response, requested, descriptors)
    except (FileNotFoundError, ConnectionRefusedError):
        channel.close()  # there is no predecessor, or it has ended
        return None
    except (OSError, ValueError, InvalidConfigurationError) as error:
        # A predecessor that hangs, is of another release or is killed meanwhile must not keep this process
        # from serving; state that was not handed over is learnt again.
        log(
            f"upgrade: takeover failed: {type(error).__name__}: {error}; "
            "opening sockets of its own, reading the rotation from its file"
        )
        for descriptor in descriptors:
            os.close(descriptor)
        channel.close()
        return None
    result = TakeoverResult(
        channel, sockets, bytes_after_answer=remaining, unassigned_descriptors=descriptors
    )
    try:
        result.state = decode_state(response)
    except (InvalidConfigurationError, ValueError, TypeError, RecursionError) as error:
        result.state_error = str(error)
    return result


def send_request(channel: socket.socket, path: str, requested: dict[str, Address]) -> None:
    """Connects to the predecessor and requests the sockets of the given addresses."""
    with ShortSocketPath(path) as short_path:
        channel.settimeout(TIMEOUT)
        channel.connect(short_path)
    addresses = {key: address_text(address) for key, address in requested.items()}
    channel.sendall(upgrade_messages.encode(TakeoverRequest(STATE_FORMAT, addresses).encode()))


def receive_response(channel: socket.socket, descriptors: list[int]) -> tuple[TakeoverResponse, bytes]:
    """Returns the answer and the bytes after it; appends the received descriptors to the list."""
    deadline = time.monotonic() + TIMEOUT
    received = bytearray()
    # The first report of holdings may arrive in the same read as the answer.
    while b"\n" not in received:
        channel.settimeout(max(MIN_READ_TIMEOUT, deadline - time.monotonic()))
        data, new_descriptors, _, _ = socket.recv_fds(channel, READ_SIZE, upgrade_messages.MAX_SOCKETS)
        descriptors += new_descriptors
        if not data:
            raise ConnectionError("the previous process closed the connection before its answer was complete")
        received += data
        if len(received) > upgrade_messages.MAX_LINE or time.monotonic() > deadline:
            raise TimeoutError("the answer of the previous process is too long, or took too long")
    answer, _, remaining = bytes(received).partition(b"\n")
    return TakeoverResponse.decode(upgrade_messages.decode(answer)), remaining


def listening_sockets(
    response: TakeoverResponse, requested: dict[str, Address], descriptors: list[int]
) -> dict[str, socket.socket]:
    """Returns the received listening sockets by key, and removes their descriptors from the list.

    Raises InvalidConfigurationError if a socket was not requested or is bound to another address.
    """
    found = {}
    for key in response.sockets:
        if key not in requested or not descriptors:
            raise InvalidConfigurationError(
                f"sockets: {key!r:.40} was not requested, or its descriptor is missing"
            )
        found[key] = socket.socket(fileno=descriptors.pop(0))
        if found[key].getsockname() != requested[key]:
            raise InvalidConfigurationError(
                f"sockets: {key} is bound to {found[key].getsockname()}, not to the requested address"
            )
        found[key].setblocking(False)
        found[key].set_inheritable(False)
    return found


def decode_state(response: TakeoverResponse) -> HandoffState:
    """Decodes the state in an answer. Raises InvalidConfigurationError if it cannot be used."""
    if response.state_format != STATE_FORMAT:
        raise InvalidConfigurationError(
            f"form: the state has format {response.state_format!r:.20}, this release reads {STATE_FORMAT}"
        )
    return HandoffState.decode(response.state)
