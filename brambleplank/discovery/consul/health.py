"""What the health that Consul reports of a server means for the endpoint list. Free of I/O and of wall time.

Consul reports more than "a process runs", but reports flap, lag, and can be wrong of many servers at once:

- **Maintenance is a drain**, never damped, whichever agent reports it; only a fresh report of that index or
  a newer one lifts it.
- **Absence** removes a server at once. In an answer that follows a failure, a change of agent or an index
  that went back it is uncertain: nothing new goes there, and the server is removed once that has lasted.
- **Critical** ends new requests once it has lasted; passing has to last too, twice as long after each flap.
- **Too many at once** critical, or absent and uncertain, is evidence only: below a share of healthy servers,
  in a zone or over all, the last good set stays in use, and that is logged. What connections show still
  counts, in the decisions. A certain absence is no failure of health, however many servers it concerns.
- **Outdated answers** (behind the newest index, no leader, long without contact) may add drains only.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from brambleplank.backoff import exponential_backoff
from brambleplank.model import Address, Endpoint, EndpointStatus

MIN_GROUP_SIZE = 3  # servers; of fewer, one says nothing about the others
CATCH_UP_TIME = 2.5  # seconds in which an agent that is behind may catch up; then its index is believed


class HealthStatus(Enum):
    """The health that Consul reports of one server."""

    PASSING = "passing"
    WARNING = "warning"
    CRITICAL = "critical"
    MAINTENANCE = "maintenance"
    ABSENT = "absent"


HEALTHY = (HealthStatus.PASSING, HealthStatus.WARNING)


@dataclass(frozen=True)
class HealthSettings:
    """How reports are damped; all in seconds but the share of healthy servers."""

    settle_time: float = 1.0  # for so long critical must last before it counts
    recovery_time: float = 1.0  # for so long passing must last after that, doubled at each further flap
    max_recovery_time: float = 30.0  # at most so long
    flap_memory: float = 60.0  # a flap is forgotten after so long
    min_healthy_share: float = 0.5  # share of healthy servers below which the last good set stays in use
    max_staleness: float = 5.0  # without contact to the leader; beyond that an answer is outdated
    max_hold_time: float = 60.0  # for so long a set that is absent and uncertain as a whole stays in use


@dataclass(frozen=True)
class Instance:
    """One server, as an answer has it."""

    id: str
    address: Address
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started: float = 0.0
    status: HealthStatus = HealthStatus.PASSING


@dataclass(frozen=True)
class QueryMetadata:
    """What an answer says of itself; times in seconds."""

    agent: int  # the number of the agent that gave it
    index: int
    known_leader: bool = True
    last_contact: float = 0.0
    filtered_by_acls: bool = False  # whether the token hides some of it
    after_failure: bool = False  # whether it is the first after a failure


@dataclass(frozen=True)
class Change:
    """One change of the endpoint list, and its cause."""

    endpoint: Endpoint
    address: Address
    why: str  # the reported health
    learnt: float  # when that was reported


class HealthGroup:
    """The servers of a service in one zone, or in all: how many of them are healthy."""

    def __init__(self, zone: str) -> None:
        self.zone = zone  # empty: all zones
        self.records: dict[ServerRecord, None] = {}
        self.unhealthy = 0
        self.is_held = False  # whether the last good set stays in use

    def has_too_few_healthy(self, min_share: float) -> bool:
        """Whether too many are unhealthy at once: one broken check would empty a zone that serves well."""
        size = len(self.records)
        return size >= MIN_GROUP_SIZE and size - self.unhealthy < min_share * size


class ServerRecord:
    """One server: what was reported of it, and what the proxy was notified of."""

    def __init__(self, service: str, instance: Instance, now: float) -> None:
        self.service = service
        self.instance = instance
        self.health = HealthRecord(instance.status, now)
        self.notified: tuple[Endpoint, Address] | None = None
        self.flaps = 0
        self.flapped_at = -inf
        self.drained_index = 0  # of the answer that reported the drain
        self.groups: list[HealthGroup] = []
        self.is_counted = False  # whether its groups count it as unhealthy

    @property
    def status(self) -> EndpointStatus | None:
        """What the proxy was notified of, if anything."""
        return self.notified[0].status if self.notified else None

    @property
    def is_held(self) -> bool:
        """Whether its last good status stays, as too many others are unhealthy."""
        return any(group.is_held for group in self.groups)


class HealthRecord:
    """The reported health of one server."""

    def __init__(self, status: HealthStatus, now: float) -> None:
        self.status = status
        self.previous = status
        self.since = now
        self.absence_uncertain = False  # whether it was reported right after a failure

    def update(self, status: HealthStatus, now: float) -> None:
        """Records another health."""
        self.previous = self.status
        self.status = status
        self.since = now

    @property
    def is_unhealthy(self) -> bool:
        """Whether it counts against its groups."""
        return self.status is HealthStatus.CRITICAL or (
            self.status is HealthStatus.ABSENT and self.absence_uncertain
        )


class ServiceProgress:
    """How far the answers on one service have come."""

    def __init__(self) -> None:
        self.agent = -1
        self.newest_index = 0
        self.behind_since: float | None = None  # when answers began to be behind the newest index
        self.changed_at = -inf  # when answers failed, the agent changed, or its index went back
        self.records: dict[str, ServerRecord] = {}

    def accept(self, now: float, answer: QueryMetadata, max_staleness: float) -> bool:
        """Whether an answer is fresh; what is not may only add drains."""
        is_fresh = answer.known_leader and answer.last_contact <= max_staleness
        if answer.index < self.newest_index:
            # Another agent, or a restored one, may be behind; accepted as it is, it would bring back servers
            # that are known to drain. If it stays behind, its index counts otherwise, and is believed.
            if self.behind_since is None:
                self.behind_since = now
            is_fresh = is_fresh and now >= self.behind_since + CATCH_UP_TIME
        if is_fresh:
            if answer.after_failure or answer.agent != self.agent or answer.index < self.newest_index:
                self.changed_at = now
            self.agent = answer.agent
            self.newest_index = answer.index
            self.behind_since = None
        return is_fresh


class Catalog:
    """All that was reported, and what the proxy is to be notified of."""

    def __init__(self, settings: HealthSettings) -> None:
        self.settings = settings
        self.services: dict[str, ServiceProgress] = {}
        self.unsettled: dict[ServerRecord, None] = {}  # those whose status may have to change
        self.groups: dict[str, HealthGroup] = {}
        self.log_lines: list[str] = []  # for operators

    def take_log_lines(self) -> list[str]:
        """Returns the lines for operators since the last call."""
        lines = self.log_lines
        self.log_lines = []
        return lines

    # What answers report.

    def answer_received(
        self, now: float, name: str, instances: list[Instance], answer: QueryMetadata
    ) -> bool:
        """An answer on a service; False if it was outdated, and only its drains count: ask again soon."""
        service = self.services.setdefault(name, ServiceProgress())
        is_fresh = service.accept(now, answer, self.settings.max_staleness)
        for instance in instances:
            record = service.records.get(instance.id)
            if record is None:
                if is_fresh:
                    self.add(now, name, instance, answer)
            elif record.instance is not instance or instance.status is not record.health.status:
                self.update(now, record, instance, answer, is_fresh)
            elif instance.status is HealthStatus.MAINTENANCE:
                record.drained_index = max(record.drained_index, answer.index)
        # What a token with fewer rights does not see would look deregistered.
        if is_fresh and not answer.filtered_by_acls:
            self.note_absent(now, service, {instance.id for instance in instances})
        return is_fresh

    def add(self, now: float, name: str, instance: Instance, answer: QueryMetadata) -> None:
        """A server that is new."""
        record = ServerRecord(name, instance, now)
        self.services[name].records[instance.id] = record
        self.join_groups(record)
        if instance.status is HealthStatus.MAINTENANCE:
            record.drained_index = answer.index

    def update(
        self, now: float, record: ServerRecord, instance: Instance, answer: QueryMetadata, is_fresh: bool
    ) -> None:
        """Another health, address, size or zone of a known server."""
        health = record.health
        if instance.status is HealthStatus.MAINTENANCE:
            record.drained_index = max(record.drained_index, answer.index)
        elif not is_fresh or (
            health.status is HealthStatus.MAINTENANCE
            and answer.index < record.drained_index
            and now < health.since + CATCH_UP_TIME
        ):
            return  # an older report would lift a drain, or undo what a newer one said
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

    def note_absent(self, now: float, service: ServiceProgress, present: set[str]) -> None:
        """Servers that are not in a fresh answer."""
        if len(present) >= len(service.records):
            return
        for server_id, record in list(service.records.items()):
            if server_id not in present and record.health.status is not HealthStatus.ABSENT:
                record.health.absence_uncertain = now < service.changed_at + self.settings.settle_time
                self.change_health(now, record, HealthStatus.ABSENT)

    def change_health(self, now: float, record: ServerRecord, status: HealthStatus) -> None:
        """Another health was reported of a server."""
        record.health.update(status, now)
        self.unsettled[record] = None
        self.count_unhealthy(record)

    # Groups.

    def join_groups(self, record: ServerRecord) -> None:
        """Adds a server to the group of its service, and to that of its zone there."""
        zone = record.instance.zone
        for name in ("", zone) if zone else ("",):
            group = self.groups.setdefault(f"{record.service} {name}".strip(), HealthGroup(name))
            group.records[record] = None
            record.groups.append(group)
        record.is_counted = False
        self.unsettled[record] = None
        self.count_unhealthy(record)

    def leave_groups(self, record: ServerRecord) -> None:
        """Removes a server from its groups."""
        for group in record.groups:
            del group.records[record]
            group.unhealthy -= record.is_counted
            self.review(group)
        record.groups = []
        record.is_counted = False

    def count_unhealthy(self, record: ServerRecord) -> None:
        """Counts a server in its groups, by its health now."""
        is_unhealthy = record.health.is_unhealthy
        for group in record.groups:
            group.unhealthy += is_unhealthy - record.is_counted
        record.is_counted = is_unhealthy

    def review(self, group: HealthGroup) -> None:
        """Decides whether the last good set of a group stays in use; a change unsettles its servers."""
        is_held = group.has_too_few_healthy(self.settings.min_healthy_share)
        if is_held == group.is_held:
            return
        group.is_held = is_held
        where = f"zone {group.zone}" if group.zone else "all zones"
        healthy = len(group.records) - group.unhealthy
        self.log_lines.append(
            f"consul: {where}: {healthy} of {len(group.records)} healthy: "
            + ("kept as they were" if is_held else "taken at its word again")
        )
        for record in group.records:
            if record.health.is_unhealthy:
                self.unsettled[record] = None

    # What the proxy is notified of.

    def changes(self, now: float) -> list[Change]:
        """What has to change now; called once a tick. Its cost is that of the servers that are unsettled."""
        for group in {group: None for record in self.unsettled for group in record.groups}:
            self.review(group)
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
        """Forgets a server."""
        self.leave_groups(record)
        self.unsettled.pop(record, None)
        self.services[record.service].records.pop(record.instance.id, None)

    def status_at(self, now: float, record: ServerRecord) -> tuple[EndpointStatus, float]:
        """The status that a server is to have, and until when that may change without a report.

        A time that is not after `now` means that it is settled.
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
        """As `status_at`: after flaps, passing has to last before a server is ready again."""
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
        """As `status_at`: an uncertain absence has to last before the server is removed."""
        health = record.health
        if not health.absence_uncertain:
            return EndpointStatus.REMOVED, now
        removed_at = health.since + (
            self.settings.max_hold_time if record.is_held else self.settings.settle_time
        )
        if now >= removed_at:
            return EndpointStatus.REMOVED, now
        if record.is_held:
            return record.status or EndpointStatus.READY, removed_at
        # A server that is really gone would still get requests until that is certain.
        return EndpointStatus.DRAINING, removed_at

    def critical_status(self, now: float, record: ServerRecord) -> tuple[EndpointStatus, float]:
        """As `status_at`: critical has to last before a server drains."""
        if record.is_held:
            return record.status or EndpointStatus.READY, now
        if record.status is None:
            return EndpointStatus.DRAINING, now
        drained_at = record.health.since + self.settings.settle_time
        return (EndpointStatus.DRAINING, now) if now >= drained_at else (record.status, drained_at)

    def change(self, now: float, record: ServerRecord, status: EndpointStatus) -> Change | None:
        """What to notify the proxy of, if that differs from the last."""
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
        """A server drains as it is critical: that is a flap if it was ready."""
        if record.status is not EndpointStatus.READY:
            return
        if now > record.flapped_at + self.settings.flap_memory:
            record.flaps = 0
        record.flaps += 1
        record.flapped_at = now
