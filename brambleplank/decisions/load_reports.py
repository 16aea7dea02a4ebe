"""Load reports between proxies, and their aggregation by an elected aggregator.

If each proxy reported to all others, the cost would grow with the square of their number. Therefore all
report to one of them, the aggregator, which sends the sums to all. As long as there is no aggregator, each
proxy reports to all.
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

MAX_REPORTED = 2**21 - 1  # connections at one server; the maximum value in a report
MIN_AGGREGATE_CHANGE = 1 / 8  # of a server's sum; smaller changes wait for the next complete report
PEER_TIMEOUT_PERIODS = 3  # report periods after which a silent peer is forgotten
AGGREGATOR_TIMEOUT_PERIODS = 1.5  # report periods after which a silent aggregator no longer counts as live
PERIODS_PER_COMPLETE_REPORT = 12
MAX_GROWTH_FACTOR = 2  # caps a peer's count at a server, as a multiple of the most that this proxy has held,
MAX_GROWTH_MARGIN = 16  # plus this number of connections


class LoadReports:
    """Sends and receives load reports, and elects the aggregator."""

    def __init__(
        self, context: Context, endpoints: EndpointList, counts: ConnectionCounts, slots: SlowStartSlots
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.counts = counts
        self.slots = slots
        self.peers: dict[Any, float] = {}  # when each peer last reported
        self.reported: dict[Server, int] = {}  # connections, as last reported by this proxy
        self.aggregator: Any = None  # the aggregator's proxy number
        self.aggregator_seen_at = 0.0
        self.has_aggregate = False  # whether connections elsewhere come from an aggregate
        self.complete_report_at = 0.0  # when the next complete report is due

    @property
    def is_aggregator(self) -> bool:
        """Whether this proxy is the aggregator."""
        return bool(self.aggregator == self.context.settings.proxy_number)

    def has_live_aggregator(self, now: float) -> bool:
        """Returns whether there is an aggregator that has reported recently."""
        live_until = self.aggregator_seen_at + AGGREGATOR_TIMEOUT_PERIODS * REPORT_PERIOD
        return self.aggregator is not None and now < live_until

    def wait_for_aggregator(self, now: float) -> None:
        """Starts to wait for the reports of an existing aggregator, before one is elected."""
        self.aggregator_seen_at = now

    def run(self, now: float) -> None:
        """Sends a report, elects an aggregator if necessary, and reschedules itself for the next period."""
        try:
            self.report_and_elect(now)
        finally:  # Otherwise an exception would silently stop all reports for good.
            pause = REPORT_PERIOD * self.context.rng.uniform(0.75, 1.25)
            self.context.host.call_later(pause, self.run)

    def report_and_elect(self, now: float) -> None:
        """Reports changes, forgets silent peers, and becomes the aggregator if none has reported in time."""
        self.report_changes(now)
        for peer, reported_at in list(self.peers.items()):
            if peer != self.aggregator and now > reported_at + PEER_TIMEOUT_PERIODS * REPORT_PERIOD:
                self.forget_peer(peer)
        # Random at each call, so that two proxies seldom start an election at the same time.
        election_timeout = PEER_TIMEOUT_PERIODS * REPORT_PERIOD * self.context.rng.uniform(0.5, 1.0)
        if not self.is_aggregator and now > self.aggregator_seen_at + election_timeout:
            self.become_aggregator(now)

    def become_aggregator(self, now: float) -> None:
        """Replaces a silent aggregator, and announces this proxy as the aggregator to all."""
        self.forget_peer(self.aggregator)
        self.aggregator = self.context.settings.proxy_number
        self.complete_report_at = now + REPORT_PERIOD / 2
        self.slots.close_current_slots(now)
        self.context.host.send_load_report([], False, None, True)

    def report_changes(self, now: float) -> None:
        """Sends the changes since the last report; periodically a complete report, as some may be lost."""
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
        """Returns the connections of all proxies by ready server."""
        return {
            server: min(server.connections + server.connections_elsewhere, MAX_REPORTED)
            for server in self.endpoints.ready
        }

    def changes(self, counts: Mapping[Server, int]) -> dict[Server, int]:
        """Returns the counts that differ from the last report; of an aggregate, by a minimum share."""
        min_change = MIN_AGGREGATE_CHANGE if self.is_aggregator else 0.0
        return {
            server: count
            for server, count in counts.items()
            if abs(count - self.reported.get(server, 0)) > min_change * count
        }

    def load_report_received(
        self, now: float, peer: Any, counts: ConnectionsByServer, complete: bool, is_aggregate: bool
    ) -> None:
        """Handles a peer's report or the aggregate."""
        if is_aggregate:
            self.aggregate_received(now, peer, dict(counts), complete)
            return
        if self.has_aggregate and self.has_live_aggregator(now):
            return  # The aggregate includes it, so it would count twice.
        if self.is_aggregator and self.has_live_aggregator(now) and peer not in self.peers:
            # A proxy that has just started does not know yet which servers are full.
            self.context.host.send_load_report(list(self.aggregate().items()), True, peer, True)
        self.peers[peer] = now
        reported = self.zeroed_counts(peer) if complete else {}
        reported.update(counts)
        for server, count in reported.items():
            # A faulty peer could make servers look full; no peer holds so much more than this proxy.
            plausible = min(count, MAX_GROWTH_FACTOR * self.counts.max_on_ready + MAX_GROWTH_MARGIN)
            server.connections_elsewhere += plausible - server.connections_by_peer.get(peer, 0)
            server.connections_by_peer[peer] = plausible

    def zeroed_counts(self, peer: Any) -> dict[Server, int]:
        """Returns a count of zero for each server that the peer has reported."""
        return {server: 0 for server in self.endpoints.servers.values() if peer in server.connections_by_peer}

    def aggregate_received(self, now: float, peer: Any, sums: dict[Server, int], complete: bool) -> None:
        """Handles an aggregate, which includes the connections of this proxy."""
        if peer != self.aggregator:
            if self.has_live_aggregator(now) and peer > self.aggregator:
                return  # Of two aggregators, the one with the lower number prevails.
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
        # Connections of another process of this proxy are part of the aggregate, and must not count twice.
        # Their key is not a proxy number.
        handed_off = {key: n for key, n in server.connections_by_peer.items() if not isinstance(key, int)}
        handed_off_total = sum(handed_off.values())
        server.connections_elsewhere = max(handed_off_total, total - self.reported.get(server, 0))
        server.connections_by_peer = {
            **handed_off,
            aggregator: server.connections_elsewhere - handed_off_total,
        }

    def forget_peer(self, peer: Any) -> None:
        """Removes the connections that the peer has reported."""
        self.has_aggregate = self.has_aggregate and peer != self.aggregator
        self.peers.pop(peer, None)
        for server in self.endpoints.servers.values():
            server.connections_elsewhere -= server.connections_by_peer.pop(peer, 0)


def counts_above_zero(counts: Mapping[Server, int]) -> dict[Server, int]:
    """Returns the counts without zeros, which a complete report leaves out."""
    return {server: count for server, count in counts.items() if count}
