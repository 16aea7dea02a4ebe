"""Messages on the channel between two processes of one proxy.

Each message is one line with a JSON object; its key `say` holds the `MessageKind`.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from brambleplank.platform.stored_values import decode_integer, decode_mapping, decode_object, decode_strings

MAX_LINE = 16 * 1024 * 1024  # bytes
MAX_SOCKETS = 4  # listening sockets in one answer


class MessageKind(StrEnum):
    """The value of `say`; each comment gives the sender."""

    TAKEOVER_REQUEST = "take"  # new to old, first
    TAKEOVER_RESPONSE = "estate"  # old to new, with the listening sockets
    LISTENING = "here"  # new to old
    HOLDINGS = "holds"  # either process, when its holdings change
    OPERATOR_COMMAND = "word"  # either process
    SESSION = "flow"  # old to new, as the old process shuts down; with the sockets of the session
    SESSION_ADOPTED = "had"  # new to old, for each session


class Message(Protocol):
    """A message that can be sent."""

    def encode(self) -> dict[str, Any]:
        """Returns the message as a JSON object."""


@dataclass(frozen=True)
class TakeoverRequest:
    """Request of the new process for listening sockets and state."""

    state_format: Any  # the format of the state that the new process reads
    addresses: dict[str, Any]  # `host:port` of the requested sockets, by key of the configuration

    def encode(self) -> dict[str, Any]:
        """Returns the message as a JSON object."""
        return {"say": MessageKind.TAKEOVER_REQUEST, "form": self.state_format, "names": self.addresses}

    @classmethod
    def decode(cls, message: dict[str, Any]) -> TakeoverRequest:
        """Decodes the JSON object. Raises InvalidConfigurationError, which names the key."""
        return cls(message.get("form"), decode_object(message.get("names"), "names"))


@dataclass(frozen=True)
class TakeoverResponse:
    """Answer of the old process.

    Decoding does not check the state, because the sockets are usable without it.
    """

    state_format: Any
    sockets: list[str]  # keys of the attached listening sockets, in the order of their descriptors
    state: Any  # the stored form of `HandoffState`

    def encode(self) -> dict[str, Any]:
        """Returns the message as a JSON object."""
        return {
            "say": MessageKind.TAKEOVER_RESPONSE,
            "form": self.state_format,
            "sockets": self.sockets,
            "estate": self.state,
        }

    @classmethod
    def decode(cls, message: dict[str, Any]) -> TakeoverResponse:
        """Decodes the JSON object. Raises InvalidConfigurationError, which names the key."""
        sockets = decode_strings(message.get("sockets"), "sockets")
        return cls(message.get("form"), sockets, message.get("estate"))


@dataclass(frozen=True)
class Listening:
    """Report of the new process that it listens."""

    def encode(self) -> dict[str, Any]:
        """Returns the message as a JSON object."""
        return {"say": MessageKind.LISTENING}


@dataclass(frozen=True)
class HoldingsReport:
    """Resources that a process holds."""

    descriptors: int
    connections: dict[str, int]  # by server
    attempts: dict[str, int]  # since the last report, by server
    request_ids: list[str]  # that the other process does not have yet

    def encode(self) -> dict[str, Any]:
        """Returns the message as a JSON object."""
        return {
            "say": MessageKind.HOLDINGS,
            "descriptors": self.descriptors,
            "held": self.connections,
            "sent": self.attempts,
            "ids": self.request_ids,
        }

    @classmethod
    def decode(cls, message: dict[str, Any]) -> HoldingsReport:
        """Decodes the JSON object. Raises InvalidConfigurationError, which names the key."""
        return cls(
            descriptors=decode_integer(message.get("descriptors"), "descriptors"),
            connections=decode_mapping(message.get("held"), "held", decode_integer),
            attempts=decode_mapping(message.get("sent"), "sent", decode_integer),
            request_ids=decode_strings(message.get("ids"), "ids"),
        )


@dataclass(frozen=True)
class OperatorCommandMessage:
    """An operator command that the sending process has carried out."""

    command: str  # a `CommandKind`, or a command of a later release
    server_id: str  # empty if the command does not concern a single server

    def encode(self) -> dict[str, Any]:
        """Returns the message as a JSON object."""
        return {"say": MessageKind.OPERATOR_COMMAND, "what": self.command, "server": self.server_id}

    @classmethod
    def decode(cls, message: dict[str, Any]) -> OperatorCommandMessage:
        """Decodes the JSON object. Raises InvalidConfigurationError."""
        command, server_id = decode_strings([message.get("what"), message.get("server")], "word")
        return cls(command, server_id)


@dataclass(frozen=True)
class SessionMessage:
    """A session that is handed off; its descriptors are sent before the message."""

    session: Any  # in the format of the frontend's session transfer, which checks it
    sockets: int

    def encode(self) -> dict[str, Any]:
        """Returns the message as a JSON object."""
        return {"say": MessageKind.SESSION, "flow": self.session, "sockets": self.sockets}

    @classmethod
    def decode(cls, message: dict[str, Any]) -> SessionMessage:
        """Decodes the JSON object. Raises InvalidConfigurationError, which names the key."""
        return cls(message.get("flow"), decode_integer(message.get("sockets"), "sockets"))


@dataclass(frozen=True)
class SessionAdopted:
    """Acknowledgement of the new process for the descriptors of a session."""

    def encode(self) -> dict[str, Any]:
        """Returns the message as a JSON object."""
        return {"say": MessageKind.SESSION_ADOPTED}


def encode(message: dict[str, Any]) -> bytes:
    """Returns a message as a line, with the newline."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def decode(line: bytes) -> dict[str, Any]:
    """Returns the message in a line. Raises ValueError if it is not a JSON object."""
    message = json.loads(line)
    if not isinstance(message, dict):
        raise ValueError("not a JSON object")
    return message
