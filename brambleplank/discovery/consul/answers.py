"""Consul's answers on a service, decoded: only what the list needs is read. Free of I/O.

Source: the published HTTP API, `/v1/health/service/:service` and its blocking queries.
"""

from __future__ import annotations

import re
from collections.abc import Callable

import msgspec

from brambleplank import addresses
from brambleplank.discovery.consul.health import HealthStatus, Instance, QueryMetadata
from brambleplank.errors import BrambleplankError

NODE_MAINTENANCE = "_node_maintenance"
SERVICE_MAINTENANCE = "_service_maintenance:"  # and the service
SERVER_NAME = re.compile(r"[!-~]{1,128}")  # what log lines can carry
CHECK_STATUSES = {
    "passing": HealthStatus.PASSING,
    "warning": HealthStatus.WARNING,
    "critical": HealthStatus.CRITICAL,
}
MAX_SIZE = 100.0  # times the usual size
MAX_NUMBER = 1e12  # in metadata; above every Unix time in seconds
DRAINING = "draining"
MS_PER_SECOND = 1000


class Node(msgspec.Struct, rename="pascal"):
    """The machine of a server."""

    node: str
    address: str = ""


class Weights(msgspec.Struct, rename="pascal"):
    """How much a server bears, by its health."""

    passing: int = 1
    warning: int = 1


class Service(msgspec.Struct, rename="pascal"):
    """A server, as it is registered."""

    id: str = msgspec.field(name="ID")
    address: str = ""
    port: int = 0
    meta: dict[str, str] | None = None
    weights: Weights | None = None


class Check(msgspec.Struct, rename="pascal"):
    """One health check of a server, or of its machine."""

    status: str
    check_id: str = msgspec.field(name="CheckID", default="")


class Item(msgspec.Struct, rename="pascal"):
    """One server in an answer."""

    node: Node
    service: Service
    checks: list[Check] = []


class MetadataKeys(msgspec.Struct, forbid_unknown_fields=True):
    """The names under which `Meta` holds what the list needs."""

    zone: str = "zone"
    cell: str = "cell"
    size: str = "size"
    started: str = "started"  # Unix seconds
    state: str = "state"  # whose value "draining" drains, as maintenance does


class MalformedAnswerError(BrambleplankError, ValueError):
    """Not an answer on a service."""

    ADVICE = "ask that agent by hand for the same path; the next agent is asked meanwhile"


RAW_ITEMS: msgspec.json.Decoder[list[msgspec.Raw]] = msgspec.json.Decoder(list[msgspec.Raw])
ITEM: msgspec.json.Decoder[Item] = msgspec.json.Decoder(Item)


class AnswerDecoder:
    """Decodes answers on one service; a server that is encoded as before costs one look-up.

    An answer always holds all of a service, however little has changed; decoded as a whole, thousands of
    servers would cost more than all requests.
    """

    def __init__(self, keys: MetadataKeys) -> None:
        self.keys = keys
        self.previous: dict[bytes, Instance | str] = {}  # by encoded server: it, or why it cannot be used

    def decode(self, body: bytes) -> tuple[list[Instance], list[str]]:
        """The servers of an answer, and why others cannot be used. Raises MalformedAnswerError."""
        decoded: dict[bytes, Instance | str] = {}
        try:
            for raw in RAW_ITEMS.decode(body):
                encoded = bytes(raw)
                decoded[encoded] = self.previous.get(encoded) or instance_of(ITEM.decode(encoded), self.keys)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedAnswerError(str(error)) from None
        self.previous = decoded
        found = {each.id: each for each in decoded.values() if isinstance(each, Instance)}
        return list(found.values()), [each for each in decoded.values() if isinstance(each, str)]


def instance_of(item: Item, keys: MetadataKeys) -> Instance | str:
    """One server, or why it cannot be used."""
    name = f"{item.node.node}/{item.service.id}"
    host = item.service.address or item.node.address
    port = item.service.port
    address = addresses.parse(f"[{host}]:{port}" if ":" in host else f"{host}:{port}")
    if address is None or not SERVER_NAME.fullmatch(name):
        return f"{name!r:.80}: {host}:{port} is no address that can be used"
    metadata = item.service.meta or {}
    health = health_of(item, metadata.get(keys.state, ""))
    return Instance(
        name,
        address,
        metadata.get(keys.zone, ""),
        int(number(metadata.get(keys.cell, ""), 0)),
        size_of(item, health, number(metadata.get(keys.size, ""), 1.0)),
        number(metadata.get(keys.started, ""), 0.0),
        health,
    )


def health_of(item: Item, state: str) -> HealthStatus:
    """The worst health of a server's checks; maintenance goes before all."""
    worst = HealthStatus.PASSING
    for check in item.checks:
        if check.check_id == NODE_MAINTENANCE or check.check_id.startswith(SERVICE_MAINTENANCE):
            return HealthStatus.MAINTENANCE
        health = CHECK_STATUSES.get(check.status, HealthStatus.CRITICAL)
        if health is HealthStatus.CRITICAL or (
            health is HealthStatus.WARNING and worst is HealthStatus.PASSING
        ):
            worst = health
    return HealthStatus.MAINTENANCE if state == DRAINING else worst


def size_of(item: Item, health: HealthStatus, size: float) -> float:
    """A server's size by its weights: with a warning it bears less."""
    weights = item.service.weights or Weights()
    if health is HealthStatus.WARNING:
        size *= max(0, weights.warning) / max(1, weights.passing)
    return min(MAX_SIZE, max(1 / MAX_SIZE, size))


def number(text: str, default: float) -> float:
    """A number in metadata; the default for what is none, or out of range."""
    try:
        value = float(text)
    except ValueError:
        return default
    return value if 0 <= value < MAX_NUMBER else default


def answer(agent: int, header: Callable[[str], str], after_failure: bool) -> QueryMetadata:
    """What the headers of an answer say; `header` gives the text of one, "" if it is not there.

    Raises MalformedAnswerError.
    """
    try:
        index = int(header("X-Consul-Index"))
        last_contact = int(header("X-Consul-LastContact") or 0) / MS_PER_SECOND
    except ValueError:
        raise MalformedAnswerError("no index in the answer") from None
    return QueryMetadata(
        agent=agent,
        index=max(0, index),
        known_leader=header("X-Consul-KnownLeader") != "false",
        last_contact=max(0.0, last_contact),
        filtered_by_acls=header("X-Consul-Results-Filtered-By-ACLs") == "true",
        after_failure=after_failure,
    )
