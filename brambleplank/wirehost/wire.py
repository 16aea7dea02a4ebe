"""Maps the names on the simulator's wire to the terms of the decisions.

The simulator's own vocabulary appears only here and in the event names of `pipe.py`.
"""

from __future__ import annotations

from enum import IntFlag, StrEnum
from typing import Any, NamedTuple

from brambleplank.model import AttemptOutcome, Endpoint, EndpointStatus
from brambleplank.settings import MICRO, decode_word

MAX_PEER_MESSAGE_SIZE = 204  # bytes; 255 characters in base85
MESSAGE_TIME_CHANGE = 2  # the kind in a CHANGE event that reports a message time
ALL_PEERS = "*"
LIST_FAILED = "FAILED"

OUTCOMES = {
    0: AttemptOutcome.OK,
    5: AttemptOutcome.ERROR,
    11: AttemptOutcome.FULL,
    110: AttemptOutcome.TIMEOUT,
    111: AttemptOutcome.UNREACHABLE,
    104: AttemptOutcome.RESET,
    125: AttemptOutcome.CANCELLED,
    114: AttemptOutcome.ABANDONED,
}
STATUSES = {"IN": EndpointStatus.READY, "LAME": EndpointStatus.DRAINING, "OUT": EndpointStatus.REMOVED}
LIST_KINDS = {"INCREMENTAL": False, "FULL": True, "SAVED": True}  # whether the list is complete


class RequestOption(IntFlag):
    """Bits of a request's options."""

    RESUMED = 8
    RECONNECTING = 16


class RequestEvent(NamedTuple):
    """The fields of a new request, in the order of the wire."""

    request_id: str
    traffic_class: str
    owner: object  # not used
    key: int | None
    deadline_us: int | None
    expected: float | None  # not used
    group: int | None
    options: int | None  # bits of `RequestOption`
    server_id: str | None = None  # if set, the session is already established there


class Action(StrEnum):
    """Actions that a proxy requests from the simulator."""

    START_ATTEMPT = "DELIVER"
    CANCEL_ATTEMPT = "REVOKE"
    REJECT = "BUSY"
    ABORT = "FAIL"
    MIGRATE = "SHIFT"
    FOLLOW_ENDPOINTS = "TRACK"
    SEND_TO_PEERS = "BROADCAST_TO"
    SET_TIMER = "SET_ALARM"
    LOG = "NOTE_DOWN"
    REPORT_EXCEPTION = "INTERNAL_ERROR"


def to_micros(seconds: float) -> int:
    """Returns a duration in microseconds, the unit of the wire."""
    return round(seconds / MICRO)


def decode_endpoint(entry: list[Any]) -> Endpoint:
    """Decodes a list entry: id, zone, an unused name, cell, status, size and start time."""
    server_id, zone, _, cell, status, size, started_us = entry[:7]
    return Endpoint(
        id=server_id,
        zone=zone,
        cell=cell,
        status=decode_word(STATUSES, status, "condition"),
        size=float(size or 1),
        started=(started_us or 0) * MICRO,
    )
