"""Checks the settings of a site, before they are decoded."""

from __future__ import annotations

from typing import Any, NamedTuple

from brambleplank.checks import InvalidConfigurationError, check_value
from brambleplank.settings import IDEMPOTENCY_BY_NAME


class Key(NamedTuple):
    """Path and type of one key of the settings; `least` is the minimum of a number."""

    path: str
    kind: type
    least: float = 0


REQUIRED = (
    Key("balancers", int, 1),
    Key("slot_no", int),
    Key("tick_us", float, 1),
    Key("discovery", str),
    Key("service_types", list),
    Key("policy_limits.max_connects", int, 1),
    Key("policy_limits.cancelling", bool),
    Key("policy_limits.retry_after", bool),
    Key("policy_limits.max_retry_after_us", float),
    Key("policy_limits.connect_timeout_us", float, 1),
    Key("rules.stop_sending_within_us", float),
    Key("rules.ask_within_us", float, 1),
    Key("rules.cold_from", float),
    Key("rules.ramp_time_us", float, 1),
    Key("rules.overload_factor", float),
    Key("rules.fall_us", float, 1),
)
OPTIONAL = (
    Key("policy_limits.may_probe", bool),
    Key("policy_limits.peers", bool),
    Key("specifics", dict),
    Key("specifics.groups", bool),
    Key("specifics.mode", str),
    Key("beside", dict),
    Key("beside.balancers", int),
    Key("beside.first", bool),
)
MODES = ("proxy", "pass")
REQUIRED_OF_TRAFFIC_CLASS = (
    Key("name", str),
    Key("effect", str),
    Key("setup_target_us", float, 1),
    Key("deadline_us", float, 1),
)


def check_settings(settings: Any) -> None:
    """Raises InvalidConfigurationError for the first setting that is missing or invalid."""
    check_value(settings, "settings", dict)
    for key in REQUIRED:
        check_required(settings, key)
    for key in OPTIONAL:
        above, _, name = key.path.rpartition(".")
        table = settings.get(above) or {} if above else settings
        if table.get(name) is not None:
            check_value(table[name], f"settings.{key.path}", key.kind, key.least)
    check_mode(settings)
    check_proxy_number(settings)
    check_tenants(settings)
    check_traffic_classes(settings["service_types"])


def check_required(settings: dict[str, Any], key: Key) -> None:
    """Raises InvalidConfigurationError if the key is missing or its value is invalid."""
    value: Any = settings
    at = "settings"
    for part in key.path.split("."):
        check_value(value, at, dict)
        at = f"{at}.{part}"
        if part not in value:
            raise InvalidConfigurationError(f"{at}: missing")
        value = value[part]
    check_value(value, at, key.kind, key.least)


def check_mode(settings: dict[str, Any]) -> None:
    """Raises InvalidConfigurationError if the mode is unknown."""
    mode = (settings.get("specifics") or {}).get("mode", "proxy")
    if mode not in MODES:
        raise InvalidConfigurationError(
            f"settings.specifics.mode: need one of {', '.join(MODES)}, not {mode!r:.40}"
        )


def check_proxy_number(settings: dict[str, Any]) -> None:
    """Raises InvalidConfigurationError unless the proxy's number is less than the number of proxies."""
    if settings["slot_no"] >= settings["balancers"]:
        raise InvalidConfigurationError(
            f"settings.slot_no: need a number under settings.balancers ({settings['balancers']}), "
            f"not {settings['slot_no']}"
        )


def check_tenants(settings: dict[str, Any]) -> None:
    """Raises InvalidConfigurationError unless each tenant is a table with a name."""
    tenants = settings.get("tenants") or []
    check_value(tenants, "settings.tenants", list)
    for number, tenant in enumerate(tenants):
        check_value(tenant, f"settings.tenants[{number}]", dict)
        check_value(tenant.get("name"), f"settings.tenants[{number}].name", str)


def check_traffic_classes(traffic_classes: list[Any]) -> None:
    """Raises InvalidConfigurationError if there is no traffic class, or one is invalid or repeats a name."""
    if not traffic_classes:
        raise InvalidConfigurationError("settings.service_types: need at least one")
    names: list[str] = []
    for number, traffic_class in enumerate(traffic_classes):
        at = f"settings.service_types[{number}]"
        check_value(traffic_class, at, dict)
        for key in REQUIRED_OF_TRAFFIC_CLASS:
            if key.path not in traffic_class:
                raise InvalidConfigurationError(f"{at}.{key.path}: missing")
            check_value(traffic_class[key.path], f"{at}.{key.path}", key.kind, key.least)
        effect = traffic_class["effect"]
        if effect not in IDEMPOTENCY_BY_NAME:
            known = ", ".join(IDEMPOTENCY_BY_NAME)
            raise InvalidConfigurationError(f"{at}.effect: need one of {known}, not {effect!r:.40}")
        name = traffic_class["name"]
        if name in names:
            raise InvalidConfigurationError(f"{at}.name: {name!r:.40} is used twice; names must be unique")
        names.append(name)
