"""`python -m tests.soak --seeds 1-20`: plays seeds one after another and says which rules were broken."""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
from pathlib import Path

from tests.soak.run import run_soak
from tests.soak.simulation import SimulationPlan


def main() -> int:
    """Returns 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--proxies", type=int, default=24)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=120.0, help="requests a second, over all proxies")
    parser.add_argument("--logs", type=Path, help="folder for the proxies' logs")
    parser.add_argument("--most", type=int, default=4, help="breaches shown of each rule")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    logs = arguments.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    # Without this, SIGTERM would leave the proxies' processes behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = logs / f"seed-{seed}"
        plan = SimulationPlan(
            seed, folder, arguments.proxies, arguments.servers, arguments.seconds, arguments.rate
        )
        result = run_soak(plan)
        print(result.text(arguments.most), flush=True)
        injected_faults = "\n".join(f"{at:.3f} {text}" for at, text in result.records.injected_faults)
        (folder / "troubles").write_text(injected_faults + "\n")
        failed_seeds += bool(result.violations)
    print(f"{failed_seeds} seeds broken; logs in {logs}")
    return int(failed_seeds > 0)


if __name__ == "__main__":
    raise SystemExit(main())
