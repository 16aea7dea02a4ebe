"""The load of servers, by this proxy and all peers that report."""

from __future__ import annotations

from brambleplank.decisions.connection_counts import ConnectionCounts
from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.decisions.load_reports import LoadReports

MEAN_OFFSET = 0.01  # connections; avoids a division by zero if the mean is zero


class ServerLoad:
    """Mean and peak load of the servers, from this proxy and its peers together."""

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
        self.peak = 0.0  # highest load of all servers together so far, in connections per unit of size

    def mean(self) -> float:
        """Returns the mean number of connections per available server."""
        available = self.endpoints.available
        elsewhere = sum(s.connections_elsewhere for s in available) if self.has_counts_elsewhere() else 0
        return (self.counts.on_ready + elsewhere) / max(1, len(available))

    def has_counts_elsewhere(self) -> bool:
        """Returns whether connections of peers, or of another process of this proxy, are known."""
        return self.has_sibling or bool(self.load_reports.peers)

    def sibling_counts_changed(self) -> None:
        """Handles new counts of connections held by another process of this proxy.

        The mean has to include them, as servers with connections of both processes would otherwise look full.
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
        """Raises the peak to the current load, of this proxy and elsewhere, if that is higher."""
        elsewhere = sum(server.connections_elsewhere for server in self.endpoints.servers.values())
        self.raise_peak(self.counts.on_all + elsewhere)

    def raise_peak(self, connections: int) -> None:
        """Raises the peak to the load of so many connections over all servers, if that is higher."""
        self.peak = max(self.peak, connections / max(1.0, self.endpoints.total_size))

    def evidence_lifetime_factor(self) -> float:
        """Returns the factor by which evidence counts for longer at this proxy.

        A proxy with less than one connection per server gets new evidence less often, by that factor.
        """
        settings = self.context.settings
        max_factor = settings.slow_start_time / settings.overload_window
        return min(max_factor, 1 / min(1.0, self.counts.mean() + MEAN_OFFSET))
