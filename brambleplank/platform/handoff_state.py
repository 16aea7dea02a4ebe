"""What a process hands to the next one of the same proxy: its stored form and its adoption. Free of I/O.

All that decisions depend on is in it, with the times at which it was learnt: which servers are out of
rotation, since when which of them drain, what slow start has sent, ids in use; and what takes long to learn
again. Times are those of `Clock.now`: the next process goes on by the clock of the one before, whose anchor
comes along, as each sets its own by a wall clock that may have been stepped in between.

The keys are a stored form that processes of other releases read; fields may be renamed without any change
of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from brambleplank.checks import InvalidConfigurationError, check_value, parse_address
from brambleplank.decisions.history import BalancerHistory
from brambleplank.decisions.rotation import Rotation, unknown_endpoint
from brambleplank.discovery.platform.discovery import Discovery
from brambleplank.discovery.platform.endpoint_list import MalformedListError, decode_list, encode_list
from brambleplank.model import Address, EndpointStatus
from brambleplank.net.proxy import Proxy
from brambleplank.net.upstream_endpoint import upstream_endpoint_of
from brambleplank.platform.server_state import ServerState
from brambleplank.platform.stored_values import address_text, each, items, number, table, texts, two, whole
from brambleplank.records import UNREPORTED_POSITION_BITS

FORM = 1
DISPLACED_LIFETIME = 2  # times a planned stop: until then groups that are moved away reconnect


class StartTime(NamedTuple):
    """When a server started, in seconds."""

    reported: float  # Unix time, as discovery reported it
    monotonic: float  # the same on the clock of this proxy


class Outage(NamedTuple):
    """A span, now over, in which an operator had a server out of rotation."""

    since: float
    until: float


class GroupServer(NamedTuple):
    """The server of an affinity group that is not at the one that its ring position gives."""

    ring_position: int
    server_id: str
    until: float

    @classmethod
    def decode(cls, stored: Any, key: str) -> GroupServer:
        """Reads the stored form. Raises InvalidConfigurationError, which names the key."""
        if len(items(stored, key)) != 3:
            raise InvalidConfigurationError(f"{key}: need three values")
        check_value(stored[1], key, str)
        return cls(whole(stored[0], key), stored[1], number(stored[2], key))


@dataclass(frozen=True)
class EndpointListState:
    """The endpoint list, in discovery's form, and the discovery service that sent it."""

    encoded_list: dict[str, Any]
    discovery: Address

    @classmethod
    def capture(cls, proxy: Proxy, discovery: Discovery) -> EndpointListState:
        """The list as this process has it: with starts as reported, without what operators called for."""
        addresses = {
            server.id: address
            for server in proxy.balancer.servers.values()
            if (address := upstream_endpoint_of(server).address)
        }
        reported = {server_id: start for server_id, (start, _) in proxy.start_times.starts.items()}
        endpoints = [
            endpoint._replace(started=reported.get(endpoint.id, 0.0))
            for endpoint in proxy.rotation.listed.values()
            if endpoint.status is not EndpointStatus.REMOVED and endpoint.id in addresses
        ]
        return cls(encode_list(discovery.newest_version, endpoints, addresses), discovery.address)

    def encode(self) -> dict[str, Any]:
        """The stored form, as plain values for JSON."""
        return {"list": self.encoded_list, "discovery": address_text(self.discovery)}

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> EndpointListState:
        """Reads the stored form. Raises InvalidConfigurationError, which names the key."""
        try:
            decode_list(stored.get("list"))
        except MalformedListError as error:
            raise InvalidConfigurationError(f"estate.list: {error}") from None
        return cls(stored["list"], parse_address(stored.get("discovery"), "estate.discovery"))


@dataclass(frozen=True)
class RotationState:
    """What operators called for."""

    removed_servers: list[str]  # that were listed once
    out_since: dict[str, float]
    previous_outages: dict[str, Outage]

    @classmethod
    def capture(cls, rotation: Rotation) -> RotationState:
        """The state at this process."""
        removed = [e.id for e in rotation.listed.values() if e.status is EndpointStatus.REMOVED]
        outages = {server_id: Outage(*outage) for server_id, outage in rotation.previous_outages.items()}
        return cls(removed, dict(rotation.out_since), outages)

    def encode(self) -> dict[str, Any]:
        """The stored form, as plain values for JSON."""
        return {"once": self.removed_servers, "out": self.out_since, "back": self.previous_outages}

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> RotationState:
        """Reads the stored form. Raises InvalidConfigurationError, which names the key."""
        outages = each(stored.get("back"), "estate.back", two)
        return cls(
            removed_servers=texts(stored.get("once"), "estate.once"),
            out_since=each(stored.get("out"), "estate.out", number),
            previous_outages={server_id: Outage(*outage) for server_id, outage in outages.items()},
        )

    def restore(self, rotation: Rotation) -> None:
        """Sets the rotation of this process to the state; it has received no list yet."""
        rotation.out_since = dict(self.out_since)
        rotation.previous_outages = dict(self.previous_outages)
        rotation.apply([unknown_endpoint(server_id) for server_id in self.removed_servers], False)


@dataclass(frozen=True)
class LifecycleState:
    """How far the proxy is between its start and its end."""

    draining: bool
    serving: bool
    started_at: float
    clock_anchor: float | None  # None: it comes from an older release

    @classmethod
    def capture(cls, proxy: Proxy) -> LifecycleState:
        """The state of this process."""
        return cls(proxy.draining, proxy.serving, proxy.started_at, proxy.clock.epoch_offset)

    def encode(self) -> dict[str, Any]:
        """The stored form, as plain values for JSON."""
        return {
            "draining": self.draining,
            "serving": self.serving,
            "started": self.started_at,
            "clock": self.clock_anchor,
        }

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> LifecycleState:
        """Reads the stored form. Raises InvalidConfigurationError, which names the key."""
        for key in ("draining", "serving"):
            check_value(stored.get(key), f"estate.{key}", bool)
        return cls(
            draining=stored["draining"],
            serving=stored["serving"],
            started_at=number(stored.get("started"), "estate.started"),
            clock_anchor=number(stored["clock"], "estate.clock") if "clock" in stored else None,
        )


@dataclass(frozen=True)
class BalancerState:
    """What the balancer has learnt of all servers together, and of affinity groups."""

    history: BalancerHistory
    group_servers: list[GroupServer]

    @classmethod
    def capture(cls, proxy: Proxy) -> BalancerState:
        """The state at this process."""
        return cls(history=proxy.balancer.history(), group_servers=cls.captured_group_servers(proxy))

    @staticmethod
    def captured_group_servers(proxy: Proxy) -> list[GroupServer]:
        """Groups by ring position: those that other proxies reported, then those displaced here."""
        groups = proxy.balancer.groups
        now = proxy.clock.now()
        until = now + DISPLACED_LIFETIME * proxy.settings.shutdown_time
        found = {
            position: GroupServer(position, server.id, reported_until)
            for position, (server, reported_until) in groups.reported.items()
            if reported_until > now
        }
        for key, server in groups.displaced.items():
            position = key >> UNREPORTED_POSITION_BITS
            found[position] = GroupServer(position, server.id, until)
        return list(found.values())

    def encode(self) -> dict[str, Any]:
        """The stored form, as plain values for JSON."""
        history = self.history
        return {
            "all": {"gap": history.usual_response_time, "begun": history.first_list_at},
            "served": [history.served, history.served_at],
            "limit": history.concurrency_limit,
            "homes": [list(group) for group in self.group_servers],
        }

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> BalancerState:
        """Reads the stored form. Raises InvalidConfigurationError, which names the key."""
        learnt = table(stored.get("all"), "estate.all")
        served, served_at = two(stored.get("served"), "estate.served")
        groups = items(stored.get("homes"), "estate.homes")
        return cls(
            history=BalancerHistory(
                usual_response_time=number(learnt.get("gap"), "estate.all.gap", -1),
                first_list_at=number(learnt.get("begun"), "estate.all.begun", -1),
                served=served,
                served_at=served_at,
                concurrency_limit=number(stored.get("limit"), "estate.limit"),
            ),
            group_servers=[
                GroupServer.decode(group, f"estate.homes[{index}]") for index, group in enumerate(groups)
            ],
        )

    def restore(self, proxy: Proxy) -> None:
        """Sets the balancer of this process to the state; its servers are known already."""
        balancer = proxy.balancer
        balancer.restore(self.history)
        for group in self.group_servers:
            server = balancer.servers.get(group.server_id)
            if server is not None:
                balancer.groups.reported[group.ring_position] = server, group.until


@dataclass(frozen=True)
class HandoffState:
    """All of it, decoded and checked."""

    endpoints: EndpointListState
    rotation: RotationState
    lifecycle: LifecycleState
    start_times: dict[str, StartTime]
    balancer: BalancerState
    used_ids: list[str]  # of requests, in use or so lately that they are not accepted again
    servers: dict[str, ServerState]

    @classmethod
    def capture(cls, proxy: Proxy, discovery: Discovery) -> HandoffState:
        """The state of this process."""
        starts = proxy.start_times.starts.items()
        return cls(
            endpoints=EndpointListState.capture(proxy, discovery),
            rotation=RotationState.capture(proxy.rotation),
            lifecycle=LifecycleState.capture(proxy),
            start_times={server_id: StartTime(*start) for server_id, start in starts},
            balancer=BalancerState.capture(proxy),
            used_ids=[*proxy.admission.recent_ids, *proxy.admission.open_ids],
            servers={server.id: ServerState.of(server) for server in proxy.balancer.servers.values()},
        )

    def encode(self) -> dict[str, Any]:
        """The stored form, as plain values for JSON."""
        return {
            **self.endpoints.encode(),
            **self.rotation.encode(),
            **self.lifecycle.encode(),
            "starts": self.start_times,
            **self.balancer.encode(),
            "ids": self.used_ids,
            "servers": {server_id: server.encode() for server_id, server in self.servers.items()},
        }

    @classmethod
    def decode(cls, stored: Any) -> HandoffState:
        """Reads the stored form.

        Raises InvalidConfigurationError, which names the key; then nothing of it is used.
        """
        check_value(stored, "estate", dict)
        starts = each(stored.get("starts", {}), "estate.starts", two)
        servers = each(stored.get("servers"), "estate.servers", table)
        return cls(
            endpoints=EndpointListState.decode(stored),
            rotation=RotationState.decode(stored),
            lifecycle=LifecycleState.decode(stored),
            start_times={server_id: StartTime(*start) for server_id, start in starts.items()},
            balancer=BalancerState.decode(stored),
            used_ids=texts(stored.get("ids"), "estate.ids"),
            servers={
                server_id: ServerState.decode(server, f"estate.servers.{server_id:.40}")
                for server_id, server in servers.items()
            },
        )

    def restore(self, proxy: Proxy, discovery: Discovery) -> None:
        """Sets this process to the state; it has received no list yet."""
        if self.lifecycle.clock_anchor is not None:
            proxy.clock.adopt_epoch_offset(self.lifecycle.clock_anchor)
        proxy.start_times.starts = dict(self.start_times)
        self.rotation.restore(proxy.rotation)
        discovery.apply_initial_list(self.endpoints.encoded_list, self.endpoints.discovery)
        proxy.adopt_state(self.lifecycle.started_at, self.lifecycle.serving)
        for server in proxy.balancer.servers.values():
            if server.id in self.servers:
                self.servers[server.id].restore(server)
        self.balancer.restore(proxy)
        self.migrate_from_servers_out(proxy)
        proxy.admission.reserve_ids(self.used_ids)
        if self.lifecycle.draining:
            proxy.operator_commands.adopt_drain(proxy.clock.now())

    def migrate_from_servers_out(self, proxy: Proxy) -> None:
        """Sessions at servers that are out of rotation are handed off too, and are migrated from there."""
        now = proxy.clock.now()
        for server_id in self.rotation.out_since:
            server = proxy.balancer.servers.get(server_id)
            if server is not None:
                proxy.balancer.migrate_all_from(now, server)
