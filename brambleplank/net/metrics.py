"""Counters of this process, in the text form that Prometheus reads."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

HELP = {
    "requests_ended": "Clients' connections that ended, by reason code.",
    "requests_refused": "Requests that got no further attempt, by reason.",
    "attempts_ended": "Attempts that ended before they stood, by result.",
    "servers_changed": "Changes of servers that the list told, by what they became.",
    "rule_violations": "Steps against a rule, by rule; each is a fault of this program.",
    "rule_crossings": "Steps that were refused as something had changed since they were decided, by rule.",
    "local_faults": "System calls that failed on this machine, by call and errno.",
}


class Metrics:
    """Counters by name and label; both have small, fixed sets of values."""

    def __init__(self) -> None:
        self.counters: dict[str, Counter[str]] = {}

    def count(self, name: str, label: str) -> None:
        """Increments a counter."""
        self.counters.setdefault(name, Counter())[label] += 1

    def text(self, other_counters: Mapping[str, Mapping[str, int]]) -> str:
        """Returns these and the other counters in Prometheus text format, sorted by name and label."""
        lines = []
        for name, counts in sorted({**self.counters, **other_counters}.items()):
            lines.append(f"# HELP brambleplank_{name}_total {HELP[name]}")
            lines.append(f"# TYPE brambleplank_{name}_total counter")
            for label, count in sorted(counts.items()):
                lines.append(f'brambleplank_{name}_total{{what="{label}"}} {count}')
        return "\n".join(lines)
