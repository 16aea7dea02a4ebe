"""Periodic reports of counts and server observations to the leader, and the results that it publishes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from brambleplank.fleet import messages
from brambleplank.fleet.leases.counts import Counts
from brambleplank.fleet.leases.leader_election import LeaderElection
from brambleplank.fleet.leases.timing import HEARTBEAT_INTERVAL
from brambleplank.fleet.membership import MemberIdentity
from brambleplank.fleet.server_observations import ServerObserver

Send = Callable[[messages.Message, int | None], None]


class Reports:
    """The periodic reports of this process. `servers` returns the tags of the ready servers."""

    def __init__(
        self,
        identity: MemberIdentity,
        election: LeaderElection,
        send: Send,
        servers: Callable[[], list[int]],
        now: float,
        rng: Random,
    ) -> None:
        self.identity = identity
        self.election = election
        self.send = send
        self.servers = servers
        self.rng = rng
        self.counts = Counts()
        self.server_observer = ServerObserver()
        self.due_at = now + rng.uniform(0, HEARTBEAT_INTERVAL)

    def is_due(self, now: float) -> bool:
        """Returns whether a report is due; if so, schedules the next in about one heartbeat interval."""
        if now < self.due_at:
            return False
        self.due_at = now + HEARTBEAT_INTERVAL * self.rng.uniform(0.9, 1.1)
        return True

    def report(self, now: float, leader: int | None, leading: bool) -> None:
        """Sends changes to the leader; as the leader, publishes to all members.

        A candidate or leader records its changes locally, as a candidate may soon be the one to add them up.
        """
        if self.election.candidacy.is_active:
            self.record_own_report(now)
        elif leader is not None:
            self.send_report(now, leader)
        if leading:
            self.publish(now)

    def record_own_report(self, now: float) -> None:
        """Records this process's counts and observations in the way of a received report."""
        number = self.identity.number
        self.counts.receive_report(number, self.identity.incarnation, self.counts.next_report())
        observations = self.server_observer.recent_observations(now)
        failing_total = len(observations.failing)
        self.server_observer.receive_observations(
            now, number, observations, observations.total, failing_total
        )

    def send_report(self, now: float, leader: int) -> None:
        """Sends counts and observations to the leader."""
        incarnation = self.identity.incarnation
        counts = self.counts.next_report()
        if counts:
            self.send(messages.CountReport(incarnation, counts), leader)
        observations = self.server_observer.recent_observations(now)
        for part in self.server_observer.next_reports(now, messages.MAX_SERVERS):
            message = messages.ServerObservations(
                incarnation,
                part.healthy,
                part.failing,
                tried_total=observations.total,
                failing_total=len(observations.failing),
            )
            self.send(message, leader)

    def publish(self, now: float) -> None:
        """As the leader, sends aggregates and ejections to all members."""
        incarnation = self.identity.incarnation
        aggregates = self.counts.next_aggregates()
        if aggregates:
            self.send(messages.Aggregates(incarnation, aggregates), None)
        ejected = self.server_observer.servers_to_eject(now, len(self.servers()))
        if not ejected:
            return
        self.server_observer.receive_ejections(now, ejected)
        for start in range(0, len(ejected), messages.MAX_SERVERS):
            part = ejected[start : start + messages.MAX_SERVERS]
            self.send(messages.Ejections(incarnation, part), None)
