"""The requests for a watch that are pending, and how long each of them stays open.

A request that is overdue stays open beside those that are sent after it, as it may still be answered first;
each ends at a bound in number or age.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from brambleplank.discovery.platform.watch_requests import WatchRequest
from brambleplank.net.clock import Clock

RESPONSE_TIMEOUT = 0.4  # seconds from a request to the first byte, after which another request is sent
MAX_RESPONSE_TIME = 3.5  # seconds from a request to the first byte, after which it is given up
MAX_ANSWER_TIME = 6.0  # seconds from the first byte to the first list, or between two lines, likewise
MAX_KEPT_TIME = 60.0  # seconds after which the one request that is kept longer is given up
MAX_ANSWERING = 4  # answers that may be incomplete at the same time
OVERDUE_SPACING = 0.9  # seconds between two requests that stay open after RESPONSE_TIMEOUT


class PendingRequests:
    """The pending requests; reports each that is overdue or given up, so that another one is sent."""

    def __init__(self, clock: Clock, failed: Callable[[str], None]) -> None:
        """`failed` is called with the reason."""
        self._clock = clock
        self._failed = failed
        self._requests: list[WatchRequest] = []

    def __contains__(self, request: WatchRequest) -> bool:
        """Returns whether a request is pending."""
        return request in self._requests

    def __iter__(self) -> Iterator[WatchRequest]:
        """Yields the pending requests."""
        return iter(self._requests)

    def __len__(self) -> int:
        """Returns the number of pending requests."""
        return len(self._requests)

    def may_add(self) -> bool:
        """Returns whether another request may be sent: all are overdue, and not too many are answered."""
        is_each_overdue = all(request.is_overdue for request in self._requests)
        return is_each_overdue and sum(request.is_answering() for request in self._requests) < MAX_ANSWERING

    def is_list_due(self) -> bool:
        """Returns whether the list of an answer is arriving and is not overdue."""
        return any(request.is_answering() and not request.is_overdue for request in self._requests)

    def add(self, request: WatchRequest) -> None:
        """Adds a request that was just sent."""
        request.timer = self._clock.call_after_reads(RESPONSE_TIMEOUT, self._overdue, request)
        self._requests.append(request)

    def keep_silent_watch(self, request: WatchRequest, remaining: float) -> None:
        """Adds the request of a watch that has fallen silent, for some seconds."""
        request.timer = self._clock.call_after_reads(remaining, self._expire, request)
        self._requests.append(request)

    def take(self, request: WatchRequest) -> None:
        """Removes a request that has failed, or whose answer is the watch from now on."""
        request.stop_timer()
        request.is_overdue = False
        request.is_kept_longer = False
        self._requests.remove(request)

    def answer_begun(self, request: WatchRequest) -> None:
        """Gives a request time for its first list, as the first byte of its answer was received."""
        request.stop_timer()
        request.is_overdue = False
        request.timer = self._clock.call_after_reads(MAX_ANSWER_TIME, self._expire, request)

    def give_up(self, request: WatchRequest) -> None:
        """Closes a request whose answer has not begun, or has no complete line."""
        self._requests.remove(request)
        request.cancel()

    def give_up_other_versions(self, version: int | None) -> None:
        """Closes the requests for changes that would not follow the list of this version."""
        for request in [each for each in self._requests if each.version != version]:
            self.give_up(request)

    def cancel_all(self) -> None:
        """Closes all requests."""
        requests = self._requests
        self._requests = []
        for request in requests:
            request.cancel()

    def _overdue(self, request: WatchRequest) -> None:
        """Has another request sent, and keeps this one open unless one just before it is kept.

        Requests that were sent while discovery was down are never answered, so more than one stays open.
        """
        request.is_overdue = True
        if any(
            other.is_overdue and request.requested_at < other.requested_at + OVERDUE_SPACING
            for other in self._requests
            if other is not request and not other.is_answering()
        ):
            self.give_up(request)
        else:
            remaining = MAX_RESPONSE_TIME - RESPONSE_TIMEOUT
            request.timer = self._clock.call_after_reads(remaining, self._expire, request)
        self._failed("silent")

    def _expire(self, request: WatchRequest) -> None:
        """Gives a request up, unless it is kept longer.

        Of the requests that are being answered, and of the others, one each is kept longer: if all were given
        up at the same age, discovery that needs more than that for each would never be heard.
        """
        is_answering = request.is_answering()
        if request.is_kept_longer or any(
            other.is_kept_longer and other.is_answering() == is_answering for other in self._requests
        ):
            self.give_up(request)
            self._failed("silent")
            return
        request.is_kept_longer = True
        age = self._clock.now() - request.requested_at
        request.timer = self._clock.call_after_reads(MAX_KEPT_TIME - age, self._expire, request)
