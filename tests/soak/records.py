"""What servers, discovery and clients saw, in monotonic seconds of the one process that plays them all."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf


@dataclass
class Attempt:
    """One whole OPEN, as a server had it."""

    flow: str
    service_type: str
    server: str
    begun: float  # its first byte
    came: float  # its last byte
    answer: str = ""  # what the server sent, or how it ended the connection; "": nothing yet
    ended: float = inf  # when the proxy's end of the connection was seen, or the server ended it

    @property
    def may_have_run(self) -> bool:
        return self.answer != "BUSY"


@dataclass
class Request:
    """One client's connection."""

    flow: str
    service_type: str
    proxy: int
    life: int  # which start of the proxy's process took it
    wait: float  # seconds that the client allows
    sent: float = inf  # the last byte of its OPEN
    answers: list[tuple[float, str]] = field(default_factory=list)  # lines up to the final answer
    left: float = inf  # when the client closed by itself
    ended: float = inf  # when the proxy's end was seen
    reset: bool = False
    again: bool = False
    bad: str = ""  # what this client does wrong on purpose
    slowest_echo: float = 0.0
    moved: bool = False
    cut_off: bool = False  # ended by the proxy after UP with neither MOVE nor an end by the server


@dataclass
class Life:
    """One process of a proxy."""

    proxy: int
    started: float
    ready: float = inf
    told_to_stop: float = inf
    killed: float = inf
    ended: float = inf
    code: int | None = None
    stopped: list[tuple[float, float]] = field(default_factory=list)  # spans in which it was held up
    crowded: list[tuple[float, float]] = field(default_factory=list)  # spans in which idle clients fill it
    broken: list[tuple[float, float]] = field(default_factory=list)  # spans in which connections broke
    deaf: list[tuple[float, float]] = field(
        default_factory=list
    )  # spans without any socket to call discovery
    descriptors: int = 0  # the most that were seen
    descriptor_limit: int = 0
    log: str = ""


@dataclass
class Told:
    """When a proxy counts as told that a server is no longer ready, or has started."""

    proxy: int
    server: str
    at: float


@dataclass
class Records:
    """All notes of one run."""

    attempts: list[Attempt] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    unready: list[Told] = field(default_factory=list)
    starts: dict[str, float] = field(default_factory=dict)  # servers that started during the run
    server_ends: dict[str, float] = field(default_factory=dict)  # flows whose server ended an established one
    zones: dict[str, str] = field(default_factory=dict)
    troubles: list[tuple[float, str]] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(
        default_factory=list
    )  # when this process was late, and by how much
