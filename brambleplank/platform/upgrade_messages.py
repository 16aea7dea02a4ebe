"""Messages on the channel between two processes of one proxy.

Each is a line with a JSON object, whose key `say` names its kind; `MessageKind` lists them.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from brambleplank.platform.stored_values import decode_integer, decode_mapping, decode_object, decode_strings

MAX_LINE = 16 * 1024 * 1024  # bytes
MAX_SOCKETS = 4  # listening sockets that are handed off


class MessageKind(StrEnum):
    """The value of `say`, and who sends it."""

    TAKEOVER_REQUEST = "take"  # new to old, first
    TAKEOVER_RESPONSE = "estate"  # old to new, with the listening sockets
    LISTENING = "here"  # new to old
    HOLDINGS = "holds"  # either, as they change
    OPERATOR_COMMAND = "word"  # either
    SESSION = "flow"  # old to new, as the old one leaves; its sockets come along
    SESSION_ADOPTED = "had"  # new to old, for each session


class Message(Protocol):
    """A message that can be sent."""

    def encode(self) -> dict[str, Any]:
        """The message as a JSON object."""


@dataclass(frozen=True)
class TakeoverRequest:
    """The new process asks for listening sockets and state."""

    state_format: Any  # of the state that it reads
    addresses: dict[str, Any]  # at which it wants to listen, as text, by key of the configuration

    def encode(self) -> dict[str, Any]:
        """The message as a JSON object."""
        return {"say": MessageKind.TAKEOVER_REQUEST, "form": self.state_format, "names": self.addresses}

    @classmethod
    def decode(cls, message: dict[str, Any]) -> TakeoverRequest:
        """Raises UnfitError, which names the key."""
        return cls(message.get("form"), decode_object(message.get("names"), "names"))


@dataclass(frozen=True)
class TakeoverResponse:
    """What the old process gives. Its state is checked by who restores it: sockets are good without it."""

    state_format: Any
    sockets: list[str]  # keys of the listening sockets that come along, in their order
    state: Any  # the stored form of `HandoffState`

    def encode(self) -> dict[str, Any]:
        """The message as a JSON object."""
        return {
            "say": MessageKind.TAKEOVER_RESPONSE,
            "form": self.state_format,
            "sockets": self.sockets,
            "estate": self.state,
        }

    @classmethod
    def decode(cls, message: dict[str, Any]) -> TakeoverResponse:
        """Raises UnfitError, which names the key."""
        sockets = decode_strings(message.get("sockets"), "sockets")
        return cls(message.get("form"), sockets, message.get("estate"))


@dataclass(frozen=True)
class Listening:
    """The new process listens."""

    def encode(self) -> dict[str, Any]:
        """The message as a JSON object."""
        return {"say": MessageKind.LISTENING}


@dataclass(frozen=True)
class HoldingsReport:
    """What a process holds."""

    descriptors: int
    connections: dict[str, int]  # by server
    attempts: dict[str, int]  # since the last report, by server
    request_ids: list[str]  # that the other process does not know of

    def encode(self) -> dict[str, Any]:
        """The message as a JSON object."""
        return {
            "say": MessageKind.HOLDINGS,
            "descriptors": self.descriptors,
            "held": self.connections,
            "sent": self.attempts,
            "ids": self.request_ids,
        }

    @classmethod
    def decode(cls, message: dict[str, Any]) -> HoldingsReport:
        """Raises UnfitError, which names the key."""
        return cls(
            descriptors=decode_integer(message.get("descriptors"), "descriptors"),
            connections=decode_mapping(message.get("held"), "held", decode_integer),
            attempts=decode_mapping(message.get("sent"), "sent", decode_integer),
            request_ids=decode_strings(message.get("ids"), "ids"),
        )


@dataclass(frozen=True)
class OperatorCommandMessage:
    """What an operator called for at the process that sends it."""

    command: str  # a `CommandKind`, or one of a later release
    server_id: str  # empty where the call is for no single server

    def encode(self) -> dict[str, Any]:
        """The message as a JSON object."""
        return {"say": MessageKind.OPERATOR_COMMAND, "what": self.command, "server": self.server_id}

    @classmethod
    def decode(cls, message: dict[str, Any]) -> OperatorCommandMessage:
        """Raises UnfitError."""
        command, server_id = decode_strings([message.get("what"), message.get("server")], "word")
        return cls(command, server_id)


@dataclass(frozen=True)
class SessionMessage:
    """A session that is handed off; its sockets come ahead of it."""

    session: Any  # in the form of the frontend's session transfer, checked by who adopts it
    sockets: int

    def encode(self) -> dict[str, Any]:
        """The message as a JSON object."""
        return {"say": MessageKind.SESSION, "flow": self.session, "sockets": self.sockets}

    @classmethod
    def decode(cls, message: dict[str, Any]) -> SessionMessage:
        """Raises UnfitError, which names the key."""
        return cls(message.get("flow"), decode_integer(message.get("sockets"), "sockets"))


@dataclass(frozen=True)
class SessionAdopted:
    """The new process has taken the sockets of a session."""

    def encode(self) -> dict[str, Any]:
        """The message as a JSON object."""
        return {"say": MessageKind.SESSION_ADOPTED}


def encode(message: dict[str, Any]) -> bytes:
    """A message as a line, with its end."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def decode(line: bytes) -> dict[str, Any]:
    """The message in a line. Raises ValueError if there is none."""
    message = json.loads(line)
    if not isinstance(message, dict):
        raise ValueError("no object")
    return message
