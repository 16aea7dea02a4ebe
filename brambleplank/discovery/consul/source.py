"""Follows services in Consul with one blocking query per service, and applies changes once per tick.

Each query goes to one of several agents and fails over to the next.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

from twisted.internet import defer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers

from brambleplank import addresses
from brambleplank.backoff import exponential_backoff
from brambleplank.discovery.consul import answers
from brambleplank.discovery.consul.health import Catalog, Change, HealthSettings, QueryMetadata
from brambleplank.model import Address
from brambleplank.net.direct_connections import DirectEndpointFactory
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy

TICK_INTERVAL = 0.1  # seconds; all changes within a tick are applied together
MIN_QUERY_INTERVAL = 0.1  # seconds between two queries of a service; a burst of changes comes in one answer
MIN_PAUSE = 0.25  # seconds before the first retry, before jitter
MAX_PAUSE = 5.0  # upper bound of the seconds before any retry
FAILURES_BEFORE_FAILOVER = 2  # in a row, after which the next agent is queried
RESPONSE_TIMEOUT = 2.0  # seconds to connect, and that an answer may take beyond the wait of its query
MAX_RESPONSE_TIMEOUT = 16.0  # seconds; upper bound of the latter, which grows while all agents are slow
WAIT_JITTER_FACTOR = 17 / 16  # Consul adds a jitter of up to wait / 16
MAX_RESPONSE_SIZE = 64 * 1024**2  # bytes
MAX_TOKEN_LENGTH = 256  # characters
MAX_CHANGES_LOGGED = 10  # on a line each; more are logged as a count
MAX_UNUSED_LOGGED = 3
HTTP_OK = 200
HTTP_UNAUTHORIZED = (401, 403)


@dataclass
class ConsulSettings:
    """The agents and services to query, and the parameters of the queries."""

    agents: list[Address]
    services: list[str]
    datacenter: str = ""
    tag: str = ""
    consistency: str = "default"  # "default", "stale" or "consistent"
    query_wait: float = 30.0  # seconds that a query waits for a change
    token_file: str = ""
    metadata_keys: answers.MetadataKeys = field(default_factory=answers.MetadataKeys)
    health: HealthSettings = field(default_factory=HealthSettings)


@dataclass(frozen=True)
class Response:
    """A complete HTTP response of an agent."""

    status: int
    header: Callable[[str], str]  # returns the value of a header, "" if it is missing
    body: bytes


class ResponseBody(Protocol):
    """Collects the body of a response, up to `MAX_RESPONSE_SIZE` bytes."""

    transport: Any = None

    def __init__(self, done: defer.Deferred[bytes]) -> None:
        self.done = done
        self.parts: list[bytes] = []
        self.length = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collects a part, or closes the connection if the body is too large."""
        self.length += len(data)
        if self.length > MAX_RESPONSE_SIZE:
            self.parts.clear()
            self.transport.loseConnection()
        else:
            self.parts.append(data)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        """Passes a complete body on. A truncated one is an error, as it might still decode."""
        done = self.done
        self.done = defer.Deferred()
        if reason.check(ResponseDone) and self.length <= MAX_RESPONSE_SIZE:
            done.callback(b"".join(self.parts))
        else:
            done.errback(reason)


class ServiceWatch:
    """The blocking query of one service, repeated after each answer."""

    def __init__(self, source: ConsulSource, service: str) -> None:
        self.source = source
        self.service = service
        self.agent_number = 0  # number of the agent that is queried
        self.index = 0  # of the blocking query; 0: the agent answers immediately
        self.failures = 0  # in a row
        self.outdated_answers = 0  # in a row
        self.response_timeout = RESPONSE_TIMEOUT  # seconds beyond the wait of a query
        self.queried_at = 0.0
        self.timeout_at = 0.0  # of the pending query
        self.decoder = answers.AnswerDecoder(source.settings.metadata_keys)
        self.request: defer.Deferred[Any] | None = None

    def send_query(self) -> None:
        """Sends the query, unless one is pending."""
        if self.source.stopped or self.request:
            return
        wait = self.source.settings.query_wait
        request = self.source.agent.request(b"GET", self.url().encode(), self.source.headers())
        self.request = request
        request.addCallback(self.read_response)
        timeout = (wait * WAIT_JITTER_FACTOR if self.index else 0) + self.response_timeout
        self.queried_at = self.source.now()
        self.timeout_at = self.queried_at + timeout
        request.addTimeout(timeout, reactor)
        request.addCallbacks(self.response_received, self.request_failed)
        request.addErrback(self.exception_raised)

    def url(self) -> str:
        """Returns the URL of the query."""
        settings = self.source.settings
        query: dict[str, str] = {}
        if self.index:
            query["wait"] = f"{settings.query_wait:g}s"
            query["index"] = str(self.index)
        if settings.datacenter:
            query["dc"] = settings.datacenter
        if settings.tag:
            query["tag"] = settings.tag
        text = urlencode(query) + (f"&{settings.consistency}" if settings.consistency != "default" else "")
        return f"http://{self.address()}/v1/health/service/{quote(self.service, safe='')}?{text}"

    def read_response(self, response: Any) -> defer.Deferred[Response]:
        """Reads the body of a response."""
        done: defer.Deferred[bytes] = defer.Deferred(lambda _: body.transport.abortConnection())
        body = ResponseBody(done)
        response.deliverBody(body)

        def header(name: str) -> str:
            return str(response.headers.getRawHeaders(name, [""])[0])

        return done.addCallback(lambda content: Response(response.code, header, content))

    def response_received(self, response: Response) -> None:
        """Applies an answer and schedules the next query."""
        self.request = None
        if self.source.stopped:
            return
        if response.status != HTTP_OK:
            self.query_failed(f"status {response.status}", response.status, response.header("Retry-After"))
            return
        try:
            metadata = answers.decode_metadata(self.agent_number, response.header, self.failures > 0)
            instances, unused = self.decoder.decode(response.body)
        except answers.MalformedAnswerError as error:
            self.query_failed(f"garbled: {error}")
            return
        if self.failures:
            self.source.log(f"consul: {self.service}: answered again by {self.address()}")
        self.failures = 0
        if not self.index and self.source.now() < self.queried_at + RESPONSE_TIMEOUT:
            self.response_timeout = RESPONSE_TIMEOUT
        if metadata.filtered_by_acls:
            unused = [*unused, "the token's ACLs hide some servers; missing servers are not removed"]
        self.source.log_unused(self.service, unused)
        is_fresh = self.source.catalog.answer_received(self.source.now(), self.service, instances, metadata)
        self.source.schedule_tick()
        self.schedule_next_query(metadata, is_fresh)

    def schedule_next_query(self, metadata: QueryMetadata, is_fresh: bool) -> None:
        """Schedules the next query, with backoff after outdated answers.

        As Consul's API requires, an index that went back or is 0 is reset, and the next query does not block.
        Nor does a query after an outdated answer, as it would wait for a change instead of catching up.
        Backoff is needed because queries do not block while the cluster has no leader: without it, they would
        follow each other immediately.
        """
        self.index = metadata.index if metadata.index >= self.index and is_fresh else 0
        self.outdated_answers = 0 if is_fresh else self.outdated_answers + 1
        pause = backoff(self.outdated_answers) if self.outdated_answers else MIN_QUERY_INTERVAL
        self.source.call_later(pause * random.uniform(1.0, 1.2), self.send_query)

    def request_failed(self, reason: Failure) -> None:
        """Handles a query that failed or timed out."""
        self.request = None
        if self.source.stopped:
            return
        self.query_failed(type(reason.value).__name__)
        if self.source.now() >= self.timeout_at:
            self.lengthen_response_timeout()

    def lengthen_response_timeout(self) -> None:
        """Doubles the response timeout once each agent has timed out; failover is as fast as before.

        Agents that are slow for all queries would otherwise never be heard.
        """
        if self.failures % (FAILURES_BEFORE_FAILOVER * len(self.source.settings.agents)) == 0:
            self.response_timeout = min(MAX_RESPONSE_TIMEOUT, 2 * self.response_timeout)

    def exception_raised(self, reason: Failure) -> None:
        """Reports an exception raised by this code, and retries the query as after any failure."""
        if reason.value is not None:
            self.source.proxy.report_exception(reason.value, reason.getTracebackObject())
        self.query_failed(type(reason.value).__name__)

    def query_failed(self, reason: str, status: int = 0, retry_after: str = "") -> None:
        """Schedules a retry with exponential backoff and jitter; fails over after several failures.

        Without jitter, all sidecars would query at the same time and keep a restarting agent from coming up.
        The index is reset, as a query with the old one would block at an agent that has restarted with a
        lower index.
        """
        self.failures += 1
        self.index = 0
        if self.failures == 1:
            self.source.log(f"consul: {self.service}: {self.address()}: {reason}; the last list stays in use")
        if status in HTTP_UNAUTHORIZED:
            self.source.read_token()
        pause = backoff(self.failures) * random.uniform(0.5, 1.0)
        agents = len(self.source.settings.agents)
        if retry_after.isdigit():
            pause = max(pause, min(MAX_PAUSE, float(retry_after)))
        elif self.failures % FAILURES_BEFORE_FAILOVER == 0 and agents > 1:
            self.agent_number = (self.agent_number + 1) % agents
        self.source.call_later(pause, self.send_query)

    def address(self) -> str:
        """Returns the address of the agent that is queried."""
        return addresses.to_text(self.source.settings.agents[self.agent_number])

    def stop(self) -> None:
        """Cancels a pending query."""
        request = self.request
        self.request = None
        if request:
            request.addErrback(lambda _: None)
            request.cancel()


def backoff(attempts: int) -> float:
    """Returns the seconds to wait after a number of failures or outdated answers in a row."""
    return exponential_backoff(MIN_PAUSE, 2.0, attempts - 1, MAX_PAUSE)


class ConsulSource:
    """Follows several services of one Consul datacenter as one endpoint list."""

    def __init__(self, proxy: Proxy, settings: ConsulSettings) -> None:
        self.proxy = proxy
        self.settings = settings
        self.catalog = Catalog(settings.health)
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = len(settings.services)
        pool.retryAutomatically = False
        self.agent = Agent.usingEndpointFactory(reactor, DirectEndpointFactory(RESPONSE_TIMEOUT), pool)
        self.watches = [ServiceWatch(self, service) for service in settings.services]
        self.token = ""
        self.stopped = False
        self.started = False
        self.tick_scheduled = False
        self.logged_unused: dict[str, list[str]] = {}  # by service
        self.read_token()

    def now(self) -> float:
        """Returns the time of the proxy's clock, in seconds."""
        return self.proxy.clock.now()

    def call_later(self, delay: float, call: Callable[[], object]) -> None:
        """Calls a function after a delay in seconds."""
        self.proxy.clock.call_later(delay, call)

    def log(self, text: str) -> None:
        """Writes a line to the proxy's log."""
        self.proxy.log(text)

    def headers(self) -> Headers:
        """Returns the headers of a query."""
        return Headers({"X-Consul-Token": [self.token]} if self.token else {})

    def apply_initial_list(self) -> None:
        """Applies an empty list."""
        self.proxy.endpoints_received([], {}, True)

    def ensure_watching(self) -> None:
        """Sends the first query of each service, unless that was done."""
        if not self.started and not self.stopped:
            self.started = True
            for watch in self.watches:
                watch.send_query()

    def stop(self) -> None:
        """Cancels all queries; no more changes are applied."""
        self.stopped = True
        for watch in self.watches:
            watch.stop()

    def read_token(self) -> None:
        """Reads the token file, at the start and whenever the token was refused, as it may be rotated."""
        if not self.settings.token_file:
            return
        try:
            with Path(self.settings.token_file).open(encoding="ascii") as file:
                self.token = file.read(MAX_TOKEN_LENGTH).strip()
        except (OSError, UnicodeDecodeError) as error:
            self.log(
                f"consul: {self.settings.token_file}: {type(error).__name__}; the last token stays in use"
            )

    def log_unused(self, service: str, reasons: list[str]) -> None:
        """Logs the reasons why servers of an answer are unusable, if they have changed."""
        if reasons != self.logged_unused.get(service, []):
            self.logged_unused[service] = reasons
            for reason in reasons[:MAX_UNUSED_LOGGED]:
                self.log(f"consul: {service}: {reason}")

    def schedule_tick(self) -> None:
        """Schedules a tick for the next iteration of the reactor, unless one is scheduled."""
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.call_later(0, self.tick)

    def tick(self) -> None:
        """Applies all due changes as one update; repeats while servers are unsettled or have changed."""
        if self.stopped:
            self.tick_scheduled = False
            return
        now = self.now()
        changes = self.catalog.changes(now)
        for text in self.catalog.take_log_lines():
            self.log(text)
        if changes:
            changed = {change.endpoint.id: change.address for change in changes}
            self.proxy.endpoints_received([change.endpoint for change in changes], changed, False)
            self.log_changes(now, changes)
        if self.catalog.unsettled or changes:
            self.call_later(TICK_INTERVAL, self.tick)
        else:
            self.tick_scheduled = False

    def log_changes(self, now: float, changes: list[Change]) -> None:
        """Logs a line for each change, or a count if there are many."""
        if len(changes) > MAX_CHANGES_LOGGED:
            self.log(f"consul: {len(changes)} servers changed")
            return
        for change in changes:
            endpoint = change.endpoint
            self.log(
                f"consul: {endpoint.id} {endpoint.status.value} size={endpoint.size:g} as {change.cause} "
                f"after {now - change.reported_at:.3f}"
            )
