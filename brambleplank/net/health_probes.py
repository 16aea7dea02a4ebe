"""Probes, and what their delays say of how long messages take at a server.

A line to an overloaded server comes back as fast as ever, so the time of messages cannot be read off lines. A
probe is work for its server: where messages take their target time, it takes about twice its typical delay.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from brambleplank.interfaces import HealthProbe
from brambleplank.model import Address, EndpointStatus, Settings
from brambleplank.net.clock import Clock
from brambleplank.net.upstream_endpoint import upstream_endpoint_of
from brambleplank.records import Server

MIN_SAMPLES = 4  # of a server, before anything is reported of it
MIN_SAMPLES_WITH_BASELINE = 2  # the same where other servers are known to compare with
TYPICAL_DELAY_DIVISOR = 4  # the lower quarter; with few delays, the half
MAX_SAME_SIZE_RATIO = 1.3  # times the typical delay of servers of its size that a sound server's may be
MAX_ANY_SIZE_RATIO = 2  # times the typical delay of other servers that a sound server's may be
SAME_ZONE_JITTER = 0.1  # share of a delay that the way alone adds now and then
CROSS_ZONE_JITTER = 0.25  # the same to a server of another zone
CONFIRMATION_EXCESS = 1 / 3  # of the work of a probe; a longer excess has to be confirmed
PROBE_TIMEOUT = 5.0  # seconds; a probe that is still out by then is not coming back


class DelayBaseline(NamedTuple):
    """What the typical delay of a sound server is at most, as other servers show."""

    limit: float  # seconds; 0: there are too few to compare with
    max_ratio: float  # by which factor sound servers may lie apart


class HealthProbes:
    """The probes of this proxy, one connection a server."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        ready: Callable[[], list[Server]],
        measured: Callable[[Server, float], None],
        open_probe: Callable[[HealthProbes, Server, Address], HealthProbe],
    ) -> None:
        """`measured` gets the message time of a server in seconds; `open_probe` sends a first probe."""
        self.clock = clock
        self.settings = settings
        self._ready_servers = ready
        self._message_time_measured = measured
        self._open_probe = open_probe
        self._probes: dict[Server, HealthProbe] = {}

    def update_settings(self, settings: Settings) -> None:
        """Goes by new settings; ends all probes if these allow none."""
        self.settings = settings
        if not settings.probes_endpoints:
            for probe in list(self._probes.values()):
                probe.close()

    def send(self, server: Server) -> None:
        """Probes a server, unless a probe is out there."""
        address = upstream_endpoint_of(server).address
        probe = self._probes.get(server)
        if probe is None:
            if address:
                self._probes[server] = self._open_probe(self, server, address)
        elif not probe.sent_at:
            probe.send()
        elif self.clock.now() > probe.sent_at + PROBE_TIMEOUT:
            # A dead machine neither answers nor ends the connection; the probe would wait for ever.
            probe.close()

    def probe_closed(self, probe: HealthProbe) -> None:
        """The connection of a probe has ended."""
        self._probes.pop(probe.server, None)

    def close_unready(self) -> None:
        """Ends the probes of servers that are not ready: a removed machine would hold a descriptor."""
        for server, probe in list(self._probes.items()):
            if server.status is not EndpointStatus.READY:
                probe.close()

    def probe_answered(self, probe: HealthProbe, delay: float) -> None:
        """A probe has been answered after a delay in seconds: reports what it says of message times."""
        server = probe.server
        endpoint = upstream_endpoint_of(server)
        endpoint.record_probe_delay(delay)
        baseline = self.delay_baseline(server)
        in_zone = self.is_in_zone(server)
        is_comparable = in_zone and baseline.limit > 0
        if len(endpoint.probe_delays) < (MIN_SAMPLES_WITH_BASELINE if is_comparable else MIN_SAMPLES):
            if in_zone:
                self._message_time_measured(server, 0.0)  # nothing to say yet, but other proxies can compare
            return
        excess = self.excess(server, delay, baseline if is_comparable else None)
        if excess > CONFIRMATION_EXCESS and len(probe.unconfirmed_excesses) < (1 if in_zone else 2):
            # One late packet looks like overload: a long delay counts once further probes confirm it.
            probe.unconfirmed_excesses.append(excess)
            probe.send()
            return
        confirmed = min([excess, *probe.unconfirmed_excesses])
        probe.unconfirmed_excesses.clear()
        self._message_time_measured(server, confirmed * self.settings.shortest_message_objective)

    def excess(self, server: Server, delay: float, baseline: DelayBaseline | None) -> float:
        """Returns by how much a delay is longer than typical, as a share of the work of a probe."""
        in_zone = self.is_in_zone(server)
        typical = self.typical_delay(server)
        if baseline is not None:
            # A server that was slow before this proxy began would look typical while it is slow; one that
            # hung meanwhile answered at once, and would look slow ever after.
            typical = max(min(typical, baseline.limit), baseline.limit / baseline.max_ratio**2)
        work = typical if in_zone else self.typical_probe_work() or typical
        jitter = SAME_ZONE_JITTER if in_zone else CROSS_ZONE_JITTER
        return (delay - (1 + jitter) * typical) / work

    def is_in_zone(self, server: Server) -> bool:
        """Returns whether a server is in the zone of this proxy."""
        return server.zone == self.settings.zone

    def typical_delay(self, server: Server) -> float:
        """Returns a low delay, not the lowest: a hung server answers probes faster than any sound one."""
        delays = sorted(upstream_endpoint_of(server).probe_delays)
        if not delays:
            return 0.0
        return delays[len(delays) // (TYPICAL_DELAY_DIVISOR if len(delays) >= MIN_SAMPLES else 2)]

    def take_unreported_delay(self, server: Server) -> float:
        """Returns the typical delay if other proxies do not have it yet, and takes it as reported; else 0.

        What every proxy reports, every other has to read.
        """
        typical = self.typical_delay(server)
        endpoint = upstream_endpoint_of(server)
        reported = endpoint.reported_typical_delay
        has_few = len(endpoint.probe_delays) < MIN_SAMPLES_WITH_BASELINE
        if has_few or not self.is_in_zone(server) or abs(typical - reported) <= SAME_ZONE_JITTER * reported:
            return 0.0
        endpoint.record_typical_delay(typical)
        return typical

    def delay_within_zone(self, server: Server) -> float:
        """Returns the typical delay as seen by a proxy of the server's zone; 0: not known."""
        if self.is_in_zone(server):
            return self.typical_delay(server)
        return upstream_endpoint_of(server).reported_typical_delay

    def delay_baseline(self, server: Server) -> DelayBaseline:
        """Returns the typical delay that a sound server has at most, as the others show.

        Its limit is 0 with fewer than two to compare with, as either may be the odd one. Where most servers
        are late, the typical delay of most of them is late too: so machines of one size are compared, and a
        low one of them taken; only where there are none, machines that may differ.
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
        """Returns what most probes take at servers that are not overloaded; 0: not known."""
        delays = self.known_delays(self._ready_servers())
        return delays[(len(delays) - 1) // 2] if delays else 0.0

    def known_delays(self, servers: list[Server]) -> list[float]:
        """Returns the known delays of servers within their zones, in ascending order."""
        return sorted(known for server in servers if (known := self.delay_within_zone(server)))
