"""`python -m tests.soak --seeds 1-20`: plays seeds one after another and says which rules were broken."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.soak.judge import Breach, Judge
from tests.soak.world import World

MOST_LAG = 2.0  # seconds in all by which the judge itself may be late


def play(
    seed: int, folder: Path, proxies: int, servers: int, seconds: float, rate: float, patch: str = ""
) -> tuple[World, list[Breach]]:
    """One run and its verdict."""
    world = World(seed, folder, proxies, servers, seconds, rate, patch)
    records = asyncio.run(world.run())
    return world, Judge(records, world.settings, rate, servers).judge()


def told(seed: int, world: World, breaches: list[Breach], most: int) -> str:
    records = world.records
    up = sum(bool(r.answers) and r.answers[0][1].startswith("UP") for r in records.requests)
    lag = sum(late for _, late in records.lags)
    busy = " (VOID: this machine was too busy to judge)" if lag > MOST_LAG else ""
    lines = [
        f"seed {seed}: {len(records.requests)} requests, {up} UP, {len(records.attempts)} attempts, "
        f"{len(records.lives)} processes, {len(records.troubles)} troubles, lag {lag:.1f} s: "
        + busy
        + (f"BROKEN {dict(Counter(breach.rule for breach in breaches))}" if breaches else "no rule broken")
    ]
    shown: Counter[str] = Counter()
    for breach in breaches:
        shown[breach.rule] += 1
        if shown[breach.rule] <= most:
            lines.append(f"    {breach.rule}: {breach.what}")
    return "\n".join(lines)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--proxies", type=int, default=24)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=120.0, help="requests a second, over all proxies")
    parser.add_argument("--logs", type=Path, help="folder for the proxies' logs")
    parser.add_argument("--most", type=int, default=4, help="breaches shown of each rule")
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    logs = given.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    # Ended so, a run still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = logs / f"seed-{seed}"
        world, breaches = play(seed, folder, given.proxies, given.servers, given.seconds, given.rate)
        print(told(seed, world, breaches, given.most), flush=True)
        troubles = "\n".join(f"{at:.3f} {what}" for at, what in world.records.troubles)
        (folder / "troubles").write_text(troubles + "\n")
        broken += bool(breaches)
    print(f"{broken} seeds broken; logs in {logs}")
    return int(broken > 0)


if __name__ == "__main__":
    raise SystemExit(main())
