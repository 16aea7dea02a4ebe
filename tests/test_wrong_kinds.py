"""Values of a wrong kind at each key of each kind of file end in faults and never in an exception."""

from __future__ import annotations

import copy
import tomllib
from collections.abc import Iterator
from datetime import UTC, datetime
from math import inf, nan
from typing import Any

import pytest
import tomlkit

from brambleplank.discovery.file import server_file
from brambleplank.fleet.routing import route_table
from brambleplank.sidecar import reader
from tests.test_check import GOOD, HERE
from tests.test_retirement import timeline

FLEET = """
[fleet]
listen = "127.0.0.1:7500"
members = ["127.0.0.1:7500"]

[[fleet.budget]]
name = "retries"
of = "further"
service_type = "views"
customer = "acme"
limit = 10
window = "10s"

[[fleet.budget]]
name = "moves"
of = "moves"
limit = 10
window = "10s"

[[service_type]]
name = "views"
"""
SERVERS_AT = GOOD.index("[[server]]")
WITH_FLEET = GOOD.replace('\n[[service_type]]\nname = "views"\n', FLEET, 1)
WITH_CONSUL = (
    "sidecars = 2\nnumber = 1\n"
    + GOOD[:SERVERS_AT]
    + '[consul]\nagents = ["127.0.0.1:8500", "127.0.0.1:8501"]\nservices = ["feeds"]\n'
    + 'steady = "5s"\nsteadiest = "50s"\n'
)
SERVER_FILE = (
    GOOD[SERVERS_AT:].replace("[end]\n", "")
    + 'zone = "a"\ncell = 1\nsize = 2.0\nstarted = 2026-01-31T08:00:00Z\n[end]\n'
)
ROUTE_TABLE = timeline(
    '[[retirement.customer]]\ncustomer = "acme"\nended = 2099-01-01T00:00:00+00:00\n'
    '[[rule]]\nname = "r"\ndoes = "serve"\ncustomer = ["acme"]\nkeys = ["00-7f"]\nbudget = "views"\n'
)
WRONG_VALUES: list[Any] = [
    -1.5,
    True,
    "x",
    [5],
    [{}],
    {"x": 5},
    datetime(2026, 1, 31, tzinfo=UTC),
]


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yields the path of each key and list item in a document."""
    if path:
        yield path
    for key, item in value.items() if isinstance(value, dict) else []:
        yield from paths_of(item, (*path, key))
    for index, item in enumerate(value) if isinstance(value, list) else []:
        yield from paths_of(item, (*path, index))


def with_value(tables: dict[str, Any], path: tuple[Any, ...], value: Any) -> str:
    """Returns the text of the document with another value at one path."""
    changed = copy.deepcopy(tables)
    holder: Any = changed
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = value
    return tomlkit.dumps(changed)


def faults_of_sidecar_file(text: str) -> list[Any]:
    loaded = reader.LoadedFile("maps.toml")
    reader.check_text(loaded, text, {}, HERE)
    assert loaded.faults or loaded.settings
    return loaded.faults


READERS = {
    "sidecar with a fleet": (WITH_FLEET, faults_of_sidecar_file),
    "sidecar with Consul": (WITH_CONSUL, faults_of_sidecar_file),
    "servers": (SERVER_FILE, lambda text: server_file.parse(text)[0].faults),
    "routes": (ROUTE_TABLE, lambda text: route_table.read(text)[1]),
}


@pytest.mark.parametrize("kind", READERS)
def test_value_of_a_wrong_kind_is_a_fault(kind: str) -> None:
    # Guards against an exception in a check that reads a value which could not be decoded.
    text, faults_of = READERS[kind]
    assert not faults_of(text)
    tables = tomllib.loads(text)
    failed = []
    for path in paths_of(tables):
        refused = 0
        for value in WRONG_VALUES:
            try:
                refused += bool(faults_of(with_value(tables, path, value)))
            except Exception as error:  # noqa: BLE001, PERF203  each failing key is listed
                failed.append(f"{path} = {value!r}: {type(error).__name__}: {error}")
        assert refused, path
    assert not failed, "\n".join(failed)


@pytest.mark.parametrize("kind", READERS)
def test_number_that_is_infinite_or_none_is_a_fault(kind: str) -> None:
    # Guards against a limit that nothing reaches, or that compares as neither less nor greater.
    text, faults_of = READERS[kind]
    tables = tomllib.loads(text)
    taken = [
        f"{path} = {value}"
        for path in paths_of(tables)
        for value in (inf, -inf, nan)
        if not faults_of(with_value(tables, path, value))
    ]
    assert not taken
