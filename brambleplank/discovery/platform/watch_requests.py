"""Requests for a watch to the HTTP service of discovery."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet import defer, protocol
from twisted.web.client import Agent

from brambleplank.model import Address
from brambleplank.net.clock import CallAfterReads
from brambleplank.net.direct_connections import DirectEndpointFactory
from brambleplank.net.loop import reactor


class OpenBody(Protocol):
    """The body of a response, as far as its request uses it."""

    incomplete_since: float  # when an incomplete line or list began; 0: none

    def close(self) -> None:
        """Closes the connection."""


class DiscardedBody(protocol.Protocol):
    """Discards the body of a response that is not used."""

    transport: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Closes the connection."""
        self.transport.loseConnection()


class DiscoveryService:
    """The HTTP service of discovery at one address."""

    def __init__(self, address: Address, connect_timeout: float) -> None:
        """`connect_timeout` is in seconds."""
        self.address = address
        self.agent = Agent.usingEndpointFactory(reactor, DirectEndpointFactory(connect_timeout))
        self.url = b"http://%s:%d/discovery/hosts?watch=1" % (address[0].encode(), address[1])

    def request_watch(self, version: int | None) -> defer.Deferred[Any]:
        """Requests changes since a version, or the full list if there is no version."""
        query = b"" if version is None else b"&from=%d" % version
        request: defer.Deferred[Any] = self.agent.request(b"GET", self.url + query)
        return request


class WatchRequest:
    """A request for a watch, which is pending until the first complete line of the response's body.

    A watch whose next line is overdue is pending again.
    """

    def __init__(self, requested_at: float, version: int | None, response: defer.Deferred[Any]) -> None:
        self.requested_at = requested_at
        self.version = version  # changes since this version were requested; None: the full list
        self.response = response
        self.is_overdue = False  # another request may be sent beside this one
        self.is_kept_longer = False  # the one of its kind that is kept until MAX_KEPT_TIME
        self.watch: OpenBody | None = None  # set once the head of the response was received
        self.timer: CallAfterReads | None = None  # for the first byte of the body, then for giving up

    def is_answering(self) -> bool:
        """Returns whether a line or list has begun to arrive and is not complete."""
        return self.watch is not None and self.watch.incomplete_since > 0

    def cancel(self) -> None:
        """Cancels the request."""
        self.stop_timer()
        if self.watch is None:
            self.response.cancel()
        else:
            self.watch.close()

    def stop_timer(self) -> None:
        """Cancels the timer."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
