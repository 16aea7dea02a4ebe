"""One tiny fake host, a proxy behind it, and a clock moved by hand."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from brambleplank.decide import Balancer, Flow, Server
from brambleplank.host import Condition, Effect, End, ServiceType, Terms

FEED = ServiceType(0.3, Effect.REPEATABLE, "all", 5.0, 0.1)
TERMS = Terms(
    proxies=2, number=0, tick=0.005, push=True, max_connects=3, cancelling=True, retry_after=True,
    longest_pause=2.0, drain_grace=1.0, ask_within=10.0, cold_from=0.2, ramp_time=20.0, overload_factor=3.0,
    fall_time=2.0, connect_within=0.15, leave_within=1.0, groups=True, tells_load=False,
    service_types={"feed": FEED},
)


class Fake:
    """Stands for the host: keeps what it was asked, and turns the clock."""

    def __init__(self, servers: int = 5, seed: int = 1, **changes: Any) -> None:
        self.now = 400_000.0  # no host promises a clock that starts near zero
        self.said: list[tuple[str, Any]] = []
        self.free = 1.0
        self.alarms: list[tuple[float, Callable[[float], None]]] = []
        self.proxy = Balancer(self, replace(TERMS, **changes), seed)
        self.told({f"10.0.0.{i}:80": Condition.READY for i in range(servers)}, whole=True)

    def told(
        self, states: dict[str, Condition], whole: bool = False, started: float = 0.0, zone: str = "a"
    ) -> None:
        self.proxy.list_told(self.now, [(s, zone, 0, c, 1.0, started) for s, c in states.items()], whole)

    def server(self, server_id: str) -> Server:
        return self.proxy.servers[server_id]

    def come(
        self, key: int | None = 7, wait: float = 1.8, group: int | None = None, midflow: bool = False,
        returned: bool = False, at: Server | None = None,
    ) -> Flow:
        return self.proxy.flow(
            self.now, None, "feed", key, group, self.now + wait, midflow, returned, at
        )

    def stand(self, flow: Flow, delay: float = 0.02) -> Flow:
        self.proxy.established(self.now, flow, len(flow.connects) - 1, delay)
        return flow

    def come_and_stand(self) -> bool:
        """Whether a flow that comes is connected; if so it stands."""
        flow = self.come()
        return bool(flow.connects and self.stand(flow))

    def end(self, flow: Flow, end: End, delay: float = 0.1, complete: bool = False) -> None:
        self.proxy.connect_ended(self.now, flow, len(flow.connects) - 1, end, delay, complete)

    def serve(self, count: int, **how: Any) -> list[Flow]:
        """Flows of many keys that come a second apart and stand at once."""
        flows = []
        for key in range(count):
            self.pass_time(0.1)
            flows.append(self.stand(self.come(key, **how)))
            self.end(flows[-1], End.OK, complete=True)
        return flows

    def pass_time(self, seconds: float) -> None:
        until = self.now + seconds
        while due := [a for a in self.alarms if a[0] <= until]:
            first = min(due, key=lambda a: a[0])
            self.alarms.remove(first)
            self.now = max(self.now, first[0])
            first[1](self.now)
        self.now = until

    def asked(self, call: str) -> list[Any]:
        return [what for name, what in self.said if name == call]

    def connect(self, flow: Flow, server: Server, max_wait: float) -> None:
        self.said.append(("connect", (flow, server, max_wait)))

    def withdraw(self, flow: Flow, number: int) -> None:
        self.said.append(("withdraw", flow))

    def reject(self, flow: Flow, pause: float) -> None:
        self.said.append(("reject", (flow, pause)))

    def abort(self, flow: Flow) -> None:
        self.said.append(("abort", flow))

    def move(self, flow: Flow) -> None:
        self.said.append(("move", flow))

    def room(self) -> float:
        return self.free

    def follow_list(self) -> None:
        self.said.append(("follow_list", None))

    def alarm(self, delay: float, call: Callable[[float], None]) -> None:
        self.alarms.append((self.now + delay, call))

    def log(self, text: str) -> None:
        self.said.append(("log", text))


@pytest.fixture
def fake() -> Fake:
    return Fake()
