"""How far the retirements of the table in force are, as the fleet agreed, and what that means for a request.

The leader moves a retirement on by one step at a time, once its date has come by its clock and the
step before has lasted for a while; a majority must find so too by clocks of their own. It halts one by
evidence, and lets it go on after a quiet time. Each process turns callers away by the steps in force alone,
only while it holds a lease: a halt that does not reach it binds it when its lease expires. Free of I/O;
`wall` gives Unix seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from brambleplank.fleet.leases.timing import HEARTBEAT_INTERVAL, LEASE_DURATION
from brambleplank.fleet.member import FleetMember
from brambleplank.fleet.retirement.evidence import CountSamples, Evidence
from brambleplank.fleet.retirement.plan import (
    CALLERS_TURNED_AWAY,
    CALLERS_WARNED,
    Retirement,
    RetirementStage,
    RetirementStep,
    steps_of,
    turns_away,
)
from brambleplank.fleet.versions.agreement import VersionAgreement
from brambleplank.fleet.versions.identity import AgreementCallbacks

KIND = 1  # of text, in messages
MIN_STEP_SHARE = 1 / 4  # of the time between two steps that the first lasts at least, whatever a clock says
MIN_STEP_DURATION = 2 * HEARTBEAT_INTERVAL
CLOCK_TOLERANCE = LEASE_DURATION  # seconds by which a member's clock may be behind the leader's
HALT_RECOVERY_TIME = 30.0  # seconds without evidence until a halt is over
NOT_BEGUN = -1  # the step of a retirement that was not announced yet


class RetirementPosition(msgspec.Struct, array_like=True, frozen=True):
    """How far one retirement is: the step, counted from 0, and why it is halted."""

    name: str
    step: int
    halted: str = ""


PLACES_DECODER: msgspec.json.Decoder[list[RetirementPosition]] = msgspec.json.Decoder(
    list[RetirementPosition]
)


class RetirementTable(Protocol):
    """A route table, as far as retirements need it."""

    @property
    def retirements(self) -> Mapping[str, Retirement]:
        """The retirements of the table, by name."""


class ActiveTable(Protocol):
    """Holds the route table in force at this process."""

    @property
    def table(self) -> RetirementTable:
        """The table in force now."""


class StepCache:
    """The steps of the retirements of one table."""

    def __init__(self) -> None:
        self.table: object = None
        self.steps: dict[str, list[RetirementStep]] = {}

    def steps_of(self, table: object, retirement: Retirement) -> list[RetirementStep]:
        """Returns the steps of a retirement of a table; those of another table are forgotten."""
        if self.table is not table:
            self.table = table
            self.steps = {}
        if retirement.name not in self.steps:
            self.steps[retirement.name] = steps_of(retirement)
        return self.steps[retirement.name]


class RetirementProgress:
    """`servers` gives how many are ready."""

    def __init__(
        self,
        fleet: FleetMember,
        routing: ActiveTable,
        wall: Callable[[], float],
        servers: Callable[[], int],
        log: Callable[[str], None],
    ) -> None:
        self.fleet = fleet
        self.routing = routing
        self.wall = wall
        self.log = log
        self.now = fleet.identity.started_at  # at the last turn
        self.positions: dict[str, RetirementPosition] = {}
        self.entered: dict[str, float] = {}  # when a step came into force here
        self.step_cache = StepCache()
        self.samples = CountSamples(fleet.counts.fleet)
        self.evidence = Evidence(self.samples, fleet.coverage, servers)
        self.evidence_at: dict[str, float] = {}  # when a reason to halt was last found
        self.agreement = VersionAgreement(
            fleet.agreement_identity(KIND, "retirements"),
            AgreementCallbacks(fleet.send, self.judge, self.apply, log),
            fleet.rng,
            one_objection_rejects=False,
        )
        fleet.agreements.add(self.agreement)
        # A step back would serve again who was told to go.
        fleet.monotonic.add(lambda: {f"step of {name}": place.step for name, place in self.positions.items()})

    # Requests.

    def current_step(self, retirement: Retirement) -> RetirementStep | None:
        """Returns the step in force; None: nothing was announced yet."""
        place = self.positions.get(retirement.name)
        return self.numbered_step(retirement, place.step) if place else None

    def numbered_step(self, retirement: Retirement, number: int) -> RetirementStep | None:
        """Returns the step of a number, if there is one."""
        steps = self.steps_of(retirement)
        return steps[number] if 0 <= number < len(steps) else None

    def steps_of(self, retirement: Retirement) -> list[RetirementStep]:
        """Returns all steps of a retirement of the table in force."""
        return self.step_cache.steps_of(self.routing.table, retirement)

    def warns(self, retirement: Retirement) -> bool:
        """Returns whether callers are warned."""
        step = self.current_step(retirement)
        return step is not None and step.stage in CALLERS_WARNED

    def turns_away(self, now: float, retirement: Retirement, customer: str, caller: str) -> bool:
        """Returns whether a caller is turned away now; a unit of the ceiling is taken for it."""
        step = self.current_step(retirement)
        place = self.positions.get(retirement.name)
        if step is None or place is None or retirement.halted:
            return False
        if not turns_away(retirement, step, customer, caller):
            return False
        may_halt = step.stage != RetirementStage.ENDED
        if may_halt and (place.halted or self.fleet.partitioned or not self.fleet.has_lease(now)):
            return False  # Partitioned, it would not receive a halt; callers are served until it can.
        return not retirement.ceiling or self.fleet.try_acquire(now, retirement.ceiling)

    def moves(self, now: float, retirement: Retirement, standing: int) -> int:
        """Returns how many of the sessions with an ended version are to be migrated in this second."""
        step = self.current_step(retirement)
        if step is None or step.stage != RetirementStage.ENDED or retirement.halted or not standing:
            return 0
        left = self.entered.get(retirement.name, now) + retirement.move_within - now
        wanted = -(-standing // max(1, round(left)))
        if not retirement.moves:
            return wanted
        count = 0
        while count < wanted and self.fleet.try_acquire(now, retirement.moves):
            count += 1
        return count

    # Called by the agreement.

    def judge(self, digest: int, text: bytes, done: Callable[[str], None]) -> None:  # noqa: ARG002
        """Judges proposed steps by this process's own clock.

        Otherwise one clock that has jumped would turn callers away a month early.
        """
        try:
            places = PLACES_DECODER.decode(text)
        except msgspec.DecodeError as error:
            done(f"unreadable: {error}")
            return
        objections = (self.objection(place) for place in places)
        done(next((objection for objection in objections if objection), ""))

    def objection(self, place: RetirementPosition) -> str:
        """Returns what this process has against a proposed step; "" if nothing."""
        retirement = self.routing.table.retirements.get(place.name)
        before = self.positions.get(place.name)
        number = before.step if before else NOT_BEGUN
        if retirement is None or place.step == number:
            return ""
        step = self.numbered_step(retirement, place.step)
        skips = place.step > number + 1 and self.agreement.is_current
        if step is None or place.step < number or skips:
            return f"{place.name}: step {place.step} after {number}"
        if step.due > self.wall() + CLOCK_TOLERANCE:
            return f"{place.name}: the date of step {place.step} has not come here"
        return ""

    def apply(self, number: int, digest: int) -> None:  # noqa: ARG002
        """Puts the steps of a version in force."""
        places = {place.name: place for place in PLACES_DECODER.decode(self.agreement.texts.text(digest))}
        for name, place in places.items():
            before = self.positions.get(name)
            if before is None or before.step != place.step:
                self.entered[name] = self.now
            if before != place:
                self.log_place(place)
        self.positions = places

    def log_place(self, place: RetirementPosition) -> None:
        """Logs where a retirement of the table in force is."""
        retirement = self.routing.table.retirements.get(place.name)
        step = self.numbered_step(retirement, place.step) if retirement is not None else None
        if step is None:
            return
        share = f", {step.share:.0%} turned away" if step.stage == RetirementStage.SHEDDING else ""
        halted = f"; halted: {place.halted}" if place.halted else ""
        self.log(f"retirement {place.name}: {step.stage}{share}{halted}")

    # As the leader.

    def tick(self, now: float) -> None:
        """Called about every tenth of a second; the leader proposes steps when they are due."""
        self.now = now
        proposer = self.agreement.proposer
        if proposer.leader_since is None or not proposer.recovered or proposer.proposal is not None:
            return
        self.samples.update(now)
        found = [self.next_place(now, each) for each in self.routing.table.retirements.values()]
        wanted = [place for place in found if place is not None]
        if wanted != [*self.positions.values()]:
            digest = self.agreement.texts.keep(msgspec.json.encode(wanted))
            proposer.propose(now, self.agreement.newest + 1, digest, self.fleet.identity.number)

    def next_place(self, now: float, retirement: Retirement) -> RetirementPosition | None:
        """Returns where a retirement should be: as it is, one step on, halted, or no longer halted."""
        place = self.positions.get(retirement.name)
        number = place.step if place else NOT_BEGUN
        step = self.numbered_step(retirement, number)
        halted = self.halted(now, retirement, step, place.halted if place else "")
        following = self.numbered_step(retirement, number + 1)
        if halted or retirement.halted:
            following = None
        if following is not None and self.is_due(now, retirement, step, following):
            if following.stage in CALLERS_TURNED_AWAY and not is_turning_away(step):
                self.evidence.take_baseline(retirement)
            number += 1
        return RetirementPosition(retirement.name, number, halted) if number != NOT_BEGUN else None

    def halted(self, now: float, retirement: Retirement, step: RetirementStep | None, reason: str) -> str:
        """Returns why a retirement should be halted, given why it is; "" if it should not be."""
        if step is None or not is_turning_away(step):
            return ""
        found = self.evidence.reason_to_halt(now, retirement, step)
        if found:
            self.evidence_at[retirement.name] = now
            return reason or found
        if not reason:
            return ""
        quiet_since = self.evidence_at.setdefault(retirement.name, now)
        return "" if now >= quiet_since + HALT_RECOVERY_TIME else reason

    def is_due(
        self, now: float, retirement: Retirement, step: RetirementStep | None, following: RetirementStep
    ) -> bool:
        """Returns whether a step has lasted as long as it has to, and the date of the next has come."""
        entered = self.entered.get(retirement.name)
        if step is not None and entered is not None:
            lasts = max(MIN_STEP_DURATION, MIN_STEP_SHARE * (following.due - step.due))
            if now < entered + lasts:
                return False
        return self.wall() >= following.due


def is_turning_away(step: RetirementStep | None) -> bool:
    """Returns whether callers are turned away in a step before the end."""
    return step is not None and step.stage in CALLERS_TURNED_AWAY
