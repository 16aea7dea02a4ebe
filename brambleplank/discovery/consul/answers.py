"""Decodes Consul's answers about a service, as far as the endpoint list needs them. Free of I/O.

Implements the published HTTP API: `/v1/health/service/:service` and blocking queries.
"""

from __future__ import annotations

import re
from collections.abc import Callable

import msgspec

from brambleplank import addresses
from brambleplank.discovery.consul.health import HealthStatus, Instance, QueryMetadata
from brambleplank.errors import BrambleplankError

NODE_MAINTENANCE = "_node_maintenance"
SERVICE_MAINTENANCE = "_service_maintenance:"  # followed by the service id
SERVER_NAME = re.compile(r"[!-~]{1,128}")  # what log lines can hold
CHECK_STATUSES = {
    "passing": HealthStatus.PASSING,
    "warning": HealthStatus.WARNING,
    "critical": HealthStatus.CRITICAL,
}
MAX_SIZE = 100.0  # relative to the usual size of 1; the minimum is 1 / MAX_SIZE
MAX_NUMBER = 1e12  # upper bound of numbers in metadata; above any Unix time in seconds
DRAINING = "draining"
MS_PER_SECOND = 1000


class Node(msgspec.Struct, rename="pascal"):
    """The node that a service instance runs on."""

    node: str
    address: str = ""


class Weights(msgspec.Struct, rename="pascal"):
    """The weights of a service instance by its health."""

    passing: int = 1
    warning: int = 1


class Service(msgspec.Struct, rename="pascal"):
    """A registered service instance."""

    id: str = msgspec.field(name="ID")
    address: str = ""
    port: int = 0
    meta: dict[str, str] | None = None
    weights: Weights | None = None


class Check(msgspec.Struct, rename="pascal"):
    """A health check of a service instance or of its node."""

    status: str
    check_id: str = msgspec.field(name="CheckID", default="")


class Item(msgspec.Struct, rename="pascal"):
    """One entry of an answer: a service instance, its node and its checks."""

    node: Node
    service: Service
    checks: list[Check] = []


class MetadataKeys(msgspec.Struct, forbid_unknown_fields=True):
    """The keys of `Meta` that hold an instance's zone, cell, size, start time and state."""

    zone: str = "zone"
    cell: str = "cell"
    size: str = "size"
    started: str = "started"  # Unix seconds
    state: str = "state"  # the value "draining" drains the server, as maintenance mode does


class MalformedAnswerError(BrambleplankError, ValueError):
    """A malformed answer to a query."""

    ADVICE = "query the same path of that agent by hand; the proxy retries, also at other agents"


RAW_ITEMS_DECODER: msgspec.json.Decoder[list[msgspec.Raw]] = msgspec.json.Decoder(list[msgspec.Raw])
ITEM_DECODER: msgspec.json.Decoder[Item] = msgspec.json.Decoder(Item)


class AnswerDecoder:
    """Decodes answers about one service, and caches decoded instances by their encoded form.

    An answer always holds all instances of a service, however few have changed. Without the cache, decoding
    thousands of instances each time would use more CPU than all requests.
    """

    def __init__(self, keys: MetadataKeys) -> None:
        self.keys = keys
        self.previous: dict[bytes, Instance | str] = {}  # by encoded form; a text says why it is unusable

    def decode(self, body: bytes) -> tuple[list[Instance], list[str]]:
        """Returns the usable instances, and a text for each unusable one. Raises MalformedAnswerError."""
        decoded: dict[bytes, Instance | str] = {}
        try:
            for raw in RAW_ITEMS_DECODER.decode(body):
                encoded = bytes(raw)
                decoded[encoded] = self.previous.get(encoded) or decode_instance(
                    ITEM_DECODER.decode(encoded), self.keys
                )
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedAnswerError(str(error)) from None
        self.previous = decoded
        instances = {each.id: each for each in decoded.values() if isinstance(each, Instance)}
        return list(instances.values()), [each for each in decoded.values() if isinstance(each, str)]


def decode_instance(item: Item, keys: MetadataKeys) -> Instance | str:
    """Decodes one instance; returns a text with the reason if it is unusable."""
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
        int(parse_number(metadata.get(keys.cell, ""), 0)),
        size_of(item, health, parse_number(metadata.get(keys.size, ""), 1.0)),
        parse_number(metadata.get(keys.started, ""), 0.0),
        health,
    )


def health_of(item: Item, state: str) -> HealthStatus:
    """Returns the worst status of an instance's checks; maintenance takes precedence over all."""
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
    """Returns an instance's size; with a warning it is scaled by the ratio of its weights."""
    weights = item.service.weights or Weights()
    if health is HealthStatus.WARNING:
        size *= max(0, weights.warning) / max(1, weights.passing)
    return min(MAX_SIZE, max(1 / MAX_SIZE, size))


def parse_number(text: str, default: float) -> float:
    """Parses a number in metadata; returns the default if it is malformed or out of range."""
    try:
        value = float(text)
    except ValueError:
        return default
    return value if 0 <= value < MAX_NUMBER else default


def decode_metadata(agent: int, header: Callable[[str], str], after_failure: bool) -> QueryMetadata:
    """Decodes the headers of an answer; `header` returns the value of one, "" if it is missing.

    Raises MalformedAnswerError.
    """
    try:
        index = int(header("X-Consul-Index"))
        last_contact = int(header("X-Consul-LastContact") or 0) / MS_PER_SECOND
    except ValueError:
        raise MalformedAnswerError("X-Consul-Index or X-Consul-LastContact is not a number") from None
    return QueryMetadata(
        agent=agent,
        index=max(0, index),
        known_leader=header("X-Consul-KnownLeader") != "false",
        last_contact=max(0.0, last_contact),
        filtered_by_acls=header("X-Consul-Results-Filtered-By-ACLs") == "true",
        after_failure=after_failure,
    )
