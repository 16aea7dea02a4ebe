"""Tests how Consul's answers change the endpoint list, in virtual time."""

from __future__ import annotations

import json
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from brambleplank.discovery.consul import answers
from brambleplank.discovery.consul.health import (
    Catalog,
    HealthSettings,
    HealthStatus,
    Instance,
    QueryMetadata,
)
from brambleplank.discovery.consul.source import MAX_PAUSE, ServiceWatch
from brambleplank.emulator.consul import Member
from brambleplank.model import EndpointStatus

READY = EndpointStatus.READY
DRAINING = EndpointStatus.DRAINING
REMOVED = EndpointStatus.REMOVED
PASSING = HealthStatus.PASSING
CRITICAL = HealthStatus.CRITICAL
MAINTENANCE = HealthStatus.MAINTENANCE


class HealthScenario:
    """A catalog in virtual time, with a log of its changes and their times."""

    def __init__(self, servers: int = 6, zones: str = "ab", **health_settings: Any) -> None:
        self.now, self.index = 100.0, 10
        self.catalog = Catalog(HealthSettings(**health_settings))
        self.instances = {
            f"s{n}": Instance(f"s{n}", ("127.0.0.1", 7000 + n), zones[n % len(zones)]) for n in range(servers)
        }
        self.log: list[tuple[float, str, EndpointStatus]] = []
        self.state: dict[str, EndpointStatus] = {}
        self.report()
        self.log.clear()

    def report(
        self,
        agent: int = 0,
        index: int | None = None,
        leader: bool = True,
        resumed: bool = False,
        **reported: Any,
    ) -> bool:
        """Applies an answer in which the given servers have a new health; ABSENT leaves a server out."""
        for name, health in reported.items():
            self.instances[name] = replace(self.instances[name], status=health)
        self.index += 1
        present = [each for each in self.instances.values() if each.status is not HealthStatus.ABSENT]
        answer = QueryMetadata(agent, self.index if index is None else index, leader, after_failure=resumed)
        accepted = self.catalog.answer_received(self.now, "feeds", present, answer)
        self.tick()
        return accepted

    def tick(self) -> None:
        for change in self.catalog.changes(self.now):
            name, _, _, endpoint_status, *_ = change.endpoint
            self.state[name] = endpoint_status
            self.log.append((round(self.now - 100.0, 1), name, endpoint_status))

    def advance_once(self, seconds: float) -> None:
        """Advances the time like `advance`, but in a single tick."""
        self.now += seconds
        self.tick()

    def advance(self, seconds: float) -> list[tuple[float, str, EndpointStatus]]:
        for _ in range(round(seconds * 10)):
            self.now = round(self.now + 0.1, 3)
            self.tick()
        return self.log


def all_with(scenario: HealthScenario, health: HealthStatus) -> dict[str, Any]:
    return dict.fromkeys(scenario.instances, health)


def test_short_critical_report_changes_nothing() -> None:
    scenario = HealthScenario()
    for _ in range(20):
        scenario.report(s0=CRITICAL)
        scenario.advance(0.8)
        scenario.report(s0=PASSING)
        scenario.advance(0.3)
    assert scenario.log == [] and not scenario.catalog.unsettled


def test_lasting_critical_report_drains_and_flaps_lengthen_recovery() -> None:
    scenario = HealthScenario()
    for _ in range(3):
        scenario.report(s0=CRITICAL)
        scenario.advance(2.0)
        scenario.report(s0=PASSING)
        scenario.advance(5.0)
    times = [(at, endpoint_status) for at, _, endpoint_status in scenario.log]
    assert times == [
        (1.0, DRAINING),
        (3.0, READY),
        (8.0, DRAINING),
        (11.0, READY),
        (15.0, DRAINING),
        (20.0, READY),
    ]
    scenario.advance(61.0)
    scenario.log.clear()
    scenario.report(s0=CRITICAL)
    scenario.advance(2.0)
    scenario.report(s0=PASSING)
    assert [endpoint_status for _, _, endpoint_status in scenario.advance(1.2)] == [
        DRAINING,
        READY,
    ]  # the flaps are forgotten


def test_maintenance_drains_undamped_and_can_be_lifted() -> None:
    scenario = HealthScenario()
    for turn in range(4):
        scenario.report(s0=MAINTENANCE)
        scenario.advance(0.5)
        scenario.report(s0=PASSING)
        assert scenario.log[2 * turn :] == [(turn * 1.0, "s0", DRAINING), (turn * 1.0 + 0.5, "s0", READY)]
        scenario.advance(0.5)
    scenario.report(s0=CRITICAL)
    scenario.report(s0=MAINTENANCE)
    assert scenario.state["s0"] is DRAINING and scenario.log[-1][0] == 4.0


def test_drain_from_a_stale_agent_holds_until_a_report_as_new() -> None:
    scenario = HealthScenario()
    scenario.report(index=20, leader=False, s0=MAINTENANCE)
    assert scenario.log == [(0.0, "s0", DRAINING)]
    scenario.advance(1.0)
    assert scenario.report(index=15, s0=PASSING)  # has a leader, but its index is older than the drain
    assert scenario.state["s0"] is DRAINING
    scenario.report(index=20)
    assert scenario.state["s0"] is READY


def test_answer_without_leader_only_adds_drains() -> None:
    scenario = HealthScenario()
    assert not scenario.report(leader=False, s0=MAINTENANCE, s1=CRITICAL, s2=HealthStatus.ABSENT)
    scenario.advance(10.0)
    assert scenario.log == [(0.0, "s0", DRAINING)]


def test_filtered_answer_removes_no_server() -> None:
    scenario = HealthScenario()
    scenario.advance(2.0)
    seen = [scenario.instances["s0"], replace(scenario.instances["s1"], status=MAINTENANCE)]
    assert scenario.catalog.answer_received(
        scenario.now, "feeds", seen, QueryMetadata(0, 50, filtered_by_acls=True)
    )
    scenario.advance(90.0)
    assert [(name, endpoint_status) for _, name, endpoint_status in scenario.log] == [("s1", DRAINING)]


def test_lower_index_removes_no_server_and_is_believed_once_it_persists() -> None:
    scenario = HealthScenario()
    for name in ("s0", "s1"):
        scenario.instances[name] = replace(scenario.instances[name], status=HealthStatus.ABSENT)
    assert not scenario.report(index=2)
    scenario.advance(2.0)
    assert not scenario.report(index=2)
    assert scenario.log == []
    scenario.advance(1.0)
    assert scenario.report(index=3)  # behind for longer than CATCH_UP_TIME, so accepted
    assert [(name, endpoint_status) for _, name, endpoint_status in scenario.log] == [
        ("s0", DRAINING),
        ("s1", DRAINING),
    ]
    scenario.advance(0.5)  # absent servers drain, and are removed if they stay absent
    scenario.report(index=4, s0=PASSING)
    scenario.advance(1.0)
    assert [(name, endpoint_status) for _, name, endpoint_status in scenario.log[2:]] == [
        ("s0", READY),
        ("s1", REMOVED),
    ]


def test_server_critical_then_deregistered_during_an_outage() -> None:
    scenario = HealthScenario()
    scenario.report(s0=CRITICAL)
    scenario.advance(0.5)  # the agent is lost; no answers
    scenario.advance(5.0)
    assert scenario.log == [(1.0, "s0", DRAINING)]
    scenario.report(agent=1, s0=HealthStatus.ABSENT)
    assert len(scenario.log) == 1
    scenario.advance(1.1)
    assert scenario.log[1:] == [(6.5, "s0", REMOVED)]


def test_critical_zone_stays_in_use_and_is_logged() -> None:
    scenario = HealthScenario(servers=9, zones="abc")
    scenario.report(s0=CRITICAL, s3=CRITICAL, s6=CRITICAL)  # all of zone a
    scenario.advance(30.0)
    assert scenario.log == []
    assert scenario.catalog.log_lines == ["consul: zone a: 0 of 3 healthy: last good set stays in use"]
    scenario.report(s3=PASSING, s6=PASSING)  # only one is critical now, so the report is applied
    scenario.advance(2.0)
    assert [(name, endpoint_status) for _, name, endpoint_status in scenario.log] == [("s0", DRAINING)]
    scenario.report(s1=MAINTENANCE, s4=MAINTENANCE, s7=MAINTENANCE)
    # Maintenance does not count as unhealthy.
    assert sorted(name for _, name, _ in scenario.log[1:]) == ["s1", "s4", "s7"]


def test_certain_deregistration_removes_any_number_of_servers() -> None:
    scenario = HealthScenario()
    scenario.advance(2.0)
    scenario.report(**all_with(scenario, HealthStatus.ABSENT))
    assert [(at, endpoint_status) for at, _, endpoint_status in scenario.log] == [(2.0, REMOVED)] * 6
    assert scenario.catalog.log_lines == []


def test_empty_answer_after_a_failure_keeps_servers_for_a_minute() -> None:
    scenario = HealthScenario()
    scenario.advance(2.0)
    scenario.report(resumed=True, **all_with(scenario, HealthStatus.ABSENT))
    assert scenario.catalog.log_lines == [
        f"consul: {where}: 0 of {count} healthy: last good set stays in use"
        for where, count in (("all zones", 6), ("zone a", 3), ("zone b", 3))
    ]
    scenario.advance(59.0)
    assert scenario.log == []
    scenario.advance(2.0)
    assert {endpoint_status for _, _, endpoint_status in scenario.log} == {REMOVED} and len(scenario.log) == 6


def test_reregistered_server_is_new() -> None:
    scenario = HealthScenario()
    scenario.advance(2.0)  # longer than the settle time after the first answer
    scenario.report(s0=HealthStatus.ABSENT)
    assert scenario.log == [(2.0, "s0", REMOVED)]
    scenario.instances["s0"] = replace(scenario.instances["s0"], address=("127.0.0.1", 9999), status=PASSING)
    scenario.report()
    assert scenario.log[1:] == [(2.0, "s0", READY)]


REPORTS = st.dictionaries(
    st.sampled_from(["s0", "s1", "s2", "s3"]), st.sampled_from(list(HealthStatus)), max_size=4
)
EVENT = st.tuples(REPORTS, st.integers(0, 30), st.booleans(), st.integers(0, 2), st.integers(-5, 3))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(EVENT, max_size=25))
def test_random_answers_drain_at_once_and_settle(events: list[Any]) -> None:
    scenario = HealthScenario(servers=4)
    for reported, tenths, leader, agent, step in events:
        present = dict(reported)
        scenario.report(agent=agent, index=max(1, scenario.index + step), leader=leader, **present)
        for name, health in present.items():
            if health is MAINTENANCE and name in scenario.state and scenario.state[name] is not REMOVED:
                assert scenario.state[name] is DRAINING
        scenario.advance(tenths / 10)
    # In the end, fresh answers in which all servers pass make all of them ready, and nothing stays unsettled.
    for _ in range(4):
        scenario.report(index=max(scenario.index, 200) + 100, **all_with(scenario, PASSING))
        scenario.advance(35.0)
    assert set(scenario.state.values()) == {READY} and len(scenario.state) == 4
    assert not scenario.catalog.unsettled
    for group in scenario.catalog.groups.values():
        assert group.unhealthy == 0 and not group.is_frozen


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.integers(0, 400), st.binary(max_size=8))
def test_damaged_answer_is_garbled_or_decoded(at: int, replacement: bytes) -> None:
    members = [Member(f"s{n}", f"127.0.0.1:{7000 + n}", "a", "warning", n == 1) for n in range(2)]
    body = json.dumps([member.item() for member in members]).encode()
    instances, unused = answers.AnswerDecoder(answers.MetadataKeys()).decode(body)
    assert [each.status for each in instances] == [HealthStatus.WARNING, MAINTENANCE] and not unused
    try:
        answers.AnswerDecoder(answers.MetadataKeys()).decode(
            body[:at] + replacement + body[at + len(replacement) :]
        )
    except answers.MalformedAnswerError as error:
        assert str(error)


def test_service_is_asked_for_again_after_hours_without_an_answer() -> None:
    # Guards against an OverflowError in the backoff, which ended the queries after an hour without an agent.
    pauses: list[float] = []
    source: Any = SimpleNamespace(
        settings=SimpleNamespace(agents=[("127.0.0.1", 8500)], metadata_keys=answers.MetadataKeys()),
        log=lambda _: None,
        call_later=lambda pause, _: pauses.append(pause),
    )
    watch = ServiceWatch(source, "feeds")
    for _ in range(5000):
        watch.query_failed("ConnectionRefusedError")
    assert len(pauses) == 5000 and max(pauses) <= MAX_PAUSE


def test_server_that_flaps_for_hours_is_ready_again_after_the_longest_recovery_time() -> None:
    # Guards against an OverflowError in the recovery time after a thousand flaps.
    scenario = HealthScenario()
    for _ in range(1100):
        scenario.report(s0=CRITICAL)
        scenario.advance_once(20.0)
        scenario.report(s0=PASSING)
        scenario.advance_once(31.0)
    assert scenario.state["s0"] is READY
