"""The list of servers: a watch over HTTP, one JSON object a line."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure
from twisted.web.client import Agent
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from brambleplank.host import Condition
from brambleplank.net.loop import reactor

if TYPE_CHECKING:
    from brambleplank.net.proxy import Proxy

SILENT_AFTER = 4.3  # seconds: two empty-line periods and a little
CONDITIONS = {"ready": Condition.READY, "draining": Condition.DRAINING, "gone": Condition.GONE}

Entry = tuple[str, str, int, Condition, float, float]


class GarbledError(ValueError):
    """Not a list of servers."""


def list_of(told: Any) -> tuple[int, bool, list[Entry], dict[str, tuple[str, int]]]:
    """A list's version, whether it is whole, its entries, and the addresses from here."""
    try:
        entries, addresses = [], {}
        for host in told["hosts"]:
            name, port = host["dial"].rsplit(":", 1)
            addresses[host["host"]] = (name, int(port))
            entries.append((
                host["host"], host["site"], int(host["block"]), CONDITIONS[host["health"]],
                float(host.get("share") or 1.0), (host.get("born_ms") or 0) / 1000,
            ))
        return int(told["seq"]), bool(told["whole"]), entries, addresses
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise GarbledError(f"{type(error).__name__} {error}") from None


@implementer(IAgentEndpointFactory)
class Straight:
    """Discovery has an address, no name: nothing is looked up, no thread is started for it."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address

    def endpointForURI(self, uri: object) -> TCP4ClientEndpoint:  # noqa: N802
        return TCP4ClientEndpoint(reactor, *self.address, timeout=SILENT_AFTER)


class Watch(LineReceiver, TimeoutMixin):
    """One open watch."""

    delimiter = b"\n"
    MAX_LENGTH = 4 * 1024 * 1024

    transport: Any = None

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery

    def connectionMade(self) -> None:  # noqa: N802
        self.setTimeout(SILENT_AFTER)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.resetTimeout()
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if line.strip():
            self.discovery.heard(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.discovery.broke("overlong line")

    def timeoutConnection(self) -> None:  # noqa: N802
        self.discovery.broke("silent")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self.setTimeout(None)
        if self.discovery.watch is self:
            self.discovery.broke("ended")


class Unread(Protocol):
    """The body of an answer that is no list."""

    transport: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.loseConnection()


class Discovery:
    """Follows the list when asked to, and says when that failed."""

    def __init__(self, proxy: Proxy, address: tuple[str, int]) -> None:
        self.proxy = proxy
        self.agent = Agent.usingEndpointFactory(reactor, Straight(address))
        self.url = b"http://%s:%d/discovery/hosts?watch=1" % (address[0].encode(), address[1])
        self.version: int | None = None
        self.asking: defer.Deferred[Any] | None = None
        self.watch: Watch | None = None

    def follow(self) -> None:
        if self.asking or self.watch:
            return
        url = self.url + (b"" if self.version is None else b"&from=%d" % self.version)
        self.asking = self.agent.request(b"GET", url)
        self.asking.addTimeout(SILENT_AFTER, reactor)
        self.asking.addCallbacks(self.answered, self.failed)

    def answered(self, response: Any) -> None:
        self.asking = None
        if response.code != 200:
            response.deliverBody(Unread())
            self.failed(f"status {response.code}")
            return
        self.watch = Watch(self)
        response.deliverBody(self.watch)

    def failed(self, why: Failure | str) -> None:
        self.asking = None
        self.proxy.list_failed(why if isinstance(why, str) else type(why.value).__name__)

    def broke(self, why: str) -> None:
        watch, self.watch = self.watch, None
        if watch is None:
            return
        watch.setTimeout(None)
        if watch.transport is not None:
            watch.transport.loseConnection()
        self.proxy.list_failed(why)

    def heard(self, line: bytes) -> None:
        if self.watch is None:
            return
        try:
            version, whole, entries, addresses = list_of(json.loads(line))
            if not whole and self.version is not None and version < self.version:
                self.version = None
                raise GarbledError(f"version went back to {version}")
        except ValueError as error:
            self.broke(f"garbled: {error}")
            return
        self.version = version
        self.proxy.list_told(entries, addresses, whole)
