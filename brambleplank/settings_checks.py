"""Checks the settings of a site, before they are decoded.

Keys that the decoder reads are checked, and stand in one of the tables below; other keys are ignored, as
sites differ in them. `null` stands for an absent key.

Keys that may be absent, with the sentence of the operators' pages or of the README that says so:

- `service_types[].group` and `.window_us` of a class whose effect is not `by_key`: "for `by_key`";
- `tenants`: "a site may define none";
- `specifics.mode` and `beside`: the README's table of keys gives what holds if they are missing;
- `specifics`, `specifics.groups`, `specifics.message_aim_us`: "facts of this kind of service";
- `policy_limits.may_probe` and `policy_limits.peers`: an absent permission is none.

A reload refuses a key that the configuration in force has and the new one lacks, see `platform/reload.py`.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any, NamedTuple

from brambleplank.checks import InvalidConfigurationError, check_value
from brambleplank.model import Idempotency
from brambleplank.settings import IDEMPOTENCY_BY_NAME, SCOPE_BY_NAME


class Key(NamedTuple):
    """Path and type of one key of the settings."""

    path: str
    kind: type
    least: float = 0  # minimum of a number
    words: Collection[str] = ()  # the valid values of a string, if only some are


LIST_SOURCES = ("push", "ask", "pull")  # "pull": in a sidecar's file that was converted
MODES = ("proxy", "pass")
REQUIRED = (
    Key("balancers", int, 1),
    Key("slot_no", int),
    Key("tick_us", float, 1),
    Key("discovery", str, words=LIST_SOURCES),
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
    Key("az", str),
    Key("policy_limits.may_probe", bool),
    Key("policy_limits.peers", bool),
    Key("specifics", dict),
    Key("specifics.groups", bool),
    Key("specifics.mode", str, words=MODES),
    Key("specifics.message_aim_us", list),
    Key("beside", dict),
    Key("beside.balancers", int),
    Key("beside.first", bool),
    Key("tenants", list),
)
REQUIRED_OF_TRAFFIC_CLASS = (
    Key("name", str),
    Key("effect", str, words=IDEMPOTENCY_BY_NAME),
    Key("setup_target_us", float, 1),
    Key("deadline_us", float, 1),
)
# They decide where and until when a request that may have run is sent again.
DEDUPLICATION_KEYS = (
    Key("group", str, words=SCOPE_BY_NAME),
    Key("window_us", float),
)
REQUIRED_OF_TENANT = (Key("name", str),)


def check_settings(settings: Any) -> None:
    """Raises InvalidConfigurationError for the first setting that is missing or invalid."""
    check_value(settings, "settings", dict)
    for key in REQUIRED:
        check_required(settings, "settings", key)
    for key in OPTIONAL:
        above, _, name = key.path.rpartition(".")
        table = settings.get(above) or {} if above else settings
        check_optional(table, f"settings.{above}" if above else "settings", key._replace(path=name))
    check_proxy_number(settings)
    check_named_items(settings.get("tenants") or [], "settings.tenants", REQUIRED_OF_TENANT)
    check_traffic_classes(settings["service_types"])
    check_message_objectives(settings)


def check_required(table: dict[str, Any], at: str, key: Key) -> None:
    """Raises InvalidConfigurationError if the key is missing or its value is invalid."""
    value: Any = table
    for part in key.path.split("."):
        check_value(value, at, dict)
        at = f"{at}.{part}"
        if part not in value:
            raise InvalidConfigurationError(f"{at}: missing")
        value = value[part]
    check_key_value(value, at, key)


def check_optional(table: dict[str, Any], at: str, key: Key) -> None:
    """Raises InvalidConfigurationError if the key is there and its value is invalid."""
    value = table.get(key.path)
    if value is not None:
        check_key_value(value, f"{at}.{key.path}", key)


def check_key_value(value: Any, at: str, key: Key) -> None:
    """Raises InvalidConfigurationError if the value is invalid for the key."""
    check_value(value, at, key.kind, key.least)
    if key.words and value not in key.words:
        raise InvalidConfigurationError(f"{at}: need one of {', '.join(key.words)}, not {value!r:.40}")


def check_proxy_number(settings: dict[str, Any]) -> None:
    """Raises InvalidConfigurationError unless the proxy's number is less than the number of proxies."""
    if settings["slot_no"] >= settings["balancers"]:
        raise InvalidConfigurationError(
            f"settings.slot_no: need a number under settings.balancers ({settings['balancers']}), "
            f"not {settings['slot_no']}"
        )


def check_named_items(items: list[Any], at: str, required: Collection[Key]) -> None:
    """Raises InvalidConfigurationError if an item lacks a key, has an invalid one or repeats a name."""
    names: set[str] = set()
    for number, item in enumerate(items):
        check_value(item, f"{at}[{number}]", dict)
        for key in required:
            check_required(item, f"{at}[{number}]", key)
        name = item["name"]
        if name in names:
            raise InvalidConfigurationError(
                f"{at}[{number}].name: {name!r:.40} is used twice; names must be unique"
            )
        names.add(name)


def check_traffic_classes(traffic_classes: list[Any]) -> None:
    """Raises InvalidConfigurationError if there is no traffic class, or one is invalid or repeats a name."""
    at = "settings.service_types"
    if not traffic_classes:
        raise InvalidConfigurationError(f"{at}: need at least one")
    check_named_items(traffic_classes, at, REQUIRED_OF_TRAFFIC_CLASS)
    for number, traffic_class in enumerate(traffic_classes):
        check_deduplication(traffic_class, f"{at}[{number}]")


def check_deduplication(traffic_class: dict[str, Any], at: str) -> None:
    """Raises InvalidConfigurationError if a class does not say where and until when repeats are dropped."""
    is_needed = IDEMPOTENCY_BY_NAME[traffic_class["effect"]] is Idempotency.IDEMPOTENT_IN_GROUP
    for key in DEDUPLICATION_KEYS:
        if is_needed:
            check_required(traffic_class, at, key)
        else:
            check_optional(traffic_class, at, key)


def check_message_objectives(settings: dict[str, Any]) -> None:
    """Raises InvalidConfigurationError for an invalid message latency objective.

    A class without one has its latency objective for messages too.
    """
    objectives = (settings.get("specifics") or {}).get("message_aim_us") or ()
    for number, objective in enumerate(objectives):
        check_value(objective, f"settings.specifics.message_aim_us[{number}]", float, 1)
