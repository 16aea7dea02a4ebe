"""Follows the platform's endpoint list: a watch over HTTP, one JSON object per line.

The proxy is held to a change 6 s after discovery has it, provided that discovery can be reached, whatever
requests failed in between, and however an answer's time of up to 3 s is split between connecting, its first
byte and the parts of its list. Two rules follow from that:

- What may still be answered is not given up for another request that would be no faster. A request without
  an answer after 0.4 s, an answer whose first list is incomplete after 0.8 s, and a watch without a complete
  line for 3.0 s are overdue: another request is sent, and they stay open beside it. The first of them that
  completes a line is the watch from then on, and the others are closed.
- Whatever is overdue is taken for dead as well, so requests are sent as if it were. In the worst sequence a
  watch goes silent right after a line (3.0 s to detect), a request is refused or not answered (0.4 s), the
  response to the next one stalls within the list (0.4 s to its first byte, 0.8 s to the full list), and
  another request is not answered (0.4 s). With a delay of 0.1 s before each request, the fourth one is sent
  5.4 s after the change. `docs/design/races.md` has the timeline.

A watch that has been quiet for 2.5 s gets a request beside it, so that a slow answer to it is still in time.
After an outage the proxy is held to the list immediately, but a request sent just before its end is never
answered. If the drain grace is short, a second one is therefore sent before the first is overdue.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from brambleplank.discovery.platform.endpoint_list import EndpointList, MalformedListError, decode_list
from brambleplank.discovery.platform.list_lines import MAX_LIST_SIZE, ListLines
from brambleplank.discovery.platform.list_versions import ListVersions
from brambleplank.discovery.platform.pending_requests import (
    MAX_ANSWER_TIME,
    MAX_KEPT_TIME,
    RESPONSE_TIMEOUT,
    PendingRequests,
)
from brambleplank.discovery.platform.watch_requests import DiscardedBody, DiscoveryService, WatchRequest
from brambleplank.model import Address
from brambleplank.net.clock import CallAfterReads
from brambleplank.net.proxy import Proxy

RETRY_DELAY = 0.1  # seconds between two requests; the agent is local, so a short delay costs nothing
HEDGE_SHARE = 1 / 3  # of the drain grace; the rest is for the response, and for a stall of this process
# Seconds from the first byte to the full list, plus its transfer time, after which another request is sent.
FIRST_LIST_TIMEOUT = 0.8
MIN_TRANSFER_RATE = 1024 * 1024  # bytes per second; discovery is on this machine
LINE_TIMEOUT = 3.0  # seconds without a complete line; discovery sends an empty one every 2 s
QUIET_SHARE = 5 / 6  # of LINE_TIMEOUT, after which a request is sent beside the watch
HTTP_OK = 200


class Watch(LineReceiver):
    """The response body of a watch.

    Only complete lines keep a watch alive. A body that trickles in, or a line that never ends, is overdue as
    if nothing had been received.
    """

    delimiter = b"\n"
    MAX_LENGTH = MAX_LIST_SIZE
    transport: Any = None

    def __init__(self, discovery: Discovery, request: WatchRequest) -> None:
        self.discovery = discovery
        self.request = request
        self.lines = ListLines()
        self.first_byte_at: float | None = None
        self.incomplete_since = 0.0  # when an incomplete line or list began; 0: none
        self.incomplete_bytes = 0
        self.first_list_timeout = FIRST_LIST_TIMEOUT  # 0 after it; later lists come in one piece
        self.timer: CallAfterReads | None = None  # for the next complete line

    def start_timer(self, timeout: float, callback: Callable[[], None] | None = None) -> None:
        """Restarts the timer for the next complete line, with a timeout in seconds."""
        self.stop_timer()
        self.timer = self.discovery.proxy.clock.call_after_reads(timeout, callback or self.timed_out)

    def stop_timer(self) -> None:
        """Cancels the timer."""
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def quiet(self) -> None:
        """Has a request sent beside the watch, unless a list is arriving, and waits on for a line."""
        self.start_timer(LINE_TIMEOUT * (1 - QUIET_SHARE))
        if not self.incomplete_since:
            self.discovery.request_beside(self)

    def timed_out(self) -> None:
        """Reports the next line as overdue, unless a long list is still arriving at the minimum rate."""
        transfer_time = self.first_list_timeout + self.incomplete_bytes / MIN_TRANSFER_RATE
        remaining = self.incomplete_since + transfer_time - self.discovery.proxy.clock.now()
        if self.incomplete_since and remaining > 0:
            self.start_timer(remaining)
        else:
            self.discovery.answer_overdue(self)

    def opened(self) -> None:
        """Starts the timer for the first line, as the watch has received its first byte."""
        self.first_byte_at = self.discovery.proxy.clock.now()
        deadline = self.request.requested_at + RESPONSE_TIMEOUT
        self.start_timer(max(0.0, deadline - self.discovery.proxy.clock.now()))

    def close(self) -> None:
        """Closes the connection."""
        self.stop_timer()
        if self.transport is not None:
            self.transport.loseConnection()

    def is_in_use(self) -> bool:
        """Returns whether this is the watch of discovery, or may become it."""
        return self.discovery.watch is self or self.request in self.discovery.requests

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Tracks the start and the size of an incomplete line or list."""
        if not self.is_in_use():
            self.close()
            return
        if self.discovery.watch is not self and self.first_byte_at is None:
            self.discovery.answer_begun(self)
        if not self.incomplete_since:
            self.incomplete_since = self.discovery.proxy.clock.now()
        self.incomplete_bytes += len(data)
        super().dataReceived(data)
        if not (self.lines or self._buffer):
            self.incomplete_since = 0.0
            self.incomplete_bytes = 0

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Collects the lines of a list; an empty line between two lists is a heartbeat."""
        if not self.is_in_use():
            return
        if not line.strip() and not self.lines:
            if self.discovery.watch is not self:
                self.discovery.open_watch(self)
            self.line_completed()
            self.discovery.heartbeat_received()
            return
        try:
            text = self.lines.add(line)
        except MalformedListError as error:
            self.discovery.watch_failed(str(error), self)
            return
        if text is not None:
            self.list_completed(text)

    def list_completed(self, text: bytes) -> None:
        """Passes a complete list on, or fails the watch if the list is malformed."""
        try:
            encoded = json.loads(text)
            if self.discovery.watch is self:
                self.discovery.list_received(encoded)
            else:
                self.discovery.first_list_received(encoded, self)
        except (ValueError, RecursionError) as error:
            self.discovery.watch_failed(f"garbled: {error}", self)
        else:
            self.line_completed()

    def line_completed(self) -> None:
        """Restarts the timer after a complete list or heartbeat."""
        self.first_list_timeout = 0.0
        self.start_timer(LINE_TIMEOUT * QUIET_SHARE, self.quiet)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802, ARG002
        """Fails the watch."""
        self.discovery.watch_failed("overlong line", self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, ARG002
        """Fails the watch, as the response has ended."""
        self.stop_timer()
        self.discovery.watch_failed("ended", self)


class Discovery:
    """Follows the endpoint list of the platform, and reports failures to the proxy."""

    def __init__(self, proxy: Proxy, address: Address) -> None:
        self.proxy = proxy
        self.service = DiscoveryService(address, MAX_KEPT_TIME)
        self.versions = ListVersions()
        self.failure_reported = False  # and no list was received since
        self.is_slow = False  # the last answer, or its first list, was overdue
        self.requests = PendingRequests(proxy.clock, self.retry)
        self.watch: Watch | None = None

    @property
    def address(self) -> Address:
        """The address of discovery."""
        return self.service.address

    @property
    def version(self) -> int | None:
        """The version received from the current address; None: the full list is requested."""
        return self.versions.received

    @property
    def newest_version(self) -> int:
        """The version of the applied list, whichever address it came from."""
        return self.versions.newest

    def change_address(self, address: Address) -> None:
        """Follows discovery at another address from now on; the applied list stays in use.

        Requests the full list: version numbers may differ between the two addresses, and a change that was
        missed in between would otherwise never be received.
        """
        self.stop()
        self.service = DiscoveryService(address, MAX_KEPT_TIME)
        self.versions.address_changed(self.proxy.clock.now())
        self.ensure_watching()

    def stop(self) -> None:
        """Closes the watch and cancels all requests."""
        self.close_watch()
        self.requests.cancel_all()

    def close_watch(self) -> None:
        """Closes the watch, if there is one."""
        watch = self.watch
        self.watch = None
        self.versions.discard_deferred()
        if watch is not None:
            watch.close()

    def apply_initial_list(self, encoded: Any, origin: Address | None = None) -> None:
        """Applies a list that this proxy had before; `origin` is the address that it was received from.

        If that is another address, its version may not be valid here, so the full list is requested next.
        """
        known = decode_list(encoded)
        if not known.endpoints:
            address = ":".join(map(str, self.address))
            self.proxy.log(f"discovery: no server is known; not ready until {address} has sent a list")
        self.versions.list_known(known.version, is_from_here=origin in (None, self.address))
        self.proxy.endpoints_received(known.endpoints, known.addresses, True)

    def ensure_watching(self) -> None:
        """Requests a watch, unless one is open, a request is not overdue, or enough are being answered."""
        if self.watch is None and self.requests.may_add():
            self.send_request()

    def request_beside(self, watch: Watch) -> None:
        """Sends a request beside an open watch that may have fallen silent; the first answered stays."""
        if watch is self.watch and not (self.versions.is_deferring or self.requests):
            self.send_request()

    def send_request(self) -> None:
        """Requests a watch, even if another request is pending."""
        clock = self.proxy.clock
        response = self.service.request_watch(self.version)
        request = WatchRequest(clock.now(), self.version, response)
        self.requests.add(request)
        hedge_after = max(RETRY_DELAY, HEDGE_SHARE * self.proxy.settings.drain_grace)
        if hedge_after < RESPONSE_TIMEOUT:
            clock.call_later(hedge_after, self.hedge, request)
        response.addCallbacks(
            self.response_received, self.request_failed, callbackArgs=(request,), errbackArgs=(request,)
        )

    def hedge(self, request: WatchRequest) -> None:
        """Sends a second request if the first is still pending, as discovery may have been down for it."""
        if request in self.requests and self.watch is None and not self.requests.is_list_due():
            self.send_request()

    def response_received(self, response: Any, request: WatchRequest) -> None:
        """Waits for the body of a response; any status but 200 fails the request."""
        if request not in self.requests:
            request.stop_timer()
            response.deliverBody(DiscardedBody())
            return
        if response.code != HTTP_OK:
            response.deliverBody(DiscardedBody())
            self.request_failed(f"status {response.code}", request)
            return
        request.watch = Watch(self, request)
        response.deliverBody(request.watch)

    def answer_begun(self, watch: Watch) -> None:
        """Gives the answer to a pending request time for its first list, as its first byte was received."""
        self.requests.answer_begun(watch.request)
        watch.opened()

    def answer_overdue(self, watch: Watch) -> None:
        """Has another request sent beside an answer whose next line is overdue, and keeps the answer open."""
        if watch is self.watch and self.versions.is_deferring:
            self.watch_failed("silent", watch)
            return
        if watch is self.watch:
            self.watch = None
            self.requests.keep_silent_watch(watch.request, MAX_ANSWER_TIME - LINE_TIMEOUT)
        watch.request.is_overdue = True
        self.retry("silent")

    def open_watch(self, watch: Watch) -> None:
        """Makes an answer with a complete line the watch, in place of the one before and all requests."""
        if watch.first_list_timeout:
            self.report_response_time(watch)
        self.requests.take(watch.request)
        self.requests.cancel_all()
        quiet_watch = self.watch
        self.watch = watch
        if quiet_watch is not None:
            quiet_watch.close()

    def report_response_time(self, watch: Watch) -> None:
        """Logs when discovery becomes slow, and when it is no longer so; called after a first line."""
        now = self.proxy.clock.now()
        first_byte_at = now if watch.first_byte_at is None else watch.first_byte_at
        response_time = first_byte_at - watch.request.requested_at
        list_time = now - first_byte_at
        slowness = ""
        if response_time > RESPONSE_TIMEOUT:
            slowness = f"{response_time:.1f} s to the first byte of an answer"
        elif list_time > FIRST_LIST_TIMEOUT + watch.incomplete_bytes / MIN_TRANSFER_RATE:
            slowness = f"{list_time:.1f} s from the first byte of a list to its last"
        if slowness and not self.is_slow:
            self.proxy.log(f"discovery: slow: {slowness}")
        elif self.is_slow and not slowness:
            self.proxy.log(f"discovery: answers within {RESPONSE_TIMEOUT} s again")
        self.is_slow = bool(slowness)

    def request_failed(self, reason: Failure | str, request: WatchRequest) -> None:
        """Schedules a retry, unless this request was cancelled."""
        request.stop_timer()
        if request in self.requests:
            self.requests.take(request)
            self.retry(reason if isinstance(reason, str) else type(reason.value).__name__)

    def retry(self, reason: str) -> None:
        """Schedules the next request after a short delay, unless a watch is open.

        The proxy is held to changes that the local agent has, and soon to those that a silent watch misses.
        The longer pause that protects a central service of a whole fleet is therefore not used here.
        """
        if self.watch is not None:
            return
        # Scheduled first, as an exception in the report would otherwise end the watching for good.
        self.proxy.clock.call_later(RETRY_DELAY, self.ensure_watching)
        self.report_failure(reason)

    def report_failure(self, reason: str) -> None:
        """Reports a failure, unless one was reported since the last list or the address has just changed."""
        if not self.failure_reported and not self.versions.is_catching_up(self.proxy.clock.now()):
            self.failure_reported = True
            self.proxy.endpoint_list_failed(reason)

    def watch_failed(self, reason: str, watch: Watch) -> None:
        """Closes a watch, or an answer that might have become it, and schedules a retry."""
        if watch is self.watch:
            self.close_watch()
        elif watch.request in self.requests:
            self.requests.give_up(watch.request)
        else:
            return
        self.requests.give_up_other_versions(self.version)
        self.retry(reason)

    def first_list_received(self, encoded: Any, watch: Watch) -> None:
        """Applies the first list of an answer, which is the watch from now on. Raises MalformedListError."""
        update = decode_list(encoded)
        self.versions.check_order(update)
        self.open_watch(watch)
        self.update_received(update)

    def list_received(self, encoded: Any) -> None:
        """Applies a list of the watch. Raises MalformedListError."""
        update = decode_list(encoded)
        self.versions.check_order(update)
        self.requests.cancel_all()
        self.update_received(update)

    def update_received(self, update: EndpointList) -> None:
        """Applies a full list or changes, or defers an outdated list."""
        self.failure_reported = False
        was_deferring = self.versions.is_deferring
        accepted = self.versions.accept(self.proxy.clock.now(), update)
        if self.versions.is_deferring and not was_deferring:
            wait = self.versions.catch_up_ends_at - self.proxy.clock.now()
            self.proxy.clock.call_later(wait, self.catch_up_expired, self.watch)
        if accepted is not None:
            self.proxy.endpoints_received(accepted.endpoints, accepted.addresses, accepted.is_whole)
            self.proxy.endpoint_list_confirmed()

    def heartbeat_received(self) -> None:
        """Reports that the applied list is current, unless a full list is awaited or deferred."""
        self.requests.cancel_all()
        if self.version is not None and not self.versions.is_deferring:
            self.proxy.endpoint_list_confirmed()

    def catch_up_expired(self, watch: Watch) -> None:
        """Requests the full list again after the time to catch up; it is applied whatever its version."""
        if watch is self.watch and self.versions.is_deferring:
            self.close_watch()
            self.ensure_watching()
