"""Damaged configurations of the platform are refused with the damaged key, at a start and by a reload."""

from __future__ import annotations

import copy
import json
import re
from collections.abc import Iterator
from math import inf, nan
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brambleplank.checks import InvalidConfigurationError
from brambleplank.platform import configuration
from tests.programs import StartProgram
from tests.sample_settings import PLATFORM_SETTINGS
from tests.stand_ins import StandInServer

Path = tuple[str | int, ...]

# Keys that a reload may remove, with the sentence of the operators' pages that allows it.
REMOVABLE_BY_RELOAD = {
    "known": "the list of servers as this proxy last had it",  # read at the start only
    "limits.cores": "its processes get `cores` of a core at most",  # kept by the platform, not by the proxy
    "limits.memory_mb": "over `memory_mb` the proxy is killed",
    "settings.service_types[].aim_stretch": "the key may be absent",
    "settings.goal.nines_part": "where given, a part that counts nines",
    "settings.goal.top_nines": "where given, how many nines give full marks",
    "settings.fees.fleet": "optional; no site here sets it",
}
# Keys that may be missing at a start, with the sentence that allows it. `null` stands for a missing key.
OPTIONAL_AT_START = {
    **REMOVABLE_BY_RELOAD,
    "limits": "file descriptors that may be held: 1024 if it is missing",
    "limits.sockets": "file descriptors that may be held: 1024 if it is missing",
    "mgmt": "older days have neither",
    "peer_listen": "proxies say nothing to each other if it is missing",
    "peers": "proxies say nothing to each other if it is missing",
    "settings.az": "zone of this instance",
    "settings.tenants": "a site may define none",
    "settings.specifics": "facts of this kind of service",
    "settings.specifics.groups": "facts of this kind of service",
    "settings.specifics.mode": "proxy if it is missing",
    "settings.specifics.message_aim_us": "facts of this kind of service",
    "settings.policy_limits.may_probe": "PROBE is allowed",
    "settings.policy_limits.peers": "BROADCAST_TO is permitted",
}
# Keys of which only classes with the effect `by_key` need one: "for `by_key`: which servers drop repeats".
DEDUPLICATION_KEYS = ("settings.service_types[].group", "settings.service_types[].window_us")
# Keys of the wire page that the proxy does not read; a start ignores them, a reload compares their kinds.
NOT_READ = re.compile(
    r"settings\.(beyond_share_value|callers|domain_type|fees|goal|kinds|localities|report|tier|tiers|value_per"
    r"|weight_kind|rules\.grace_to_answer_us|tenants\[\]\.(quota_per_s|share)"
    r"|policy_limits\.(conn_idle_us|cpu_us_per_request|cpu_us_per_s|max_streams|most_held|second_copies)"
    r"|service_types\[\]\.(aim_stretch|stream|tardy_value|value)"
    r"|specifics\.(hint|notes|park_us|report_x0|report_x1|tells_delay|tells_load|tenant_quota_connections))\b"
)
KEYS_OF_WORDS = re.compile(r"discovery|mode|effect|group|listen|mgmt|peer|seed")


def sound_configuration(draw: Any) -> dict[str, Any]:
    """Returns a configuration with every key of the operators' pages; `draw` chooses from a list."""
    classes = [
        {
            "aim_stretch": 0.5,
            "deadline_us": draw([1800000, 4800000.0]),
            "effect": draw(["by_key", "once", "repeatable"]),
            "group": draw(["all", "zone", "cell"]),
            "name": name,
            "setup_target_us": 300000,
            "stream": True,
            "tardy_value": 0.0,
            "value": 1.0,
            "window_us": draw([5000000, 0]),
        }
        for name in draw([["feed"], ["feed", "order"], ["feed", "order", "warning"]])
    ]
    tenants = draw([["acme"], ["acme", "hill"]])
    return {
        "name": "n0",
        "listen": "127.0.0.1:5000",
        "discovery": "127.0.0.1:8500",
        "mgmt": "127.0.0.1:9000",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 1024},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.0.1:7946", "127.0.0.2:7946"],
        "peers_all": "127.0.0.3:7946",
        "settings": {
            "az": "edinburgh",
            "balancers": 2,
            "beyond_share_value": 0.2,
            "callers": {"marks_retry": False},
            "discovery": draw(["push", "ask"]),
            "domain_type": "conn",
            "fees": {"connection": 0.0, "cross_zone": 0.0069, "fleet": 0.1},
            "goal": {"whole": 0.35, "worst_class": 0.2, "nines_part": 0.4, "top_nines": 3.0},
            "kinds": ["fast-2", "std-4"],
            "localities": ["edinburgh", "aberdeen"],
            "policy_limits": {
                "cancelling": True,
                "conn_idle_us": 10000000,
                "connect_timeout_us": 150000,
                "cpu_us_per_request": 0.0,
                "cpu_us_per_s": 400000,
                "max_connects": draw([1, 4]),
                "max_retry_after_us": 2000000,
                "max_streams": 1048576,
                "may_probe": draw([True, False]),
                "most_held": 1000000,
                "peers": True,
                "retry_after": draw([True, False]),
                "second_copies": False,
            },
            "report": {"fields": ["x0"], "how": "pull"},
            "rules": {
                "ask_within_us": 10000000,
                "cold_from": 0.14,
                "fall_us": 3000000,
                "grace_to_answer_us": 20000,
                "overload_factor": 4.0,
                "ramp_time_us": 24000000,
                "stop_sending_within_us": 3000000,
            },
            "service_types": classes,
            "slot_no": draw([0, 1]),
            "specifics": {
                "groups": draw([True, False]),
                "hint": "usual load of the connection",
                "message_aim_us": [250000.0 for _ in classes],
                "mode": draw(["proxy", "pass"]),
                "park_us": 0,
                "tells_delay": True,
                "tenant_quota_connections": [328.0 for _ in tenants],
            },
            "tenants": [{"name": name, "quota_per_s": 4.0, "share": 0.5} for name in tenants],
            "tick_us": 5000,
            "tier": 0,
            "tiers": ["feed-servers"],
            "value_per": "request",
            "weight_kind": "nominal",
        },
    }


def paths_of(value: Any, path: Path = ()) -> Iterator[Path]:
    """Yields the path of each value in a configuration, but not inside the list of servers."""
    if path:
        yield path
    if path == ("known",):
        return
    for key, item in value.items() if isinstance(value, dict) else []:
        yield from paths_of(item, (*path, key))
    for number, item in enumerate(value) if isinstance(value, list) else []:
        yield from paths_of(item, (*path, number))


def path_text(path: Path) -> str:
    """Returns a path as messages name it."""
    return "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path).removeprefix(".")


def damaged(sound: dict[str, Any], path: Path, *value: Any) -> dict[str, Any]:
    """Returns a copy with another value at one path, or without the key if there is no value."""
    changed = copy.deepcopy(sound)
    holder: Any = changed
    for key in path[:-1]:
        holder = holder[key]
    if value:
        holder[path[-1]] = value[0]
    else:
        del holder[path[-1]]
    return changed


def value_at(sound: dict[str, Any], path: Path) -> Any:
    value: Any = sound
    for key in path:
        value = value[key]
    return value


def wrong_values(value: Any, key: str) -> list[Any]:
    """Returns values of other kinds and, where the kind or the key forbids them, numbers and words."""
    if isinstance(value, bool):
        return ["x", 1, 0, [], {}]
    if isinstance(value, int | float):
        return ["x", True, False, [], {}, -1, -0.5, inf, -inf, nan, 10**400]
    if isinstance(value, str):
        return [5, 0, True, [], {}, nan, *(["zzz"] if KEYS_OF_WORDS.search(key.rpartition(".")[2]) else [])]
    return ["x", 5, True, nan, {} if isinstance(value, list) else []]


def complaint_of(file: dict[str, Any], previous: configuration.PlatformConfiguration | None) -> str:
    """Returns the one line with which a configuration is refused; empty if it is not."""
    try:
        configuration.decode(json.loads(json.dumps(file)), previous)
    except InvalidConfigurationError as error:
        return str(error)
    return ""


def is_named(key: str, complaint: str) -> bool:
    """Returns whether the one line names the key, or a key inside it."""
    return complaint.startswith(key) and "\n" not in complaint


def is_optional_at_start(sound: dict[str, Any], path: Path, pattern: str) -> bool:
    if pattern in DEDUPLICATION_KEYS:
        return bool(value_at(sound, path[:-1])["effect"] != "by_key")
    return pattern in OPTIONAL_AT_START or NOT_READ.match(pattern) is not None


@pytest.fixture(autouse=True)
def _no_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_NAME", "ROUTER_MGMT", "ROUTER_CONFIG"):
        monkeypatch.delenv(name, raising=False)


def draw_sound(data: st.DataObject) -> dict[str, Any]:
    return sound_configuration(lambda choices: data.draw(st.sampled_from(choices)))


@settings(derandomize=True, deadline=None, max_examples=15)
@given(data=st.data())
def test_reload_refuses_every_damaged_key(data: st.DataObject) -> None:
    # Guards against a reload that takes a key that is missing or wrong, in a list too, for a permission.
    sound = draw_sound(data)
    in_force = configuration.decode(sound)
    assert complaint_of(sound, in_force) == ""
    taken = []
    for path in paths_of(sound):
        key = path_text(path)
        pattern = re.sub(r"\[\d+\]", "[]", key)
        if isinstance(path[-1], str) and pattern not in REMOVABLE_BY_RELOAD:
            complaint = complaint_of(damaged(sound, path), in_force)
            if not is_named(key, complaint):
                taken.append(f"{key} missing: {complaint}")
        for value in [*wrong_values(value_at(sound, path), key), None]:
            if pattern not in REMOVABLE_BY_RELOAD or value is not None:
                complaint = complaint_of(damaged(sound, path, value), in_force)
                if not is_named(key, complaint) and pattern not in ("known", *REMOVABLE_BY_RELOAD):
                    taken.append(f"{key} = {str(value)[:20]}: {complaint}")
    assert not taken, "\n".join(taken)
    assert in_force.file == sound


@settings(derandomize=True, deadline=None, max_examples=15)
@given(data=st.data())
def test_start_refuses_every_damaged_key_that_is_read(data: st.DataObject) -> None:
    # Guards against a start that takes a key that is missing or wrong for a permission.
    sound = draw_sound(data)
    taken = []
    for path in paths_of(sound):
        key = path_text(path)
        pattern = re.sub(r"\[\d+\]", "[]", key)
        is_optional = is_optional_at_start(sound, path, pattern)
        if isinstance(path[-1], str) and not is_optional:
            complaint = complaint_of(damaged(sound, path), None)
            if not is_named(key, complaint):
                taken.append(f"{key} missing: {complaint}")
        if NOT_READ.match(pattern) or pattern == "known":
            continue
        for value in [*wrong_values(value_at(sound, path), key), *([] if is_optional else [None])]:
            complaint = complaint_of(damaged(sound, path, value), None)
            if not is_named(key, complaint):
                taken.append(f"{key} = {str(value)[:20]}: {complaint}")
    assert not taken, "\n".join(taken)


@pytest.mark.parametrize(
    ("path", "complaint"),
    [
        (("settings", "specifics", "message_aim_us", 0), "settings.specifics.message_aim_us"),
        (("settings", "specifics", "tenant_quota_connections", 0), "settings.specifics.tenant_quota"),
        (("peers", 1), "peers"),
    ],
)
def test_reload_refuses_a_list_by_position_that_lacks_an_item(path: Path, complaint: str) -> None:
    # Guards against lists by position of which an item is gone: the ones after it would be another's.
    sound = sound_configuration(lambda choices: choices[0])
    in_force = configuration.decode(sound)
    assert complaint_of(damaged(sound, path), in_force).startswith(complaint)


def test_class_that_a_reload_adds_needs_the_keys_of_the_others() -> None:
    # Guards against a class that a truncated file adds without a key that its neighbours have.
    sound = sound_configuration(lambda choices: choices[0])
    in_force = configuration.decode(sound)
    sound["settings"]["specifics"]["message_aim_us"].append(100000.0)
    classes = sound["settings"]["service_types"]
    classes.append({**classes[0], "name": "new"})
    assert complaint_of(sound, in_force) == ""
    for key in set(classes[1]) - {"aim_stretch"}:
        complaint = complaint_of(damaged(sound, ("settings", "service_types", 1, key)), in_force)
        assert complaint.startswith(f"settings.service_types[1].{key}: missing"), complaint


def settings_with_class(**changes: Any) -> dict[str, Any]:
    """Returns settings with one class, of which repeats are dropped within a zone."""
    traffic_class = {
        "name": "feed",
        "effect": "by_key",
        "group": "zone",
        "window_us": 5_000_000,
        "setup_target_us": 300_000,
        "deadline_us": 1_800_000,
        **changes,
    }
    present = {key: value for key, value in traffic_class.items() if value is not None}
    return {**PLATFORM_SETTINGS, "service_types": [present]}


def servers_in_two_zones(*servers: StandInServer) -> dict[str, Any]:
    """Returns a list with each server in a zone of its own."""
    hosts = [
        {
            "host": f"s{number}",
            "dial": server.address,
            "site": f"zone-{number}",
            "class": "m",
            "block": number,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }
        for number, server in enumerate(servers)
    ]
    return {"seq": 41, "whole": True, "hosts": hosts}


@pytest.mark.parametrize("key", ["group", "window_us"])
def test_reload_without_a_deduplication_key_lets_no_request_run_in_two_zones(
    start_program: StartProgram, key: str
) -> None:
    # Guards against a reload that takes a missing `group` for "all": requests ran in two zones.
    servers = [StandInServer(""), StandInServer("")]
    program = start_program(servers_in_two_zones(*servers), settings=settings_with_class())
    assert program.open_request().read_line() == "FAIL"
    output = program.reload(settings=settings_with_class(**{key: None}))
    assert f"reload: kept as it was: settings.service_types[0].{key}: missing" in output
    for number in range(8):
        assert program.open_request(key=f"{number}f").read_line() == "FAIL"
    openings = [server.next_opening()[0] for server in servers for _ in range(server.opening_count)]
    names = [{opening.split(" ")[1] for opening in openings[: servers[0].opening_count]}]
    names.append({opening.split(" ")[1] for opening in openings[servers[0].opening_count :]})
    assert not names[0] & names[1]
    assert program.process.poll() is None


@pytest.mark.parametrize("scopes", [("zone", "all"), ("all", "zone")])
def test_request_in_flight_at_a_reload_is_retried_by_the_scope_that_it_came_with(
    start_program: StartProgram, scopes: tuple[str, str]
) -> None:
    # Guards against a retry after a reload in servers that do not know the first attempt.
    servers = [StandInServer(None), StandInServer(None)]
    program = start_program(servers_in_two_zones(*servers), settings=settings_with_class(group=scopes[0]))
    client = program.open_request(deadline_ms=1700)
    while not any(server.opening_count for server in servers):
        assert not client.is_closed(0.01)
    first, other = servers if servers[0].opening_count else reversed(servers)
    other.answer = "UP other"
    assert "~feed" in program.reload(settings=settings_with_class(group=scopes[1]))
    first.next_opening()[1].close(reset=True)
    first.answer = ""
    expected = "FAIL" if scopes[0] == "zone" else "UP other"
    assert client.read_line() == expected
    assert other.opening_count == (scopes[0] == "all")
