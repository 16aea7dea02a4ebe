"""Batches of events in, one reply line each out, for any number of instances."""

from __future__ import annotations

import json
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from brambleplank.wirehost.door import Door
from brambleplank.wirehost.terms import MICRO, MalformedError

# Each event's call and how many fields follow the instance's name.
CALLS: dict[str, tuple[Callable[..., None], int]] = {
    "WORK_ITEM": (Door.work_item, 8),
    "CARRIED": (Door.work_item, 9),
    "ESTABLISHED": (Door.established, 4),
    "ATTEMPT_END": (Door.attempt_end, 7),
    "LAPSED": (Door.lapsed, 1),
    "CHANGE": (Door.change, 5),
    "ELAPSED": (Door.elapsed, 1),
    "PROBE_RESULT": (Door.probe_result, 4),
    "PEER": (Door.peer, 2),
}


class Pipe:
    """The instances of one process, and the numbered lists that they share."""

    def __init__(self) -> None:
        self.doors: dict[str, Door] = {}
        self.tables: dict[int, list[list[Any]]] = {}
        self.out: list[list[Any]] = []

    def batch(self, line: str) -> str:
        try:
            message = json.loads(line)
        except ValueError as error:
            raise MalformedError(f"not JSON: {error}") from None
        if not isinstance(message, dict) or not isinstance(message.get("t_us"), int):
            raise MalformedError("a batch needs its clock, t_us, as a whole number")
        if not isinstance(message.get("news"), list):
            raise MalformedError("a batch needs an array named news")
        self.out.clear()
        now = message["t_us"] * MICRO
        for event in message["news"]:
            if not isinstance(event, list) or not event or not isinstance(event[0], str):
                raise MalformedError(f"an event is an array that begins with its name, not {event!r:.80}")
            self.event(now, event[0], event[1:])
        return json.dumps({"out": self.out}, separators=(",", ":"))

    def event(self, now: float, name: str, fields: list[Any]) -> None:
        if name == "TABLE":
            need(name, fields, 2)
            self.tables[fields[0]] = fields[1]
            return
        if name == "ENLIST":
            need(name, fields, 3)
            self.enlist(fields[0], fields[1], fields[2])
            return
        if name not in CALLS and name not in ("DETACH", "ROSTER_CHANGE"):
            raise MalformedError(f"unknown event {name!r:.40}")
        need(name, fields, 1)
        door = self.doors.get(fields[0])
        if door is None:
            raise MalformedError(f"{name} for an unknown instance {fields[0]!r:.40}")
        if name == "DETACH":
            del self.doors[fields[0]]
        elif name == "ROSTER_CHANGE":
            need(name, fields, 2)
            self.run(door, Door.roster, now, fields[1], self.entries(name, fields))
        else:
            call, count = CALLS[name]
            need(name, fields, 1 + count)
            self.run(door, call, now, *fields[1 : 1 + count])

    def entries(self, name: str, fields: list[Any]) -> list[list[Any]]:
        if fields[1] == "FAILED":
            return []
        need(name, fields, 4)
        if fields[3] not in self.tables:
            raise MalformedError(f"{name} names list {fields[3]!r:.40}, which no TABLE gave")
        return self.tables[fields[3]]

    def enlist(self, name: str, seed: int, info: Any) -> None:
        try:
            self.doors[name] = Door(name, seed, info, self.out)
        except (KeyError, TypeError) as error:
            raise MalformedError(f"ENLIST for {name}: start-up settings lack or garble {error}") from None

    def run(self, door: Door, call: Callable[..., None], *fields: Any) -> None:
        """An exception of the module ends the day and says why; it is never swallowed."""
        try:
            call(door, *fields)
        except MalformedError:
            raise
        except Exception:
            self.out.append(["INTERNAL_ERROR", door.name, traceback.format_exc(limit=-4)])


def need(name: str, fields: list[Any], count: int) -> None:
    if len(fields) < count:
        raise MalformedError(f"{name} has {len(fields)} fields, needs {count}")


def serve(lines: TextIO, replies: TextIO, errors: TextIO) -> int:
    pipe = Pipe()
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            reply = pipe.batch(line)
        except MalformedError as error:
            errors.write(f"brambleplank: line {number}: {error}\n")
            return 2
        replies.write(reply + "\n")
        replies.flush()
    return 0
