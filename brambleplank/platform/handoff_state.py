"""State that a process hands to its successor, with its stored form. Does no I/O.

It holds everything that decisions depend on, with the times at which it was learnt: servers out of rotation,
when servers began to drain, attempts sent during slow start, request ids in use, and measurements that take
long to repeat. Times are those of `Clock.now`. The successor adopts the epoch offset of its predecessor,
because each process derives its own from the wall clock, which may have been stepped in between.

Processes of other releases read the stored form, so its keys are fixed; attributes may be renamed.
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
from brambleplank.platform.stored_values import (
    address_text,
    decode_array,
    decode_integer,
    decode_mapping,
    decode_number,
    decode_number_pair,
    decode_object,
    decode_strings,
)
from brambleplank.records import UNREPORTED_POSITION_BITS

STATE_FORMAT = 1
DISPLACED_LIFETIME = 2  # multiple of the shutdown time in which sessions of moved groups reconnect


class StartTime(NamedTuple):
    """When a server started, in seconds."""

    reported: float  # Unix time, as discovery reported it
    monotonic: float  # the same time by `Clock.now`


class Outage(NamedTuple):
    """A past period in which an operator had taken a server out of rotation."""

    since: float
    until: float


class GroupServer(NamedTuple):
    """The server of an affinity group, where it is not the one at the group's ring position."""

    ring_position: int
    server_id: str
    until: float

    @classmethod
    def decode(cls, stored: Any, key: str) -> GroupServer:
        """Decodes the stored form. Raises InvalidConfigurationError, which names the key."""
        if len(decode_array(stored, key)) != 3:
            raise InvalidConfigurationError(f"{key}: need a ring position, a server id and a time")
        check_value(stored[1], key, str)
        return cls(decode_integer(stored[0], key), stored[1], decode_number(stored[2], key))


@dataclass(frozen=True)
class EndpointListState:
    """The endpoint list, in the format of discovery, and the address of the discovery service."""

    encoded_list: dict[str, Any]
    discovery: Address

    @classmethod
    def capture(cls, proxy: Proxy, discovery: Discovery) -> EndpointListState:
        """Captures the list, with start times as discovery reported them and without operator commands."""
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
        """Returns the stored form, as plain values for JSON."""
        return {"list": self.encoded_list, "discovery": address_text(self.discovery)}

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> EndpointListState:
        """Decodes the stored form. Raises InvalidConfigurationError, which names the key."""
        try:
            decode_list(stored.get("list"))
        except MalformedListError as error:
            raise InvalidConfigurationError(f"estate.list: {error}") from None
        return cls(stored["list"], parse_address(stored.get("discovery"), "estate.discovery"))


@dataclass(frozen=True)
class RotationState:
    """Effects of operator commands on the rotation, and servers that are no longer listed."""

    removed_servers: list[str]  # listed earlier, but not any more
    out_since: dict[str, float]
    previous_outages: dict[str, Outage]

    @classmethod
    def capture(cls, rotation: Rotation) -> RotationState:
        """Captures the state of this process."""
        removed = [e.id for e in rotation.listed.values() if e.status is EndpointStatus.REMOVED]
        outages = {server_id: Outage(*outage) for server_id, outage in rotation.previous_outages.items()}
        return cls(removed, dict(rotation.out_since), outages)

    def encode(self) -> dict[str, Any]:
        """Returns the stored form, as plain values for JSON."""
        return {"once": self.removed_servers, "out": self.out_since, "back": self.previous_outages}

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> RotationState:
        """Decodes the stored form. Raises InvalidConfigurationError, which names the key."""
        outages = decode_mapping(stored.get("back"), "estate.back", decode_number_pair)
        return cls(
            removed_servers=decode_strings(stored.get("once"), "estate.once"),
            out_since=decode_mapping(stored.get("out"), "estate.out", decode_number),
            previous_outages={server_id: Outage(*outage) for server_id, outage in outages.items()},
        )

    def restore(self, rotation: Rotation) -> None:
        """Applies the state to the rotation of this process, which has not received a list yet."""
        rotation.out_since = dict(self.out_since)
        rotation.previous_outages = dict(self.previous_outages)
        rotation.apply([unknown_endpoint(server_id) for server_id in self.removed_servers], False)


@dataclass(frozen=True)
class LifecycleState:
    """Readiness, drain and start time of the proxy, and the offset of its clock."""

    draining: bool
    draining_since: float | None  # None: unknown, in the state of an older release, or not draining
    serving: bool
    started_at: float
    epoch_offset: float | None  # None in the state of an older release

    @classmethod
    def capture(cls, proxy: Proxy) -> LifecycleState:
        """Captures the state of this process."""
        return cls(
            draining=proxy.draining,
            draining_since=proxy.operator_commands.draining_since,
            serving=proxy.serving,
            started_at=proxy.started_at,
            epoch_offset=proxy.clock.epoch_offset,
        )

    def encode(self) -> dict[str, Any]:
        """Returns the stored form, as plain values for JSON."""
        stored = {
            "draining": self.draining,
            "serving": self.serving,
            "started": self.started_at,
            "clock": self.epoch_offset,
        }
        if self.draining_since is not None:
            stored["draining_since"] = self.draining_since
        return stored

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> LifecycleState:
        """Decodes the stored form. Raises InvalidConfigurationError, which names the key."""
        for key in ("draining", "serving"):
            check_value(stored.get(key), f"estate.{key}", bool)
        return cls(
            draining=stored["draining"],
            draining_since=decode_number(stored["draining_since"], "estate.draining_since")
            if "draining_since" in stored
            else None,
            serving=stored["serving"],
            started_at=decode_number(stored.get("started"), "estate.started"),
            epoch_offset=decode_number(stored["clock"], "estate.clock") if "clock" in stored else None,
        )


@dataclass(frozen=True)
class BalancerState:
    """What the balancer has learnt about all servers together, and about affinity groups."""

    history: BalancerHistory
    group_servers: list[GroupServer]

    @classmethod
    def capture(cls, proxy: Proxy) -> BalancerState:
        """Captures the state of this process."""
        return cls(history=proxy.balancer.history(), group_servers=cls.capture_group_servers(proxy))

    @staticmethod
    def capture_group_servers(proxy: Proxy) -> list[GroupServer]:
        """Returns one entry per ring position; groups displaced here override those that proxies reported."""
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
        """Returns the stored form, as plain values for JSON."""
        history = self.history
        return {
            "all": {"gap": history.usual_response_time, "begun": history.first_list_at},
            "served": [history.served, history.served_at],
            "limit": history.concurrency_limit,
            "homes": [list(group) for group in self.group_servers],
        }

    @classmethod
    def decode(cls, stored: dict[str, Any]) -> BalancerState:
        """Decodes the stored form. Raises InvalidConfigurationError, which names the key."""
        all_servers = decode_object(stored.get("all"), "estate.all")
        served, served_at = decode_number_pair(stored.get("served"), "estate.served")
        groups = decode_array(stored.get("homes"), "estate.homes")
        return cls(
            history=BalancerHistory(
                usual_response_time=decode_number(all_servers.get("gap"), "estate.all.gap", -1),
                first_list_at=decode_number(all_servers.get("begun"), "estate.all.begun", -1),
                served=served,
                served_at=served_at,
                concurrency_limit=decode_number(stored.get("limit"), "estate.limit"),
            ),
            group_servers=[
                GroupServer.decode(group, f"estate.homes[{index}]") for index, group in enumerate(groups)
            ],
        )

    def restore(self, proxy: Proxy) -> None:
        """Applies the state to the balancer of this process, which has its servers already."""
        balancer = proxy.balancer
        balancer.restore(self.history)
        for group in self.group_servers:
            server = balancer.servers.get(group.server_id)
            if server is not None:
                balancer.groups.reported[group.ring_position] = server, group.until


@dataclass(frozen=True)
class HandoffState:
    """The whole state, decoded and checked."""

    endpoints: EndpointListState
    rotation: RotationState
    lifecycle: LifecycleState
    start_times: dict[str, StartTime]
    balancer: BalancerState
    used_ids: list[str]  # request ids that are in use, or were used too recently to be accepted again
    servers: dict[str, ServerState]

    @classmethod
    def capture(cls, proxy: Proxy, discovery: Discovery) -> HandoffState:
        """Captures the state of this process."""
        starts = proxy.start_times.starts.items()
        return cls(
            endpoints=EndpointListState.capture(proxy, discovery),
            rotation=RotationState.capture(proxy.rotation),
            lifecycle=LifecycleState.capture(proxy),
            start_times={server_id: StartTime(*start) for server_id, start in starts},
            balancer=BalancerState.capture(proxy),
            used_ids=[*proxy.admission.recent_ids, *proxy.admission.open_ids],
            servers={server.id: ServerState.capture(server) for server in proxy.balancer.servers.values()},
        )

    def encode(self) -> dict[str, Any]:
        """Returns the stored form, as plain values for JSON."""
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
        """Decodes the stored form.

        Raises InvalidConfigurationError, which names the key; no part of the state is used then.
        """
        check_value(stored, "estate", dict)
        starts = decode_mapping(stored.get("starts", {}), "estate.starts", decode_number_pair)
        servers = decode_mapping(stored.get("servers"), "estate.servers", decode_object)
        return cls(
            endpoints=EndpointListState.decode(stored),
            rotation=RotationState.decode(stored),
            lifecycle=LifecycleState.decode(stored),
            start_times={server_id: StartTime(*start) for server_id, start in starts.items()},
            balancer=BalancerState.decode(stored),
            used_ids=decode_strings(stored.get("ids"), "estate.ids"),
            servers={
                server_id: ServerState.decode(server, f"estate.servers.{server_id:.40}")
                for server_id, server in servers.items()
            },
        )

    def restore(self, proxy: Proxy, discovery: Discovery) -> None:
        """Applies the state to this process, which has not received an endpoint list yet."""
        if self.lifecycle.epoch_offset is not None:
            proxy.clock.adopt_epoch_offset(self.lifecycle.epoch_offset)
        proxy.start_times.starts = dict(self.start_times)
        self.rotation.restore(proxy.rotation)
        discovery.apply_initial_list(self.endpoints.encoded_list, self.endpoints.discovery)
        proxy.adopt_state(self.lifecycle.started_at, self.lifecycle.serving)
        for server in proxy.balancer.servers.values():
            if server.id in self.servers:
                self.servers[server.id].restore(server)
        self.balancer.restore(proxy)
        self.migrate_from_servers_out_of_rotation(proxy)
        proxy.admission.reserve_ids(self.used_ids)
        if self.lifecycle.draining:
            since = self.lifecycle.draining_since
            proxy.operator_commands.adopt_drain(proxy.clock.now() if since is None else since)

    def migrate_from_servers_out_of_rotation(self, proxy: Proxy) -> None:
        """Migrates sessions from servers that are out of rotation, also those that are handed off later.

        Their time goes on from when the server was taken out.
        """
        for server_id, since in self.rotation.out_since.items():
            server = proxy.balancer.servers.get(server_id)
            if server is not None:
                proxy.balancer.migrate_all_from(since, server)
