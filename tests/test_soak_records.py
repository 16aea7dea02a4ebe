"""What the soak notes of its own troubles, and what the judge makes of them."""

from __future__ import annotations

from math import inf
from pathlib import Path

import pytest

from tests.soak.discovery import DiscoveryAgent
from tests.soak.proxies import Proxy
from tests.soak.records import ProcessRun, Records

UNREACHABLE = {"fail": {"connect": (1.0, "ENETUNREACH")}}


@pytest.fixture
def proxy(tmp_path: Path) -> Proxy:
    """A proxy with one process that was never started."""
    proxy = Proxy(0, tmp_path, ("127.0.0.1", 1), DiscoveryAgent(0), Records())
    proxy.runs.append(ProcessRun(0, 0.0))
    return proxy


def test_span_of_failing_connects_ends_though_the_plan_was_changed_meanwhile(proxy: Proxy) -> None:
    # Guards against a judge that excuses every later drain of a process: its span never ended.
    proxy.inject_faults(**UNREACHABLE)
    proxy.inject_faults(**UNREACHABLE, wall=5.0)
    proxy.inject_faults(wall=5.0)
    spans = proxy.current_run.unreachable_spans
    assert len(spans) == 1 and spans[0][1] < inf
