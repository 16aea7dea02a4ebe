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
    STAGES_TURNING_AWAY,
    STAGES_WARNING,
    Retirement,
    RetirementStage,
    RetirementStep,
    steps_of,
    turns_away,
)
from brambleplank.fleet.versions.agreement import VersionAgreement
from brambleplank.fleet.versions.identity import AgreementCallbacks

TEXT_KIND = 1  # of text, in messages
MIN_STEP_FRACTION = (
    1 / 4
)  # of the time between two steps that the first lasts at least, whatever a clock says
MIN_STEP_DURATION = 2 * HEARTBEAT_INTERVAL
CLOCK_TOLERANCE = LEASE_DURATION  # seconds by which a member's clock may be behind the leader's
HALT_RECOVERY_TIME = 30.0  # seconds without evidence until a halt is over
NOT_BEGUN = -1  # the step of a retirement that was not announced yet


class RetirementPosition(msgspec.Struct, array_like=True, frozen=True):
    """How far one retirement is: the step, counted from 0, and why it is halted."""

    name: str
    step: int
    halt_reason: str = ""


POSITIONS_DECODER: msgspec.json.Decoder[list[RetirementPosition]] = msgspec.json.Decoder(
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
        active_table: ActiveTable,
        wall_time: Callable[[], float],
        ready_servers: Callable[[], int],
        log: Callable[[str], None],
    ) -> None:
        self.fleet = fleet
        self.active_table = active_table
        self.wall_time = wall_time
        self.log = log
        self.now = fleet.identity.began  # at the last turn
        self.positions: dict[str, RetirementPosition] = {}
        self.entered_at: dict[str, float] = {}  # when a step came into force here
        self.step_cache = StepCache()
        self.samples = CountSamples(fleet.counts.fleet)
        self.evidence = Evidence(self.samples, fleet.coverage, ready_servers)
        self.last_evidence_at: dict[str, float] = {}  # when a reason to halt was last found
        self.agreement = VersionAgreement(
            fleet.agreement_identity(TEXT_KIND, "retirements"),
            AgreementCallbacks(fleet.send, self.review, self.apply, log),
            fleet.rng,
            one_objection_rejects=False,
        )
        fleet.agreements.add(self.agreement)
        # A step back would serve again who was told to go.
        fleet.monotonic.add(
            lambda: {f"step of {name}": position.step for name, position in self.positions.items()}
        )

    # Requests.

    def current_step(self, retirement: Retirement) -> RetirementStep | None:
        """Returns the step in force; None: nothing was announced yet."""
        position = self.positions.get(retirement.name)
        return self.numbered_step(retirement, position.step) if position else None

    def numbered_step(self, retirement: Retirement, number: int) -> RetirementStep | None:
        """Returns the step of a number, if there is one."""
        steps = self.steps_of(retirement)
        return steps[number] if 0 <= number < len(steps) else None

    def steps_of(self, retirement: Retirement) -> list[RetirementStep]:
        """Returns all steps of a retirement of the table in force."""
        return self.step_cache.steps_of(self.active_table.table, retirement)

    def warns(self, retirement: Retirement) -> bool:
        """Returns whether callers are warned."""
        step = self.current_step(retirement)
        return step is not None and step.stage in STAGES_WARNING

    def turns_away(self, now: float, retirement: Retirement, customer: str, caller: str) -> bool:
        """Returns whether a caller is turned away now; a unit of the ceiling is taken for it."""
        step = self.current_step(retirement)
        position = self.positions.get(retirement.name)
        if step is None or position is None or retirement.halted:
            return False
        if not turns_away(retirement, step, customer, caller):
            return False
        may_halt = step.stage != RetirementStage.ENDED
        if may_halt and (position.halt_reason or self.fleet.partitioned or not self.fleet.has_lease(now)):
            return False  # Partitioned, it would not receive a halt; callers are served until it can.
        return not retirement.ceiling or self.fleet.take(now, retirement.ceiling)

    def migration_count(self, now: float, retirement: Retirement, session_count: int) -> int:
        """Returns how many of the sessions with an ended version are to be migrated in this second."""
        step = self.current_step(retirement)
        if step is None or step.stage != RetirementStage.ENDED or retirement.halted or not session_count:
            return 0
        left = self.entered_at.get(retirement.name, now) + retirement.move_within - now
        wanted = -(-session_count // max(1, round(left)))
        if not retirement.moves:
            return wanted
        count = 0
        while count < wanted and self.fleet.take(now, retirement.moves):
            count += 1
        return count

    # Called by the agreement.

    def review(self, digest: int, text: bytes, done: Callable[[str], None]) -> None:  # noqa: ARG002
        """Judges proposed steps by this process's own clock.

        Otherwise one clock that has jumped would turn callers away a month early.
        """
        try:
            positions = POSITIONS_DECODER.decode(text)
        except msgspec.DecodeError as error:
            done(f"unreadable: {error}")
            return
        objections = (self.objection(position) for position in positions)
        done(next((objection for objection in objections if objection), ""))

    def objection(self, position: RetirementPosition) -> str:
        """Returns what this process has against a proposed step; "" if nothing."""
        retirement = self.active_table.table.retirements.get(position.name)
        before = self.positions.get(position.name)
        number = before.step if before else NOT_BEGUN
        if retirement is None or position.step == number:
            return ""
        step = self.numbered_step(retirement, position.step)
        skips = position.step > number + 1 and self.agreement.is_current
        if step is None or position.step < number or skips:
            return f"{position.name}: step {position.step} after {number}"
        if step.due > self.wall_time() + CLOCK_TOLERANCE:
            return f"{position.name}: the date of step {position.step} is in the future here"
        return ""

    def apply(self, version: int, digest: int) -> None:  # noqa: ARG002
        """Puts the steps of a version in force."""
        positions = {
            position.name: position
            for position in POSITIONS_DECODER.decode(self.agreement.texts.text(digest))
        }
        for name, position in positions.items():
            before = self.positions.get(name)
            if before is None or before.step != position.step:
                self.entered_at[name] = self.now
            if before != position:
                self.log_position(position)
        self.positions = positions

    def log_position(self, position: RetirementPosition) -> None:
        """Logs where a retirement of the table in force is."""
        retirement = self.active_table.table.retirements.get(position.name)
        step = self.numbered_step(retirement, position.step) if retirement is not None else None
        if step is None:
            return
        share = f", {step.share:.0%} turned away" if step.stage == RetirementStage.SHEDDING else ""
        halted = f"; halted: {position.halt_reason}" if position.halt_reason else ""
        self.log(f"retirement {position.name}: {step.stage}{share}{halted}")

    # As the leader.

    def tick(self, now: float) -> None:
        """Called about every tenth of a second; the leader proposes steps when they are due."""
        self.now = now
        proposer = self.agreement.proposer
        if proposer.leader_since is None or not proposer.recovered or proposer.proposal is not None:
            return
        self.samples.update(now)
        found = [self.next_position(now, each) for each in self.active_table.table.retirements.values()]
        wanted = [position for position in found if position is not None]
        if wanted != [*self.positions.values()]:
            digest = self.agreement.texts.store(msgspec.json.encode(wanted))
            proposer.propose(now, self.agreement.highest_version + 1, digest, self.fleet.identity.number)

    def next_position(self, now: float, retirement: Retirement) -> RetirementPosition | None:
        """Returns where a retirement should be: as it is, one step on, halted, or no longer halted."""
        position = self.positions.get(retirement.name)
        number = position.step if position else NOT_BEGUN
        step = self.numbered_step(retirement, number)
        halted = self.halt_reason(now, retirement, step, position.halt_reason if position else "")
        following = self.numbered_step(retirement, number + 1)
        if halted or retirement.halted:
            following = None
        if following is not None and self.is_due(now, retirement, step, following):
            if following.stage in STAGES_TURNING_AWAY and not is_turning_away(step):
                self.evidence.record_baseline(retirement)
            number += 1
        return RetirementPosition(retirement.name, number, halted) if number != NOT_BEGUN else None

    def halt_reason(
        self, now: float, retirement: Retirement, step: RetirementStep | None, reason: str
    ) -> str:
        """Returns why a retirement should be halted, given why it is; "" if it should not be."""
        if step is None or not is_turning_away(step):
            return ""
        found = self.evidence.reason_to_halt(now, retirement, step)
        if found:
            self.last_evidence_at[retirement.name] = now
            return reason or found
        if not reason:
            return ""
        quiet_since = self.last_evidence_at.setdefault(retirement.name, now)
        return "" if now >= quiet_since + HALT_RECOVERY_TIME else reason

    def is_due(
        self, now: float, retirement: Retirement, step: RetirementStep | None, following: RetirementStep
    ) -> bool:
        """Returns whether a step has lasted as long as it has to, and the date of the next has come."""
        entered_at = self.entered_at.get(retirement.name)
        if step is not None and entered_at is not None:
            lasts = max(MIN_STEP_DURATION, MIN_STEP_FRACTION * (following.due - step.due))
            if now < entered_at + lasts:
                return False
        return self.wall_time() >= following.due


def is_turning_away(step: RetirementStep | None) -> bool:
    """Returns whether callers are turned away in a step before the end."""
    return step is not None and step.stage in STAGES_TURNING_AWAY
