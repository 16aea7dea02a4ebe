"""The route table and its lint, compared with exhaustive search; agreement on versions by a whole fleet."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from itertools import product
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fleet_simulation import FleetSimulation, SimulatedMember, play_random_faults
from brambleplank.fleet import messages
from brambleplank.fleet.errors import InvariantError
from brambleplank.fleet.routing import route_table
from brambleplank.fleet.routing.lint import LintContext, lint
from brambleplank.fleet.versions import proposer
from brambleplank.fleet.versions.agreement import VersionAgreement
from brambleplank.fleet.versions.identity import AgreementCallbacks
from brambleplank.fleet.versions.proposer import Proposer
from brambleplank.fleet.versions.texts import digest_of

TYPES = ["a", "b"]
CUSTOMERS = ["x", "y"]
VERSIONS = ["v1", "v2"]
KEYS = range(9)  # rules name keys from 0 to 7


def value_lists(values: list[str]) -> st.SearchStrategy[list[str]]:
    return st.lists(st.sampled_from(values), max_size=2, unique=True)


rule_tables = st.fixed_dictionaries(
    {
        "does": st.sampled_from(["serve", "refuse"]),
        "service_type": value_lists(TYPES),
        "customer": value_lists(CUSTOMERS),
        "version": value_lists(VERSIONS),
        "keys": st.lists(
            st.tuples(st.integers(0, 7), st.integers(0, 7)).map(lambda ends: f"{min(ends):x}-{max(ends):x}"),
            max_size=2,
        ),
    }
)


def text_of(rules: list[dict[str, Any]], versions: list[str] | None = None) -> str:
    lines = [f"versions = {versions}"] if versions else []
    for rule in rules:
        lines.append("[[rule]]")
        lines += [f"{key} = {value!r}" for key, value in rule.items()]
    return "\n".join(lines)


def table_of(rules: list[dict[str, Any]], versions: list[str] | None = None) -> route_table.RouteTable:
    table, faults = route_table.read(text_of(rules, versions))
    assert table is not None, faults
    return table


def matches(rule: dict[str, Any], request: tuple[str, str, str, int]) -> bool:
    service_type, customer, version, key = request
    ranges = [tuple(int(end, 16) for end in text.split("-")) for text in rule.get("keys", [])]
    return (
        service_type in (rule.get("service_type") or [service_type])
        and customer in (rule.get("customer") or [customer])
        and version in (rule.get("version") or [version])
        and (not ranges or any(a <= key <= b for a, b in ranges))
    )


@given(st.lists(rule_tables, max_size=7), st.booleans(), st.booleans())
def test_look_up_and_lint_match_exhaustive_search(
    rules: list[dict[str, Any]], customers_known: bool, versions_known: bool
) -> None:
    customers = CUSTOMERS if customers_known else [*CUSTOMERS, "z"]
    versions = VERSIONS if versions_known else [*VERSIONS, "v9"]
    table = table_of(rules, VERSIONS if versions_known else None)
    regions: list[set[Any]] = [set() for _ in rules]
    decided = set()
    for request in product(TYPES, customers, versions, KEYS):
        matching = [n for n, rule in enumerate(rules) if matches(rule, request)]
        for n in matching:
            regions[n].add(request)
        decided.update(matching[:1])
        found = table.find(*request)
        assert (found.number if found else None) == (matching[0] if matching else None)
    context = LintContext(TYPES, CUSTOMERS if customers_known else ())
    findings = lint(table, context)
    line_of = [route.line for route in table.routes]
    shadowed = {line_of[n] for n in range(len(rules)) if n not in decided}
    assert {f.line for f in findings if f.kind == "shadowed"} == shadowed
    contradictory = {
        line_of[n]
        for n, region in enumerate(regions)
        if line_of[n] not in shadowed
        and any(
            rules[n]["does"] != rules[m]["does"]
            and region & regions[m]
            and not region <= regions[m]
            and not regions[m] <= region
            for m in range(n)
        )
    }
    reported = {f.line for f in findings if f.kind == "contradictory"}
    # The lint also reports overlaps with rules that list all known values. It does not treat such a rule as
    # enclosing one that names no value, although no request shows the difference.
    assert contradictory <= reported
    if not customers_known and not versions_known and all(len(r["service_type"]) < 2 for r in rules):
        assert reported == contradictory


def test_findings_name_rules_example_and_remedy() -> None:
    table = table_of(
        [
            {"does": "serve", "service_type": ["a"], "keys": ["0-ff"]},
            {"does": "serve", "service_type": ["a"], "keys": ["100-1ff"]},
            {"does": "refuse", "service_type": ["a"], "customer": ["x"], "keys": ["80-17f"]},
            {"does": "refuse", "customer": ["x"], "keys": ["1f0-2ff"]},
            {"does": "serve", "service_type": ["c"]},
            {"does": "serve", "customer": ["q"], "budget": "none such"},
            {"does": "serve", "customer": ["y"], "version": ["v1"], "budget": "tiny"},
        ],
        ["v1"],
    )
    context = LintContext(
        TYPES, CUSTOMERS, ["tiny"], ["tiny"], {("a", "x", "")}, "3 of 3 heard, oldest 0.1 s"
    )
    reported = [str(finding) for finding in lint(table, context)]
    for line, kind, parts in (
        (10, "shadowed", ("decided by line 2, line 6", "as key 80 c=a,t=x", "put it before line 2")),
        (15, "contradictory", ("line 6 decides otherwise", "as key 1f0 c=a,t=x")),
        (19, "unreachable", ('no service type "c"', "write one of a, b")),
        (22, "unreachable", ('no customer "q"',)),
        (22, "unreachable", ('no budget "none such"',)),
        (26, "contradictory", ('budget "tiny" has nothing to lease',)),
        (26, "unseen", ("no process has seen a flow", "3 of 3 heard")),
    ):
        assert any(
            text.startswith(f"line {line}: {kind}: ") and all(part in text for part in parts)
            for text in reported
        ), (line, kind, reported)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("[[rule]]\ndoes = 'server'", "line 2: rule[1].does: need one of"),
        ("[[rule]]\ndoes = 'serve'\nkeys = ['9-1']", "line 3: rule[1].keys: no ranges"),
        ("[[rule]]\ndoes = 'refuse'\nbudget = 'b'", "line 3: rule[1].budget: a refused flow"),
        ("[[rule]]\ndoes = 'serve'\ncome_back = '2s'", "line 3: rule[1].come_back: "),
        (
            "[[rule]]\ndoes = 'serve'\ncustomer = ['x', 'x']",
            "line 3: rule[1].customer: a value is there twice",
        ),
        ("versions = ['v1', 'v1']", "line 1: versions: a version is empty or there twice"),
        ("[[rule]\n", "line 1: file: not TOML"),
    ],
)
def test_file_faults_are_reported_by_line(text: str, named: str) -> None:
    table, faults = route_table.read(text)
    assert table is None and any(str(fault).startswith(named) for fault in faults), faults


# Agreement on versions over a fleet in virtual time.


class AgreementSimulation(FleetSimulation):
    """A fleet whose members agree on texts; a member objects to a text with its number after "not"."""

    def __init__(self, members: int, seed: int, files: Callable[[int], bytes] = lambda n: b"file") -> None:
        self.files = files
        self.history: dict[int, list[tuple[int, int]]] = defaultdict(list)  # by member, over all its starts
        self.text_by_version: dict[int, int] = {}  # digests
        super().__init__(members, [], seed, check=False)

    def start(self, node: SimulatedMember) -> None:
        super().start(node)
        fleet = node.fleet
        assert fleet is not None

        def review(digest: int, text: bytes, done: Callable[[str], None]) -> None:
            done("I object" if b"not %d" % node.number in text else "")

        def apply(number: int, digest: int) -> None:
            if self.text_by_version.setdefault(number, digest) != digest:
                raise InvariantError(f"version {number} has two texts", "versions")
            self.history[node.number].append((node.start_number, number))

        agreement = VersionAgreement(
            fleet.agreement_identity(0, "routes"),
            AgreementCallbacks(fleet.send, review, apply, node.log_lines.append),
            fleet.rng,
        )
        fleet.agreements.add(agreement)
        agreement.set_initial_text(self.files(node.number))

    def agreement(self, n: int) -> VersionAgreement:
        fleet = self.nodes[n].fleet
        assert fleet is not None
        return fleet.agreements.by_kind[0]

    def publish(self, n: int, text: bytes) -> None:
        fleet = self.nodes[n].fleet
        assert fleet is not None
        self.agreement(n).publish(text, fleet.election.leader)

    def digests(self) -> set[int]:
        return {self.agreement(node.number).digest for node in self.nodes if node.fleet}


def test_long_text_is_agreed_over_lossy_links() -> None:
    simulation = AgreementSimulation(5, 1)
    simulation.run(15)
    assert simulation.digests() == {digest_of(b"file")}
    simulation.links.loss = 0.2
    text = Random(1).randbytes(20_000)
    simulation.publish(3, text)
    simulation.run(20)
    assert simulation.digests() == {digest_of(text)}


def test_objection_rejects_a_text_and_reaches_its_publisher() -> None:
    simulation = AgreementSimulation(5, 2)
    simulation.run(15)
    simulation.publish(1, b"not 4")
    simulation.run(10)
    assert simulation.digests() == {digest_of(b"file")}
    assert "routes: not published: 4 objects: I object" in simulation.nodes[1].log_lines


def test_one_of_two_publishers_wins() -> None:
    simulation = AgreementSimulation(5, 3)
    simulation.run(15)
    simulation.publish(1, b"one")
    simulation.publish(2, b"two")
    simulation.run(10)
    assert len(simulation.digests()) == 1 and simulation.digests() <= {digest_of(b"one"), digest_of(b"two")}
    lost = 2 if simulation.digests() == {digest_of(b"one")} else 1
    assert any("offer it again" in line for line in simulation.nodes[lost].log_lines)


def test_killed_publisher_leaves_one_text() -> None:
    for after in (0.5, 1.0, 1.5, 2.0, 2.5, 3.0):
        simulation = AgreementSimulation(5, 4)
        simulation.run(15)
        simulation.publish(2, Random(2).randbytes(4000))
        simulation.run(after)
        simulation.kill(simulation.nodes[2])
        leader = simulation.leader()
        if after in (1.5, 2.5) and leader is not None:
            simulation.kill(leader)
        simulation.run(40)
        assert len(simulation.digests()) == 1


def test_version_of_the_majority_reaches_minority_and_restarted_member() -> None:
    """A publish request of the minority is refused once the partition is over."""
    simulation = AgreementSimulation(5, 5, lambda n: b"file %d" % n)
    simulation.run(15)
    simulation.cut({0, 1}, {2, 3, 4})
    simulation.run(25)
    before = simulation.agreement(0).digest
    simulation.publish(3, b"new")
    simulation.publish(0, b"from the minority")
    simulation.run(15)
    assert [simulation.agreement(n).digest for n in range(5)] == [before] * 2 + [digest_of(b"new")] * 3
    simulation.links.cut.clear()
    simulation.run(25)
    assert simulation.digests() == {digest_of(b"new")}
    assert any("came first; offer it again" in line for line in simulation.nodes[0].log_lines)
    simulation.kill(simulation.nodes[4])
    simulation.start(simulation.nodes[4])
    simulation.run(3)  # before the restarted member would grant support, or serve by its own file
    assert len(simulation.digests()) == 1


def test_restarted_member_trusts_no_single_claim() -> None:
    simulation = AgreementSimulation(5, 6)
    simulation.run(15)
    simulation.kill(simulation.nodes[4])
    simulation.start(simulation.nodes[4])
    forged = messages.VersionAnnouncement(2**50, 0, 0, 0, 2**50, digest_of(b"lie"), 0, 0)
    for _ in range(20):
        simulation.run(0.1)
        fleet = simulation.nodes[4].fleet
        assert fleet is not None
        fleet.agreements.by_kind[0].texts.store(b"lie")
        fleet.receive_datagram(simulation.clock(simulation.nodes[4]), 3, messages.encode(forged))
    simulation.run(10)
    assert simulation.digests() == {digest_of(b"file")}


def play_version_faults(seed: int) -> None:
    """Plays random faults, of which at most one restarts a process at a time, and publishes texts."""
    rng = Random(seed)
    simulation = AgreementSimulation(rng.choice([3, 5]), seed, lambda n: b"file %d" % n)
    for n in range(12):
        simulation.run(rng.uniform(1, 10))
        fault = rng.random()
        node = rng.choice(simulation.nodes)
        if fault < 0.3:
            simulation.publish(node.number, b"text %d" % n)
        elif fault < 0.45:
            part = set(rng.sample(range(len(simulation.nodes)), rng.randint(1, len(simulation.nodes) - 1)))
            simulation.cut(part, set(range(len(simulation.nodes))) - part)
        elif fault < 0.6:
            simulation.links.cut.clear()
        elif fault < 0.75:
            simulation.stall(node, rng.choice([2, 6, 12]))
        elif fault < 0.85:
            simulation.links.loss = rng.choice([0, 0.2])
            simulation.links.max_delay = rng.choice([0.02, 0.5])
        else:
            simulation.publish(rng.choice(simulation.nodes).number, b"a text %d" % n)
            simulation.run(rng.uniform(0, 3))
            simulation.kill(node)
            simulation.start(node)
            simulation.links.cut.clear()
            simulation.run(20)  # the restarted member learns the version in force before the next restart
    simulation.links = type(simulation.links)()
    simulation.run(60)
    if len(simulation.digests()) != 1:
        raise InvariantError(f"{len(simulation.digests())} texts after the heal", "versions")


@pytest.mark.parametrize("first", range(0, 160, 20))
def test_versions_never_regress_or_diverge_under_random_faults(first: int) -> None:
    for seed in range(first, first + 20):
        try:
            play_version_faults(seed)
        except InvariantError as broken:
            raise AssertionError(f"play_version_faults({seed})") from broken


def test_leader_without_recovery_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that skips recovery makes members drop proposals that may be in force.

    The checks of the simulation must detect it.
    """
    monkeypatch.setattr(Proposer, "recover", lambda self, now: setattr(self, "recovered", True))
    with pytest.raises(InvariantError):
        for seed in range(60):
            play_version_faults(seed)


def test_versions_hold_under_the_faults_of_budgets() -> None:
    for seed in range(6):
        simulation = AgreementSimulation(3, seed)
        play_random_faults(simulation, 30, Random(seed))
    assert proposer.PROPOSAL_TIMEOUT > proposer.VOTE_WAIT
