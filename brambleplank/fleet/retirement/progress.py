"""The step in force of each retirement, on which the fleet agrees, and its effect on requests.

The leader moves a retirement to its next step once the date of that step has come by the leader's clock and
the current step has lasted its least duration; a majority must accept the date by their own clocks. The
leader halts a retirement on evidence against it, and resumes it after a time without evidence. Each process
turns callers away by the step in force only, and before the end only while it holds a lease: a member that
does not receive a halt stops turning callers away when its lease expires. Free of I/O; `wall_time` returns
Unix seconds.
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

TEXT_KIND = 1  # of retirement positions, in messages of version agreements
# A step lasts at least this fraction of the time between its date and the next one, and at least the duration
# below in seconds, even if the clock jumps.
MIN_STEP_FRACTION = 1 / 4
MIN_STEP_DURATION = 2 * HEARTBEAT_INTERVAL
CLOCK_TOLERANCE = LEASE_DURATION  # seconds by which a member's clock may be behind the leader's
HALT_RECOVERY_TIME = 30.0  # seconds without evidence after which a halt ends
NOT_BEGUN = -1  # the step number of a retirement that is not announced yet


class RetirementPosition(msgspec.Struct, array_like=True, frozen=True):
    """The number of the step in force of a retirement, from 0, and why it is halted; "" if it is not."""

    name: str
    step: int
    halt_reason: str = ""


POSITIONS_DECODER: msgspec.json.Decoder[list[RetirementPosition]] = msgspec.json.Decoder(
    list[RetirementPosition]
)


class RetirementTable(Protocol):
    """The part of a route table that retirements need."""

    @property
    def retirements(self) -> Mapping[str, Retirement]:
        """The retirements of the table, by name."""


class ActiveTable(Protocol):
    """Provides the route table in force at this process."""

    @property
    def table(self) -> RetirementTable:
        """The table in force."""


class StepCache:
    """Caches the steps of the retirements of one table."""

    def __init__(self) -> None:
        self.table: object = None
        self.steps: dict[str, list[RetirementStep]] = {}

    def steps_of(self, table: object, retirement: Retirement) -> list[RetirementStep]:
        """Returns the steps of a retirement of a table; a new table empties the cache."""
        if self.table is not table:
            self.table = table
            self.steps = {}
        if retirement.name not in self.steps:
            self.steps[retirement.name] = steps_of(retirement)
        return self.steps[retirement.name]


class RetirementProgress:
    """The progress of the retirements; `ready_servers` returns how many servers are ready."""

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
        self.now = fleet.identity.started_at  # at the last tick
        self.positions: dict[str, RetirementPosition] = {}  # in force, by retirement
        self.entered_at: dict[str, float] = {}  # when the step of a retirement came into force here
        self.step_cache = StepCache()
        self.samples = CountSamples(fleet.counts.fleet)
        self.evidence = Evidence(self.samples, fleet.coverage, ready_servers)
        self.last_evidence_at: dict[str, float] = {}  # by retirement: when a reason to halt was last found
        self.agreement = VersionAgreement(
            fleet.agreement_identity(TEXT_KIND, "retirements"),
            AgreementCallbacks(fleet.send, self.review, self.apply, log),
            fleet.rng,
            one_objection_rejects=False,
        )
        fleet.agreements.add(self.agreement)
        # After a step back, callers that were told to use the successor would be served again.
        fleet.monotonic.add(
            lambda: {f"step of {name}": position.step for name, position in self.positions.items()}
        )

    # Requests.

    def current_step(self, retirement: Retirement) -> RetirementStep | None:
        """Returns the step in force of a retirement; None if it is not announced yet."""
        position = self.positions.get(retirement.name)
        return self.numbered_step(retirement, position.step) if position else None

    def numbered_step(self, retirement: Retirement, number: int) -> RetirementStep | None:
        """Returns the step with a number, or None."""
        steps = self.steps_of(retirement)
        return steps[number] if 0 <= number < len(steps) else None

    def steps_of(self, retirement: Retirement) -> list[RetirementStep]:
        """Returns all steps of a retirement of the table in force."""
        return self.step_cache.steps_of(self.active_table.table, retirement)

    def warns(self, retirement: Retirement) -> bool:
        """Returns whether the step in force warns callers."""
        step = self.current_step(retirement)
        return step is not None and step.stage in STAGES_WARNING

    def turns_away(self, now: float, retirement: Retirement, customer: str, caller: str) -> bool:
        """Returns whether a caller is turned away now; if so, takes a unit of the ceiling."""
        step = self.current_step(retirement)
        position = self.positions.get(retirement.name)
        if step is None or position is None or retirement.halted:
            return False
        if not turns_away(retirement, step, customer, caller):
            return False
        may_halt = step.stage != RetirementStage.ENDED
        if may_halt and (position.halt_reason or self.fleet.partitioned or not self.fleet.has_lease(now)):
            return False  # A partitioned process would not receive a halt, so it serves its callers.
        return not retirement.ceiling or self.fleet.try_acquire(now, retirement.ceiling)

    def migration_count(self, now: float, retirement: Retirement, session_count: int) -> int:
        """Returns how many sessions of an ended service type or version to migrate in this second."""
        step = self.current_step(retirement)
        if step is None or step.stage != RetirementStage.ENDED or retirement.halted or not session_count:
            return 0
        left = self.entered_at.get(retirement.name, now) + retirement.move_within - now
        wanted = -(-session_count // max(1, round(left)))
        if not retirement.moves:
            return wanted
        count = 0
        while count < wanted and self.fleet.try_acquire(now, retirement.moves):
            count += 1
        return count

    # Called by the agreement.

    def review(self, digest: int, text: bytes, done: Callable[[str], None]) -> None:  # noqa: ARG002
        """Reviews proposed steps by this process's own clock.

        Otherwise a jump of one clock could turn callers away a month early.
        """
        try:
            positions = POSITIONS_DECODER.decode(text)
        except msgspec.DecodeError as error:
            done(f"unreadable: {error}")
            return
        objections = (self.objection(position) for position in positions)
        done(next((objection for objection in objections if objection), ""))

    def objection(self, position: RetirementPosition) -> str:
        """Returns the objection to a proposed position; "" if there is none."""
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
        """Puts the positions of a version in force."""
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
        """Logs the position of a retirement, if the table in force has it."""
        retirement = self.active_table.table.retirements.get(position.name)
        step = self.numbered_step(retirement, position.step) if retirement is not None else None
        if step is None:
            return
        share = f", {step.share:.0%} turned away" if step.stage == RetirementStage.SHEDDING else ""
        halted = f"; halted: {position.halt_reason}" if position.halt_reason else ""
        self.log(f"retirement {position.name}: {step.stage}{share}{halted}")

    # As the leader.

    def tick(self, now: float) -> None:
        """Samples the counts and proposes due positions, if this process leads; about ten times a second."""
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
        """Returns the position that a retirement should have: unchanged, one step on, halted or resumed."""
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
        """Returns why a retirement should be halted, or "".

        `reason` is why it is halted now; it stays until no evidence was found for a time.
        """
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
        """Returns whether a step has lasted its least duration, and the date of the next one has come."""
        entered_at = self.entered_at.get(retirement.name)
        if step is not None and entered_at is not None:
            lasts = max(MIN_STEP_DURATION, MIN_STEP_FRACTION * (following.due - step.due))
            if now < entered_at + lasts:
                return False
        return self.wall_time() >= following.due


def is_turning_away(step: RetirementStep | None) -> bool:
    """Returns whether a step turns callers away before the end of the retirement."""
    return step is not None and step.stage in STAGES_TURNING_AWAY
