"""Probes of servers, and the message times derived from their delays.

An overloaded server echoes lines as fast as an idle one, so message times cannot be measured on lines. A
probe is work for its server: where messages take their objective time, a probe takes about twice its typical
delay.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from brambleplank.interfaces import HealthProbe
from brambleplank.model import Address, EndpointStatus, Settings
from brambleplank.net.clock import Clock
from brambleplank.net.upstream_endpoint import upstream_endpoint_of
from brambleplank.records import Server

MIN_SAMPLES = 4  # delays of a server before message times are derived from them
MIN_SAMPLES_WITH_BASELINE = 2  # the same if there is a baseline from other servers
TYPICAL_DELAY_DIVISOR = 4  # the typical delay is the lower quartile; with fewer than MIN_SAMPLES, the median
MAX_SAME_SIZE_RATIO = 1.3  # largest ratio between typical delays of healthy servers of one size
MAX_ANY_SIZE_RATIO = 2  # the same for servers of different sizes
SAME_ZONE_JITTER = 0.1  # share of the typical delay that network jitter may add within a zone
CROSS_ZONE_JITTER = 0.25  # the same between zones
CONFIRMATION_EXCESS = 1 / 3  # share of the work of a probe; a larger excess delay has to be confirmed
PROBE_TIMEOUT = 5.0  # seconds after which an unanswered probe is given up


class DelayBaseline(NamedTuple):
    """The largest typical delay of a healthy server, derived from other servers."""

    limit: float  # seconds; 0: there are too few servers to compare with
    max_ratio: float  # largest ratio between typical delays of healthy servers


class HealthProbes:
    """The health probes of this proxy, with one connection per server."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        ready_servers: Callable[[], list[Server]],
        message_time_measured: Callable[[Server, float], None],
        open_probe: Callable[[HealthProbes, Server, Address], HealthProbe],
    ) -> None:
        """Message times are in seconds; `open_probe` connects to a server and sends a probe."""
        self.clock = clock
        self.settings = settings
        self._ready_servers = ready_servers
        self._message_time_measured = message_time_measured
        self._open_probe = open_probe
        self._probes: dict[Server, HealthProbe] = {}

    def update_settings(self, settings: Settings) -> None:
        """Applies new settings; closes all probes if probing is no longer allowed."""
        self.settings = settings
        if not settings.probes_endpoints:
            for probe in list(self._probes.values()):
                probe.close()

    def send(self, server: Server) -> None:
        """Sends a probe to a server, unless one is in flight."""
        address = upstream_endpoint_of(server).address
        probe = self._probes.get(server)
        if probe is None:
            if address:
                self._probes[server] = self._open_probe(self, server, address)
        elif not probe.sent_at:
            probe.send()
        elif self.clock.now() > probe.sent_at + PROBE_TIMEOUT:
            # A dead machine neither answers nor closes the connection, so the probe would wait forever.
            probe.close()

    def probe_closed(self, probe: HealthProbe) -> None:
        """Removes a probe whose connection has closed."""
        self._probes.pop(probe.server, None)

    def close_unready(self) -> None:
        """Closes the probes of unready servers; those of a removed machine would keep their descriptors."""
        for server, probe in list(self._probes.items()):
            if server.status is not EndpointStatus.READY:
                probe.close()

    def probe_answered(self, probe: HealthProbe, delay: float) -> None:
        """Handles the answer to a probe after a delay in seconds; reports the resulting message time."""
        server = probe.server
        endpoint = upstream_endpoint_of(server)
        endpoint.record_probe_delay(delay)
        baseline = self.delay_baseline(server)
        in_zone = self.is_in_zone(server)
        is_comparable = in_zone and baseline.limit > 0
        if len(endpoint.probe_delays) < (MIN_SAMPLES_WITH_BASELINE if is_comparable else MIN_SAMPLES):
            if in_zone:
                # There are too few samples for a message time, but peers can use the typical delay.
                self._message_time_measured(server, 0.0)
            return
        excess = self.excess(server, delay, baseline if is_comparable else None)
        if excess > CONFIRMATION_EXCESS and len(probe.unconfirmed_excesses) < (1 if in_zone else 2):
            # One late packet looks like overload, so a long delay counts only once further probes confirm it.
            probe.unconfirmed_excesses.append(excess)
            probe.send()
            return
        confirmed = min([excess, *probe.unconfirmed_excesses])
        probe.unconfirmed_excesses.clear()
        self._message_time_measured(server, confirmed * self.settings.shortest_message_objective)

    def excess(self, server: Server, delay: float, baseline: DelayBaseline | None) -> float:
        """Returns the excess of a delay over the typical delay and jitter, as a share of a probe's work."""
        in_zone = self.is_in_zone(server)
        typical = self.typical_delay(server)
        if baseline is not None:
            # Without the upper bound, a server that has been slow since before this proxy started would look
            # normal. Without the lower bound, a server that hung, and so answered probes at once, would look
            # slow from then on.
            typical = max(min(typical, baseline.limit), baseline.limit / baseline.max_ratio**2)
        work = typical if in_zone else self.typical_probe_work() or typical
        jitter = SAME_ZONE_JITTER if in_zone else CROSS_ZONE_JITTER
        return (delay - (1 + jitter) * typical) / work

    def is_in_zone(self, server: Server) -> bool:
        """Returns whether a server is in this proxy's zone."""
        return server.zone == self.settings.zone

    def typical_delay(self, server: Server) -> float:
        """Returns a low quantile of the delays; not the minimum, as hung servers answer probes fastest."""
        delays = sorted(upstream_endpoint_of(server).probe_delays)
        if not delays:
            return 0.0
        return delays[len(delays) // (TYPICAL_DELAY_DIVISOR if len(delays) >= MIN_SAMPLES else 2)]

    def take_unreported_delay(self, server: Server) -> float:
        """Returns the typical delay and marks it as reported, if it differs from the last report; else 0.

        Small changes are left out because every proxy receives the reports of all others.
        """
        typical = self.typical_delay(server)
        endpoint = upstream_endpoint_of(server)
        reported = endpoint.reported_typical_delay
        has_too_few_samples = len(endpoint.probe_delays) < MIN_SAMPLES_WITH_BASELINE
        if (
            has_too_few_samples
            or not self.is_in_zone(server)
            or abs(typical - reported) <= SAME_ZONE_JITTER * reported
        ):
            return 0.0
        endpoint.record_typical_delay(typical)
        return typical

    def delay_within_zone(self, server: Server) -> float:
        """Returns the typical delay as measured by a proxy in the server's zone; 0: unknown."""
        if self.is_in_zone(server):
            return self.typical_delay(server)
        return upstream_endpoint_of(server).reported_typical_delay

    def delay_baseline(self, server: Server) -> DelayBaseline:
        """Returns the largest typical delay of a healthy server, derived from the other servers.

        With fewer than two others to compare with, the limit is 0, as either server may be the outlier. If
        most servers are slow, the median is slow too. The limit is therefore derived from a low delay among
        servers of the same size, or, if there are fewer than two of these, from the median over all sizes.
        """
        others = [other for other in self._ready_servers() if other is not server]
        same_size = [other for other in others if other.size == server.size]
        delays = self.known_delays(same_size)
        if len(delays) > 1:
            return DelayBaseline(
                MAX_SAME_SIZE_RATIO * delays[(len(delays) - 1) // 4 or 1], MAX_SAME_SIZE_RATIO
            )
        delays = self.known_delays(others)
        if len(delays) > 1:
            return DelayBaseline(MAX_ANY_SIZE_RATIO * delays[(len(delays) - 1) // 2], MAX_ANY_SIZE_RATIO)
        return DelayBaseline(0.0, MAX_ANY_SIZE_RATIO)

    def typical_probe_work(self) -> float:
        """Returns the median of the servers' typical delays within their zones; 0: unknown."""
        delays = self.known_delays(self._ready_servers())
        return delays[(len(delays) - 1) // 2] if delays else 0.0

    def known_delays(self, servers: list[Server]) -> list[float]:
        """Returns the known typical delays of servers within their zones, in ascending order."""
        return sorted(delay for server in servers if (delay := self.delay_within_zone(server)))
