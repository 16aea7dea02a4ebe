"""The start-up settings of the wire, turned into the module's terms."""

from __future__ import annotations

from typing import Any

from brambleplank.host import Effect, ServiceType, Terms

EFFECTS = {"repeatable": Effect.REPEATABLE, "by_key": Effect.REFERENCED, "once": Effect.ONCE_ONLY}
MICRO = 1e-6


def terms_of(info: dict[str, Any]) -> Terms:
    """Decode once what the module reads; keys it does not know are left alone."""
    limits, rules, facts = info["policy_limits"], info["rules"], info.get("specifics", {})
    message_targets = facts.get("message_aim_us", [])
    service_types = {
        item["name"]: ServiceType(
            setup_target=item["setup_target_us"] * MICRO,
            effect=EFFECTS[item["effect"]],
            group=item.get("group", "all"),
            window=item.get("window_us", 0) * MICRO,
            value=float(item.get("value", 1.0)),
            message_target=message_targets[i] * MICRO if i < len(message_targets) else 0.0,
        )
        for i, item in enumerate(info["service_types"])
    }
    customers = [item["name"] for item in info.get("tenants", [])]
    return Terms(
        proxies=max(1, info["balancers"]),
        number=info["slot_no"],
        tick=info["tick_us"] * MICRO,
        push=info["discovery"] == "push",
        pass_mode=facts.get("mode") == "pass",
        max_connects=limits["max_connects"],
        may_probe=limits["may_probe"],
        cancelling=limits["cancelling"],
        retry_after=limits["retry_after"],
        longest_pause=limits["max_retry_after_us"] * MICRO,
        connect_timeout=limits["connect_timeout_us"] * MICRO,
        drain_grace=rules["stop_sending_within_us"] * MICRO,
        ask_within=rules["ask_within_us"] * MICRO,
        cold_from=rules["cold_from"],
        ramp_time=rules["ramp_time_us"] * MICRO,
        overload_factor=rules["overload_factor"],
        fall_time=rules["fall_us"] * MICRO,
        report_fields=tuple(info.get("report", {}).get("fields", [])),
        service_types=service_types,
        quotas=dict(zip(customers, facts.get("tenant_quota_connections", []), strict=False)),
        beyond_share_value=info.get("beyond_share_value", 1.0),
    )
