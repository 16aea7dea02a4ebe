"""Resources held by two processes of one proxy; each reports its own to the other while both run."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from brambleplank.net.proxy import Proxy
from brambleplank.platform.channel import Channel
from brambleplank.platform.connections_elsewhere import connections_by_server, record_connections_elsewhere
from brambleplank.platform.upgrade_messages import HoldingsReport
from brambleplank.records import Server


@dataclass
class PeerHoldings:
    """What one other process has reported, and what was reported to it."""

    known_ids: set[str]  # request ids that the other process already has
    descriptors: int = 0  # held by the other process, by its last report
    last_report: HoldingsReport | None = None  # the last one sent to it


class Holdings:
    """Exchanges reports of descriptors, connections and attempts by server, and request ids."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.peers: dict[Channel, PeerHoldings] = {}

    def add(self, channel: Channel, known_ids: Iterable[str]) -> None:
        """Starts the exchange of reports over a channel."""
        self.peers[channel] = PeerHoldings(set(known_ids))

    def remove(self, channel: Channel) -> None:
        """Removes the holdings of a process that has ended or closed its channel."""
        peer = self.peers.pop(channel)
        self.proxy.admission.descriptors_changed(-peer.descriptors)
        record_connections_elsewhere(self.proxy, channel, {}, {})

    def stop(self) -> None:
        """Stops reporting; this process ends."""
        self.peers = {}

    def report(self) -> None:
        """Sends a report to each other process, if it differs from the last one or has new attempts."""
        attempts = self.proxy.siblings.take_unreported_attempts()
        for channel, peer in self.peers.items():
            others = [other for other in self.peers if other is not channel]
            report = HoldingsReport(
                descriptors=self.proxy.admission.descriptors_in_use - peer.descriptors,
                connections=connections_by_server(self.proxy, others),
                attempts=attempts if channel.to_successor else {},
                request_ids=sorted(self.proxy.admission.open_ids - peer.known_ids),
            )
            # Attempts count from the last report: an equal report with attempts is no duplicate.
            if report != peer.last_report or report.attempts:
                peer.last_report = report
                peer.known_ids.update(report.request_ids)
                channel.send(report)

    def report_received(self, channel: Channel, report: HoldingsReport) -> None:
        """Adds the reported holdings of another process to the counts of this one."""
        peer = self.peers[channel]
        self.proxy.admission.descriptors_changed(report.descriptors - peer.descriptors)
        peer.descriptors = report.descriptors
        record_connections_elsewhere(self.proxy, channel, report.connections, report.attempts)
        peer.known_ids.update(report.request_ids)
        self.proxy.admission.reserve_ids(report.request_ids)

    def descriptors_adopted(self, channel: Channel, count: int) -> None:
        """Stops counting descriptors for the other process that have been adopted here.

        Until its next report they would count twice; the proxy would appear to be short of descriptors and
        evict clients that have not sent their request yet.
        """
        peer = self.peers[channel]
        adopted = min(count, peer.descriptors)
        self.proxy.admission.descriptors_changed(-adopted)
        peer.descriptors -= adopted

    def connections_at_predecessor(self, server: Server) -> int:
        """Returns the connections at a server that the predecessor still holds."""
        return sum(
            server.connections_by_peer.get(channel, 0) for channel in self.peers if not channel.to_successor
        )
