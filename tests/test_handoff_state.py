"""Encoding, decoding and restoring of the state that a process hands to its successor."""

from __future__ import annotations

import copy
import json
import socket
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brambleplank.checks import InvalidConfigurationError
from brambleplank.discovery.platform.discovery import Discovery
from brambleplank.discovery.platform.endpoint_list import decode_list, encode_list
from brambleplank.model import Endpoint, EndpointStatus
from brambleplank.net.clock import Clock
from brambleplank.net.log import LogWriter
from brambleplank.net.proxy import Proxy
from brambleplank.platform.connection_transfer import ConnectionTransfer
from brambleplank.platform.connections_elsewhere import record_connections_elsewhere
from brambleplank.platform.handoff_state import HandoffState
from brambleplank.platform.upgrade_messages import SessionMessage
from tests.sample_settings import DECODED_SETTINGS, endpoint_list
from tests.waiting import TEST_TIMEOUT

IDS = st.sampled_from("abc")


def make_endpoint(server_id: str, status: EndpointStatus, started: float) -> Endpoint:
    return Endpoint(server_id, "a", 0, status, 1.0, started)


def make_proxy() -> tuple[Proxy, Discovery]:
    """Returns a proxy and its discovery; neither opens a connection."""
    clock = Clock()
    proxy = Proxy(
        clock, LogWriter(clock.now), DECODED_SETTINGS, 1, 256, lambda *_: pytest.fail("no probe here")
    )
    discovery = Discovery(proxy, ("127.0.0.1", 8500))
    proxy.set_endpoint_source(discovery)
    discovery.ensure_watching = lambda: None  # type: ignore[method-assign]
    return proxy, discovery


def make_state() -> dict[str, Any]:
    """Returns the encoded state of a process, after a round trip through JSON."""
    proxy, discovery = make_proxy()
    hosts = {"s0": "10.0.0.1:80", "s1": ("10.0.0.2:80", "draining"), "s2": "10.0.0.3:80"}
    discovery.apply_initial_list(endpoint_list(41, True, **hosts))
    proxy.operator_commands.take_out_of_rotation("s2")
    draining_server = proxy.balancer.servers["s1"]
    slow_start_server = proxy.balancer.servers["s0"]
    draining_server.unready_since = 77.0
    slow_start_server.started = 99.5
    slow_start_server.slow_start_slot = 3
    slow_start_server.slow_start_sent = 2
    slow_start_server.trial_attempts = 1
    proxy.balancer.groups.displaced[5 << 100] = slow_start_server
    proxy.admission.recent_ids["1a"] = 1.0
    stored: dict[str, Any] = json.loads(json.dumps(HandoffState.capture(proxy, discovery).encode()))
    return stored


def test_state_is_restored_completely() -> None:
    proxy, discovery = make_proxy()
    HandoffState.decode(make_state()).restore(proxy, discovery)
    servers = proxy.balancer.servers
    assert proxy.serving and discovery.version == 41 and set(proxy.rotation.out_since) == {"s2"}
    ready = EndpointStatus.READY
    draining = EndpointStatus.DRAINING
    assert [servers[f"s{n}"].status for n in range(3)] == [ready, draining, draining]
    slow_start_server = servers["s0"]
    assert (
        servers["s1"].unready_since,
        slow_start_server.started,
        slow_start_server.slow_start_slot,
        slow_start_server.slow_start_sent,
    ) == (
        77.0,
        99.5,
        3,
        2,
    )
    assert (slow_start_server.trial_attempts, list(proxy.admission.recent_ids)) == (1, ["1a"])
    assert [server.id for server, _ in proxy.balancer.groups.reported.values()] == ["s0"]
    record_connections_elsewhere(proxy, "the other", {"s0": 3}, {"s0": 2})
    sent = slow_start_server.slow_start_sent
    record_connections_elsewhere(proxy, "the other", {"s0": 1}, {})
    # Sessions that are handed off do not count as new attempts.
    assert slow_start_server.connections_elsewhere == 1 and slow_start_server.slow_start_sent == sent >= 2
    # Connections of the other process are part of the aggregate, and must count only once.
    proxy.balancer.load_report_received(200.0, 3, [(slow_start_server, 9)], True, True)
    record_connections_elsewhere(proxy, "the other", {"s0": 2}, {})
    assert slow_start_server.connections_elsewhere == 10


@pytest.mark.parametrize("key", sorted(make_state()))
@pytest.mark.parametrize("invalid", [None, "x", [1], {"s0": "x"}, {"s0": {}}, float("nan")], ids=range(6))
def test_invalid_state_is_rejected_with_its_key(key: str, invalid: Any) -> None:
    value = {**copy.deepcopy(make_state()), key: invalid}
    if (key, invalid) == ("window", None) or (key == "ids" and invalid == ["x"]):
        return
    with pytest.raises(InvalidConfigurationError, match=rf"estate\.{key}"):
        HandoffState.decode(value)


def test_wall_clock_step_does_not_shift_restored_times() -> None:
    state = make_state()
    proxy, discovery = make_proxy()
    proxy.clock.epoch_offset -= 3600.0  # the wall clock was set back by an hour before the successor started
    HandoffState.decode(state).restore(proxy, discovery)
    assert proxy.clock.epoch_offset == state["clock"]
    assert proxy.balancer.servers["s1"].unready_since == 77.0
    assert proxy.start_times.starts == {name: tuple(start) for name, start in state["starts"].items()}


def test_state_of_an_older_release_without_clock_is_restored() -> None:
    state = {key: value for key, value in make_state().items() if key not in ("clock", "starts")}
    proxy, discovery = make_proxy()
    before = proxy.clock.epoch_offset
    HandoffState.decode(state).restore(proxy, discovery)
    assert proxy.clock.epoch_offset == before and proxy.serving


STARTS = st.sampled_from([0.0, 1.5, 1796158806.319])


@given(st.dictionaries(IDS, st.tuples(st.sampled_from(EndpointStatus), STARTS)))
def test_encoded_list_decodes_to_the_same_list(endpoints: dict[str, tuple[EndpointStatus, float]]) -> None:
    listed = [make_endpoint(name, *each) for name, each in endpoints.items()]
    addresses = {each[0]: ("10.0.0.1", 80) for each in listed}
    version, is_whole, decoded, decoded_addresses = decode_list(encode_list(7, listed, addresses))
    assert (version, is_whole, decoded_addresses) == (7, True, addresses)
    assert [e[:5] for e in decoded] == [e[:5] for e in listed]
    assert all(abs(left[5] - right[5]) < 1e-6 for left, right in zip(decoded, listed, strict=True))


@pytest.mark.parametrize("stored", [None, "x", [1], {}, {"halves": 5}])
def test_connection_that_cannot_be_adopted_is_closed(stored: Any) -> None:
    # Guards against a client that waits forever on a descriptor which nobody owns.
    proxy, _ = make_proxy()
    client, ours = socket.socketpair()
    channel: Any = SimpleNamespace(take_descriptors=lambda _: [ours.detach()], send=lambda _: None)
    holdings: Any = SimpleNamespace(descriptors_adopted=lambda *_: None)
    ConnectionTransfer(proxy, holdings).adopt(channel, SessionMessage(stored, 1))
    client.settimeout(TEST_TIMEOUT)
    assert client.recv(1) == b""
