"""Times parsing, linting and lookups of route tables with 10,000 rules, in four shapes.

`python -m benchmarks.routes [RULES]` prints a Markdown table.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from random import Random

from brambleplank.fleet.routing import route_table
from brambleplank.fleet.routing.lint import LintContext, lint

LOOKUPS = 50_000


def table_text(shape: str, rules: int) -> str:
    """Returns the text of a table: by customer, by disjoint or random keys, or all conditions mixed."""
    rng = Random(1)
    lines = ['versions = ["v1", "v2", "v3"]']
    for n in range(rules):
        lines += ["[[rule]]", 'does = "serve"' if rng.random() < 0.7 else 'does = "refuse"']
        mixed = shape == "mixed"
        first = rng.randrange(2**60)
        if shape == "customers" or (mixed and rng.random() < 0.8):
            lines.append(f'customer = ["c{n if shape == "customers" else rng.randrange(2000)}"]')
        if shape == "customers" or (mixed and rng.random() < 0.8):
            lines.append(f'service_type = ["{rng.choice("abc")}"]')
        if mixed and rng.random() < 0.5:
            lines.append(f'version = ["{rng.choice(["v1", "v2"])}"]')
        if shape == "keys":
            lines.append(f'keys = ["{n * 1000:x}-{n * 1000 + 999:x}"]')
        if shape == "overlapping" or (mixed and rng.random() < 0.5):
            lines.append(f'keys = ["{first:x}-{first + 2**56:x}"]')
    return "\n".join(lines)


def main(rules: int) -> None:
    """Prints one row per table shape."""
    print("| rules | shape | parse s | lint s | lookup us | findings |\n|" + " --- |" * 6)
    for shape in ("customers", "keys", "mixed", "overlapping"):
        text = table_text(shape, rules)
        started_at = time.perf_counter()
        table, faults = route_table.read(text)
        assert table is not None, faults
        read_at = time.perf_counter()
        found = Counter(finding.kind for finding in lint(table, LintContext(["a", "b", "c"])))
        linted_at = time.perf_counter()
        for n in range(LOOKUPS):
            table.find("a", f"c{n % 3000}", "v1", n * 7919**5 % 2**60)
        lookup_time = (time.perf_counter() - linted_at) / LOOKUPS * 1e6
        kinds = ", ".join(f"{kind} {count}" for kind, count in found.items()) or "none"
        print(
            f"| {rules} | {shape} | {read_at - started_at:.2f} | {linted_at - read_at:.2f} "
            f"| {lookup_time:.1f} | {kinds} |"
        )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10_000)
