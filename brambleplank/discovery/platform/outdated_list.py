"""A list from a new discovery address that is older than the applied one. Free of I/O."""

from __future__ import annotations

from brambleplank.discovery.platform.endpoint_list import EndpointList
from brambleplank.model import Address, Endpoint, EndpointStatus


class OutdatedList:
    """A list from a new address that is older than the applied one, with later changes to it merged."""

    def __init__(self) -> None:
        self.endpoints: dict[str, tuple[Endpoint, Address]] = {}

    def apply(self, update: EndpointList) -> None:
        """Merges changes, or replaces everything by a full list."""
        if update.is_whole:
            self.endpoints = {}
        for endpoint in update.endpoints:
            self.endpoints[endpoint.id] = endpoint, update.addresses[endpoint.id]

    def as_list(self, version: int) -> EndpointList:
        """Returns the merged list as a full list, without removed servers."""
        listed = [
            (endpoint, address)
            for endpoint, address in self.endpoints.values()
            if endpoint.status is not EndpointStatus.REMOVED
        ]
        addresses = {endpoint.id: address for endpoint, address in listed}
        return EndpointList(version, True, [endpoint for endpoint, _ in listed], addresses)
