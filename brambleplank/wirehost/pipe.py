"""Dispatches batches of events to any number of simulated proxies; each batch gets one reply line."""

from __future__ import annotations

import json
import traceback
from collections.abc import Callable
from typing import Any, NamedTuple, TextIO

from brambleplank.settings import MICRO, MalformedError
from brambleplank.wirehost.simulated_proxy import SimulatedProxy
from brambleplank.wirehost.wire import LIST_FAILED, Action

FieldTypes = tuple[Any, ...]  # one entry for each field of an event, as the second argument of `isinstance`
NUMBER = int | float
OPTIONAL_INT = int | None
OPTIONAL_NUMBER = NUMBER | None
REQUEST_FIELDS: FieldTypes = (
    str,
    str,
    object,
    OPTIONAL_INT,
    OPTIONAL_INT,
    OPTIONAL_NUMBER,
    OPTIONAL_INT,
    OPTIONAL_INT,
)
ENDPOINT_FIELDS: FieldTypes = (str, str, object, int, str, OPTIONAL_NUMBER, OPTIONAL_NUMBER)
MAX_TRACEBACK_DEPTH = 4  # innermost frames
MALFORMED_INPUT_EXIT_CODE = 2


class EventHandler(NamedTuple):
    """The method that handles an event, and the types of the event's fields after the proxy name."""

    method: Callable[..., None]
    field_types: FieldTypes


HANDLERS = {
    "WORK_ITEM": EventHandler(SimulatedProxy.request_received, REQUEST_FIELDS),
    "CARRIED": EventHandler(SimulatedProxy.request_received, (*REQUEST_FIELDS, str)),
    "ESTABLISHED": EventHandler(SimulatedProxy.attempt_established, (str, int, str, NUMBER)),
    "ATTEMPT_END": EventHandler(
        SimulatedProxy.attempt_ended, (str, int, str, int, OPTIONAL_NUMBER, bool, list | None)
    ),
    "LAPSED": EventHandler(SimulatedProxy.client_disconnected, (str,)),
    "CHANGE": EventHandler(SimulatedProxy.session_changed, (str, str, NUMBER, int, int)),
    "ELAPSED": EventHandler(SimulatedProxy.timer_expired, (int,)),
    "PEER": EventHandler(SimulatedProxy.peer_message_received, (int, str)),
}
LIST_DEFINED = "TABLE"
PROXY_STARTED = "ENLIST"
PROXY_STOPPED = "DETACH"
LIST_UPDATED = "ROSTER_CHANGE"
PROBE_ANSWERED = "PROBE_RESULT"  # ignored, as the adapter never requests a probe
PROXY_EVENTS = frozenset((*HANDLERS, PROXY_STOPPED, LIST_UPDATED, PROBE_ANSWERED))

encode_reply = json.JSONEncoder(separators=(",", ":")).encode


class Adapter:
    """The simulated proxies of one process, and the numbered endpoint lists that they share."""

    def __init__(self) -> None:
        self.proxies: dict[str, SimulatedProxy] = {}
        self.lists: dict[int, list[list[Any]]] = {}
        self.actions: list[list[Any]] = []  # of the current batch

    def handle_batch(self, line: str) -> str:
        """Handles a batch of events and returns the reply. Raises MalformedError for malformed input."""
        try:
            message = json.loads(line)
        except ValueError as error:
            raise MalformedError(f"not JSON: {error}") from None
        if not isinstance(message, dict) or not isinstance(message.get("t_us"), int):
            raise MalformedError("a batch needs its clock, t_us, as a whole number")
        if not isinstance(message.get("news"), list):
            raise MalformedError("a batch needs an array named news")
        self.actions.clear()
        now = message["t_us"] * MICRO
        for event in message["news"]:
            if not isinstance(event, list) or not event or not isinstance(event[0], str):
                raise MalformedError(f"an event is an array that begins with its name, not {event!r:.80}")
            self.handle_event(now, event[0], event[1:])
        return encode_reply({"out": self.actions})

    def handle_event(self, now: float, name: str, fields: list[Any]) -> None:
        """Handles one event."""
        proxy_name = fields[0] if fields and isinstance(fields[0], str) else ""
        proxy = self.proxies.get(proxy_name)
        handler = HANDLERS.get(name)
        if handler and proxy:
            check_fields(name, fields[1:], handler.field_types)
            self.call_proxy(proxy, handler.method, now, *fields[1 : 1 + len(handler.field_types)])
        elif name == LIST_DEFINED:
            check_fields(name, fields, (int, list))
            for entry in fields[1]:
                check_fields("a list entry", entry, ENDPOINT_FIELDS)
            self.lists[fields[0]] = fields[1]
        elif name == PROXY_STARTED:
            check_fields(name, fields, (str, int, dict))
            self.start_proxy(fields[0], fields[1], fields[2])
        elif name not in PROXY_EVENTS:
            raise MalformedError(f"unknown event {name!r:.40}")
        else:
            check_fields(name, fields, (str,))
            if proxy is None:
                raise MalformedError(f"{name} for an unknown instance {proxy_name!r:.40}")
            self.handle_proxy_event(now, proxy, name, fields)

    def handle_proxy_event(self, now: float, proxy: SimulatedProxy, name: str, fields: list[Any]) -> None:
        """Handles a proxy's events that have no entry in HANDLERS."""
        if name == PROXY_STOPPED:
            del self.proxies[proxy.name]
        elif name == LIST_UPDATED:
            check_fields(name, fields, (str, str))
            self.call_proxy(
                proxy, SimulatedProxy.endpoints_received, now, fields[1], self.list_entries(fields)
            )

    def list_entries(self, fields: list[Any]) -> list[list[Any]]:
        """Returns the entries of the endpoint list that the event refers to."""
        if fields[1] == LIST_FAILED:
            return []
        check_fields(LIST_UPDATED, fields, (str, str, OPTIONAL_INT, int))
        if fields[3] not in self.lists:
            raise MalformedError(f"{LIST_UPDATED} names list {fields[3]!r:.40}, which no {LIST_DEFINED} gave")
        return self.lists[fields[3]]

    def start_proxy(self, name: str, seed: int, settings: Any) -> None:
        """Starts a proxy, replacing one of the same name."""
        try:
            self.proxies[name] = SimulatedProxy(name, seed, settings, self.actions)
        except (KeyError, TypeError) as error:
            raise MalformedError(
                f"{PROXY_STARTED} for {name}: start-up settings lack or garble {error}"
            ) from None

    def call_proxy(self, proxy: SimulatedProxy, method: Callable[..., None], *fields: Any) -> None:
        """Calls a method of the proxy.

        Exceptions other than MalformedError are reported to the simulator, which ends the run and shows them.
        """
        try:
            method(proxy, *fields)
            proxy.finish_event()
        except MalformedError:
            raise
        except Exception:
            traceback_text = traceback.format_exc(limit=-MAX_TRACEBACK_DEPTH)
            self.actions.append([Action.REPORT_EXCEPTION.value, proxy.name, traceback_text])


def check_fields(name: str, fields: Any, types: FieldTypes) -> None:
    """Raises MalformedError unless the first fields have these types, in order; more fields may follow."""
    if isinstance(fields, list) and len(fields) >= len(types) and all(map(isinstance, fields, types)):
        return
    if not isinstance(fields, list) or len(fields) < len(types):
        raise MalformedError(f"{name} needs {len(types)} fields, not {fields!r:.80}")
    for field, field_type in zip(fields, types, strict=False):
        if not isinstance(field, field_type):
            raise MalformedError(f"{name} does not take {field!r:.40} where it stands")


def serve(lines: TextIO, replies: TextIO, errors: TextIO) -> int:
    """Replies to each line of input that is not blank. Returns the exit code."""
    adapter = Adapter()
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            reply = adapter.handle_batch(line)
        except MalformedError as error:
            errors.write(f"brambleplank: line {number}: {error}\n")
            return MALFORMED_INPUT_EXIT_CODE
        replies.write(reply + "\n")
        replies.flush()
    return 0
