"""The timeline of a retirement: its schema in the file, its steps, and the callers that a step turns away.

The retirement of a service type, or of one version of it, is announced; then callers are warned, announced
pauses rehearse the end, a growing share of the callers is turned away, and at the end all are. The steps are
in the order of their dates. Which step is in force, the fleet agrees on (`progress.py`); no member derives it
from its own clock. Free of I/O.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import StrEnum
from itertools import pairwise
from typing import Annotated

import msgspec
from msgspec import Meta

from brambleplank.tables import Date, DocumentReader, KeyPath, Seconds, default_value, key_note

POSITION_BYTES = 6  # of the hash that gives a caller its position


class RetirementStage(StrEnum):
    """How callers are treated in a step of a retirement."""

    ANNOUNCED = "announced"
    WARNED = "warned"
    PAUSED = "paused"
    SHEDDING = "shedding"
    ENDED = "ended"


STAGES_WARNING = (
    RetirementStage.WARNED,
    RetirementStage.PAUSED,
    RetirementStage.SHEDDING,
    RetirementStage.ENDED,
)
STAGES_TURNING_AWAY = (RetirementStage.PAUSED, RetirementStage.SHEDDING)  # before the end


def date_key(does: str) -> Meta:
    """Returns the annotation of a key with a date."""
    return key_note(does, "2027-03-01T08:00:00Z")


class Pause(msgspec.Struct, forbid_unknown_fields=True):
    """A rehearsal of the end: all callers are refused for a short, announced time."""

    at: Annotated[Date, date_key("when it begins")]
    lasts: Annotated[Seconds, key_note("how long", '"60s"', "", 1, 86400)]


class CustomerTerms(msgspec.Struct, forbid_unknown_fields=True):
    """What one customer was granted."""

    customer: Annotated[str, key_note("the customer", '"acme"')]
    ended: Annotated[Date | None, date_key("until when it is neither paused nor shed; then it ends")] = None
    floor: Annotated[
        int,
        key_note(
            "flows a minute of this customer that go on being served; under it shedding halts",
            "10",
            "",
            0,
            1_000_000,
        ),
    ] = 0


class Retirement(msgspec.Struct, forbid_unknown_fields=True):
    """One timeline."""

    name: Annotated[str, key_note("its name in rules and in the log", '"maps v1"')]
    service_type: Annotated[str, key_note("the service type that is retired, or a version of it", '"maps"')]
    announced: Annotated[Date, date_key("from when it is said in the log")]
    warned: Annotated[Date, date_key("from when callers are counted, and warned where they asked for it")]
    shed: Annotated[Date, date_key("from when a share of the callers is turned away")]
    ended: Annotated[Date, date_key("from when all are, but for customers with more time")]
    version: Annotated[str, key_note("the version; empty: the whole service type", '"v1"')] = ""
    successor_type: Annotated[str, key_note("the service type to go to; empty: the same", '"maps"')] = ""
    successor_version: Annotated[str, key_note("the version to go to", '"v2"')] = ""
    shares: Annotated[
        list[float],
        key_note(
            "shares of the callers turned away, evenly spaced from shed to ended",
            "[0.05, 0.25, 0.5]",
        ),
    ] = default_value([0.05, 0.1, 0.25, 0.5, 0.75])
    pause: list[Pause] = msgspec.field(default_factory=list)
    customer: list[CustomerTerms] = msgspec.field(default_factory=list)
    ceiling: Annotated[
        str,
        key_note(
            "a budget of turned-away flows over the fleet; beyond it they are served",
            '"away"',
        ),
    ] = ""
    moves: Annotated[
        str, key_note("a budget of moves over the fleet, for what stands at the end", '"moves"')
    ] = ""
    move_within: Annotated[
        Seconds,
        key_note(
            "the time over which what stands at the end is moved",
            '"300s"',
            "",
            1,
            86400,
        ),
    ] = default_value(Seconds(300))
    come_back: Annotated[
        Seconds | None,
        key_note(
            "when a turned-away client should come again",
            '"2s"',
            "",
            0,
            600,
        ),
    ] = None
    notice: Annotated[bool, key_note("whether clients that say notice=1 get a line after UP", "false")] = (
        False
    )
    halted: Annotated[
        bool,
        key_note(
            "an operator's halt: nobody is turned away, and nothing goes on",
            "false",
        ),
    ] = False

    def end_for(self, customer: str) -> Date | None:
        """Returns the customer's own end date, or None."""
        granted = (terms.ended for terms in self.customer if terms.customer == customer and terms.ended)
        return next(granted, None)

    @property
    def successor(self) -> tuple[str, str]:
        """The service type and version to go to."""
        return self.successor_type or self.service_type, self.successor_version


@dataclass(frozen=True)
class RetirementStep:
    """One step of a timeline."""

    stage: RetirementStage
    share: float  # of the callers, turned away
    due: float  # Unix seconds before which it does not begin
    ended_customers: tuple[str, ...] = ()  # customers with an end date of their own that has come


def steps_of(retirement: Retirement) -> list[RetirementStep]:
    """Returns all steps in order.

    None may be skipped: after a jump of the clock, callers would be turned away without a warning.
    """
    steps = [
        RetirementStep(RetirementStage.ANNOUNCED, 0.0, retirement.announced.timestamp()),
        RetirementStep(RetirementStage.WARNED, 0.0, retirement.warned.timestamp()),
    ]
    for pause in sorted(retirement.pause, key=lambda each: each.at):
        begins = pause.at.timestamp()
        steps.append(RetirementStep(RetirementStage.PAUSED, 1.0, begins))
        steps.append(RetirementStep(RetirementStage.WARNED, 0.0, begins + pause.lasts))
    shed_at = retirement.shed.timestamp()
    ended_at = retirement.ended.timestamp()
    for n, share in enumerate(retirement.shares):
        due = shed_at + (ended_at - shed_at) * n / len(retirement.shares)
        steps.append(RetirementStep(RetirementStage.SHEDDING, share, due))
    steps.append(RetirementStep(RetirementStage.ENDED, 1.0, ended_at))
    ended_customers: tuple[str, ...] = ()
    for terms in sorted((c for c in retirement.customer if c.ended), key=lambda c: str(c.ended)):
        ended_customers = (*ended_customers, terms.customer)
        assert terms.ended is not None
        steps.append(
            RetirementStep(
                RetirementStage.ENDED, 1.0, max(ended_at, terms.ended.timestamp()), ended_customers
            )
        )
    return steps


def caller_position(retirement: str, caller: str) -> float:
    """Returns a caller's position from 0 to 1, the same at every process.

    The caller is turned away once the share exceeds its position.
    """
    digest = hashlib.blake2b(f"{retirement}\0{caller}".encode(), digest_size=POSITION_BYTES).digest()
    return int.from_bytes(digest, "big") / (1 << 8 * POSITION_BYTES)


def turns_away(retirement: Retirement, step: RetirementStep, customer: str, caller: str) -> bool:
    """Returns whether a step turns a caller away; customers with an end date of their own only after it."""
    if retirement.end_for(customer) is not None:
        return customer in step.ended_customers
    return step.share > 0 and caller_position(retirement.name, caller) < step.share


def check_retirement(reading: DocumentReader, n: int, retirement: Retirement) -> None:
    """Adds all faults of one retirement, by line and key."""
    at: KeyPath = ("retirement", n)
    check_dates(reading, at, retirement)
    shares = retirement.shares
    if not shares or not all(0 < share < 1 for share in shares) or sorted(set(shares)) != shares:
        reading.add_fault(
            (*at, "shares"), f"{shares} do not grow between 0 and 1", "write shares like [0.1, 0.5]"
        )
    check_pauses(reading, at, retirement)
    check_customers(reading, at, retirement)


def check_dates(reading: DocumentReader, at: KeyPath, retirement: Retirement) -> None:
    """Adds a fault for each date that is not after the previous one."""
    dates = [(key, getattr(retirement, key)) for key in ("announced", "warned", "shed", "ended")]
    for (_, before), (key, after) in pairwise(dates):
        if after <= before:
            wrong = f"{after.isoformat()} is not after {before.isoformat()}"
            reading.add_fault((*at, key), wrong, "order them: announced, warned, shed, ended")


def check_pauses(reading: DocumentReader, at: KeyPath, retirement: Retirement) -> None:
    """Adds a fault for each pause that is not between warned and shed, or overlaps another one."""
    earliest = retirement.warned.timestamp()
    for n, pause in sorted(enumerate(retirement.pause), key=lambda each: each[1].at):
        begins = pause.at.timestamp()
        if begins <= earliest or begins + pause.lasts >= retirement.shed.timestamp():
            reading.add_fault(
                (*at, "pause", n, "at"),
                "not between warned and shed, or within another pause",
                "put each pause after the one before, and its end before shed",
            )
        earliest = begins + pause.lasts


def check_customers(reading: DocumentReader, at: KeyPath, retirement: Retirement) -> None:
    """Adds a fault for each customer that is there twice, or ends no later than the others."""
    for n, terms in enumerate(retirement.customer):
        if terms.ended is not None and terms.ended <= retirement.ended:
            reading.add_fault(
                (*at, "customer", n, "ended"), "not later than the end for all", "write a later date"
            )
        if any(terms.customer == other.customer for other in retirement.customer[:n]):
            reading.add_fault((*at, "customer", n, "customer"), "is there twice", "write each customer once")
