"""Counts connections to servers that other processes of this proxy hold. Does no I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from brambleplank.net.proxy import Proxy


def record_connections_elsewhere(
    proxy: Proxy, process: object, held: Mapping[str, int], sent: Mapping[str, int]
) -> None:
    """Records the connections of another process, and the attempts that it has made, by server.

    `held` replaces the counts of its last report; `sent` counts the attempts since then. Without these counts
    each process would use the whole capacity of a server, and a server in slow start would get the attempts
    of its slot from each of them. A session that is handed off counts as held, and not as another attempt.
    """
    balancer = proxy.balancer
    now = proxy.clock.now()
    for server in balancer.servers.values():
        connections = held.get(server.id, 0)
        server.connections_elsewhere += connections - server.connections_by_peer.get(process, 0)
        server.connections_by_peer[process] = connections
        if attempts := sent.get(server.id, 0):
            balancer.slow_start.update_slot(now, server)
            server.slow_start_sent += attempts
    # Servers carry the load of both processes; compared with the share of one, they would look overloaded.
    balancer.connections_elsewhere_changed()


def connections_by_server(proxy: Proxy, processes: Collection[object]) -> dict[str, int]:
    """Returns the connections of this process and of the given others, by server, without zeros."""
    counts: dict[str, int] = {}
    for server in proxy.balancer.servers.values():
        elsewhere = sum(server.connections_by_peer.get(process, 0) for process in processes)
        count = server.connections + elsewhere
        if count:
            counts[server.id] = count
    return counts
