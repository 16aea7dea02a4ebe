"""Compares two configurations and determines which changes a running proxy applies."""

from __future__ import annotations

from typing import Any

from brambleplank.checks import InvalidConfigurationError

APPLIED_KEYS = ("discovery", "limits.sockets", "peers", "peers_all")  # in addition to the settings
IGNORED_KEYS = ("limits.cores", "limits.memory_mb", "known")  # ignored by a reload
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


def require_same_keys(before: Any, now: Any, key: str = "") -> None:
    """Raises InvalidConfigurationError for a key that the previous configuration has and the new one lacks.

    Otherwise a truncated file that is still valid would be applied with defaults for the missing keys.
    """
    if key in IGNORED_KEYS or not isinstance(before, dict) or not isinstance(now, dict):
        return
    for name, value in before.items():
        path = f"{key}.{name}" if key else name
        if name not in now and path not in IGNORED_KEYS:
            raise InvalidConfigurationError(
                f"{path}: missing; the configuration in force has it, and a reload cannot remove it"
            )
        require_same_keys(value, now.get(name), path)
