"""Stand-in clients of the line protocol that record each answer they receive."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

LINE_INTERVAL = 0.2  # seconds between two lines of an established session
ANSWERS = {"UP": "established", "BUSY": "rejected"}
ENDS = {"MOVE": "moved", "BYE": "bye"}


@dataclass
class RequestRecord:
    """The answers to one request and the end of its session."""

    id: str
    service_type: str
    began_at: float  # Unix time, seconds
    answers: list[str] = field(default_factory=list)  # final answers: exactly one, unless a rule is violated
    answer_delay: float = 0.0  # seconds to the first answer
    end: str = ""  # how an established session ended: done, moved, bye or broke
    echoed_lines: int = 0  # lines received back from the server
    is_reconnecting: bool = False  # whether it reconnects after its first session ended early


class Client(asyncio.Protocol):
    """One client: sends an OPEN, exchanges lines with the server for a while and ends its session."""

    transport: Any

    def __init__(
        self,
        record: RequestRecord,
        key: str,
        deadline: float,
        session_time: float,
        finished: Callable[[RequestRecord], None],
    ) -> None:
        """`deadline` and `session_time` are in seconds; `finished` is called once, at the end."""
        self.record = record
        self.key = key
        self.deadline = deadline
        self.session_time = session_time
        self.finished = finished
        self.buffer = b""
        self.last_word = ""
        self.is_reported = False

    def connection_made(self, transport: Any) -> None:
        """Sends the OPEN."""
        self.transport = transport
        record = self.record
        reconnecting = ",again=1" if record.is_reconnecting else ""
        fields = f"c={record.service_type},d={round(self.deadline * 1000)}{reconnecting}"
        transport.write(f"OPEN {record.id} {self.key} {fields}\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Splits the received data into lines."""
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self.line_received(line.decode(errors="replace"))

    def line_received(self, line: str) -> None:
        """Records an answer, the server's last word before it ends the session, or an echoed line."""
        record = self.record
        if not record.answers:
            record.answer_delay = time.time() - record.began_at
            word = line.split(" ", 1)[0]
            record.answers.append(ANSWERS.get(word, "aborted"))
            if word == "UP":
                asyncio.get_running_loop().call_later(self.session_time, self.end_session)
                self.send_line()
        elif record.answers[0] != "established":
            record.answers.append(line)
        elif line in ENDS:
            self.last_word = line
        else:
            record.echoed_lines += 1

    def send_line(self) -> None:
        """Sends a line, and the next one after an interval."""
        if not self.transport.is_closing():
            self.transport.write(b"M 1\r\n")
            asyncio.get_running_loop().call_later(LINE_INTERVAL, self.send_line)

    def end_session(self) -> None:
        """Ends the session from the client's side."""
        if not self.transport.is_closing() and not self.record.end:
            self.record.end = "done"
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  the base class's argument
        """Records how the session ended, and reports the record."""
        record = self.record
        if record.answers and record.answers[0] == "established" and not record.end:
            record.end = ENDS.get(self.last_word, "broke")
        if not self.is_reported:
            self.is_reported = True
            self.finished(record)
