"""`python -m tests.soak --seeds 1-20`: runs the seeds one after another and prints the rule violations."""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
from pathlib import Path

from tests.soak.run import run_soak
from tests.soak.simulation import SimulationPlan, Troubles


def main() -> int:
    """Returns the exit status: 1 if any seed violated a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="range of seeds, first-last")
    parser.add_argument("--proxies", type=int, default=24)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=120.0, help="requests per second over all proxies")
    parser.add_argument("--logs", type=Path, help="directory for the proxies' logs")
    parser.add_argument("--most", type=int, default=4, help="maximum number of violations printed per rule")
    kinds = [kind.value for kind in Troubles]
    parser.add_argument("--troubles", default=Troubles.MIXED.value, choices=kinds, help="faults to draw from")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    logs = arguments.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    # By default SIGTERM ends Python without cleanup and would leave the proxy processes running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = logs / f"seed-{seed}"
        plan = SimulationPlan(
            seed,
            folder,
            arguments.proxies,
            arguments.servers,
            arguments.seconds,
            arguments.rate,
            troubles=Troubles(arguments.troubles),
        )
        result = run_soak(plan)
        print(result.text(arguments.most), flush=True)
        fault_lines = "\n".join(f"{at:.3f} {text}" for at, text in result.records.injected_faults)
        (folder / "faults").write_text(fault_lines + "\n")
        failed_seeds += bool(result.violations)
    print(f"{failed_seeds} seeds with violations; logs in {logs}")
    return int(failed_seeds > 0)


if __name__ == "__main__":
    raise SystemExit(main())
