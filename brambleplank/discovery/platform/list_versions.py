"""The versions of the lists that were received, and their order. Free of I/O and of clocks."""

from __future__ import annotations

from math import inf

from brambleplank.discovery.platform.endpoint_list import EndpointList, MalformedListError
from brambleplank.discovery.platform.outdated_list import OutdatedList

CATCH_UP_TIME = 2.5  # seconds for which discovery at a new address may serve an outdated list


class ListVersions:
    """Decides which lists are applied: each follows the one before, and none from a new address is outdated.

    If an outdated list were applied, servers that are known to drain would become ready again. It is deferred
    until its version reaches the applied one, or until `CATCH_UP_TIME` has passed: then versions at the new
    address are taken to be independent of the old ones. All times are those of the caller's clock.
    """

    def __init__(self) -> None:
        self.received: int | None = None  # from the current address; None: the full list is needed
        self.newest = 0  # of the applied list, whichever address it came from
        self._outdated: OutdatedList | None = None
        self._address_changed_at = -inf

    @property
    def is_deferring(self) -> bool:
        """Whether a list is deferred."""
        return self._outdated is not None

    @property
    def catch_up_ends_at(self) -> float:
        """When a new address has had the time to catch up; minus infinity: the address has not changed."""
        return self._address_changed_at + CATCH_UP_TIME

    def list_known(self, version: int, is_from_here: bool) -> None:
        """Records the version of a list that was applied before; `is_from_here`: of the current address."""
        self.newest = version
        self.received = version if is_from_here else None

    def is_catching_up(self, now: float) -> bool:
        """Returns whether discovery at a new address may still serve an older list than the applied one."""
        return now < self.catch_up_ends_at

    def address_changed(self, now: float) -> None:
        """Records that lists come from another address, whose versions may differ."""
        self.received = None
        self._address_changed_at = now

    def discard_deferred(self) -> None:
        """Discards a deferred list, and has the full list requested: changes since it would skip it."""
        if self._outdated is not None:
            self._outdated = None
            self.received = None

    def check_order(self, update: EndpointList) -> None:
        """Raises MalformedListError for changes that do not follow the list received before."""
        if update.is_whole:
            return
        if self.received is not None and update.version < self.received:
            self.received = None
            raise MalformedListError(f"version went back to {update.version}")
        if self.received is None and self._outdated is None:
            raise MalformedListError("changes without a full list before them")

    def accept(self, now: float, update: EndpointList) -> EndpointList | None:
        """Returns the list to be applied for an update in order; None if the update is deferred."""
        self.received = update.version
        is_behind = update.version < self.newest and self.is_catching_up(now)
        if is_behind and self._outdated is None:
            self._outdated = OutdatedList()
        if self._outdated is not None:
            self._outdated.apply(update)
            if is_behind:
                return None
            update = self._outdated.as_list(update.version)
            self._outdated = None
        self.newest = update.version
        return update
