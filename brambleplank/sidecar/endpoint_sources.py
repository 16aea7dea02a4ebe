"""The endpoint sources of a sidecar: its own file, a file of servers, or Consul."""

from __future__ import annotations

from brambleplank import addresses
from brambleplank.discovery.consul.answers import MetadataKeys
from brambleplank.discovery.consul.health import HealthSettings
from brambleplank.discovery.consul.source import ConsulSettings, ConsulSource
from brambleplank.discovery.file import server_file
from brambleplank.discovery.file.source import FileSource
from brambleplank.net.proxy import Proxy
from brambleplank.sidecar.reader import LoadedFile
from brambleplank.sidecar.shapes import Consul


class StaticEndpoints:
    """The servers listed in the sidecar's own file, which change only on SIGHUP."""

    def __init__(self, proxy: Proxy, servers: list[server_file.Server]) -> None:
        self.proxy = proxy
        self.servers = servers

    def ensure_watching(self) -> None:
        """Does nothing: there is nothing to watch."""

    def stop(self) -> None:
        """Does nothing: nothing is watched."""

    def apply_initial_list(self) -> None:
        """Passes the complete list to the proxy."""
        self.proxy.endpoints_received(*server_file.endpoints_of(self.servers), True)

    def update(self, servers: list[server_file.Server]) -> None:
        """Passes a new list to the proxy if it differs from the current one."""
        if servers != self.servers:
            self.servers = servers
            self.apply_initial_list()


def endpoint_source(proxy: Proxy, loaded: LoadedFile) -> FileSource | ConsulSource | StaticEndpoints:
    """Returns the endpoint source that a file configures; the caller starts it."""
    path = loaded.servers_path()
    if path is not None:
        return FileSource(proxy, path, loaded.servers)
    if loaded.file is not None and loaded.file.consul is not None:
        return ConsulSource(proxy, consul_settings(loaded.file.consul))
    return StaticEndpoints(proxy, loaded.servers)


def consul_settings(consul: Consul) -> ConsulSettings:
    """Returns the settings of Consul discovery from the table `consul`."""
    return ConsulSettings(
        [address for address in map(addresses.parse, consul.agents) if address],
        consul.services,
        consul.datacenter,
        consul.tag,
        consul.reads,
        consul.wait,
        consul.token_file,
        MetadataKeys(consul.zone_key, consul.cell_key, consul.size_key, consul.started_key, consul.state_key),
        HealthSettings(
            consul.settle, consul.steady, consul.steadiest, consul.forget, consul.healthy, consul.stalest
        ),
    )
