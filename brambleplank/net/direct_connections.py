"""Connections of an HTTP client to numeric addresses."""

from __future__ import annotations

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from brambleplank.net.loop import reactor


@implementer(IAgentEndpointFactory)
class DirectEndpointFactory:
    """Makes endpoints of numeric addresses: no name is looked up, and no thread is started for it."""

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout  # seconds for a connection to come up

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:  # noqa: N802
        """Returns the endpoint of a URI whose host is an address."""
        return TCP4ClientEndpoint(reactor, uri.host.decode().strip("[]"), uri.port, timeout=self.timeout)
