"""Translates the health that Consul reports into changes of the endpoint list. Free of I/O and wall time.

Consul's health checks cover more than a running process, but reports flap and lag, and can be wrong for many
servers at once:

- **Maintenance** drains a server immediately, whichever agent reports it, and is never damped. Only a fresh
  answer ends the drain, and until `CATCH_UP_TIME` has passed, only one with the same index or a newer one.
- **Absence** removes a server immediately. It is uncertain within the settle time after a failure, a change
  of agent or an index that went back: then the server gets no new requests, and is removed once the absence
  has lasted for the settle time.
- **Critical** drains a server after the settle time. To become ready again, the server must pass for the
  recovery time, which doubles with each flap.
- **Too many unhealthy servers** (critical, or absent and uncertain) are not believed: if the share of healthy
  servers in a zone or in all zones is too low, the group is frozen, i.e. its last good set stays in use, and
  this is logged. The outcomes of connections still count in the decisions. A certain absence never counts as
  unhealthy, however many servers are absent.
- **Outdated answers** (index behind the newest one, no leader, or too long without contact to it) may only
  add drains.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from brambleplank.backoff import exponential_backoff
from brambleplank.model import Address, Endpoint, EndpointStatus

MIN_GROUP_SIZE = 3  # servers; smaller groups are never frozen, as one server says nothing about the others
CATCH_UP_TIME = 2.5  # seconds that a lagging agent has to catch up; after that its lower index is accepted


class HealthStatus(Enum):
    """The health that Consul reports for a server."""

    PASSING = "passing"
    WARNING = "warning"
    CRITICAL = "critical"
    MAINTENANCE = "maintenance"
    ABSENT = "absent"


HEALTHY = (HealthStatus.PASSING, HealthStatus.WARNING)


@dataclass(frozen=True)
class HealthSettings:
    """How health reports are damped; times are in seconds."""

    settle_time: float = 1.0  # how long critical or an uncertain absence must last before it takes effect
    recovery_time: float = 1.0  # how long passing must last after a flap; doubles with each further flap
    max_recovery_time: float = 30.0  # upper bound of the doubled recovery time
    flap_memory: float = 60.0  # flaps are forgotten if the last one is longer ago
    min_healthy_share: float = 0.5  # below it a group is frozen
    max_staleness: float = 5.0  # since the agent's last contact to the leader; older answers are outdated
    max_frozen_time: float = 60.0  # how long uncertainly absent servers of a frozen group stay in use


@dataclass(frozen=True)
class Instance:
    """One server, as decoded from an answer."""

    id: str
    address: Address
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started: float = 0.0
    status: HealthStatus = HealthStatus.PASSING


@dataclass(frozen=True)
class QueryMetadata:
    """The metadata of an answer; times are in seconds."""

    agent: int  # number of the agent that answered
    index: int
    known_leader: bool = True
    last_contact: float = 0.0
    filtered_by_acls: bool = False  # the token's ACLs hide some of the servers
    after_failure: bool = False  # the query before it failed


@dataclass(frozen=True)
class Change:
    """A change of one endpoint, with its cause for the log."""

    endpoint: Endpoint
    address: Address
    cause: str  # the reported health
    reported_at: float  # when it was first reported


class HealthGroup:
    """The servers of a service in one zone or in all zones, with a count of the unhealthy ones."""

    def __init__(self, zone: str) -> None:
        self.zone = zone  # empty: all zones
        self.records: dict[ServerRecord, None] = {}
        self.unhealthy = 0
        self.is_frozen = False  # the last good set stays in use

    def has_too_few_healthy(self, min_share: float) -> bool:
        """Whether too few are healthy to act on it: one faulty check could empty a zone that serves well."""
        size = len(self.records)
        return size >= MIN_GROUP_SIZE and size - self.unhealthy < min_share * size


class ServerRecord:
    """One server: what Consul reported, and what the proxy was notified of."""

    def __init__(self, service: str, instance: Instance, now: float) -> None:
        self.service = service
        self.instance = instance
        self.health = HealthRecord(instance.status, now)
        self.notified: tuple[Endpoint, Address] | None = None
        self.flaps = 0
        self.flapped_at = -inf
        self.drain_index = 0  # newest index of an answer that reported maintenance
        self.groups: list[HealthGroup] = []
        self.counted_unhealthy = False  # its groups count it as unhealthy

    @property
    def status(self) -> EndpointStatus | None:
        """The status that the proxy was notified of last; None before the first notification."""
        return self.notified[0].status if self.notified else None

    @property
    def is_frozen(self) -> bool:
        """Whether any of its groups is frozen, so that its last status stays in use."""
        return any(group.is_frozen for group in self.groups)


class HealthRecord:
    """The reported health of a server, and since when."""

    def __init__(self, status: HealthStatus, now: float) -> None:
        self.status = status
        self.previous = status
        self.since = now
        self.absence_uncertain = False  # reported after a failure or another disruption

    def update(self, status: HealthStatus, now: float) -> None:
        """Records a new status."""
        self.previous = self.status
        self.status = status
        self.since = now

    @property
    def is_unhealthy(self) -> bool:
        """Whether the server counts as unhealthy in its groups."""
        return self.status is HealthStatus.CRITICAL or (
            self.status is HealthStatus.ABSENT and self.absence_uncertain
        )


class ServiceProgress:
    """The state of the answers about one service."""

    def __init__(self) -> None:
        self.agent = -1
        self.newest_index = 0
        self.behind_since: float | None = None  # when answers fell behind the newest index
        self.disrupted_at = -inf  # last failure, change of agent, or index that went back
        self.records: dict[str, ServerRecord] = {}

    def accept(self, now: float, metadata: QueryMetadata, max_staleness: float) -> bool:
        """Records the metadata of an answer and returns whether it is fresh; others may only add drains."""
        is_fresh = metadata.known_leader and metadata.last_contact <= max_staleness
        if metadata.index < self.newest_index:
            # Another agent, or a restored one, may lag behind, and its answer would undo known drains. If it
            # stays behind for `CATCH_UP_TIME`, its indexes are independent of the old ones: accept them.
            if self.behind_since is None:
                self.behind_since = now
            is_fresh = is_fresh and now >= self.behind_since + CATCH_UP_TIME
        if is_fresh:
            if metadata.after_failure or metadata.agent != self.agent or metadata.index < self.newest_index:
                self.disrupted_at = now
            self.agent = metadata.agent
            self.newest_index = metadata.index
            self.behind_since = None
        return is_fresh


class Catalog:
    """Collects all reports, and derives the changes that the proxy must be notified of."""

    def __init__(self, settings: HealthSettings) -> None:
        self.settings = settings
        self.services: dict[str, ServiceProgress] = {}
        self.unsettled: dict[ServerRecord, None] = {}  # to be evaluated at the next tick
        self.groups: dict[str, HealthGroup] = {}
        self.log_lines: list[str] = []  # for operators

    def take_log_lines(self) -> list[str]:
        """Returns the log lines added since the last call, and clears them."""
        lines = self.log_lines
        self.log_lines = []
        return lines

    # Reports.

    def answer_received(
        self, now: float, name: str, instances: list[Instance], metadata: QueryMetadata
    ) -> bool:
        """Applies an answer about a service.

        Returns False if the answer is outdated: then only its drains were applied, and the query should be
        repeated soon.
        """
        service = self.services.setdefault(name, ServiceProgress())
        is_fresh = service.accept(now, metadata, self.settings.max_staleness)
        for instance in instances:
            record = service.records.get(instance.id)
            if record is None:
                if is_fresh:
                    self.add(now, name, instance, metadata)
            elif record.instance is not instance or instance.status is not record.health.status:
                self.update(now, record, instance, metadata, is_fresh)
            elif instance.status is HealthStatus.MAINTENANCE:
                record.drain_index = max(record.drain_index, metadata.index)
        # Servers that the token's ACLs hide would look deregistered.
        if is_fresh and not metadata.filtered_by_acls:
            self.mark_absent(now, service, {instance.id for instance in instances})
        return is_fresh

    def add(self, now: float, name: str, instance: Instance, metadata: QueryMetadata) -> None:
        """Adds a new server."""
        record = ServerRecord(name, instance, now)
        self.services[name].records[instance.id] = record
        self.join_groups(record)
        if instance.status is HealthStatus.MAINTENANCE:
            record.drain_index = metadata.index

    def update(
        self, now: float, record: ServerRecord, instance: Instance, metadata: QueryMetadata, is_fresh: bool
    ) -> None:
        """Updates the health, address, size or zone of a known server."""
        health = record.health
        if instance.status is HealthStatus.MAINTENANCE:
            record.drain_index = max(record.drain_index, metadata.index)
        elif not is_fresh or (
            health.status is HealthStatus.MAINTENANCE
            and metadata.index < record.drain_index
            and now < health.since + CATCH_UP_TIME
        ):
            return  # an older report must not end a drain or undo a newer report
        if is_fresh and instance != record.instance:
            has_moved = instance.zone != record.instance.zone
            if has_moved:
                self.leave_groups(record)
            record.instance = instance
            if has_moved:
                self.join_groups(record)
            self.unsettled[record] = None
        if instance.status is not health.status:
            self.change_health(now, record, instance.status)

    def mark_absent(self, now: float, service: ServiceProgress, present: set[str]) -> None:
        """Marks the servers that are missing from a fresh answer as absent."""
        if len(present) >= len(service.records):
            return
        for server_id, record in list(service.records.items()):
            if server_id not in present and record.health.status is not HealthStatus.ABSENT:
                record.health.absence_uncertain = now < service.disrupted_at + self.settings.settle_time
                self.change_health(now, record, HealthStatus.ABSENT)

    def change_health(self, now: float, record: ServerRecord, status: HealthStatus) -> None:
        """Records a new health status of a server."""
        record.health.update(status, now)
        self.unsettled[record] = None
        self.count_unhealthy(record)

    # Groups.

    def join_groups(self, record: ServerRecord) -> None:
        """Adds a server to the group of its service, and to the one of its zone in that service."""
        zone = record.instance.zone
        for name in ("", zone) if zone else ("",):
            group = self.groups.setdefault(f"{record.service} {name}".strip(), HealthGroup(name))
            group.records[record] = None
            record.groups.append(group)
        record.counted_unhealthy = False
        self.unsettled[record] = None
        self.count_unhealthy(record)

    def leave_groups(self, record: ServerRecord) -> None:
        """Removes a server from its groups."""
        for group in record.groups:
            del group.records[record]
            group.unhealthy -= record.counted_unhealthy
            self.update_frozen(group)
        record.groups = []
        record.counted_unhealthy = False

    def count_unhealthy(self, record: ServerRecord) -> None:
        """Updates the unhealthy counts of a server's groups after a change of its health."""
        is_unhealthy = record.health.is_unhealthy
        for group in record.groups:
            group.unhealthy += is_unhealthy - record.counted_unhealthy
        record.counted_unhealthy = is_unhealthy

    def update_frozen(self, group: HealthGroup) -> None:
        """Freezes or unfreezes a group; a change makes its unhealthy servers unsettled."""
        is_frozen = group.has_too_few_healthy(self.settings.min_healthy_share)
        if is_frozen == group.is_frozen:
            return
        group.is_frozen = is_frozen
        where = f"zone {group.zone}" if group.zone else "all zones"
        healthy = len(group.records) - group.unhealthy
        self.log_lines.append(
            f"consul: {where}: {healthy} of {len(group.records)} healthy: "
            + ("last good set stays in use" if is_frozen else "health reports applied again")
        )
        for record in group.records:
            if record.health.is_unhealthy:
                self.unsettled[record] = None

    # Changes.

    def changes(self, now: float) -> list[Change]:
        """Returns the changes that are due; called once per tick. Only unsettled servers cost time."""
        for group in {group: None for record in self.unsettled for group in record.groups}:
            self.update_frozen(group)
        found = []
        for record in list(self.unsettled):
            status, unsettled_until = self.status_at(now, record)
            if unsettled_until <= now:
                del self.unsettled[record]
            change = self.change(now, record, status)
            if change:
                found.append(change)
            if status is EndpointStatus.REMOVED:
                self.remove(record)
        return found

    def remove(self, record: ServerRecord) -> None:
        """Removes a server."""
        self.leave_groups(record)
        self.unsettled.pop(record, None)
        self.services[record.service].records.pop(record.instance.id, None)

    def status_at(self, now: float, record: ServerRecord) -> tuple[EndpointStatus, float]:
        """Returns the status of a server, and when that has to be evaluated again.

        A time that is not after `now` means that the status is settled until the next report.
        """
        health = record.health.status
        if health is HealthStatus.MAINTENANCE:
            return EndpointStatus.DRAINING, now
        if health in HEALTHY:
            return self.healthy_status(now, record)
        if health is HealthStatus.ABSENT:
            return self.absent_status(now, record)
        return self.critical_status(now, record)

    def healthy_status(self, now: float, record: ServerRecord) -> tuple[EndpointStatus, float]:
        """Implements `status_at`: after flaps, a server must pass for the recovery time to become ready."""
        health = record.health
        is_drained = record.status is EndpointStatus.DRAINING
        if not is_drained or health.previous is HealthStatus.MAINTENANCE or not record.flaps:
            return EndpointStatus.READY, now
        settings = self.settings
        recovery_time = exponential_backoff(
            settings.recovery_time, 2.0, record.flaps - 1, settings.max_recovery_time
        )
        ready_at = health.since + recovery_time
        return (EndpointStatus.READY, now) if now >= ready_at else (EndpointStatus.DRAINING, ready_at)

    def absent_status(self, now: float, record: ServerRecord) -> tuple[EndpointStatus, float]:
        """Implements `status_at`: an uncertain absence must last before the server is removed."""
        health = record.health
        if not health.absence_uncertain:
            return EndpointStatus.REMOVED, now
        removed_at = health.since + (
            self.settings.max_frozen_time if record.is_frozen else self.settings.settle_time
        )
        if now >= removed_at:
            return EndpointStatus.REMOVED, now
        if record.is_frozen:
            return record.status or EndpointStatus.READY, removed_at
        # If the server is really gone, it must not get requests until the absence is certain.
        return EndpointStatus.DRAINING, removed_at

    def critical_status(self, now: float, record: ServerRecord) -> tuple[EndpointStatus, float]:
        """Implements `status_at`: critical must last before a known server drains."""
        if record.is_frozen:
            return record.status or EndpointStatus.READY, now
        if record.status is None:
            return EndpointStatus.DRAINING, now
        drained_at = record.health.since + self.settings.settle_time
        return (EndpointStatus.DRAINING, now) if now >= drained_at else (record.status, drained_at)

    def change(self, now: float, record: ServerRecord, status: EndpointStatus) -> Change | None:
        """Returns the change to notify the proxy of; None if nothing differs from the last notification."""
        instance = record.instance
        endpoint = Endpoint(
            instance.id, instance.zone, instance.cell, status, instance.size, instance.started
        )
        if record.notified == (endpoint, instance.address):
            return None
        if record.notified is None and status is EndpointStatus.REMOVED:
            return None
        if status is EndpointStatus.DRAINING and record.health.status is HealthStatus.CRITICAL:
            self.count_flap(now, record)
        record.notified = endpoint, instance.address
        return Change(endpoint, instance.address, record.health.status.value, record.health.since)

    def count_flap(self, now: float, record: ServerRecord) -> None:
        """Counts a flap when a ready server drains because it is critical."""
        if record.status is not EndpointStatus.READY:
            return
        if now > record.flapped_at + self.settings.flap_memory:
            record.flaps = 0
        record.flaps += 1
        record.flapped_at = now
