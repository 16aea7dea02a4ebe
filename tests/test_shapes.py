"""Two groups of proxies with different settings in front of the same servers, as during a migration."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from brambleplank import records
from brambleplank.settings import decode_settings
from tests.ports import unused_address
from tests.programs import Program, program_factory
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import LineConnection, StandInServer

Start = Callable[..., Program]
SLOW_START_SECONDS = 200.0  # seconds; one slow-start slot lasts longer than the test
NAMES = ("a", "b", "c", "d")


@pytest.fixture
def begin(tmp_path: Path) -> Iterator[Start]:
    """Starts programs, each in a folder of its own, as their files differ."""
    starters: list[Iterator[Start]] = []

    def start(known: dict[str, Any], **changes: Any) -> Program:
        folder = tmp_path / str(len(starters))
        folder.mkdir()
        starters.append(program_factory(folder, Program))
        program: Program = next(starters[-1])(known, **changes)
        return program

    yield start
    for each in starters:
        next(each, None)


def group_settings(
    number: int, total: int, beside: int, first: bool, probes: bool, mode: str
) -> dict[str, Any]:
    rules = {
        **PLATFORM_SETTINGS["rules"],
        "fall_us": SLOW_START_SECONDS * 1e6,
        "ramp_time_us": SLOW_START_SECONDS * 1e6,
        "cold_from": 0.01,
    }
    return {
        **PLATFORM_SETTINGS,
        "balancers": total,
        "slot_no": number,
        "rules": rules,
        "specifics": {"mode": mode},
        "policy_limits": {**PLATFORM_SETTINGS["policy_limits"], "peers": True, "may_probe": probes},
        **({"beside": {"balancers": beside, "first": first}} if beside else {}),
    }


def start_groups(begin: Start, known: dict[str, Any], aware: bool) -> list[list[Program]]:
    """Starts one proxy of the old group, which may probe, and three of the new, in pass-through mode."""
    peer_addresses = [f"127.0.0.1:{unused_address()[1]}" for _ in range(3)]
    old = [begin(known, settings=group_settings(0, 1, 3 * aware, False, True, "proxy"))]
    new = [
        begin(
            known,
            settings=group_settings(n, 3, 1 * aware, True, False, "pass"),
            peer_listen=peer_address,
            peers=[*peer_addresses[:n], "127.0.0.9:9", *peer_addresses[n + 1 :]],  # its own, as it sees it
            peers_all=peer_addresses[(n + 1) % 3],
        )
        for n, peer_address in enumerate(peer_addresses)
    ]
    return [old, new]


def keys_owned_by(name: str, most: int) -> list[str]:
    ring = {point: each for each in NAMES for point in records.Server(each, 0.0).points}
    keys = []
    for key in range(500):
        position = records.place_on_ring(b"key %d" % key)
        if ring[max((point for point in ring if point <= position), default=max(ring))] == name:
            keys.append(f"{key:x}")
    return keys[:most]


def open_requests(programs: list[Program], keys: list[str], open_clients: list[LineConnection]) -> int:
    clients = [program.open_request(key=key) for key in keys for program in programs]
    open_clients += clients
    return sum(client.read_line().startswith("UP ") for client in clients)


@pytest.mark.parametrize("aware", [True, False])
def test_two_groups_share_slow_start_respect_draining_and_both_establish(begin: Start, aware: bool) -> None:
    servers = {name: StandInServer() for name in NAMES}
    dials: dict[str, Any] = {name: server.address for name, server in servers.items()}
    known = endpoint_list(41, True, **dials)
    known["hosts"][NAMES.index("d")]["born_ms"] = round(time.time() * 1000)
    old, new = start_groups(begin, known, aware)
    open_clients: list[LineConnection] = []
    # Both groups together send the cold server one connect in this slot; warm servers get the rest.
    assert [open_requests(kind, keys_owned_by("d", 3), open_clients) for kind in (old, new)] == [3, 9]
    assert servers["d"].opening_count == (1 if aware else 2)
    # A draining server gets nothing new from either group, once each proxy has applied the new list.
    for program in (*old, *new):
        program.send_endpoints(**{**dials, "a": (dials["a"], "draining")})
        sent = -1
        while sent != servers["a"].opening_count:
            sent = servers["a"].opening_count
            open_requests([program], keys_owned_by("a", 1), open_clients)
    sent = servers["a"].opening_count
    established = [
        open_requests(kind, keys_owned_by("a", 4) + keys_owned_by("b", 4), open_clients)
        for kind in (old, new)
    ]
    assert servers["a"].opening_count == sent
    assert established == [8, 24]  # both groups established every request


def test_missing_keys_mean_the_same_as_their_defaults() -> None:
    defaults = {"specifics": {"mode": "proxy"}, "beside": {"balancers": 0, "first": True}}
    assert decode_settings(PLATFORM_SETTINGS, sockets=True) == decode_settings(
        {**PLATFORM_SETTINGS, **defaults}, sockets=True
    )
