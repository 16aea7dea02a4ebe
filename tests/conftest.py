"""Shared fixtures and the Hypothesis profile."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from tests.fake_host import FakeHost
from tests.programs import Program, Sidecar, UnixSidecar, program_factory

settings.register_profile("deterministic", derandomize=True, deadline=None)  # same examples in every run
settings.load_profile("deterministic")


@pytest.fixture
def fake() -> FakeHost:
    """Returns a fake host with five servers."""
    return FakeHost()


@pytest.fixture
def start_program(tmp_path: Path) -> Iterator[Callable[..., Program]]:
    """Yields a function that starts programs as the platform does."""
    yield from program_factory(tmp_path, Program)


@pytest.fixture(params=[Program, Sidecar], ids=["platform", "sidecar"])
def start_each_kind(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Callable[..., Program]]:
    """Yields a function that starts programs: in one run as the platform does, in another as sidecars."""
    yield from program_factory(tmp_path, request.param)


@pytest.fixture(params=[Sidecar, UnixSidecar], ids=["address", "socket"])
def start_sidecar(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Callable[..., Sidecar]]:
    """Yields a function that starts sidecars: in one run at a TCP address, in another on a Unix socket."""
    yield from program_factory(tmp_path, request.param)
