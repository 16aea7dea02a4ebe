"""The schema of a file of rules, and the checks of its tables."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from brambleplank.fleet.retirement.plan import Retirement, check_retirement
from brambleplank.fleet.routing.key_ranges import parse_ranges
from brambleplank.tables import DocumentReader, KeyPath, Seconds, apply_rules, key_note

MAX_RULES = 10_000


class Rule(msgspec.Struct, forbid_unknown_fields=True):
    """One rule; what it leaves out matches all."""

    does: Annotated[
        Literal["serve", "refuse", "retire"],
        key_note(
            "what becomes of a flow: served, answered at once, or as a retirement says",
            '"serve"',
        ),
    ]
    name: Annotated[str, key_note("its name in the log", '"old maps"')] = ""
    service_type: Annotated[list[str], key_note("service types", '["maps"]')] = msgspec.field(
        default_factory=list
    )
    customer: Annotated[list[str], key_note("customers", '["acme"]')] = msgspec.field(default_factory=list)
    version: Annotated[
        list[str],
        key_note(
            "versions, as v= of OPEN; a flow that names none is of the oldest",
            '["v1"]',
        ),
    ] = msgspec.field(default_factory=list)
    keys: Annotated[
        list[str],
        key_note(
            "ranges of keys, hexadecimal, both ends included",
            '["00-7f"]',
        ),
    ] = msgspec.field(default_factory=list)
    budget: Annotated[str, key_note("a budget of the fleet that flows are served under", '"acme flows"')] = ""
    come_back: Annotated[
        Seconds | None,
        key_note(
            "when a refused client should come again, where that may be told",
            '"2s"',
            "",
            0,
            600,
        ),
    ] = None

    retirement: Annotated[str, key_note("the retirement that it goes by", '"maps v1"')] = ""

    def outcome(self) -> tuple[str, str]:
        """Returns the outcome for a request; rules with the same outcome do not contradict each other."""
        return self.does, self.budget or self.retirement


class Routes(msgspec.Struct, forbid_unknown_fields=True):
    """A file of rules."""

    versions: Annotated[
        list[str],
        key_note(
            "all versions, the oldest first: that of flows that name none",
            '["v1", "v2"]',
        ),
    ] = msgspec.field(default_factory=list)
    rule: Annotated[list[Rule], key_note("one table a rule, in their order", "[[rule]]")] = msgspec.field(
        default_factory=list
    )
    retirement: Annotated[list[Retirement], key_note("one table a retirement", "[[retirement]]")] = (
        msgspec.field(default_factory=list)
    )


def check_file(reading: DocumentReader, file: Routes) -> None:
    """Adds all faults of a file, by line and key."""
    if len(file.rule) > MAX_RULES:
        reading.add_fault(("rule",), f"{len(file.rule)} rules", f"keep {MAX_RULES} at most")
    if len(set(file.versions)) < len(file.versions) or "" in file.versions:
        reading.add_fault(
            ("versions",), "a version is empty or there twice", "write each once, the oldest first"
        )
    for n, retirement in enumerate(file.retirement):
        apply_rules([lambda n=n, retirement=retirement: check_retirement(reading, n, retirement)])  # type: ignore[misc]
        if any(retirement.name == other.name for other in file.retirement[:n]):
            twice = f'"{retirement.name}" is there twice'
            reading.add_fault(("retirement", n, "name"), twice, "write each name once")
    for n, rule in enumerate(file.rule):
        apply_rules([lambda n=n, rule=rule: check_rule(reading, n, rule)])  # type: ignore[misc]


def check_rule(reading: DocumentReader, n: int, rule: Rule) -> None:
    """Adds all faults of one rule."""
    at: KeyPath = ("rule", n)
    if parse_ranges(rule.keys) is None:
        reading.add_fault((*at, "keys"), f"no ranges of keys: {rule.keys}", 'write ranges like "00-7f"')
    if rule.does == "refuse" and rule.budget:
        reading.add_fault((*at, "budget"), "a refused flow uses no budget", "leave it out")
    if rule.does != "refuse" and rule.come_back is not None:
        reading.add_fault((*at, "come_back"), "only for rules that refuse flows", "leave it out")
    if (rule.does == "retire") != bool(rule.retirement):
        reading.add_fault(
            (*at, "retirement"), 'needed with does = "retire", and only then', "write both, or neither"
        )
    for key in ("service_type", "customer", "version"):
        values = getattr(rule, key)
        if len(set(values)) < len(values):
            reading.add_fault((*at, key), "a value is there twice", "write each once")
