"""Converts a sidecar's file into the platform's settings, so that both share one decoder."""

from __future__ import annotations

from typing import Any

from brambleplank.sidecar.shapes import File, ServiceType

# The platform's name of each effect in a sidecar's file, in the order of their idempotency ranks.
PLATFORM_EFFECTS = {"repeatable": "repeatable", "referenced": "by_key", "once-only": "once"}
MICROSECONDS_PER_SECOND = 1_000_000
TICK_SECONDS = 0.005  # decisions keep two ticks of margin before each time limit
POLL_INTERVAL_SECONDS = 10.0  # reading a list from a local file seldom fails, and is retried soon


def platform_settings(file: File) -> dict[str, Any]:
    """Returns a file as the platform's settings, with times in microseconds."""
    return {
        "balancers": file.sidecars,
        "slot_no": file.number,
        "tick_us": microseconds(TICK_SECONDS),
        "discovery": "pull",
        "az": file.zone,
        "policy_limits": {
            "max_connects": file.connects.most,
            "cancelling": file.connects.withdraw,
            "retry_after": file.connects.come_back_within > 0,
            "max_retry_after_us": microseconds(file.connects.come_back_within),
            "connect_timeout_us": microseconds(file.connects.up_within),
            "may_probe": file.probes,
            "peers": False,
        },
        "rules": {
            "stop_sending_within_us": microseconds(file.drain.window),
            "ask_within_us": microseconds(POLL_INTERVAL_SECONDS),
            "cold_from": file.cold.able,
            "ramp_time_us": microseconds(file.cold.warm_within),
            "overload_factor": file.cold.falls_over_at,
            "fall_us": microseconds(file.cold.falls_within),
        },
        "service_types": [traffic_class_settings(each) for each in file.service_type],
        "tenants": [{"name": name} for name in file.customers],
        "specifics": {
            "groups": file.groups,
            "message_aim_us": [
                microseconds(each.message_target or each.setup_target) for each in file.service_type
            ],
        },
    }


def traffic_class_settings(service_type: ServiceType) -> dict[str, Any]:
    """Returns the platform's settings of one traffic class."""
    settings: dict[str, Any] = {
        "name": service_type.name,
        "effect": PLATFORM_EFFECTS[service_type.effect],
        "setup_target_us": microseconds(service_type.setup_target),
        "deadline_us": microseconds(service_type.connect_timeout),
    }
    if service_type.group is not None:
        settings["group"] = service_type.group
    if service_type.window is not None:
        settings["window_us"] = microseconds(service_type.window)
    return settings


def microseconds(seconds: float) -> int:
    """Returns a duration rounded to whole microseconds."""
    return round(seconds * MICROSECONDS_PER_SECOND)
