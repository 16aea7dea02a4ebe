"""Reports exchanged with the other proxies: message times, loads, slow-start permits, servers of groups."""

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
    """Passes reports of other proxies to the decisions, and those of the decisions to the link.

    Nothing is sent if there is no link, if the settings don't allow it, or if a successor process reports for
    this proxy.
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
        """Sets the link to the other proxies; None: nothing more is sent to them."""
        self.link = link

    def update_settings(self, settings: Settings) -> None:
        """Applies new settings."""
        self._settings = settings

    def endpoints_changed(self) -> None:
        """Discards the cached tags, whose width and uniqueness depend on the whole list."""
        self._server_tags = None

    def server_tags(self) -> ServerTags:
        """Returns the tags that identify servers in messages between proxies."""
        if self._server_tags is None:
            self._server_tags = ServerTags(self._balancer.servers.values())
            if ambiguous := self._server_tags.ambiguous_servers():
                names = " and ".join(server.id for server in ambiguous)
                self._log.write_line(f"peers: {names} are left out of reports: their tags collide")
        return self._server_tags

    # Received from other proxies.

    def message_time_received(self, server: Server, seconds: float, typical_delay: float) -> None:
        """Handles a message time, and the typical delay of a probe in the server's zone (0: not reported)."""
        endpoint = upstream_endpoint_of(server)
        endpoint.record_typical_delay(typical_delay or endpoint.reported_typical_delay)
        self._balancer.message_time_reported(self._clock.now(), server, seconds)

    def load_report_received(
        self, peer: int, connections: dict[Server, int], complete: bool, is_aggregate: bool
    ) -> None:
        """Handles connections by server of a peer or the aggregate; `complete`: there are no others."""
        self._balancer.load_report_received(
            self._clock.now(), peer, connections.items(), complete, is_aggregate
        )

    def permit_message_received(self, peer: int, server: Server, message: int) -> None:
        """Handles a request for a slow-start permit, or the answer to one."""
        self._balancer.permit_message_received(self._clock.now(), peer, server, message)

    def group_server_received(self, ring_position: int, server: Server) -> None:
        """Handles the report of an affinity group's server."""
        self._balancer.group_server_reported(self._clock.now(), ring_position, server)

    # Sent to other proxies.

    def report_message_time(self, server: Server, seconds: float) -> None:
        """Reports a message time, and the typical delay of probes if it has changed."""
        if link := self._active_link():
            link.report_message_time(server, seconds, self._health_probes.take_unreported_delay(server))

    def send_load_report(
        self,
        connections: Iterable[tuple[Server, int]],
        complete: bool,
        recipient: int | None,
        is_aggregate: bool,
    ) -> None:
        """Sends connections by server to one peer, given by number, or to all peers (None)."""
        link = self._active_link()
        if link is None:
            return
        # Connections at the predecessor are included; otherwise each handoff would look like a new
        # connection.
        at_predecessor = self._siblings.connections_at_predecessor
        counts = {server: count + at_predecessor(server) for server, count in connections}
        for server in self._balancer.ready_servers if complete else ():
            if server not in counts and (count := at_predecessor(server)):
                counts[server] = count
        link.send_load_report(counts, complete, recipient, is_aggregate)

    def send_permit_message(self, server: Server, recipient: int, message: int) -> None:
        """Requests a slow-start permit from a peer, or answers a peer's request."""
        if link := self._active_link():
            link.send_permit_message(server, recipient, message)

    def report_group_servers(self, group_servers: Iterable[tuple[int, Server]]) -> None:
        """Reports the servers of affinity groups."""
        if link := self._active_link():
            link.report_group_servers(dict(group_servers))

    def _active_link(self) -> PeerLink | None:
        if self._settings.may_message_peers and not self._siblings.has_successor:
            return self.link
        return None
