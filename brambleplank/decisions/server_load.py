"""The load of servers by all proxies that report theirs."""

from __future__ import annotations

from brambleplank.decisions.connection_counts import ConnectionCounts
from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.decisions.load_reports import LoadReports

MEAN_OFFSET = 0.01  # connections; keeps a mean of none from dividing by zero


class ServerLoad:
    """Mean and peak load of the servers, of this proxy and its peers together."""

    def __init__(
        self,
        context: Context,
        endpoints: EndpointList,
        counts: ConnectionCounts,
        load_reports: LoadReports,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.counts = counts
        self.load_reports = load_reports
        self.has_sibling = False  # whether another process of this proxy holds connections
        self.peak = 0.0  # connections for one unit of size, over all servers: the most that they have borne

    def mean(self) -> float:
        """Returns the mean count of connections on available servers."""
        available = self.endpoints.available
        elsewhere = sum(s.connections_elsewhere for s in available) if self.has_counts_elsewhere() else 0
        return (self.counts.on_ready + elsewhere) / max(1, len(available))

    def has_counts_elsewhere(self) -> bool:
        """Returns whether connections elsewhere are known: of peers, or of another process of this proxy."""
        return self.has_sibling or bool(self.load_reports.peers)

    def sibling_counts_changed(self) -> None:
        """Takes in that another process of this proxy has changed servers' connections elsewhere.

        Compared with a mean of this process's own alone, servers would look full that carry both.
        """
        self.has_sibling = any(server.connections_elsewhere for server in self.endpoints.servers.values())
        self.raise_peak_to_total()

    def refresh(self, now: float) -> None:
        """Recomputes which servers are available, and the peak."""
        self.endpoints.refresh(now)
        if self.has_counts_elsewhere():
            self.raise_peak_to_total()
        else:
            self.raise_peak(self.counts.on_all)

    def raise_peak_to_total(self) -> None:
        """Raises the peak if all connections, here and elsewhere, are over it."""
        elsewhere = sum(server.connections_elsewhere for server in self.endpoints.servers.values())
        self.raise_peak(self.counts.on_all + elsewhere)

    def raise_peak(self, connections: int) -> None:
        """Raises the peak if so many connections on all servers are over it."""
        self.peak = max(self.peak, connections / max(1.0, self.endpoints.total_size))

    def evidence_lifetime_factor(self) -> float:
        """Returns by how much longer evidence holds here.

        A proxy with fewer than one connection a server gets new evidence that much more rarely.
        """
        settings = self.context.settings
        max_factor = settings.slow_start_time / settings.overload_window
        return min(max_factor, 1 / min(1.0, self.counts.mean() + MEAN_OFFSET))
