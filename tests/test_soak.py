"""Short soak runs with real processes: without defects, and with injected defects that must be detected."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from tests.overrides import overrides
from tests.soak.run import run_soak
from tests.soak.simulation import SimulationPlan, Troubles

SEEDS = (3, 11)
SLOW_DISCOVERY_SEEDS = (1, 2)
HELD_UP_UPGRADE_SEEDS = (1,)
DAMAGED_RELOAD_SEEDS = (3,)
MAX_SEEDS = 9  # seeds tried until a defect is detected
INVARIANTS = "brambleplank.decisions.request_invariants:RequestInvariants"
IGNORE_IDEMPOTENCY = {"brambleplank.decisions.idempotency:IdempotencyStage.excludes": "lambda *what: False"}
DEFECTS = {
    # Repeats requests that may have run, with the invariant check disabled.
    "no effect twice": overrides(
        {
            **IGNORE_IDEMPOTENCY,
            f"{INVARIANTS}.reason_not_to_repeat": "lambda *what: ''",
        }
    ),
    # Keeps sending to draining servers.
    "drain": overrides(
        {
            "brambleplank.decisions.draining:DrainStage.excludes": "lambda *what: False",
            f"{INVARIANTS}.reason_not_to_send": "lambda *what: ''",
        }
    ),
    # Neither retries a request whose attempt failed nor answers it at its deadline.
    "answer": overrides(
        {
            "brambleplank.decisions.deadline:DeadlineStage.attempt_ended": "lambda *what, **more: None",
            "brambleplank.decisions.deadline:DeadlineStage.expire": "lambda *what, **more: None",
            "brambleplank.net.unanswered_requests:UnansweredRequests.sweep": "lambda self: None",
        }
    ),
    # Doesn't migrate sessions at a planned stop, until the process is killed.
    "cut off without MOVE": overrides(
        {"brambleplank.decisions.migration:Migration.begin_shutdown": "lambda *what: None"}
    ),
    # Tries to repeat requests that may have run: the invariant check prevents it and logs a violation.
    "log": overrides(IGNORE_IDEMPOTENCY),
}


def run_short(seed: int, folder: Path, patch: str = "") -> tuple[set[str], str]:
    """Returns the rules violated in a short run, and its summary."""
    return run_plan(SimulationPlan(seed, folder, 6, 6, 7.0, 40.0, patch))


def run_plan(plan: SimulationPlan) -> tuple[set[str], str]:
    """Returns the rules violated in a run, and its summary; repeats an inconclusive run up to twice."""
    for number in range(3):
        result = run_soak(replace(plan, folder=plan.folder / str(number)))
        if not result.is_inconclusive:
            return {violation.rule for violation in result.violations}, result.text(5)
    return set(), "inconclusive: machine overloaded"


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_while_troubles_overlap(tmp_path: Path, seed: int) -> None:
    violated_rules, text = run_short(seed, tmp_path)
    assert not violated_rules, text


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", SLOW_DISCOVERY_SEEDS)
def test_drains_are_heeded_while_discovery_is_slow(tmp_path: Path, seed: int) -> None:
    # Guards against agents whose first bytes or lists are late, so that drains are never learnt.
    plan = SimulationPlan(seed, tmp_path, 4, 6, 16.0, 40.0, troubles=Troubles.SLOW_DISCOVERY)
    violated_rules, text = run_plan(plan)
    assert not violated_rules, text


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", HELD_UP_UPGRADE_SEEDS)
def test_no_request_is_lost_in_upgrades_whose_new_process_is_held_up(tmp_path: Path, seed: int) -> None:
    # Guards against an old process that ends before the new one has its connections.
    plan = SimulationPlan(seed, tmp_path, 4, 6, 14.0, 60.0, troubles=Troubles.HELD_UP_UPGRADES)
    violated_rules, text = run_plan(plan)
    assert not violated_rules, text


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", DAMAGED_RELOAD_SEEDS)
def test_no_request_runs_outside_its_group_while_damaged_files_are_reloaded(
    tmp_path: Path, seed: int
) -> None:
    # Guards against a damaged configuration that is taken as permission.
    plan = SimulationPlan(seed, tmp_path, 4, 6, 12.0, 120.0, troubles=Troubles.DAMAGED_RELOADS)
    violated_rules, text = run_plan(plan)
    assert not violated_rules, text


@pytest.mark.timeout(180)
@pytest.mark.parametrize("rule", DEFECTS)
def test_injected_defect_is_detected(tmp_path: Path, rule: str) -> None:
    for seed in range(1, MAX_SEEDS + 1):  # whether one short run exposes the defect is left to chance
        violated_rules, text = run_short(seed, tmp_path / str(seed), DEFECTS[rule])
        if rule in violated_rules:
            return
    pytest.fail(f"no seed exposed the defect by a violation of {rule}; last run: {text}")
