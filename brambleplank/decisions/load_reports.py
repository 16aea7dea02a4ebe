"""Connections by server as proxies report them, and the proxy that adds them up for all.

If each proxy reported to all others, the cost would grow with the square of their number. So all report to
one of them, the aggregator, which sends the aggregate to all. As long as there is none, each proxy reports to
all.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from brambleplank.decisions.connection_counts import ConnectionCounts
from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.decisions.slow_start_slots import SlowStartSlots
from brambleplank.model import REPORT_PERIOD
from brambleplank.records import Server

ConnectionsByServer = Iterable[tuple[Server, int]]

MAX_REPORTED = 2**21 - 1  # connections at one server; the most that a report carries
MIN_AGGREGATE_CHANGE = 1 / 8  # of a server's sum, below which a change waits for the next complete report
PEER_TIMEOUT_PERIODS = 3  # report periods for which a silent peer still counts
AGGREGATOR_TIMEOUT_PERIODS = 1.5  # report periods for which a silent aggregator is still relied on
PERIODS_PER_COMPLETE_REPORT = 12
MAX_GROWTH_FACTOR = 2  # a peer's count at a server is at most this multiple of what this proxy ever held,
MAX_GROWTH_MARGIN = 16  # plus so many connections


class LoadReports:
    """What this proxy has reported, what peers have, and which proxy is the aggregator."""

    def __init__(
        self, context: Context, endpoints: EndpointList, counts: ConnectionCounts, slots: SlowStartSlots
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.counts = counts
        self.slots = slots
        self.peers: dict[Any, float] = {}  # when each peer last reported
        self.reported: dict[Server, int] = {}  # connections, as this proxy last reported them
        self.aggregator: Any = None  # the number of the proxy that is the aggregator
        self.aggregator_seen_at = 0.0
        self.has_aggregate = False  # whether servers' counts elsewhere come from an aggregate
        self.complete_report_at = 0.0  # when the next complete report is due

    @property
    def is_aggregator(self) -> bool:
        """Whether this proxy is the aggregator."""
        return bool(self.aggregator == self.context.settings.proxy_number)

    def has_live_aggregator(self, now: float) -> bool:
        """Returns whether an aggregator has reported lately."""
        live_until = self.aggregator_seen_at + AGGREGATOR_TIMEOUT_PERIODS * REPORT_PERIOD
        return self.aggregator is not None and now < live_until

    def wait_for_aggregator(self, now: float) -> None:
        """Begins to wait for an aggregator, before electing one."""
        self.aggregator_seen_at = now

    def run(self, now: float) -> None:
        """Sends a report and elects an aggregator if need be, once a period."""
        try:
            self.report_and_elect(now)
        finally:  # An exception would otherwise end the reports for good, and nobody would notice.
            pause = REPORT_PERIOD * self.context.rng.uniform(0.75, 1.25)
            self.context.host.call_later(pause, self.run)

    def report_and_elect(self, now: float) -> None:
        """Reports changes, forgets silent peers, and becomes aggregator where none reports."""
        self.report_changes(now)
        for peer, reported_at in list(self.peers.items()):
            if peer != self.aggregator and now > reported_at + PEER_TIMEOUT_PERIODS * REPORT_PERIOD:
                self.forget_peer(peer)
        # Drawn anew each time, so that two proxies seldom begin at once.
        election_timeout = PEER_TIMEOUT_PERIODS * REPORT_PERIOD * self.context.rng.uniform(0.5, 1.0)
        if not self.is_aggregator and now > self.aggregator_seen_at + election_timeout:
            self.become_aggregator(now)

    def become_aggregator(self, now: float) -> None:
        """Takes over from an aggregator that reports no more, and has all proxies report to this one."""
        self.forget_peer(self.aggregator)
        self.aggregator = self.context.settings.proxy_number
        self.complete_report_at = now + REPORT_PERIOD / 2
        self.slots.close_current_slots(now)
        self.context.host.send_load_report([], False, None, True)

    def report_changes(self, now: float) -> None:
        """Sends what has changed since the last report; now and then all, as reports may be lost."""
        complete = now >= self.complete_report_at
        is_aggregator = self.is_aggregator
        counts = self.aggregate() if is_aggregator else self.own_counts()
        report = counts_above_zero(counts) if complete else self.changes(counts)
        recipient = None if is_aggregator else self.aggregator
        self.context.host.send_load_report(list(report.items()), complete, recipient, is_aggregator)
        if complete:
            self.reported = report
            self.complete_report_at = now + PERIODS_PER_COMPLETE_REPORT * REPORT_PERIOD
        else:
            self.reported = {**self.reported, **report}
        if is_aggregator:
            self.aggregator_seen_at = now

    def own_counts(self) -> dict[Server, int]:
        """Returns this proxy's connections by ready server."""
        return {server: min(server.connections, MAX_REPORTED) for server in self.endpoints.ready}

    def aggregate(self) -> dict[Server, int]:
        """Returns all proxies' connections by ready server."""
        return {
            server: min(server.connections + server.connections_elsewhere, MAX_REPORTED)
            for server in self.endpoints.ready
        }

    def changes(self, counts: Mapping[Server, int]) -> dict[Server, int]:
        """Returns the counts that differ from those last reported; of an aggregate, by enough to matter."""
        least_change = MIN_AGGREGATE_CHANGE if self.is_aggregator else 0.0
        return {
            server: count
            for server, count in counts.items()
            if abs(count - self.reported.get(server, 0)) > least_change * count
        }

    def load_report_received(
        self, now: float, peer: Any, counts: ConnectionsByServer, complete: bool, is_aggregate: bool
    ) -> None:
        """Takes in a peer's report, or the aggregator's."""
        if is_aggregate:
            self.aggregate_received(now, peer, dict(counts), complete)
            return
        if self.has_aggregate and self.has_live_aggregator(now):
            return  # It is in the aggregate, and would count twice.
        if self.is_aggregator and self.has_live_aggregator(now) and peer not in self.peers:
            # A proxy that has just started would not know which servers are full.
            self.context.host.send_load_report(list(self.aggregate().items()), True, peer, True)
        self.peers[peer] = now
        reported = self.zeroed_counts(peer) if complete else {}
        reported.update(counts)
        for server, count in reported.items():
            # A confused peer would make sound servers look full; none holds so much more than this proxy.
            plausible = min(count, MAX_GROWTH_FACTOR * self.counts.max_on_ready + MAX_GROWTH_MARGIN)
            server.connections_elsewhere += plausible - server.connections_by_peer.get(peer, 0)
            server.connections_by_peer[peer] = plausible

    def zeroed_counts(self, peer: Any) -> dict[Server, int]:
        """Returns a count of zero for each server at which the peer had reported any."""
        return {server: 0 for server in self.endpoints.servers.values() if peer in server.connections_by_peer}

    def aggregate_received(self, now: float, peer: Any, sums: dict[Server, int], complete: bool) -> None:
        """Takes in the aggregate, in which this proxy's own connections are counted."""
        if peer != self.aggregator:
            if self.has_live_aggregator(now) and peer > self.aggregator:
                return  # Of two that began at once, the one with the lower number goes on.
            self.aggregator = peer
            self.complete_report_at = now
        self.aggregator_seen_at = now
        self.has_aggregate = self.has_aggregate or bool(sums)
        if self.has_aggregate:
            self.peers = {peer: now}
        for server in self.endpoints.servers.values() if complete else sums:
            self.set_aggregate(server, peer, sums.get(server, 0))

    def set_aggregate(self, server: Server, aggregator: Any, total: int) -> None:
        """Sets the server's connections elsewhere from the aggregate."""
        # What a former process of this proxy holds is in the aggregate as well, and would count twice.
        # Its key is not a proxy's number.
        handed_off = {key: n for key, n in server.connections_by_peer.items() if not isinstance(key, int)}
        handed_off_total = sum(handed_off.values())
        server.connections_elsewhere = max(handed_off_total, total - self.reported.get(server, 0))
        server.connections_by_peer = {
            **handed_off,
            aggregator: server.connections_elsewhere - handed_off_total,
        }

    def forget_peer(self, peer: Any) -> None:
        """Drops what the peer reported."""
        self.has_aggregate = self.has_aggregate and peer != self.aggregator
        self.peers.pop(peer, None)
        for server in self.endpoints.servers.values():
            server.connections_elsewhere -= server.connections_by_peer.pop(peer, 0)


def counts_above_zero(counts: Mapping[Server, int]) -> dict[Server, int]:
    """Returns the counts without those of zero, which a complete report leaves out."""
    return {server: count for server, count in counts.items() if count}
