"""What Consul's answers mean for the endpoint list, in virtual time."""

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
from brambleplank.emulator.consul import ServiceInstance
from brambleplank.model import EndpointStatus

READY = EndpointStatus.READY
DRAINING = EndpointStatus.DRAINING
GONE = EndpointStatus.REMOVED
GOOD = HealthStatus.PASSING
ILL = HealthStatus.CRITICAL
MAINTAINED = HealthStatus.MAINTENANCE


class Story:
    """A catalogue in virtual time: what it was told, and each decision with its time."""

    def __init__(self, servers: int = 6, zones: str = "ab", **figures: Any) -> None:
        self.now, self.index = 100.0, 10
        self.catalog = Catalog(HealthSettings(**figures))
        self.instances = {
            f"s{n}": Instance(f"s{n}", ("127.0.0.1", 7000 + n), zones[n % len(zones)]) for n in range(servers)
        }
        self.log: list[tuple[float, str, EndpointStatus]] = []
        self.state: dict[str, EndpointStatus] = {}
        self.tell()
        self.log.clear()

    def tell(
        self,
        agent: int = 0,
        index: int | None = None,
        leader: bool = True,
        resumed: bool = False,
        **words: Any,
    ) -> bool:
        """An answer, with the words that differ from the last; ABSENT leaves a server out."""
        for name, word in words.items():
            self.instances[name] = replace(self.instances[name], status=word)
        self.index += 1
        there = [each for each in self.instances.values() if each.status is not HealthStatus.ABSENT]
        answer = QueryMetadata(agent, self.index if index is None else index, leader, after_failure=resumed)
        taken = self.catalog.answer_received(self.now, "feeds", there, answer)
        self.tick()
        return taken

    def tick(self) -> None:
        for change in self.catalog.changes(self.now):
            name, _, _, condition, *_ = change.endpoint
            self.state[name] = condition
            self.log.append((round(self.now - 100.0, 1), name, condition))

    def wait_once(self, seconds: float) -> None:
        """As `wait`, in one step."""
        self.now += seconds
        self.tick()

    def wait(self, seconds: float) -> list[tuple[float, str, EndpointStatus]]:
        for _ in range(round(seconds * 10)):
            self.now = round(self.now + 0.1, 3)
            self.tick()
        return self.log


def all_of(story: Story, word: HealthStatus) -> dict[str, Any]:
    return dict.fromkeys(story.instances, word)


def test_short_critical_report_changes_nothing() -> None:
    story = Story()
    for _ in range(20):
        story.tell(s0=ILL)
        story.wait(0.8)
        story.tell(s0=GOOD)
        story.wait(0.3)
    assert story.log == [] and not story.catalog.unsettled


def test_lasting_critical_report_drains_and_flaps_lengthen_recovery() -> None:
    story = Story()
    for _ in range(3):
        story.tell(s0=ILL)
        story.wait(2.0)
        story.tell(s0=GOOD)
        story.wait(5.0)
    times = [(at, condition) for at, _, condition in story.log]
    assert times == [
        (1.0, DRAINING),
        (3.0, READY),
        (8.0, DRAINING),
        (11.0, READY),
        (15.0, DRAINING),
        (20.0, READY),
    ]
    story.wait(61.0)
    story.log.clear()
    story.tell(s0=ILL)
    story.wait(2.0)
    story.tell(s0=GOOD)
    assert [condition for _, _, condition in story.wait(1.2)] == [DRAINING, READY]  # the flaps are forgotten


def test_maintenance_drains_undamped_and_can_be_lifted() -> None:
    story = Story()
    for turn in range(4):
        story.tell(s0=MAINTAINED)
        story.wait(0.5)
        story.tell(s0=GOOD)
        assert story.log[2 * turn :] == [(turn * 1.0, "s0", DRAINING), (turn * 1.0 + 0.5, "s0", READY)]
        story.wait(0.5)
    story.tell(s0=ILL)
    story.tell(s0=MAINTAINED)
    assert story.state["s0"] is DRAINING and story.log[-1][0] == 4.0


def test_drain_from_a_stale_agent_holds_until_a_report_as_new() -> None:
    story = Story()
    story.tell(index=20, leader=False, s0=MAINTAINED)
    assert story.log == [(0.0, "s0", DRAINING)]
    story.wait(1.0)
    assert story.tell(index=15, s0=GOOD)  # the leader, but of an index before the drain
    assert story.state["s0"] is DRAINING
    story.tell(index=20)
    assert story.state["s0"] is READY


def test_answer_without_leader_only_adds_drains() -> None:
    story = Story()
    assert not story.tell(leader=False, s0=MAINTAINED, s1=ILL, s2=HealthStatus.ABSENT)
    story.wait(10.0)
    assert story.log == [(0.0, "s0", DRAINING)]


def test_filtered_answer_removes_no_server() -> None:
    story = Story()
    story.wait(2.0)
    seen = [story.instances["s0"], replace(story.instances["s1"], status=MAINTAINED)]
    assert story.catalog.answer_received(
        story.now, "feeds", seen, QueryMetadata(0, 50, filtered_by_acls=True)
    )
    story.wait(90.0)
    assert [(name, condition) for _, name, condition in story.log] == [("s1", DRAINING)]


def test_lower_index_removes_no_server_and_is_believed_once_it_persists() -> None:
    story = Story()
    for name in ("s0", "s1"):
        story.instances[name] = replace(story.instances[name], status=HealthStatus.ABSENT)
    assert not story.tell(index=2)
    story.wait(2.0)
    assert not story.tell(index=2)
    assert story.log == []
    story.wait(1.0)
    assert story.tell(index=3)  # behind for so long: its count is another one
    assert [(name, condition) for _, name, condition in story.log] == [("s0", DRAINING), ("s1", DRAINING)]
    story.wait(0.5)  # what it leaves out gets nothing new, and is gone if it stays out
    story.tell(index=4, s0=GOOD)
    story.wait(1.0)
    assert [(name, condition) for _, name, condition in story.log[2:]] == [("s0", READY), ("s1", GONE)]


def test_server_critical_then_deregistered_during_an_outage() -> None:
    story = Story()
    story.tell(s0=ILL)
    story.wait(0.5)  # the agent goes; nothing is heard
    story.wait(5.0)
    assert story.log == [(1.0, "s0", DRAINING)]
    story.tell(agent=1, s0=HealthStatus.ABSENT)
    assert len(story.log) == 1
    story.wait(1.1)
    assert story.log[1:] == [(6.5, "s0", GONE)]


def test_critical_zone_stays_in_use_and_is_logged() -> None:
    story = Story(servers=9, zones="abc")
    story.tell(s0=ILL, s3=ILL, s6=ILL)  # all of zone a
    story.wait(30.0)
    assert story.log == []
    assert story.catalog.log_lines == ["consul: zone a: 0 of 3 healthy: kept as they were"]
    story.tell(s3=GOOD, s6=GOOD)  # now one server is ill, and is taken at its word
    story.wait(2.0)
    assert [(name, condition) for _, name, condition in story.log] == [("s0", DRAINING)]
    story.tell(s1=MAINTAINED, s4=MAINTAINED, s7=MAINTAINED)
    assert sorted(name for _, name, _ in story.log[1:]) == ["s1", "s4", "s7"]  # drains are no illness


def test_certain_deregistration_removes_any_number_of_servers() -> None:
    story = Story()
    story.wait(2.0)
    story.tell(**all_of(story, HealthStatus.ABSENT))
    assert [(at, condition) for at, _, condition in story.log] == [(2.0, GONE)] * 6
    assert story.catalog.log_lines == []


def test_empty_answer_after_a_failure_keeps_servers_for_a_minute() -> None:
    story = Story()
    story.wait(2.0)
    story.tell(resumed=True, **all_of(story, HealthStatus.ABSENT))
    assert story.catalog.log_lines == [
        f"consul: {where}: 0 of {count} healthy: kept as they were"
        for where, count in (("all zones", 6), ("zone a", 3), ("zone b", 3))
    ]
    story.wait(59.0)
    assert story.log == []
    story.wait(2.0)
    assert {condition for _, _, condition in story.log} == {GONE} and len(story.log) == 6


def test_reregistered_server_is_new() -> None:
    story = Story()
    story.wait(2.0)  # the first answer is long past
    story.tell(s0=HealthStatus.ABSENT)
    assert story.log == [(2.0, "s0", GONE)]
    story.instances["s0"] = replace(story.instances["s0"], address=("127.0.0.1", 9999), status=GOOD)
    story.tell()
    assert story.log[1:] == [(2.0, "s0", READY)]


WORDS = st.dictionaries(
    st.sampled_from(["s0", "s1", "s2", "s3"]), st.sampled_from(list(HealthStatus)), max_size=4
)
EVENT = st.tuples(WORDS, st.integers(0, 30), st.booleans(), st.integers(0, 2), st.integers(-5, 3))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(EVENT, max_size=25))
def test_random_answers_drain_at_once_and_settle(events: list[Any]) -> None:
    story = Story(servers=4)
    for words, tenths, leader, agent, step in events:
        present = dict(words)
        story.tell(agent=agent, index=max(1, story.index + step), leader=leader, **present)
        for name, word in present.items():
            if word is MAINTAINED and name in story.state and story.state[name] is not GONE:
                assert story.state[name] is DRAINING
        story.wait(tenths / 10)
    # In the end a fresh answer that says all is well has all back, and nothing stays open.
    for _ in range(4):
        story.tell(index=max(story.index, 200) + 100, **all_of(story, GOOD))
        story.wait(35.0)
    assert set(story.state.values()) == {READY} and len(story.state) == 4
    assert not story.catalog.unsettled
    for group in story.catalog.groups.values():
        assert group.unhealthy == 0 and not group.is_held


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.integers(0, 400), st.binary(max_size=8))
def test_damaged_answer_is_garbled_or_decoded(at: int, put: bytes) -> None:
    members = [ServiceInstance(f"s{n}", f"127.0.0.1:{7000 + n}", "a", "warning", n == 1) for n in range(2)]
    body = json.dumps([member.health_entry() for member in members]).encode()
    found, unused = answers.AnswerDecoder(answers.MetadataKeys()).decode(body)
    assert [each.status for each in found] == [HealthStatus.WARNING, MAINTAINED] and not unused
    try:
        answers.AnswerDecoder(answers.MetadataKeys()).decode(body[:at] + put + body[at + len(put) :])
    except answers.MalformedAnswerError as error:
        assert str(error)


def test_service_is_asked_for_again_after_hours_without_an_answer() -> None:
    # Guards against a service that is followed no more once its agents were away for an hour.
    pauses: list[float] = []
    follower: Any = SimpleNamespace(
        settings=SimpleNamespace(agents=[("127.0.0.1", 8500)], metadata_keys=answers.MetadataKeys()),
        log=lambda _: None,
        later=lambda pause, _: pauses.append(pause),
    )
    watch = ServiceWatch(follower, "feeds")
    for _ in range(5000):
        watch.failed("ConnectionRefusedError")
    assert len(pauses) == 5000 and max(pauses) <= MAX_PAUSE


def test_server_that_flaps_for_hours_is_ready_again_after_the_longest_recovery_time() -> None:
    # Guards against an exception in place of a status, once a server has flapped a thousand times.
    story = Story()
    for _ in range(1100):
        story.tell(s0=ILL)
        story.wait_once(20.0)
        story.tell(s0=GOOD)
        story.wait_once(31.0)
    assert story.state["s0"] is READY
