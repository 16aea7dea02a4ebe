"""The ports that tests give to the programs they start."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from tests.ports import PORTS_PER_BLOCK

TEST_PROCESSES = 12
PORTS_EACH = 300  # more than a block has, so that ports are used again
CHILD = f"""
import sys
from tests.ports import unused_address
print(*{{unused_address()[1] for _ in range({PORTS_EACH})}}, flush=True)
sys.stdin.read()  # the process keeps its ports for as long as it lives
"""


def test_processes_that_ask_at_once_get_different_ports() -> None:
    # Guards against a test that talks to a program which another test process has started.
    children = [
        subprocess.Popen(
            [sys.executable, "-c", CHILD],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=Path(__file__).parent.parent,
        )
        for _ in range(TEST_PROCESSES)
    ]
    try:
        ports = [set(child.stdout.readline().split()) for child in children if child.stdout]
    finally:
        for child in children:
            child.communicate("")
    assert all(len(each) > PORTS_PER_BLOCK / 2 for each in ports)
    assert len(set().union(*ports)) == sum(map(len, ports))
