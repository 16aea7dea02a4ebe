"""Every exception class of the program carries a problem, a location and advice for the operator."""

from __future__ import annotations

import importlib
import inspect
import pkgutil

import pytest

import brambleplank
from brambleplank.errors import BrambleplankError


def all_errors() -> list[type[Exception]]:
    found: dict[type[Exception], None] = {}
    for info in pkgutil.walk_packages(brambleplank.__path__, "brambleplank."):
        if not info.name.endswith("__main__"):
            module = importlib.import_module(info.name)
            found.update(
                {
                    each: None
                    for _, each in inspect.getmembers(module, inspect.isclass)
                    if issubclass(each, Exception) and each.__module__ == info.name
                }
            )
    return list(found)


@pytest.mark.parametrize("kind", all_errors(), ids=lambda kind: f"{kind.__module__}.{kind.__name__}")
def test_error_derives_from_the_base_and_has_its_own_advice(kind: type[Exception]) -> None:
    assert issubclass(kind, BrambleplankError)
    assert kind is BrambleplankError or kind.ADVICE != BrambleplankError.ADVICE
    error = kind("key.path: invalid value")
    assert (
        isinstance(error, BrambleplankError)
        and "invalid value" in str(error)
        and error.advice in error.with_advice()
    )
    assert len(error.with_advice().splitlines()) == 1
