"""A stand-in Consul agent on loopback: answers health queries, also blocking ones, and injects faults.

It follows the published HTTP API: `X-Consul-Index`, `index` and `wait`, `X-Consul-KnownLeader`,
`X-Consul-LastContact`, tokens, 403, 429 and 500. A script can delay or truncate its answers, reset its
index or stop the agent.
"""

from __future__ import annotations

import asyncio
import json
import tomllib
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from brambleplank.tables import parse_seconds

MAX_WAIT = 600.0  # seconds
MAX_HEAD_SIZE = 16 * 1024  # bytes


@dataclass
class ServiceInstance:
    """One instance of a service in the catalogue."""

    id: str
    address: str
    zone: str = ""
    status: str = "passing"
    maintenance: bool = False
    meta: dict[str, str] = field(default_factory=dict)
    weights: dict[str, int] | None = None

    def health_entry(self) -> dict[str, Any]:
        """Returns the entry for it in the answer to a health query."""
        host, _, port = self.address.rpartition(":")
        checks = [
            {"CheckID": "serfHealth", "Status": "passing"},
            {"CheckID": f"service:{self.id}", "Status": self.status},
        ]
        if self.maintenance:
            checks.append({"CheckID": f"_service_maintenance:{self.id}", "Status": "critical"})
        meta = {**({"zone": self.zone} if self.zone else {}), **self.meta}
        service: dict[str, Any] = {"ID": self.id, "Address": host, "Port": int(port), "Meta": meta}
        if self.weights:
            service["Weights"] = self.weights
        return {"Node": {"Node": "n1", "Address": "127.0.0.1"}, "Service": service, "Checks": checks}


class StandInConsul:
    """One agent. Agents may share a catalogue; each has its own index, which may lag behind."""

    def __init__(self) -> None:
        self.services: dict[str, dict[str, ServiceInstance]] = {}
        self.index = 1
        self.changed_at: dict[str, int] = {}
        self.has_leader = True
        self.last_contact_ms = 0
        self.token = ""  # the token that queries need; empty: any
        self.next_statuses: list[int] = []  # statuses of the next answers; 200 when empty
        self.truncated_answers = 0  # how many of the next answers are cut off in the middle
        self.answer_delay = 0.0  # seconds before each answer
        self.answer_count = 0
        self.port = 0
        self.listener: asyncio.Server | None = None
        self.open_connections: set[asyncio.StreamWriter] = set()
        self.connection_tasks: set[asyncio.Task[Any]] = set()  # one per connection
        self.changed = asyncio.Event()

    @property
    def address(self) -> str:
        """The agent's address."""
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        """Starts listening; after a stop, on the same port."""
        self.changed = asyncio.Event()
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening and resets all connections, also those of waiting queries."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.open_connections):
            writer.transport.abort()
        self.changed.set()

    async def close(self) -> None:
        """Stops the agent, then cancels the tasks of its connections and waits for their end.

        After `stop` alone, tasks that wait for a change of the catalogue are still pending, and an event loop
        that ends at once would destroy them.
        """
        self.stop()
        tasks = list(self.connection_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_service(self, service: str, instance: ServiceInstance | None = None, drop: str = "") -> None:
        """Adds or replaces an instance, or removes the one with id `drop`, and answers waiting queries."""
        instances = self.services.setdefault(service, {})
        if instance:
            instances[instance.id] = instance
        instances.pop(drop, None)
        self.mark_changed(service)

    def mark_changed(self, service: str) -> None:
        """Advances the index for a changed service, so that queries that wait for it are answered."""
        self.index += 1
        self.changed_at[service] = self.index
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()

    def reset_index(self, index: int) -> None:
        """Sets a lower index, as an agent has after a restart or a restore."""
        self.index = index
        self.changed_at = dict.fromkeys(self.services, index)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the queries of one connection."""
        self.open_connections.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self.connection_tasks.add(task)
        task.add_done_callback(self.connection_tasks.discard)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self.answer(head.decode("latin-1"), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the client has disconnected, or the agent is closing
        finally:
            self.open_connections.discard(writer)
            writer.close()

    async def answer(self, head: str, writer: asyncio.StreamWriter) -> None:
        """Answers one query; a blocking query when its service has changed or its wait time is over."""
        first, *lines = head.split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        target = urlsplit(first.split(" ")[1])
        query = {key: value[0] for key, value in parse_qs(target.query, keep_blank_values=True).items()}
        service = unquote(target.path.rsplit("/", 1)[-1])
        if self.answer_delay:
            await asyncio.sleep(self.answer_delay)
        status = self.next_statuses.pop(0) if self.next_statuses else 200
        if self.token and headers.get("x-consul-token") != self.token:
            status = 403
        is_blocking = status == 200 and "index" in query
        if is_blocking and not await self.wait_for_change(service, query, writer):
            return
        await self.send(status, service, writer)

    async def wait_for_change(
        self, service: str, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Waits until the service has changed since the query's index, or the wait time is over.

        Returns False if the client has disconnected.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(MAX_WAIT, parse_seconds(query.get("wait", "300s")) or 300.0)
        while self.changed_at.get(service, 1) <= int(query["index"]):
            if writer.is_closing():
                return False
            remaining = deadline - loop.time()
            if remaining <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:  # noqa: UP041
                break
        return True

    async def send(self, status: int, service: str, writer: asyncio.StreamWriter) -> None:
        """Sends the answer, or the first half of it if it is to be truncated."""
        items = [instance.health_entry() for instance in self.services.get(service, {}).values()]
        body = json.dumps(items).encode() if status == 200 else b"no\n"
        head = (
            f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"X-Consul-Index: {self.changed_at.get(service, 1)}\r\n"
            f"X-Consul-KnownLeader: {'true' if self.has_leader else 'false'}\r\n"
            f"X-Consul-LastContact: {self.last_contact_ms}\r\n\r\n"
        )
        self.answer_count += 1
        writer.write(head.encode())
        if self.truncated_answers and status == 200:
            self.truncated_answers -= 1
            writer.write(body[: len(body) // 2])
            await writer.drain()
            writer.transport.abort()
            return
        writer.write(body)
        await writer.drain()


# Scripts: timed changes to an agent and its catalogue.

STATUSES = ("passing", "warning", "critical")
MAINTENANCE = ("maintain", "lift")
STEP_ACTIONS = (
    "register",
    "deregister",
    "passing",
    "warning",
    "critical",
    "maintain",
    "lift",
    "stop",
    "start",
    "go_back",
    "no_leader",
    "leader",
    "statuses",
    "torn",
    "slow",
)


@dataclass(frozen=True)
class Step:
    """One step of a script: an action at a time."""

    at: float  # seconds from the start of the script
    action: str
    service: str = ""
    server: str = ""
    arguments: dict[str, Any] = field(default_factory=dict)


def parse_script(text: str) -> list[Step]:
    """Returns the steps of a TOML text with [[step]] tables, sorted by time.

    Raises ValueError, which names the step, if one is malformed.
    """
    steps = []
    for n, entry in enumerate(tomllib.loads(text).get("step", []), 1):
        at = parse_seconds(str(entry.get("at", "")))
        if at is None or entry.get("do") not in STEP_ACTIONS:
            raise ValueError(f"step[{n}]: needs at = a duration and do = one of {', '.join(STEP_ACTIONS)}")
        arguments = {
            key: value for key, value in entry.items() if key not in ("at", "do", "service", "server")
        }
        steps.append(Step(at, entry["do"], entry.get("service", ""), entry.get("server", ""), arguments))
    return sorted(steps, key=lambda step: step.at)


async def run_script(agent: StandInConsul, steps: list[Step]) -> None:
    """Runs a script; its times count from now."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    for step in steps:
        await asyncio.sleep(max(0.0, started + step.at - loop.time()))
        await apply_step(agent, step)


async def apply_step(agent: StandInConsul, step: Step) -> None:
    """Applies one step to an agent."""
    instance = agent.services.get(step.service, {}).get(step.server)
    if step.action == "register":
        agent.update_service(step.service, ServiceInstance(step.server, **step.arguments))
    elif step.action == "deregister":
        agent.update_service(step.service, drop=step.server)
    elif instance and step.action in (*STATUSES, *MAINTENANCE):
        if step.action in STATUSES:
            instance.status = step.action
        else:
            instance.maintenance = step.action == "maintain"
        agent.mark_changed(step.service)
    elif step.action == "stop":
        agent.stop()
    elif step.action == "start":
        await agent.listen()
    else:
        apply_fault(agent, step)


def apply_fault(agent: StandInConsul, step: Step) -> None:
    """Applies a step that changes how an agent answers."""
    if step.action == "go_back":
        agent.reset_index(int(step.arguments.get("index", 1)))
    elif step.action in ("leader", "no_leader"):
        agent.has_leader = step.action == "leader"
    elif step.action == "statuses":
        agent.next_statuses = list(step.arguments.get("list", [500]))
    elif step.action == "torn":
        agent.truncated_answers = int(step.arguments.get("count", 1))
    elif step.action == "slow":
        agent.answer_delay = parse_seconds(str(step.arguments.get("by", "0s"))) or 0.0
