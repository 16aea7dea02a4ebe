"""Generates client load on a process of a fleet and records the outcome of each request."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field

from tests.process_fleet import MemberProcess
from tests.stand_ins import LineConnection

CLIENT_TIMEOUT = 2.0  # seconds, for connecting and for each read
CLIENT_INTERVAL = 0.01  # seconds between the end of one client and the start of the next


@dataclass
class RequestOutcome:
    """The outcome of one request; without a connection, it was rejected. Times are monotonic."""

    sent_at: float
    answered_at: float
    answer: str
    connection: LineConnection | None = None
    ended_at: float = float("inf")


@dataclass
class ClientLoad:
    """A thread that runs one client after another against a process; each disconnects once answered."""

    member: MemberProcess
    extra_fields: str = ""
    outcomes: list[RequestOutcome] = field(default_factory=list)
    stopping: bool = False

    def __post_init__(self) -> None:
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Runs one client after another until `stop`."""
        pause = threading.Event()
        while not self.stopping:
            outcome = send_request(self.member, self.extra_fields)
            if outcome:
                self.outcomes.append(outcome)
                if outcome.connection:
                    outcome.connection.socket.close()
            pause.wait(CLIENT_INTERVAL)

    def stop(self) -> list[RequestOutcome]:
        """Stops the thread and returns all outcomes."""
        self.stopping = True
        self.thread.join()
        return self.outcomes


def send_request(
    member: MemberProcess,
    extra_fields: str = "",
    deadline_ms: int = 1500,
    fields: str = ",t=acme",
    key: int | None = None,
) -> RequestOutcome | None:
    """Sends the request of one client.

    Returns None if it was neither established nor rejected, as when the process is killed or suspended.
    """
    sent_at = time.monotonic()
    try:
        with suppress(AttributeError):
            connection = LineConnection(socket.create_connection(member.address, timeout=CLIENT_TIMEOUT))
            connection.socket.settimeout(CLIENT_TIMEOUT)
            number = next(member.request_numbers)
            key = number if key is None else key
            request_id = f"{member.address[1]:x}{number:08x}"
            connection.send_line(f"OPEN {request_id} {key:x} c=feed,d={deadline_ms}{fields}{extra_fields}")
            answer = connection.read_line()
            if answer.startswith("UP"):
                return RequestOutcome(sent_at, time.monotonic(), answer, connection)
            connection.socket.close()
            if answer.startswith("BUSY"):
                return RequestOutcome(sent_at, time.monotonic(), answer)
    except OSError:
        return None
    return None


def most_served_within(outcomes: list[RequestOutcome], window: float) -> int:
    """Returns the largest number of served requests that were sent and answered within one window.

    A request that is answered after the window may count in the next one.
    """
    served = sorted((each for each in outcomes if each.connection), key=lambda each: each.sent_at)
    return max(
        (
            sum(
                each.sent_at >= first.sent_at and each.answered_at <= first.sent_at + window
                for each in served
            )
            for first in served
        ),
        default=0,
    )


def most_concurrent(outcomes: list[RequestOutcome]) -> int:
    """Returns the largest number of sessions that were certainly open at the same time."""
    served = [each for each in outcomes if each.connection]
    edges = sorted([(each.answered_at, 1) for each in served] + [(each.ended_at, -1) for each in served])
    count = 0
    most = 0
    for _, change in edges:
        count += change
        most = max(most, count)
    return most
