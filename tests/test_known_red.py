"""CI passes over exactly the tests that the list of known failures names."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from tests.known_red import check_scripts, listed_tests, split_items

LIST = """\
tests/test_a.py::test_one[1] | pytest -n 2 | failed once | 63

tests/test_b.py::test_two | soak | x | 63
"""


def make_items(*names: str) -> list[Any]:
    return [SimpleNamespace(nodeid=name) for name in names]


def test_only_the_listed_tests_are_passed_over() -> None:
    # Guards against passing over each test whose name begins with a listed one.
    listed = listed_tests(LIST)
    assert listed == ["tests/test_a.py::test_one[1]", "tests/test_b.py::test_two"]
    near = ["tests/test_a.py::test_one[11]", "tests/test_b.py::test_two_more", "tests/test_b.py::test_two[0]"]
    selected, deselected = split_items(make_items(*listed, *near), listed)
    assert [item.nodeid for item in selected] == near
    assert [item.nodeid for item in deselected] == listed


def test_listed_test_that_does_not_exist_is_an_error() -> None:
    with pytest.raises(pytest.UsageError, match="test_two"):
        split_items(make_items("tests/test_a.py::test_one[1]"), listed_tests(LIST))


def test_script_is_an_entry_of_its_own_and_has_to_exist(tmp_path: Path) -> None:
    # Guards against a list that ends CI because it names a script, and against one that names nothing.
    text = LIST + "cases/1/run.sh | seed 1 | lost 2 of 40 | 71\n"
    assert listed_tests(text) == listed_tests(LIST)
    with pytest.raises(pytest.UsageError, match="cases/1/run.sh"):
        check_scripts(text, tmp_path)
    script = tmp_path / "cases/1/run.sh"
    script.parent.mkdir(parents=True)
    script.touch()
    check_scripts(text, tmp_path)
    with pytest.raises(pytest.UsageError, match="cases"):
        check_scripts("cases | a folder\n", tmp_path)
