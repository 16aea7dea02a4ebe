"""Settings and endpoint lists shared by tests, decoded and in the format of the platform."""

from __future__ import annotations

from typing import Any

from brambleplank.model import DeduplicationScope, Idempotency, Settings, TrafficClass

FEED = TrafficClass(0.3, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5.0, 0.1, 1.8, 3)
DECODED_SETTINGS = Settings(
    proxies=2,
    proxy_number=0,
    tick=0.005,
    list_is_pushed=True,
    may_cancel_attempts=True,
    may_send_retry_after=True,
    max_retry_after=2.0,
    drain_grace=1.0,
    max_list_poll_interval=10.0,
    slow_start_initial_share=0.2,
    slow_start_time=20.0,
    overload_factor=3.0,
    overload_window=2.0,
    connect_timeout=0.15,
    shutdown_time=1.0,
    max_session_silence=4.5,
    zone="a",
    probes_endpoints=False,
    may_message_peers=False,
    passes_through=False,
    has_groups=True,
    traffic_classes={"feed": FEED},
    tenants=frozenset(),
)
PLATFORM_SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "slot_no": 0,
    "tick_us": 5000,
    "discovery": "push",
    "an_unknown_key": 1,
    "policy_limits": {
        "max_connects": 3,
        "may_probe": False,
        "cancelling": True,
        "retry_after": True,
        "max_retry_after_us": 2000000,
        "connect_timeout_us": 150000,
    },
    "rules": {
        "stop_sending_within_us": 1000000,
        "ask_within_us": 10000000,
        "cold_from": 0.2,
        "ramp_time_us": 20000000,
        "overload_factor": 3,
        "fall_us": 2000000,
    },
    "service_types": [
        {"name": "feed", "effect": "repeatable", "setup_target_us": 300000, "deadline_us": 1800000},
        {"name": "order", "effect": "once", "setup_target_us": 300000, "deadline_us": 1800000},
    ],
}


def endpoint_list(seq: int, whole: bool, **hosts: Any) -> dict[str, Any]:
    """Returns an endpoint list in the format of discovery.

    Each value of `hosts` is an address, or a tuple of an address and a health.
    """
    entries = []
    for name, value in hosts.items():
        address, health = value if isinstance(value, tuple) else (value, "ready")
        entries.append(
            {
                "host": name,
                "dial": address,
                "site": "a",
                "class": "m",
                "block": 0,
                "health": health,
                "share": 1.0,
                "born_ms": 0,
            }
        )
    return {"seq": seq, "whole": whole, "hosts": entries}
