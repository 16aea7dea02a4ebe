"""Random settings for one run."""

from __future__ import annotations

from random import Random
from typing import Any

from tests.sample_settings import PLATFORM_SETTINGS

KEYED_CLASS = "ref"  # the class whose repeats are bound to a group of servers


def bind_repeats_to_zone(settings: dict[str, Any]) -> None:
    """Binds the repeats of the keyed class to the zone of the first server."""
    keyed = next(each for each in settings["service_types"] if each["name"] == KEYED_CLASS)
    keyed["group"] = "zone"


def draw_settings(rng: Random, proxies: int) -> dict[str, Any]:
    """Returns settings in the platform's format; times are in microseconds."""
    deadline = rng.choice((700_000, 1_200_000, 1_800_000))
    window = rng.choice((400_000, 1_000_000, 3_000_000))
    traffic_classes: list[dict[str, Any]] = [
        {"name": "feed", "effect": "repeatable"},
        {"name": "order", "effect": "once"},
        {"name": KEYED_CLASS, "effect": "by_key", "group": rng.choice(("all", "zone")), "window_us": window},
    ]
    shared: dict[str, Any] = {"setup_target_us": rng.choice((150_000, 300_000)), "deadline_us": deadline}
    limits = {
        **PLATFORM_SETTINGS["policy_limits"],
        "peers": rng.random() < 0.7,
        "may_probe": rng.random() < 0.6,
    }
    limits["connect_timeout_us"] = rng.choice((100_000, 150_000, 400_000))
    rules: dict[str, Any] = {
        **PLATFORM_SETTINGS["rules"],
        "stop_sending_within_us": rng.choice((300_000, 600_000, 1_000_000)),
        "cold_from": rng.choice((0.1, 0.2)),
        "ramp_time_us": 6_000_000,
        "fall_us": 1_000_000,
    }
    return {
        **PLATFORM_SETTINGS,
        "balancers": proxies,
        "policy_limits": limits,
        "rules": rules,
        "service_types": [{**each, **shared} for each in traffic_classes],
        "specifics": {"groups": True},
    }
