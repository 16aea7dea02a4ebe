"""Connections of the HTTP client to numeric addresses."""

from __future__ import annotations

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from brambleplank.net.loop import reactor


@implementer(IAgentEndpointFactory)
class DirectEndpointFactory:
    """Creates endpoints for numeric addresses, without name resolution and the threads that it uses."""

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout  # connect timeout in seconds

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:  # noqa: N802
        """Returns the endpoint of a URI whose host is an IPv4 address."""
        return TCP4ClientEndpoint(reactor, uri.host.decode().strip("[]"), uri.port, timeout=self.timeout)
