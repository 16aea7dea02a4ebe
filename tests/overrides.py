"""Code that a process under test runs before the program, to override attributes of its modules and classes.

A target is written `module:name` or `module:Class.method`. A target that does not exist raises
AttributeError, here and in the process under test; otherwise, renaming a constant could leave a test that
overrides nothing.
"""

from __future__ import annotations

import importlib
from typing import Any


def override(target: str, value: Any) -> str:
    """Returns code that overrides a target; a string is source code of the value, else the value itself."""
    locate(target)
    source = value if isinstance(value, str) else repr(value)
    return f"from tests import overrides\noverrides.replace({target!r}, {source})\n"


def overrides(values: dict[str, Any]) -> str:
    """Returns code that overrides several targets, in their order."""
    return "".join(override(target, value) for target, value in values.items())


def replace(target: str, value: Any) -> None:
    """Overrides a target in this process."""
    owner, name = locate(target)
    setattr(owner, name, value)


def locate(target: str) -> tuple[Any, str]:
    """Returns the module or class that has the target, and its name there. Raises AttributeError."""
    module, _, path = target.partition(":")
    owner: Any = importlib.import_module(module)
    *parents, name = path.split(".")
    for parent in parents:
        owner = getattr(owner, parent)
    getattr(owner, name)
    return owner, name
