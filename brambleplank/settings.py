"""Decodes the settings of the wire and of configuration files.

Only this module maps their keys and values to the terms of the decisions.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from brambleplank.errors import BrambleplankError
from brambleplank.model import DeduplicationScope, Idempotency, Settings, TrafficClass

IDEMPOTENCY_BY_NAME = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_IN_GROUP,
    "once": Idempotency.NON_IDEMPOTENT,
}
SCOPE_BY_NAME = {scope.value: scope for scope in DeduplicationScope}
MICRO = 1e-6  # seconds per microsecond
MAX_SESSION_SILENCE = 4.5  # seconds; the limit is 7, and a line is sent every 2 seconds
MAX_SHUTDOWN_TIME = 3.0  # seconds; leaves 0.7 seconds for the ends of sessions to arrive

MeaningT = TypeVar("MeaningT")


class MalformedError(BrambleplankError):
    """The input does not follow the wire protocol."""

    ADVICE = "start this program with the command on its host's page, from a host of the same wire protocol"


def decode_word(meanings: Mapping[Any, MeaningT], word: Any, kind: str) -> MeaningT:
    """Returns the meaning of a word of the wire. Raises MalformedError if it is unknown."""
    if word not in meanings:
        raise MalformedError(f"unknown {kind} {word!r:.40}")
    return meanings[word]


def decode_settings(info: dict[str, Any], sockets: bool = False) -> Settings:
    """Decodes the settings and ignores unknown keys.

    With `sockets`, the endpoint list is subscribed to instead of pushed, and servers report no message times.
    """
    limits = info["policy_limits"]
    rules = info["rules"]
    specifics = info.get("specifics") or {}
    traffic_classes = decode_traffic_classes(info)
    proxies, proxy_number = decode_proxies(info)
    return Settings(
        proxies=proxies,
        proxy_number=proxy_number,
        tick=info["tick_us"] * MICRO,
        list_is_pushed=info["discovery"] == "push" and not sockets,
        may_cancel_attempts=limits["cancelling"],
        may_send_retry_after=limits["retry_after"],
        max_retry_after=limits["max_retry_after_us"] * MICRO,
        drain_grace=rules["stop_sending_within_us"] * MICRO,
        max_list_poll_interval=rules["ask_within_us"] * MICRO,
        slow_start_initial_share=rules["cold_from"],
        slow_start_time=rules["ramp_time_us"] * MICRO,
        overload_factor=rules["overload_factor"],
        overload_window=rules["fall_us"] * MICRO,
        connect_timeout=limits["connect_timeout_us"] * MICRO,
        shutdown_time=min(MAX_SHUTDOWN_TIME, max(each.deadline for each in traffic_classes.values())),
        max_session_silence=MAX_SESSION_SILENCE,
        zone=info.get("az", ""),
        probes_endpoints=sockets and bool(limits.get("may_probe", False)),
        may_message_peers=bool(limits.get("peers", False)),
        passes_through=specifics.get("mode") == "pass",
        has_groups=bool(specifics.get("groups", False)),
        traffic_classes=traffic_classes,
        tenants=frozenset(item["name"] for item in info.get("tenants") or ()),
    )


def decode_proxies(info: dict[str, Any]) -> tuple[int, int]:
    """Returns the number of proxies in front of the same servers, and the number of this one among them.

    Proxies of another build may share the servers; they are numbered before or after those of this build.
    """
    other_build = info.get("beside") or {}
    others = other_build.get("balancers", 0)
    offset = others if other_build.get("first", False) else 0
    return max(1, info["balancers"] + others), info["slot_no"] + offset


def decode_traffic_classes(info: dict[str, Any]) -> dict[str, TrafficClass]:
    """Returns the traffic classes by name."""
    message_targets = (info.get("specifics") or {}).get("message_aim_us") or ()
    traffic_classes = {}
    for index, item in enumerate(info["service_types"]):
        latency_objective_us = item["setup_target_us"]
        message_objective_us = latency_objective_us
        if index < len(message_targets):
            message_objective_us = message_targets[index]
        idempotency = IDEMPOTENCY_BY_NAME[item["effect"]]
        scope, window_us = decode_deduplication(item, idempotency)
        traffic_classes[item["name"]] = TrafficClass(
            latency_objective=latency_objective_us * MICRO,
            idempotency=idempotency,
            deduplication_scope=scope,
            deduplication_window=window_us * MICRO,
            message_latency_objective=message_objective_us * MICRO,
            deadline=item.get("deadline_us", latency_objective_us) * MICRO,
            max_attempts=info["policy_limits"]["max_connects"],
        )
    return traffic_classes


def decode_deduplication(
    traffic_class: dict[str, Any], idempotency: Idempotency
) -> tuple[DeduplicationScope, float]:
    """Returns which servers drop repeats of a class, and for how many microseconds.

    Raises KeyError if a class of which repeats are dropped lacks a key. Other classes may leave both out;
    they get the narrowest scope and no window.
    """
    if idempotency is Idempotency.IDEMPOTENT_IN_GROUP:
        return SCOPE_BY_NAME[traffic_class["group"]], traffic_class["window_us"]
    scope = SCOPE_BY_NAME[traffic_class.get("group") or DeduplicationScope.CELL.value]
    return scope, traffic_class.get("window_us") or 0
