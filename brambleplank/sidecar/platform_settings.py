"""A sidecar's file as the platform's settings, so that one decoder fills the settings of both."""

from __future__ import annotations

from typing import Any

from brambleplank.sidecar.shapes import File, ServiceType

# The platform's word for each effect of a sidecar's file.
PLATFORM_EFFECTS = {"repeatable": "repeatable", "referenced": "by_key", "once-only": "once"}
MICROSECONDS_PER_SECOND = 1_000_000
TICK_SECONDS = 0.005  # seconds; decisions leave two of them as a margin ahead of each limit
POLL_INTERVAL_SECONDS = (
    10.0  # seconds; a list in a file on this machine seldom fails, and is soon asked for again
)


def platform_settings(file: File) -> dict[str, Any]:
    """Returns the settings of a file as the platform writes them; times in microseconds."""
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
    """Returns one traffic class as the platform writes it."""
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
    """Returns a time in whole microseconds."""
    return round(seconds * MICROSECONDS_PER_SECOND)
