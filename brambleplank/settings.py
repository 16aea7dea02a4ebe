"""The settings that hosts are given, decoded into the terms of the decisions.

The keys and words are those of the wire and of configuration files; they are mapped here and nowhere else.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from brambleplank.errors import BrambleplankError
from brambleplank.model import Idempotency, Settings, TrafficClass

IDEMPOTENCY_NAMES = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_IN_GROUP,
    "once": Idempotency.NON_IDEMPOTENT,
}
MICRO = 1e-6  # seconds in a microsecond
MAX_SESSION_SILENCE = 4.5  # seconds; 7 are allowed, and a line goes out every 2
MAX_SHUTDOWN_TIME = 3.0  # seconds; 0.7 more are left for the ends of sessions to arrive

MeaningT = TypeVar("MeaningT")


class MalformedError(BrambleplankError):
    """What was read is not of this wire."""

    ADVICE = "start this program by the line that its host's page gives, with a host of the same wire"


def decode_word(words: Mapping[Any, MeaningT], word: Any, what: str) -> MeaningT:
    """Returns the meaning of one of the wire's words. Raises MalformedError for an unknown one."""
    if word not in words:
        raise MalformedError(f"unknown {what} {word!r:.40}")
    return words[word]


def decode_settings(info: dict[str, Any], sockets: bool = False) -> Settings:
    """Decodes the settings; keys that are not known here are left alone.

    On sockets the endpoint list is followed, never pushed, and no message times are reported.
    """
    limits = info["policy_limits"]
    rules = info["rules"]
    facts = info.get("specifics", {})
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
        passes_through=facts.get("mode") == "pass",
        has_groups=bool(facts.get("groups", False)),
        traffic_classes=traffic_classes,
        tenants=frozenset(item["name"] for item in info.get("tenants") or ()),
    )


def decode_proxies(info: dict[str, Any]) -> tuple[int, int]:
    """Returns the number of proxies in front of the same servers, and this proxy's own among them.

    Proxies of another build may stand beside those of this one, before or after them in the numbering.
    """
    other_build = info.get("beside") or {}
    others = other_build.get("balancers", 0)
    offset = others if other_build.get("first", False) else 0
    return max(1, info["balancers"] + others), info["slot_no"] + offset


def decode_traffic_classes(info: dict[str, Any]) -> dict[str, TrafficClass]:
    """Returns the traffic classes by name."""
    message_targets = info.get("specifics", {}).get("message_aim_us", [])
    traffic_classes = {}
    for index, item in enumerate(info["service_types"]):
        latency_objective_us = item["setup_target_us"]
        message_objective_us = latency_objective_us
        if index < len(message_targets):
            message_objective_us = message_targets[index]
        traffic_classes[item["name"]] = TrafficClass(
            latency_objective=latency_objective_us * MICRO,
            idempotency=IDEMPOTENCY_NAMES[item["effect"]],
            deduplication_scope=item.get("group", "all"),
            deduplication_window=item.get("window_us", 0) * MICRO,
            message_latency_objective=message_objective_us * MICRO,
            deadline=item.get("deadline_us", latency_objective_us) * MICRO,
            max_attempts=info["policy_limits"]["max_connects"],
        )
    return traffic_classes
