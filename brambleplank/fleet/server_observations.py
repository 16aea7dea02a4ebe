"""Server ejections by several members, which protect a process from servers that it has not tried itself.

A server is ejected only if several members that tried it recently found it failing, and these are more than
two thirds of all that tried it; and only a fixed share of the servers at once, those with most reports first.
A member that finds most servers failing probably has network trouble of its own and is disregarded. A recent
success of this process overrides other members' reports, and all observations expire. An ejection never makes
a server more eligible: it adds to the exclusions by the endpoint list and by the decisions.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from brambleplank.fleet.leases.timing import HEARTBEAT_INTERVAL

OBSERVATION_LIFETIME = 8.0  # seconds for which an attempt or report counts
FAILURES_TO_REPORT = 3  # consecutive failures before a server is reported as failing
MIN_REPORTERS = 2  # members that must report a server as failing before it is ejected
MAX_EJECTED_SHARE = 1 / 5  # share of the servers that may be ejected at once, rounded down
EJECTION_DURATION = 3 * HEARTBEAT_INTERVAL  # seconds until an ejection expires
MAX_SERVERS = 1024  # servers with attempts or ejections kept; also the reports kept of each member
MAX_REPORT_MESSAGES = 4  # per report; 1,024 servers are all reported within OBSERVATION_LIFETIME
NEVER = float("-inf")


class Observations(NamedTuple):
    """Servers that a process found healthy and failing, by their widest tags."""

    healthy: list[int]
    failing: list[int]

    @property
    def total(self) -> int:
        """The number of servers that were tried."""
        return len(self.healthy) + len(self.failing)


@dataclass
class ServerAttempts:
    """Recent results of this process at one server."""

    consecutive_failures: int = 0
    last_success_at: float = NEVER
    last_attempt_at: float = NEVER


@dataclass(frozen=True)
class Report:
    """One message of a member, about some of the servers that it tried."""

    received_at: float
    healthy: frozenset[int]
    failing: frozenset[int]

    def __len__(self) -> int:
        """Returns the number of servers in the report."""
        return len(self.healthy) + len(self.failing)


@dataclass
class MemberReports:
    """Recent reports of one member, as many as cover its servers, oldest first."""

    reports: deque[Report] = field(default_factory=lambda: deque(maxlen=MAX_SERVERS))
    reports_most_failing: bool = False

    def add(self, report: Report, tried_total: int) -> None:
        """Adds a report, and drops the old ones that later ones replace.

        A member that has tried `tried_total` servers reports each of them once before it repeats any.
        """
        self.reports.append(report)
        named = sum(map(len, self.reports))
        while len(self.reports) > 1 and named - len(self.reports[0]) >= min(tried_total, MAX_SERVERS):
            named -= len(self.reports.popleft())

    def recent_results(self, now: float, servers: frozenset[int]) -> dict[int, bool]:
        """Returns which of these servers the member recently found healthy (True) or failing (False)."""
        results: dict[int, bool] = {}
        for report in self.reports:
            if now < report.received_at + OBSERVATION_LIFETIME:
                results.update(dict.fromkeys(report.healthy & servers, True))
                results.update(dict.fromkeys(report.failing & servers, False))
        return results


@dataclass
class ServerObserver:
    """This process's own attempts, the reports of members, and the ejections in force here."""

    attempts: dict[int, ServerAttempts] = field(default_factory=dict)  # by tag, least recently tried first
    members: dict[int, MemberReports] = field(default_factory=dict)
    ejected_until: dict[int, float] = field(default_factory=dict)  # by tag
    unreported: list[int] = field(default_factory=list)  # servers left to report before any is repeated

    def record_attempt(self, now: float, tag: int, succeeded: bool) -> None:
        """Records the result of an attempt at a server."""
        attempts = self.attempts.pop(tag, None) or ServerAttempts()
        if now >= attempts.last_attempt_at + OBSERVATION_LIFETIME:
            attempts.consecutive_failures = 0
        attempts.last_attempt_at = now
        if succeeded:
            attempts.consecutive_failures = 0
            attempts.last_success_at = now
        else:
            attempts.consecutive_failures += 1
        self.attempts[tag] = attempts
        while len(self.attempts) > MAX_SERVERS:
            del self.attempts[next(iter(self.attempts))]

    def recent_observations(self, now: float) -> Observations:
        """Returns the servers that this process recently found healthy or failing."""
        recent = {
            tag: attempts
            for tag, attempts in self.attempts.items()
            if now < attempts.last_attempt_at + OBSERVATION_LIFETIME
        }
        healthy = [tag for tag, attempts in recent.items() if not attempts.consecutive_failures]
        failing = [
            tag for tag, attempts in recent.items() if attempts.consecutive_failures >= FAILURES_TO_REPORT
        ]
        return Observations(healthy, failing)

    def next_reports(self, now: float, size: int) -> list[Observations]:
        """Returns the next servers to report, in turn, at most `size` in each message."""
        observations = self.recent_observations(now)
        healthy = set(observations.healthy)
        failing = set(observations.failing)
        if not self.unreported:
            self.unreported = [*observations.failing, *observations.healthy]
        max_servers = size * MAX_REPORT_MESSAGES
        due = [tag for tag in self.unreported[:max_servers] if tag in healthy or tag in failing]
        self.unreported = self.unreported[max_servers:]
        parts = [due[start : start + size] for start in range(0, len(due), size)]
        return [
            Observations([tag for tag in part if tag in healthy], [tag for tag in part if tag in failing])
            for part in parts
        ]

    def receive_observations(
        self, now: float, sender: int, observations: Observations, tried_total: int, failing_total: int
    ) -> None:
        """Records a member's observations, and how many servers in all it tried and found failing."""
        member = self.members.setdefault(sender, MemberReports())
        report = Report(now, frozenset(observations.healthy), frozenset(observations.failing))
        member.add(report, tried_total)
        member.reports_most_failing = 2 * failing_total > tried_total

    def servers_to_eject(self, now: float, servers: int) -> list[int]:
        """Returns the servers that the leader should eject, given the number of ready servers."""
        members = [member for member in self.members.values() if not member.reports_most_failing]
        suspects = frozenset(tag for member in members for report in member.reports for tag in report.failing)
        if not suspects:
            return []
        healthy: Counter[int] = Counter()
        failing: Counter[int] = Counter()
        for member in members:
            for tag, is_healthy in member.recent_results(now, suspects).items():
                (healthy if is_healthy else failing)[tag] += 1
        to_eject = [
            tag for tag, count in failing.items() if count >= MIN_REPORTERS and count > 2 * healthy[tag]
        ]
        to_eject.sort(key=lambda tag: (-failing[tag], tag))
        return to_eject[: int(MAX_EJECTED_SHARE * servers)]

    def receive_ejections(self, now: float, tags: Iterable[int]) -> None:
        """Records the leader's ejections."""
        self.ejected_until = {tag: until for tag, until in self.ejected_until.items() if now < until}
        for tag in tags:
            # The number is bounded, as a faulty leader could exhaust the memory.
            if tag in self.ejected_until or len(self.ejected_until) < MAX_SERVERS:
                self.ejected_until[tag] = now + EJECTION_DURATION

    def ejected_servers(self, now: float, servers: list[int]) -> list[int]:
        """Returns which of these servers are ejected because of other members' reports.

        The limit is applied here as well, as a faulty leader could eject all servers.
        """
        ejected = [tag for tag in servers if self.is_ejected(now, tag)]
        return ejected[: int(MAX_EJECTED_SHARE * len(servers))]

    def is_ejected(self, now: float, tag: int) -> bool:
        """Returns whether a server is ejected and this process has had no recent success there."""
        attempts = self.attempts.get(tag)
        if attempts is not None and now < attempts.last_success_at + OBSERVATION_LIFETIME:
            return False
        return now < self.ejected_until.get(tag, 0.0)
