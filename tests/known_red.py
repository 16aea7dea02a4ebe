"""A pytest plugin that passes over exactly the tests that a list of known failures names.

The option `--deselect` passes over all tests whose names begin with the given one. An entry without `::` is
the path of a script, from the root of the repository: the plugin checks that it is there; nothing runs it.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import pytest

NODE_SEPARATOR = "::"  # between the file and the name of a test


def listed_entries(text: str) -> list[str]:
    """Returns the entries of a list: the part of each line before the first ` | `."""
    return [line.partition(" | ")[0].strip() for line in text.splitlines() if line.strip()]


def listed_tests(text: str) -> list[str]:
    """Returns the node ids of a list."""
    return [entry for entry in listed_entries(text) if NODE_SEPARATOR in entry]


def check_scripts(text: str, root: Path) -> None:
    """Raises UsageError if a listed script does not exist below the root."""
    scripts = [entry for entry in listed_entries(text) if NODE_SEPARATOR not in entry]
    if missing := [script for script in scripts if not (root / script).is_file()]:
        raise pytest.UsageError(f"known failures that are neither tests nor scripts: {', '.join(missing)}")


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
    text = path.read_text()
    check_scripts(text, path.absolute().parent)
    selected, deselected = split_items(items, listed_tests(text))
    items[:] = selected
    config.hook.pytest_deselected(items=deselected)
