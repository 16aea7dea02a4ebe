"""Follows the platform's endpoint list: a watch over HTTP, one JSON object a line.

A change that discovery has, and can be reached for, counts as received after 6 s, whatever failed
meanwhile. In the worst order a watch falls silent right after a line (3.0 s until that is noticed), a
request is refused or given up (0.4), one is answered by a list that drips (0.4 to its first byte, 0.8 for
the whole), another is given up (0.4); with a pause of 0.1 s before each, the fourth request is made 5.4 s
after the change. `docs/design/races.md` has the timeline.

What discovery has at its return counts as received at once. A request that was made just before is never
answered; where the drain grace is short, another one is made beside it before it is given up.
"""

from __future__ import annotations

import json
import re
from math import inf
from typing import Any

from twisted.internet import defer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from twisted.web.client import Agent

from brambleplank.discovery.platform.endpoint_list import EndpointList, MalformedListError, decode_list
from brambleplank.model import Address, Endpoint, EndpointStatus
from brambleplank.net.clock import CallAfterReads
from brambleplank.net.direct_connections import DirectEndpointFactory
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy

CATCH_UP_TIME = 2.5  # seconds in which discovery at a new address may still be behind what is held
RETRY_DELAY = 0.1  # seconds between two requests; the agent is on this machine, and answers at no cost
RESPONSE_TIMEOUT = 0.4  # seconds from a request to a list's first byte, which comes at once or not at all
HEDGE_SHARE = 1 / 3  # of the drain grace; the rest is left for the answer, and for a stall of this process
LIST_TIMEOUT = 0.8  # seconds from there to the whole list, and more as its bytes come
MIN_TRANSFER_RATE = 1024 * 1024  # bytes a second of a list that comes from this machine
LINE_TIMEOUT = 3.0  # seconds without a whole line, where an empty one comes every 2 s
HTTP_OK = 200
TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # strings, and what opens and closes


class Watch(LineReceiver):
    """One open watch.

    Whole lines alone show that it is alive: a body that drips, or whose line never ends, is as silent as one
    that brings nothing.
    """

    delimiter = b"\n"
    MAX_LENGTH = 4 * 1024 * 1024

    transport: Any = None

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.lines: list[bytes] = []  # of an indented list that is not complete
        self.depth = 0  # brackets that are open in them
        self.length = 0  # bytes of them
        self.incomplete_since = 0.0  # when a line or list that is not complete began; 0: there is none
        self.incomplete_bytes = 0
        self.list_timeout = LIST_TIMEOUT  # for the first list; a change comes in one piece
        self.timer: CallAfterReads | None = None  # until the next whole line, or the first byte, is overdue

    def start_timer(self, timeout: float) -> None:
        """Expects a whole line within so many seconds."""
        self.stop_timer()
        self.timer = self.discovery.proxy.clock.call_after_reads(timeout, self.timed_out)

    def stop_timer(self) -> None:
        """Expects nothing more."""
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def timed_out(self) -> None:
        """Ends the watch, unless a long list is still arriving; one that drips never ends."""
        transfer_time = self.list_timeout + self.incomplete_bytes / MIN_TRANSFER_RATE
        remaining = self.incomplete_since + transfer_time - self.discovery.proxy.clock.now()
        if self.incomplete_since and remaining > 0:
            self.start_timer(remaining)
        elif self.discovery.watch is self:
            self.discovery.watch_failed("silent")

    def connectionMade(self) -> None:  # noqa: N802
        """Expects the first byte, counted from the request."""
        deadline = self.discovery.requested_at + RESPONSE_TIMEOUT
        self.start_timer(max(0.0, deadline - self.discovery.proxy.clock.now()))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Notes since when a line or list is incomplete, and how much of it has come."""
        if not self.incomplete_since:
            self.incomplete_since = self.discovery.proxy.clock.now()
        self.incomplete_bytes += len(data)
        super().dataReceived(data)
        if not (self.lines or self._buffer):
            self.incomplete_since = 0.0
            self.incomplete_bytes = 0

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Collects the lines of a list; an empty line between two lists says that nothing has changed."""
        if self.discovery.watch is not self:
            return
        if not line.strip() and not self.lines:
            self.completed()
            self.discovery.heartbeat_received()
            return
        self.length += len(line)
        self.lines.append(line)
        # Parsed again at each of its lines, a long indented list would hold up everything else.
        self.depth += sum((token in b"{[") - (token in b"}]") for token in TOKENS.findall(line))
        if self.length > self.MAX_LENGTH:
            self.discovery.watch_failed("overlong line")
        elif not line.strip():
            self.discovery.watch_failed("garbled: an empty line amid a list")
        elif self.depth <= 0:
            self.list_completed()

    def list_completed(self) -> None:
        """Passes a list on, or ends the watch if it is garbled."""
        text = b"\n".join(self.lines)
        self.lines = []
        self.depth = 0
        self.length = 0
        self.completed()
        try:
            self.discovery.list_received(json.loads(text))
        except (ValueError, RecursionError) as error:
            self.discovery.watch_failed(f"garbled: {error}")

    def completed(self) -> None:
        """A whole line has come, and the next is expected."""
        self.list_timeout = 0.0
        self.start_timer(LINE_TIMEOUT)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802, ARG002
        """Ends the watch."""
        self.discovery.watch_failed("overlong line")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, ARG002
        """The response has ended."""
        self.stop_timer()
        if self.discovery.watch is self:
            self.discovery.watch_failed("ended")


class DiscardedBody(Protocol):
    """The body of a response that is no list."""

    transport: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Closes the connection."""
        self.transport.loseConnection()


class DiscoveryService:
    """The HTTP service at one address."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.agent = Agent.usingEndpointFactory(reactor, DirectEndpointFactory(RESPONSE_TIMEOUT))
        self.url = b"http://%s:%d/discovery/hosts?watch=1" % (address[0].encode(), address[1])

    def request_watch(self, version: int | None) -> defer.Deferred[Any]:
        """Asks for changes since a version, or for the whole list."""
        query = b"" if version is None else b"&from=%d" % version
        request: defer.Deferred[Any] = self.agent.request(b"GET", self.url + query)
        return request


class WatchRequest:
    """A request for a watch that is out."""

    def __init__(self, requested_at: float, response: defer.Deferred[Any], timer: CallAfterReads) -> None:
        """`timer` gives it up."""
        self.requested_at = requested_at
        self.response = response
        self._timer = timer

    def cancel(self) -> None:
        """Gives it up."""
        self.stop_timer()
        self.response.cancel()

    def stop_timer(self) -> None:
        """It has ended in time."""
        if self._timer.active():
            self._timer.cancel()


class OutdatedList:
    """A list that is older than the one held, and the changes to it since."""

    def __init__(self) -> None:
        self.endpoints: dict[str, tuple[Endpoint, Address]] = {}

    def apply(self, update: EndpointList) -> None:
        """Applies changes, or a list that takes its place."""
        if update.is_whole:
            self.endpoints = {}
        for endpoint in update.endpoints:
            self.endpoints[endpoint.id] = endpoint, update.addresses[endpoint.id]

    def as_list(self, version: int) -> EndpointList:
        """The whole list, without servers that are removed by now."""
        listed = [
            (endpoint, address)
            for endpoint, address in self.endpoints.values()
            if endpoint.status is not EndpointStatus.REMOVED
        ]
        addresses = {endpoint.id: address for endpoint, address in listed}
        return EndpointList(version, True, [endpoint for endpoint, _ in listed], addresses)


class Discovery:
    """Follows the list when asked to, and reports when that failed."""

    def __init__(self, proxy: Proxy, address: Address) -> None:
        self.proxy = proxy
        self.service = DiscoveryService(address)
        self.version: int | None = None  # at this address; None: the whole list is asked for
        self.newest_version = 0  # version of what was applied, wherever it came from
        self.outdated: OutdatedList | None = None  # waits until it is as new as what is held
        self.moved_at = -inf
        self.requested_at = -inf  # when the request was made that the newest watch answers
        self.failing = False  # whether that was reported, and no list has come since
        self.requests: list[WatchRequest] = []  # that are out, oldest first
        self.watch: Watch | None = None

    @property
    def address(self) -> Address:
        """Where discovery is."""
        return self.service.address

    def change_address(self, address: Address) -> None:
        """Discovery is elsewhere now: nothing more is received from where it was; the list held stays in use.

        The whole list is asked for: versions need not count alike there, and a change that was missed on
        the way would stay missed.
        """
        self.stop()
        self.service = DiscoveryService(address)
        self.version = None
        self.moved_at = self.proxy.clock.now()
        self.ensure_watching()

    def stop(self) -> None:
        """Ends the watch, or the requests for one."""
        self.close_watch()
        self.cancel_requests()

    def cancel_requests(self) -> None:
        """Gives up all requests for a watch."""
        requests = self.requests
        self.requests = []
        for request in requests:
            request.cancel()

    def close_watch(self) -> None:
        """Ends the watch, if there is one."""
        watch = self.watch
        self.watch = None
        if self.outdated is not None:
            # What waits was not applied; asked for from its version on, it would stay missed.
            self.outdated = None
            self.version = None
        if watch is not None:
            watch.stop_timer()
            if watch.transport is not None:
                watch.transport.loseConnection()

    def apply_initial_list(self, encoded: Any, origin: Address | None = None) -> None:
        """Applies the list as this proxy last had it; `origin` is the address that it came from.

        The version of a list from another address may say nothing here.
        """
        known = decode_list(encoded)
        self.newest_version = known.version
        self.version = known.version if origin in (None, self.address) else None
        self.proxy.endpoints_received(known.endpoints, known.addresses, True)

    def ensure_watching(self) -> None:
        """Asks for a watch, unless there is one or a request for it."""
        if not self.requests and not self.watch:
            self.send_request()

    def send_request(self) -> None:
        """Asks for a watch, whether or not another request is out."""
        clock = self.proxy.clock
        response = self.service.request_watch(self.version)
        timer = clock.call_after_reads(RESPONSE_TIMEOUT, response.cancel)
        request = WatchRequest(clock.now(), response, timer)
        self.requests.append(request)
        hedge_after = max(RETRY_DELAY, HEDGE_SHARE * self.proxy.settings.drain_grace)
        if hedge_after < RESPONSE_TIMEOUT:
            clock.call_later(hedge_after, self.hedge, request)
        response.addCallbacks(
            self.response_received, self.request_failed, callbackArgs=(request,), errbackArgs=(request,)
        )

    def hedge(self, request: WatchRequest) -> None:
        """Asks once more beside a request that discovery may never answer, as it was down."""
        if request in self.requests:
            self.send_request()

    def response_received(self, response: Any, request: WatchRequest) -> None:
        """Opens the watch, or asks again if there is none."""
        request.stop_timer()
        if request not in self.requests:
            response.deliverBody(DiscardedBody())
            return
        if response.code != HTTP_OK:
            response.deliverBody(DiscardedBody())
            self.request_failed(f"status {response.code}", request)
            return
        self.requests.remove(request)
        self.cancel_requests()
        self.requested_at = request.requested_at
        self.watch = Watch(self)
        response.deliverBody(self.watch)

    def request_failed(self, reason: Failure | str, request: WatchRequest) -> None:
        """Asks again, unless another request is out, or this one was cancelled."""
        request.stop_timer()
        if request not in self.requests:
            return
        self.requests.remove(request)
        why = reason if isinstance(reason, str) else type(reason.value).__name__
        if self.requests:
            self.report_failure(why)
        else:
            self.retry(why)

    def retry(self, reason: str) -> None:
        """Asks again soon.

        What the agent has counts as received, and so does soon what a silent watch misses. So the pause
        between two requests that spares a fleet's one service is not waited out here.
        """
        # First of all: an exception below would end the following.
        self.proxy.clock.call_later(RETRY_DELAY, self.ensure_watching)
        self.report_failure(reason)

    def report_failure(self, reason: str) -> None:
        """Reports the first of failures in a row."""
        if not self.failing and not self.is_catching_up():
            self.failing = True
            self.proxy.endpoint_list_failed(reason)

    def watch_failed(self, reason: str) -> None:
        """The watch brings no more lists."""
        if self.watch is not None:
            self.close_watch()
            self.retry(reason)

    def list_received(self, encoded: Any) -> None:
        """Applies a list, or changes to the one before. Raises MalformedListError."""
        if self.watch is None:
            return
        update = decode_list(encoded)
        self.check_order(update)
        self.version = update.version
        self.failing = False
        is_behind = update.version < self.newest_version and self.is_catching_up()
        if self.outdated is not None or is_behind:
            outdated = self.hold_back(update)
            if is_behind:
                return
            update = outdated.as_list(update.version)
            self.outdated = None
        self.newest_version = update.version
        self.proxy.endpoints_received(update.endpoints, update.addresses, update.is_whole)
        self.proxy.endpoint_list_confirmed()

    def check_order(self, update: EndpointList) -> None:
        """Raises MalformedListError for changes that cannot follow what came before."""
        if update.is_whole:
            return
        if self.version is not None and update.version < self.version:
            self.version = None
            raise MalformedListError(f"version went back to {update.version}")
        if self.version is None and self.outdated is None:
            raise MalformedListError("changes to a list that was not told")

    def heartbeat_received(self) -> None:
        """The watch is alive, and has sent all that there is."""
        if self.version is not None and self.outdated is None:
            self.proxy.endpoint_list_confirmed()

    def is_catching_up(self) -> bool:
        """Whether discovery at a new address may still be behind what is held."""
        return self.proxy.clock.now() < self.moved_at + CATCH_UP_TIME

    def hold_back(self, update: EndpointList) -> OutdatedList:
        """Keeps a list that is not applied yet, and the changes to it.

        At another address an older list may come first; applied, it would bring back servers that are known
        to drain. It waits until it is as new, or until it is plain that versions count otherwise there.
        """
        if self.outdated is None:
            self.outdated = OutdatedList()
            wait = self.moved_at + CATCH_UP_TIME - self.proxy.clock.now()
            self.proxy.clock.call_later(wait, self.stop_waiting, self.watch)
        self.outdated.apply(update)
        return self.outdated

    def stop_waiting(self, watch: Watch) -> None:
        """Still behind after a move: the whole list is asked for again, and applied as it is."""
        if watch is self.watch and self.outdated is not None:
            self.close_watch()
            self.ensure_watching()
