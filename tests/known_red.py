"""A pytest plugin that passes over exactly the tests that a list of known failures names.

The option `--deselect` passes over all tests whose names begin with the given one.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import pytest


def listed_tests(text: str) -> list[str]:
    """Returns the node ids of a list: the part of each line before the first ` | `."""
    return [line.partition(" | ")[0].strip() for line in text.splitlines() if line.strip()]


def split_items(
    items: Iterable[pytest.Item], listed: Iterable[str]
) -> tuple[list[pytest.Item], list[pytest.Item]]:
    """Returns the tests to run, and those that are listed. Raises UsageError if a listed one is missing."""
    names = set(listed)
    selected: list[pytest.Item] = []
    deselected: list[pytest.Item] = []
    for item in items:
        (deselected if item.nodeid in names else selected).append(item)
    if missing := names - {item.nodeid for item in deselected}:
        raise pytest.UsageError(f"known failures that are no tests: {', '.join(sorted(missing))}")
    return selected, deselected


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option that names the list."""
    parser.addoption("--known-red", type=Path, help="file that lists tests to pass over, one a line")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselects the listed tests."""
    path: Path | None = config.getoption("--known-red")
    if path is None:
        return
    selected, deselected = split_items(items, listed_tests(path.read_text()))
    items[:] = selected
    config.hook.pytest_deselected(items=deselected)
