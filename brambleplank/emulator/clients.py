"""Clients of the line protocol that keep a record of each answer they had."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

LINE_EVERY = 0.2  # seconds between two lines of a standing client


@dataclass
class Story:
    """What became of one flow."""

    id: str
    service_type: str
    began: float  # Unix time, seconds
    answers: list[str] = field(default_factory=list)  # final answers: one, if all is well
    setup: float = 0.0  # seconds to the first answer
    ended: str = ""  # how an established flow ended: done, moved, bye or broke
    lines: int = 0  # lines that came back
    returns: bool = False  # whether it came again after a move or a break


class Caller(asyncio.Protocol):
    """One client: it opens, keeps a conversation for a while, and ends it."""

    transport: Any

    def __init__(
        self, story: Story, key: str, patience: float, stays: float, over: Callable[[Story], None]
    ) -> None:
        self.story, self.key, self.patience, self.stays, self.over = story, key, patience, stays, over
        self.rest, self.word, self.told = b"", "", False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        story = self.story
        more = ",again=1" if story.returns else ""
        wait = round(self.patience * 1000)
        transport.write(f"OPEN {story.id} {self.key} c={story.service_type},d={wait}{more}\r\n".encode())

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self.line(line.decode(errors="replace"))

    def line(self, line: str) -> None:
        story = self.story
        if not story.answers:
            story.setup = time.time() - story.began
            word = line.split(" ", 1)[0]
            story.answers.append({"UP": "established", "BUSY": "rejected"}.get(word, "aborted"))
            if word == "UP":
                asyncio.get_running_loop().call_later(self.stays, self.leave)
                self.talk()
        elif story.answers[0] != "established":
            story.answers.append(line)
        elif line in ("MOVE", "BYE"):
            self.word = line
        else:
            story.lines += 1

    def talk(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"M 1\r\n")
            asyncio.get_running_loop().call_later(LINE_EVERY, self.talk)

    def leave(self) -> None:
        if not self.transport.is_closing() and not self.story.ended:
            self.story.ended = "done"
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        story = self.story
        if story.answers and story.answers[0] == "established" and not story.ended:
            story.ended = {"MOVE": "moved", "BYE": "bye"}.get(self.word, "broke")
        if not self.told:
            self.told = True
            self.over(story)
