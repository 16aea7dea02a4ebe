"""Follows services in Consul: one blocking query a service, at one agent of several, applied once a tick."""

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

TICK = 0.1  # seconds; all that changed within one is applied at once
MIN_INTERVAL = 0.1  # seconds between two queries of one service; a burst of changes is one answer
MIN_PAUSE = 0.25  # seconds before the first retry
MAX_PAUSE = 5.0  # seconds before any retry
FAILURES_BEFORE_FAILOVER = 2  # in a row, after which the next agent is asked
EXTRA_TIME = 2.0  # seconds that an answer may take beyond its wait
JITTERED_WAIT = 17 / 16  # of the wait: Consul adds up to a sixteenth
MAX_ANSWER = 64 * 1024**2  # bytes
MAX_TOKEN = 256  # characters
MAX_CHANGES_LOGGED = 10  # each on a line of its own
MAX_UNUSED_LOGGED = 3
HTTP_OK = 200
HTTP_REFUSED = (401, 403)


@dataclass
class ConsulSettings:
    """What is queried, and from whom."""

    agents: list[Address]
    services: list[str]
    datacenter: str = ""
    tag: str = ""
    consistency: str = "default"  # or "stale", "consistent"
    query_wait: float = 30.0  # seconds that a query waits for a change
    token_file: str = ""
    metadata_keys: answers.MetadataKeys = field(default_factory=answers.MetadataKeys)
    health: HealthSettings = field(default_factory=HealthSettings)


@dataclass(frozen=True)
class Response:
    """A whole response of an agent."""

    status: int
    header: Callable[[str], str]  # the text of a header, "" if it is not there
    body: bytes


class ResponseBody(Protocol):
    """The body of a response, of at most `MAX_ANSWER` bytes."""

    transport: Any = None

    def __init__(self, done: defer.Deferred[bytes]) -> None:
        self.done = done
        self.parts: list[bytes] = []
        self.length = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keeps a part, or closes the connection of a body that is too long."""
        self.length += len(data)
        if self.length > MAX_ANSWER:
            self.parts.clear()
            self.transport.loseConnection()
        else:
            self.parts.append(data)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override] # noqa: N802
        """Passes a whole body on; half of one may be well formed, and ends in an error."""
        done = self.done
        self.done = defer.Deferred()
        if reason.check(ResponseDone) and self.length <= MAX_ANSWER:
            done.callback(b"".join(self.parts))
        else:
            done.errback(reason)


class ServiceWatch:
    """The blocking query of one service, asked again after each answer."""

    def __init__(self, source: ConsulSource, service: str) -> None:
        self.source = source
        self.service = service
        self.agent = 0  # number of the one that is asked
        self.index = 0  # to wait at; 0: the answer comes at once
        self.failures = 0  # in a row
        self.outdated_answers = 0  # in a row
        self.decoder = answers.AnswerDecoder(source.settings.metadata_keys)
        self.request: defer.Deferred[Any] | None = None

    def ask(self) -> None:
        """Sends the query, unless there is one under way."""
        if self.source.stopped or self.request:
            return
        wait = self.source.settings.query_wait
        request = self.source.agent.request(b"GET", self.url().encode(), self.source.headers())
        self.request = request
        request.addCallback(self.read_response)
        request.addTimeout((wait * JITTERED_WAIT if self.index else 0) + EXTRA_TIME, reactor)
        request.addCallbacks(self.response_received, self.request_failed)
        request.addErrback(self.exception_raised)

    def url(self) -> str:
        """The URL of the query."""
        asked = self.source.settings
        query: dict[str, str] = {}
        if self.index:
            query["wait"] = f"{asked.query_wait:g}s"
            query["index"] = str(self.index)
        if asked.datacenter:
            query["dc"] = asked.datacenter
        if asked.tag:
            query["tag"] = asked.tag
        text = urlencode(query) + (f"&{asked.consistency}" if asked.consistency != "default" else "")
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
        """Applies an answer, and asks again."""
        self.request = None
        if self.source.stopped:
            return
        if response.status != HTTP_OK:
            self.failed(f"status {response.status}", response.status, response.header("Retry-After"))
            return
        try:
            answer = answers.answer(self.agent, response.header, self.failures > 0)
            instances, unused = self.decoder.decode(response.body)
        except answers.MalformedAnswerError as error:
            self.failed(f"garbled: {error}")
            return
        if self.failures:
            self.source.log(f"consul: {self.service}: answered again by {self.address()}")
        self.failures = 0
        if answer.filtered_by_acls:
            unused = [*unused, "the token does not see all of it; what is missing is not taken for gone"]
        self.source.log_unused(self.service, unused)
        is_fresh = self.source.catalog.answer_received(self.source.now(), self.service, instances, answer)
        self.source.tick_soon()
        self.ask_after_answer(answer, is_fresh)

    def ask_after_answer(self, answer: QueryMetadata, is_fresh: bool) -> None:
        """Asks again soon; later after outdated answers.

        An index that went back, or is 0, is no place to wait at: the next query asks from the beginning. So
        does the one after an outdated answer, which would wait for a change instead of catching up. Without
        a leader no query waits, and each answer would be followed by the next at once.
        """
        self.index = answer.index if answer.index >= self.index and is_fresh else 0
        self.outdated_answers = 0 if is_fresh else self.outdated_answers + 1
        pause = backoff(self.outdated_answers) if self.outdated_answers else MIN_INTERVAL
        self.source.later(pause * random.uniform(1.0, 1.2), self.ask)

    def request_failed(self, reason: Failure) -> None:
        """No agent answered, or not in time."""
        self.request = None
        if not self.source.stopped:
            self.failed(type(reason.value).__name__)

    def exception_raised(self, reason: Failure) -> None:
        """Reports an exception of this program; the service is followed all the same."""
        if reason.value is not None:
            self.source.proxy.report_exception(reason.value, reason.getTracebackObject())
        self.failed(type(reason.value).__name__)

    def failed(self, why: str, status: int = 0, retry_after: str = "") -> None:
        """Asks again after a pause that grows, by chance: asked by all sidecars at once, no agent comes up.

        An agent that came back with a lower index would keep a query at the old one waiting for it.
        """
        self.failures += 1
        self.index = 0
        if self.failures == 1:
            self.source.log(f"consul: {self.service}: {self.address()}: {why}; the list held stays good")
        if status in HTTP_REFUSED:
            self.source.read_token()
        pause = backoff(self.failures) * random.uniform(0.5, 1.0)
        agents = len(self.source.settings.agents)
        if retry_after.isdigit():
            pause = max(pause, min(MAX_PAUSE, float(retry_after)))
        elif self.failures % FAILURES_BEFORE_FAILOVER == 0 and agents > 1:
            self.agent = (self.agent + 1) % agents
        self.source.later(pause, self.ask)

    def address(self) -> str:
        """The address of the agent that is asked."""
        return addresses.to_text(self.source.settings.agents[self.agent])

    def stop(self) -> None:
        """Cancels the query."""
        request = self.request
        self.request = None
        if request:
            request.addErrback(lambda _: None)
            request.cancel()


def backoff(attempts: int) -> float:
    """Seconds to pause after so many in a row."""
    return exponential_backoff(MIN_PAUSE, 2.0, attempts - 1, MAX_PAUSE)


class ConsulSource:
    """Several services of one Consul, as one endpoint list."""

    def __init__(self, proxy: Proxy, settings: ConsulSettings) -> None:
        self.proxy = proxy
        self.settings = settings
        self.catalog = Catalog(settings.health)
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = len(settings.services)
        pool.retryAutomatically = False
        self.agent = Agent.usingEndpointFactory(reactor, DirectEndpointFactory(EXTRA_TIME), pool)
        self.watches = [ServiceWatch(self, service) for service in settings.services]
        self.token = ""
        self.stopped = False
        self.following = False
        self.ticking = False
        self.logged_unused: dict[str, list[str]] = {}  # by service
        self.read_token()

    def now(self) -> float:
        """The time of the proxy's clock, in seconds."""
        return self.proxy.clock.now()

    def later(self, delay: float, call: Callable[[], object]) -> None:
        """Calls after so many seconds."""
        self.proxy.clock.call_later(delay, call)

    def log(self, text: str) -> None:
        """Writes a line for operators."""
        self.proxy.log(text)

    def headers(self) -> Headers:
        """The headers of a query."""
        return Headers({"X-Consul-Token": [self.token]} if self.token else {})

    def apply_initial_list(self) -> None:
        """Begins with no server."""
        self.proxy.endpoints_received([], {}, True)

    def ensure_watching(self) -> None:
        """Begins to ask."""
        if not self.following and not self.stopped:
            self.following = True
            for watch in self.watches:
                watch.ask()

    def stop(self) -> None:
        """Nothing more is received."""
        self.stopped = True
        for watch in self.watches:
            watch.stop()

    def read_token(self) -> None:
        """Reads the token, again whenever it was refused, as it may have been rotated."""
        if not self.settings.token_file:
            return
        try:
            with Path(self.settings.token_file).open(encoding="ascii") as file:
                self.token = file.read(MAX_TOKEN).strip()
        except (OSError, UnicodeDecodeError) as error:
            self.log(f"consul: {self.settings.token_file}: {type(error).__name__}; the token held stays")

    def log_unused(self, service: str, reasons: list[str]) -> None:
        """Logs why servers of an answer cannot be used, if that has changed."""
        if reasons != self.logged_unused.get(service, []):
            self.logged_unused[service] = reasons
            for reason in reasons[:MAX_UNUSED_LOGGED]:
                self.log(f"consul: {service}: {reason}")

    def tick_soon(self) -> None:
        """Applies changes in the next iteration of the reactor."""
        if not self.ticking:
            self.ticking = True
            self.later(0, self.tick)

    def tick(self) -> None:
        """Applies what has changed, all in one list; again a tick later while something is unsettled."""
        if self.stopped:
            self.ticking = False
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
            self.later(TICK, self.tick)
        else:
            self.ticking = False

    def log_changes(self, now: float, changes: list[Change]) -> None:
        """Logs a line for each change, or one for many."""
        if len(changes) > MAX_CHANGES_LOGGED:
            self.log(f"consul: {len(changes)} servers changed")
            return
        for change in changes:
            endpoint = change.endpoint
            self.log(
                f"consul: {endpoint.id} {endpoint.status.value} size={endpoint.size:g} as {change.why} "
                f"after {now - change.learnt:.3f}"
            )
