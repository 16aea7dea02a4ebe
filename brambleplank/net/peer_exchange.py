"""What this proxy exchanges with the other proxies: message times, loads, permits, servers of groups."""

from __future__ import annotations

from collections.abc import Iterable

from brambleplank.decisions.balancer import Balancer
from brambleplank.model import Settings
from brambleplank.net.clock import Clock
from brambleplank.net.health_probes import HealthProbes
from brambleplank.net.log import LogWriter
from brambleplank.net.peer_link import PeerLink
from brambleplank.net.sibling_processes import SiblingProcesses
from brambleplank.net.upstream_endpoint import upstream_endpoint_of
from brambleplank.records import Server
from brambleplank.server_tags import ServerTags


class PeerExchange:
    """Hands reports of other proxies to the decisions, and reports of the decisions to the link.

    Nothing is sent without a link, where the settings do not allow it, or once a successor speaks for this
    proxy.
    """

    def __init__(
        self,
        clock: Clock,
        log: LogWriter,
        settings: Settings,
        balancer: Balancer,
        health_probes: HealthProbes,
        siblings: SiblingProcesses,
    ) -> None:
        self.link: PeerLink | None = None
        self._clock = clock
        self._log = log
        self._settings = settings
        self._balancer = balancer
        self._health_probes = health_probes
        self._siblings = siblings
        self._server_tags: ServerTags | None = None

    def set_link(self, link: PeerLink | None) -> None:
        """Registers the link to the other proxies; None ends what is sent to them."""
        self.link = link

    def update_settings(self, settings: Settings) -> None:
        """Goes by new settings."""
        self._settings = settings

    def endpoints_changed(self) -> None:
        """Forgets the servers' tags, which depend on the whole list."""
        self._server_tags = None

    def server_tags(self) -> ServerTags:
        """Returns how proxies name the servers to each other."""
        if self._server_tags is None:
            self._server_tags = ServerTags(self._balancer.servers.values())
            if nameless := self._server_tags.ambiguous_servers():
                names = " and ".join(server.id for server in nameless)
                self._log.write_line(f"peers: {names} are left out of reports: their tags collide")
        return self._server_tags

    # Received from other proxies.

    def message_time_received(self, server: Server, seconds: float, typical_delay: float) -> None:
        """Message time at a server, and the typical delay of a probe within its zone (0: not reported)."""
        endpoint = upstream_endpoint_of(server)
        endpoint.record_typical_delay(typical_delay or endpoint.reported_typical_delay)
        self._balancer.message_time_reported(self._clock.now(), server, seconds)

    def load_report_received(self, peer: int, held: dict[Server, int], whole: bool, summed: bool) -> None:
        """Connections by server at a peer, or summed over the fleet; `whole`: it has none elsewhere."""
        self._balancer.load_report_received(self._clock.now(), peer, held.items(), whole, summed)

    def permit_message_received(self, peer: int, server: Server, word: int) -> None:
        """A request for a slow-start permit, or the answer to one."""
        self._balancer.permit_message_received(self._clock.now(), peer, server, word)

    def group_server_received(self, ring_position: int, server: Server) -> None:
        """Where an affinity group is placed."""
        self._balancer.group_server_reported(self._clock.now(), ring_position, server)

    # Sent to other proxies.

    def report_message_time(self, server: Server, seconds: float) -> None:
        """Reports a message time, with the typical delay of probes if that has changed."""
        if link := self._active_link():
            link.report_message_time(server, seconds, self._health_probes.take_unreported_delay(server))

    def send_load_report(
        self, held: Iterable[tuple[Server, int]], whole: bool, to: int | None, summed: bool
    ) -> None:
        """Sends connections by server to one peer, or to all of them (None)."""
        link = self._active_link()
        if link is None:
            return
        # Without the predecessor's connections, those that it hands off would look like new ones to others.
        at_predecessor = self._siblings.connections_at_predecessor
        counts = {server: count + at_predecessor(server) for server, count in held}
        for server in self._balancer.ready_servers if whole else ():
            if server not in counts and (count := at_predecessor(server)):
                counts[server] = count
        link.send_load_report(counts, whole, to, summed)

    def send_permit_message(self, server: Server, to: int, word: int) -> None:
        """Asks a peer for a slow-start permit, or answers one that asked."""
        if link := self._active_link():
            link.send_permit_message(server, to, word)

    def report_group_servers(self, group_servers: Iterable[tuple[int, Server]]) -> None:
        """Reports where affinity groups are placed."""
        if link := self._active_link():
            link.report_group_servers(dict(group_servers))

    def _active_link(self) -> PeerLink | None:
        if self._settings.may_message_peers and not self._siblings.has_successor:
            return self.link
        return None
