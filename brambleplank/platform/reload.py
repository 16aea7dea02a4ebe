"""Compares two configurations and determines which changes a running proxy applies."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

from brambleplank.checks import TYPE_NAMES, InvalidConfigurationError
from brambleplank.settings_checks import DEDUPLICATION_KEYS

APPLIED_KEYS = ("discovery", "limits.sockets", "peers", "peers_all")  # in addition to the settings
IGNORED_KEYS = ("limits.cores", "limits.memory_mb", "known")  # ignored by a reload
OPTIONAL_KEYS = {  # keys that a reload may remove, with what the operators' wire page says of them
    "settings.service_types[].aim_stretch": "the key may be absent",
    "settings.goal.nines_part": "where given",
    "settings.goal.top_nines": "where given",
    "settings.fees.fleet": "optional",
}
CONDITIONAL_KEYS = tuple(key.path for key in DEDUPLICATION_KEYS)  # an added class may need no such key
LISTS_BY_POSITION = {  # with the key whose number, or number of items, each list has an item for
    "peers": "settings.balancers",
    "settings.specifics.message_aim_us": "settings.service_types",
    "settings.specifics.tenant_quota_connections": "settings.tenants",
}
MISSING = object()  # counterpart of a value whose key is missing
ITEM_NUMBER = re.compile(r"\[\d+\]")
FIXED_SETTINGS = ("balancers", "slot_no", "az")  # settings that need a restart


def changed_keys(before: Any, now: Any, key: str = "") -> list[str]:
    """Returns the keys whose values differ, as dotted paths."""
    if not isinstance(before, dict) or not isinstance(now, dict):
        return [key] if before != now else []
    return [
        changed
        for name in {**before, **now}
        for changed in changed_keys(before.get(name), now.get(name), f"{key}.{name}" if key else name)
    ]


def is_applied(key: str) -> bool:
    """Returns whether a running proxy applies a change of the key; other changes need a restart."""
    if key in APPLIED_KEYS:
        return True
    return key.startswith("settings.") and key.removeprefix("settings.") not in FIXED_SETTINGS


def describe_key(key: str, before: dict[str, Any], now: dict[str, Any]) -> str:
    """Returns a changed key for the log; for traffic classes, with those added, removed or changed."""
    if key != "settings.service_types":
        return key
    old = {traffic_class["name"]: traffic_class for traffic_class in before["settings"]["service_types"]}
    new = {traffic_class["name"]: traffic_class for traffic_class in now["settings"]["service_types"]}
    changes = [f"+{name}" for name in new if name not in old]
    changes += [f"-{name}" for name in old if name not in new]
    changes += [f"~{name}" for name in new if name in old and new[name] != old[name]]
    return f"{key} ({' '.join(changes) or 'order changed'})"


def describe_changes(before: dict[str, Any], now: dict[str, Any]) -> str:
    """Returns a log text with the changes that a reload applies, and those that wait for a restart."""
    keys = [key for key in changed_keys(before, now) if not key.startswith(IGNORED_KEYS)]
    applied = [describe_key(key, before, now) for key in keys if is_applied(key)]
    waiting = [key for key in keys if not is_applied(key)]
    text = f"taken up: {', '.join(applied) or 'nothing'}"
    return f"{text}; wait for a restart: {', '.join(waiting)}" if waiting else text


def require_same_keys(before: Any, now: Any) -> None:
    """Raises InvalidConfigurationError for a key that the previous configuration has and the new one lacks.

    Otherwise a truncated file that is still valid would be applied with defaults for the missing keys.
    """
    for key, _old, new in compared_values(before, now):
        if new is MISSING and ITEM_NUMBER.sub("[]", key) not in OPTIONAL_KEYS:
            raise InvalidConfigurationError(
                f"{key}: missing; the configuration in force has it, and a reload cannot remove it"
            )


def require_same_kinds(before: Any, now: Any) -> None:
    """Raises InvalidConfigurationError for a value of another kind than in the previous configuration.

    The keys that this program reads are checked before. This finds damage at the others, and a negative
    number where there was none.
    """
    for key, old, new in compared_values(before, now):
        if old is None or new is MISSING:
            continue
        if kind_of(old) is not kind_of(new):
            raise InvalidConfigurationError(f"{key}: need {TYPE_NAMES[kind_of(old)]}, not {new!r:.60}")
        if kind_of(old) is float and new < 0 <= old:
            raise InvalidConfigurationError(f"{key}: need at least 0, not {new!r:.60}")


def require_full_lists(before: Any, now: Any) -> None:
    """Raises InvalidConfigurationError for a list by position that has become shorter by itself.

    The items after a missing one would be taken for those of another proxy, class or tenant.
    """
    for key, counted_key in LISTS_BY_POSITION.items():
        lost = item_count(before, key) - item_count(now, key)
        if lost > max(0, item_count(before, counted_key) - item_count(now, counted_key)):
            raise InvalidConfigurationError(
                f"{key}: need an item for each of {counted_key}; {lost} are missing"
            )


def item_count(file: dict[str, Any], key: str) -> int:
    """Returns the number at a key, or the number of items in the list there; 0 if there is none."""
    value: Any = file
    for name in key.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    if isinstance(value, list):
        return len(value)
    return value if type(value) is int else 0


def kind_of(value: Any) -> type:
    """Returns the kind of a JSON value; all numbers are of one kind."""
    return float if type(value) is int else type(value)


def compared_values(before: Any, now: Any, key: str = "") -> Iterator[tuple[str, Any, Any]]:
    """Yields the path of each value of the previous configuration, the value, and its counterpart."""
    if isinstance(before, dict) and isinstance(now, dict):
        for name, old in before.items():
            path = f"{key}.{name}" if key else name
            if path not in IGNORED_KEYS:
                yield path, old, now.get(name, MISSING)
                yield from compared_values(old, now.get(name, MISSING), path)
    elif isinstance(before, list) and isinstance(now, list) and before:
        for number, item in enumerate(now):
            path = f"{key}[{number}]"
            yield path, before[0], item
            yield from compared_values(counterpart(before, item), item, path)


def counterpart(before: list[Any], item: Any) -> Any:
    """Returns the item of a previous list with which an item is compared.

    That is the one of the same name. An added item is compared with what all previous items have in common.
    """
    tables = [old for old in before if isinstance(old, dict)]
    if not isinstance(item, dict) or not tables:
        return before[0]
    for old in tables:
        if "name" in old and old["name"] == item.get("name"):
            return old
    return {
        name: value
        for name, value in tables[0].items()
        if name not in CONDITIONAL_KEYS and all(name in old for old in tables)
    }
