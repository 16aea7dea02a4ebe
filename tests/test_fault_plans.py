"""Tests that a process reads its latest fault plan, however quickly and early the plan signals arrive."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

from tests.faults import FaultInjector, ignore_plan_signals
from tests.waiting import TEST_TIMEOUT, wait_until

PLANS = 200
IDLE = "import time\nwhile True:\n    time.sleep(0.001)"


def test_last_of_many_plans_in_quick_succession_is_read_even_during_startup(tmp_path: Path) -> None:
    # Guards against a process that is killed by SIGUSR1 during its start, or that keeps an outdated plan when
    # a signal interrupts the reading of the previous one.
    faults = FaultInjector(tmp_path)
    command = [sys.executable, "-c", f"{faults.patch}\n{IDLE}"]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True, preexec_fn=ignore_plan_signals)
    acknowledged = tmp_path / f"faults.json.{process.pid}"
    try:
        until = time.monotonic() + TEST_TIMEOUT
        while faults.number < PLANS or (not acknowledged.exists() and time.monotonic() < until):
            faults.write({"wall": float(faults.number)})
            process.send_signal(signal.SIGUSR1)
        wait_until(lambda: process.poll() is not None or acknowledged.read_text() == str(faults.number))
        assert process.poll() is None
    finally:
        process.kill()
        assert process.communicate(timeout=TEST_TIMEOUT)[1] == ""
