"""Reports between proxies of the servers that displaced affinity groups have moved to."""

from __future__ import annotations

from brambleplank.decisions.context import Context
from brambleplank.decisions.group_members import GroupMembers
from brambleplank.decisions.hash_ring import HashRing
from brambleplank.model import REPORT_PERIOD, EndpointStatus
from brambleplank.records import Request, Server

MAX_REPORT_DELAY = REPORT_PERIOD / 4  # seconds for which reports are batched at most


class GroupReports:
    """Reports displaced groups, unless another proxy has already reported them; handles others' reports."""

    def __init__(self, context: Context, ring: HashRing, groups: GroupMembers) -> None:
        self.context = context
        self.ring = ring
        self.groups = groups
        self.unreported: dict[int, Server] = {}  # by the group's ring position

    def session_established(self, now: float, request: Request, server: Server) -> None:
        """Schedules a report if the server is not where other proxies would place the group."""
        position = request.ring_position
        if not request.has_group or not self.context.settings.aggregates_load:
            return
        if server is self.expected_server(now, position):
            return
        if not self.unreported:
            self.context.host.call_later(MAX_REPORT_DELAY * self.context.rng.random(), self.send_reports)
        self.unreported[position] = server

    def expected_server(self, now: float, position: int) -> Server | None:
        """Returns the reported server of the group, else the first ready server along the ring."""
        ready = (s for s in self.ring.servers_from(position) if s.status is EndpointStatus.READY)
        return self.groups.reported_server(now, position) or next(ready, None)

    def send_reports(self, now: float) -> None:
        """Sends the batched reports, without those that another proxy has sent in the meantime."""
        unreported = self.unreported
        self.unreported = {}
        reports = [
            (position, server)
            for position, server in unreported.items()
            if self.groups.reported_server(now, position) is not server
        ]
        for position, server in reports:
            self.report_received(now, position, server)
        if reports:
            self.context.host.report_group_servers(reports)

    def report_received(self, now: float, position: int, server: Server) -> None:
        """Stores a report; it expires after the slow-start time."""
        self.groups.record_report(position, server, now + self.context.settings.slow_start_time)
