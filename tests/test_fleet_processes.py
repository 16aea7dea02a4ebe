"""Several real processes that share budgets, with faults between them; judged by clients' answers."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest

from brambleplank.fleet import messages
from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.retirement.plan import caller_position
from brambleplank.fleet.shapes import BudgetTable
from brambleplank.fleet.shapes import Fleet as FleetTable
from brambleplank.sidecar import writer
from brambleplank.tables import Seconds
from tests.client_load import ClientLoad, RequestOutcome, most_concurrent, most_served_within, send_request
from tests.ports import unused_udp_address
from tests.process_fleet import SHORT_TIMERS, MemberProcess, ProcessFleet, budget_table
from tests.programs import SIDECAR_CODE, start_process
from tests.sample_settings import PLATFORM_SETTINGS
from tests.stand_ins import LineConnection
from tests.waiting import TEST_TIMEOUT, wait_until

WINDOW, LIMIT = 2.0, 40
# The election's bound (`tests/test_elections.py`) is three leases of 1 s here; as much again if it is busy.
MOST_TO_REPLACE = 2 * 3 * 1.0
Fleets = Callable[..., ProcessFleet]


@pytest.fixture
def fleets(tmp_path: Path) -> Iterator[Fleets]:
    made: list[ProcessFleet] = []

    def begin(members: int = 5, **fleet: Any) -> ProcessFleet:
        home = tmp_path / f"fleet{len(made)}"
        home.mkdir()
        made.append(ProcessFleet(home, members, **fleet))
        return made[-1]

    yield begin
    for fleet in made:
        fleet.close()


def served(flows: list[RequestOutcome], since: float = 0.0) -> int:
    return sum(f.connection is not None and f.sent_at > since for f in flows)


def serves(demand: ClientLoad, more_than: int, within: float = TEST_TIMEOUT) -> None:
    """Until one window of its own has seen more than so many served."""
    wait_until(lambda: most_served_within(list(demand.outcomes)[-3 * LIMIT :], WINDOW) > more_than, within)


def test_budget_holds_over_leader_kill_and_restart_of_all(fleets: Fleets) -> None:
    fleet = fleets(budget=[budget_table(LIMIT, WINDOW)])
    demands = [ClientLoad(member) for member in fleet.members]
    for demand in demands:  # nobody is left out
        wait_until(lambda demand=demand: served(demand.outcomes))  # type: ignore[misc]
    lender = fleet.wait_for_leader()
    fleet.members[lender].kill()
    killed = time.monotonic()
    others = [d for n, d in enumerate(demands) if n != lender]
    wait_until(lambda: fleet.wait_for_leader() != lender)
    wait_until(lambda: sum(served(d.outcomes, killed + 2.0) for d in others) > LIMIT)
    for member in fleet.members:
        member.kill()
    for member in fleet.members:
        member.restart()
    again = time.monotonic()
    wait_until(lambda: all(served(d.outcomes, again) for d in demands))
    flows = [flow for demand in demands for flow in demand.stop()]
    assert most_served_within(flows, WINDOW) <= LIMIT
    assert {f.answer.split()[0] for f in flows} == {"UP", "BUSY"}


def test_partition_leaves_minority_its_reserve(
    fleets: Fleets,
) -> None:
    fleet = fleets(budget=[budget_table(LIMIT, WINDOW)])
    fleet.wait_until_connected()
    lender = fleet.wait_for_leader()
    few = {lender, (lender + 1) % 5}
    demands = {n: ClientLoad(fleet.members[n]) for n in (*few, (lender + 2) % 5, (lender + 3) % 5)}
    wait_until(lambda: all(served(d.outcomes) for d in demands.values()))
    fleet.relay.partition(few)
    cut = time.monotonic()
    wait_until(lambda: any("elected leader" in fleet.members[n].log_text() for n in range(5) if n not in few))
    many = [demands[n] for n in demands if n not in few]
    wait_until(
        lambda: sum(most_served_within([f for f in d.outcomes if f.sent_at > cut + 3], WINDOW) for d in many)
        > 0.6 * LIMIT
    )
    by_right = {n: Budget("all", LIMIT, WINDOW, 5, 0.2).reserve(n) for n in few}
    dark = {n: [f for f in demands[n].outcomes if f.sent_at > cut + 1.0] for n in few}
    assert all(most_served_within(dark[n], WINDOW) <= by_right[n] for n in few)
    for n in few:
        assert "fleet: partitioned (in the dark)" in wait_until(
            lambda n=n: fleet.members[n].log_text().split("out of the dark")[-1]  # type: ignore[misc]
        )
    fleet.relay.severed_links.clear()
    healed = time.monotonic()
    wait_until(
        lambda: all(
            most_served_within([f for f in demands[n].outcomes if f.sent_at > healed], WINDOW) > by_right[n]
            for n in few
        )
    )
    assert (
        most_served_within([flow for demand in demands.values() for flow in demand.stop()], WINDOW) <= LIMIT
    )


def test_stalled_member_spends_nothing_of_its_expired_lease(fleets: Fleets) -> None:
    fleet = fleets(3, budget=[budget_table(LIMIT, WINDOW)])
    fleet.wait_until_connected()
    borrower = next(n for n in range(3) if n != fleet.wait_for_leader())
    other = 3 - borrower - fleet.wait_for_leader()
    first = ClientLoad(fleet.members[borrower])
    serves(first, LIMIT // 2)
    fleet.members[borrower].suspend()
    rush: list[RequestOutcome | None] = []
    threads = [
        threading.Thread(target=lambda: rush.append(send_request(fleet.members[borrower])))
        for _ in range(2 * LIMIT)
    ]
    second = ClientLoad(fleet.members[other])
    serves(second, LIMIT // 2)  # what the stalled one had is lent to another
    for thread in threads:
        thread.start()
    fleet.members[borrower].resume()
    for thread in threads:
        thread.join()
    flows = [*first.stop(), *second.stop(), *(flow for flow in rush if flow)]
    assert (
        most_served_within(flows, WINDOW) <= LIMIT
        and len([f for f in rush if f and not f.connection]) > LIMIT
    )


def test_budget_holds_over_faulty_links(fleets: Fleets) -> None:
    fleet = fleets(budget=[budget_table(LIMIT, WINDOW)])
    fleet.wait_until_connected()
    demands = [ClientLoad(member) for member in fleet.members]
    fleet.relay.loss, fleet.relay.duplication, fleet.relay.max_delay = 0.2, 0.3, 0.1
    wait_until(lambda: all(served(d.outcomes) > 2 for d in demands))
    lender = fleet.wait_for_leader()
    deaf = (lender + 1) % 5
    fleet.relay.severed_links = {(n, deaf) for n in range(5)}  # it is heard, and hears nothing
    wait_until(lambda: "in the dark" in fleet.members[deaf].log_text().split("out of the dark")[-1])
    fleet.relay.severed_links = {(n, lender) for n in range(5)}  # its beats go on, and no answer reaches it
    wait_until(lambda: "stepped down" in fleet.members[lender].log_text())
    wait_until(lambda: fleet.wait_for_leader() != lender, MOST_TO_REPLACE)
    fleet.relay.severed_links.clear()
    healed = time.monotonic()
    wait_until(lambda: all(served(d.outcomes, healed) > 2 for d in demands))
    assert most_served_within([flow for demand in demands for flow in demand.stop()], WINDOW) <= LIMIT


def test_connections_of_killed_member_are_leased_again_once_gone(fleets: Fleets) -> None:
    fleet = fleets(3, budget=[budget_table(20)])
    fleet.wait_until_connected()
    holder = next(n for n in range(3) if n != fleet.wait_for_leader())
    held: dict[int, list[RequestOutcome]] = {0: [], 1: [], 2: []}

    def fill(n: int, least: int) -> bool:
        flow = send_request(fleet.members[n])
        if flow and flow.connection:
            held[n].append(flow)
        return len(held[n]) >= least

    wait_until(lambda: fill(holder, 16))
    other = 3 - holder - fleet.wait_for_leader()
    for _ in range(10):
        fill(other, 0)
    fleet.members[holder].kill()
    killed = time.monotonic()
    for flow in held[holder]:
        flow.ended_at = killed  # the client sees it end at once; the servers' side may take longer
    fleet.members[holder].restart()
    wait_until(lambda: fill(other, 16))
    assert (
        held[other][-1].answered_at > killed + 2.0 * 0.98
    )  # not before its connections are known to be gone
    assert most_concurrent([flow for flows in held.values() for flow in flows]) <= 20


def test_member_avoids_server_that_others_found_bad(fleets: Fleets) -> None:
    fleet = fleets(5, servers=5, failing_servers=1)
    fleet.wait_until_connected()
    bad, quiet = fleet.servers[-1], fleet.members[4]
    demands = [ClientLoad(member) for member in fleet.members[:4]]
    wait_until(lambda: "is marked as an outlier: several members found it failing" in quiet.log_text())
    flows = [send_request(quiet, key=key * 7919) for key in range(60)]
    for demand in demands:
        demand.stop()
    assert all(flow and flow.connection for flow in flows)
    opened = [bad.next_opening()[0] for _ in range(bad.openings.qsize())]
    assert len(opened) >= 6 and not [line for line in opened if f"OPEN {quiet.address[1]:x}0000" in line]


def test_forged_and_malformed_messages_grant_nothing(fleets: Fleets) -> None:
    fleet = fleets(4, budget=[budget_table(LIMIT, WINDOW)])
    fleet.wait_until_connected()
    fleet.members[3].kill()  # the story speaks in its name
    late = int(time.time() * 1000) + 60_000

    def lie(n: int) -> None:
        for word in (
            messages.Heartbeat(late, 99, n, True, 4, 0),
            messages.LeaseGrant(late, 0, n, [messages.Lease(1, 2**40)]),
            messages.Ejections(late, list(range(40))),
            messages.StaleIncarnation(late, 2**52),
            messages.LeaseRequest(late, n, 0, 1, True, 10**9, 99, [messages.Allocation(1, 2**40, 2**40)]),
            messages.ServerObservations(late, [], list(range(40)), 40, 40),
            messages.VersionAnnouncement(late, 0, n, 99, 2**50, 7, 0, 0),
            messages.Chunk(late, 7, 0, 1, b"junk"),
            messages.PublishResponse(late, 0, 7, 0, "no"),
            messages.VersionReport(late, 0, 2**50, 7, 2**50, 99, 8, True),
        ):
            for receiver in range(3):
                fleet.relay.send_as(3, receiver, messages.encode(word))
        for garbage in (b"\x02", b"\x02\x93\x01\x01", b"\x02" + b"\xff" * 300, b"\x07junk", b"s0 nan"):
            for receiver in range(3):
                fleet.relay.send_as(3, receiver, garbage)

    demands = [ClientLoad(member) for member in fleet.members[:3]]
    for n in range(1, 200):
        lie(n)
        threading.Event().wait(0.02)
    wait_until(lambda: all(served(d.outcomes) > 2 for d in demands))
    flows = [flow for demand in demands for flow in demand.stop()]
    assert most_served_within(flows, WINDOW) <= LIMIT and all(
        server.opening_count for server in fleet.servers
    )
    assert "datagram of member 3 ignored" in fleet.members[0].log_text()


def test_nothing_is_imported_or_sent_without_the_key(fleets: Fleets) -> None:
    seen = (
        "import atexit, sys\n"
        "atexit.register(lambda: print(sorted(m for m in sys.modules if 'fleet' in m or 'msgspec' in m), "
        "file=sys.stderr))"
    )
    for fleet, modules in (({}, "[]"), ({"fleet": None}, "[]")):
        made = fleets(2, patch=seen)
        for member in made.members:
            member.process.kill()
            member.config.update(fleet=fleet.get("fleet"))
            member.config_path.write_text(json.dumps(member.config))
            member.restart()
        first = made.members[0]
        assert wait_until(lambda first=first: send_request(first))  # type: ignore[misc]
        first.process.terminate()
        first.process.wait()
        assert first.log_text().endswith(f"{modules}\n") and made.relay.datagram_count == 0


def test_sidecars_share_a_budget(fleets: Fleets, tmp_path: Path) -> None:
    fleet = fleets(2)
    listens = [":".join(map(str, unused_udp_address())) for _ in range(2)]
    for n, member in enumerate(fleet.members):
        member.kill()
        file = writer.from_platform(member.config)
        decode_fleet_settings = BudgetTable("all", "flows", LIMIT, Seconds(WINDOW), 0.2)
        file.fleet = FleetTable(listens[n], listens, True, budget=[decode_fleet_settings])
        path = tmp_path / f"sidecar{n}.toml"
        writer.replace_file(path, writer.file_text(file))
        with member.log_path.open("a") as log:
            fleet.extra_processes.append(
                start_process(None, f"import sys\n{SHORT_TIMERS}\n{SIDECAR_CODE.format(str(path), [])}", log)
            )
    demands = [ClientLoad(member) for member in fleet.members]
    wait_until(lambda: all(served(d.outcomes) > LIMIT // 4 for d in demands))
    flows = [flow for demand in demands for flow in demand.stop()]
    for process in fleet.extra_processes:
        process.terminate()
        assert process.wait() == 0
    assert most_served_within(flows, WINDOW) <= LIMIT


@pytest.mark.parametrize(
    ("table", "named"),
    [
        ({"budget": [budget_table(10)], "listen": "127.0.0.1:1"}, "fleet.members: "),
        ({"budgets": []}, "fleet.budgets: unknown key; write budget"),
        ({"budget": [budget_table(0, 2.0)]}, "fleet.budget[1].limit: 0 is out of range"),
        ({"budget": [budget_table(10, 2.0), budget_table(10, 2.0)]}, "fleet.budget[2].name: "),
        (
            {"budget": [{**budget_table(10), "window": "2s"}]},
            "fleet.budget[1].window: connections that stand",
        ),
        (
            {"budget": [budget_table(10, 2.0, of="away", customer="x")]},
            "budget[1].customer: a budget of away",
        ),
        (
            {"budget": [{**budget_table(10, 2.0), "window": 2}]},
            "fleet.budget[1].window: need a time with its unit",
        ),
        ({"budget": [budget_table(10, 2.0, service_type="fed")]}, "fleet.budget[1].service_type: "),
        ([], "fleet: need a table"),
    ],
)
def test_faulty_fleet_table_ends_the_start(fleets: Fleets, table: Any, named: str) -> None:
    fleet = fleets(1)
    member = fleet.members[0]
    member.kill()
    member.config["fleet"] = table
    member.config_path.write_text(json.dumps(member.config))
    member.restart()
    assert member.process.wait() == 2 and named in member.log_text()


# Route tables.

SERVES = '[[rule]]\ndoes = "serve"\ncustomer = ["acme"]\n'
REFUSES = '[[rule]]\ndoes = "refuse"\ncustomer = ["late"]\ncome_back = "1s"\n'


def tables(fleets: Fleets, members: int, text: str = SERVES) -> ProcessFleet:
    fleet = fleets(members, routes="routes.toml", started=False)
    for member in fleet.members:
        (member.config_path.parent / "routes.toml").write_text(text)
        member.restart()
    wait_until(lambda: all("is in force" in member.log_text() for member in fleet.members))
    return fleet


def hang_up(member: MemberProcess, text: str) -> None:
    (member.config_path.parent / "routes.toml").write_text(text)
    member.process.send_signal(signal.SIGHUP)


def answers(member: MemberProcess, customer: str) -> str:
    flow = send_request(member, f",t={customer}", fields="")
    if flow and flow.connection:
        flow.connection.socket.close()
    return flow.answer.split()[0] if flow else ""


def all_answer(members: list[MemberProcess], word: str, customer: str = "late") -> None:
    wait_until(lambda: all(answers(member, customer) == word for member in members))


def test_valid_table_reaches_all_and_faulty_one_none(fleets: Fleets) -> None:
    fleet = tables(fleets, 4)
    all_answer(fleet.members, "UP")
    hang_up(fleet.members[2], SERVES + REFUSES)
    all_answer(fleet.members, "BUSY")
    all_answer(fleet.members, "UP", "acme")
    hang_up(fleet.members[1], SERVES + SERVES)
    wait_until(
        lambda: "routes: line 4: shadowed: all flows that it matches are decided by line 1"
        in fleet.members[1].log_text()
    )
    wait_until(lambda: "routes: not published; the table in force stays" in fleet.members[1].log_text())
    hang_up(fleet.members[1], "[[rule")
    wait_until(lambda: "routes: line 1: file: not TOML" in fleet.members[1].log_text())
    all_answer(fleet.members, "BUSY")


def test_objection_of_one_member_reaches_the_publisher(fleets: Fleets) -> None:
    fleet = tables(fleets, 3)
    odd = fleet.members[2]
    kinds = [kind for kind in PLATFORM_SETTINGS["service_types"] if kind["name"] != "order"]
    odd.kill()
    odd.config["settings"] = {**odd.config["settings"], "service_types": kinds}
    odd.config_path.write_text(json.dumps(odd.config))
    odd.restart()
    wait_until(lambda: "out of the dark" in odd.log_text()[odd.seen :])  # what it says counts from then on
    hang_up(
        fleet.members[0],
        SERVES + REFUSES + ('[[rule]]\ndoes = "refuse"\nservice_type = ["order"]\ncustomer = ["x"]\n'),
    )
    wait_until(
        lambda: 'not published: 2 objects: line 8: unreachable: no service type "order"'
        in (fleet.members[0].log_text())
    )
    all_answer(fleet.members, "UP")


def test_minority_restarted_member_and_rival_publisher_converge(fleets: Fleets) -> None:
    """All end with the newest table."""
    fleet = tables(fleets, 5)
    lender = fleet.wait_for_leader()
    few = {lender, (lender + 1) % 5}
    many = [n for n in range(5) if n not in few]
    fleet.relay.partition(few)
    wait_until(lambda: any("elected leader" in fleet.members[n].log_text() for n in many))
    hang_up(fleet.members[many[0]], SERVES + REFUSES)
    hang_up(fleet.members[lender], SERVES + REFUSES + REFUSES.replace("late", "never"))
    all_answer([fleet.members[n] for n in many], "BUSY")
    assert {answers(fleet.members[n], "late") for n in few} == {"UP"}
    fleet.relay.severed_links.clear()
    all_answer(fleet.members, "BUSY")
    first, second = SERVES + REFUSES.replace("late", "one"), SERVES + REFUSES.replace("late", "two")
    hang_up(fleet.members[many[1]], first)
    hang_up(fleet.members[many[2]], second)
    wait_until(lambda: {answers(member, "late") for member in fleet.members} == {"UP"})
    assert len({tuple(answers(m, customer) for customer in ("one", "two")) for m in fleet.members}) == 1
    again = fleet.members[many[0]]
    again.kill()
    again.restart()  # its file is an older one
    wait_until(lambda: ready(again))
    other = fleet.members[many[1]]
    assert [answers(again, name) for name in ("one", "two", "late")] == [
        answers(other, name) for name in ("one", "two", "late")
    ]


def ready(member: MemberProcess) -> bool:
    """Whether it answers PING with PONG."""
    with suppress(OSError):
        line = LineConnection(socket.create_connection(member.address, timeout=2.0))
        line.send_line("PING")
        return line.read_line() == "PONG"
    return False


def test_killed_publisher_leaves_all_on_one_table(fleets: Fleets) -> None:
    fleet = tables(fleets, 3)
    publisher = next(n for n in range(3) if n != fleet.wait_for_leader())
    hang_up(fleet.members[publisher], SERVES + REFUSES)
    wait_until(lambda: "routes: the file is read" in fleet.members[publisher].log_text())
    fleet.members[publisher].kill()
    others = [member for n, member in enumerate(fleet.members) if n != publisher]
    fleet.members[publisher].restart()
    wait_until(lambda: ready(fleet.members[publisher]))
    wait_until(lambda: len({answers(member, "late") for member in fleet.members}) == 1)
    assert {answers(member, "acme") for member in others} == {"UP"}


def test_faulty_route_file_ends_the_start(fleets: Fleets) -> None:
    fleet = fleets(1, started=False, routes="routes.toml")
    member = fleet.members[0]
    member.restart()
    assert member.process.wait() == 2 and "No such file" in member.log_text().partition("fleet.routes: ")[2]
    (member.config_path.parent / "routes.toml").write_text('[[rule]]\ndoes = "server"\n')
    member.restart()
    assert member.process.wait() == 2 and "line 2: rule[1].does: need one of" in member.log_text()


# Retirements.


def retirement(begins: float, **changes: Any) -> str:
    """Feeds of v1: warned at once, half of the callers turned away 2 s from then, all after 60 s."""

    def at(seconds: float) -> str:
        return datetime.fromtimestamp(begins + seconds, UTC).isoformat()

    told = {
        "name": '"feed v1"',
        "service_type": '"feed"',
        "version": '"v1"',
        "successor_version": '"v2"',
        "announced": at(0),
        "warned": at(0.1),
        "shed": at(2),
        "ended": at(60),
        "shares": [0.5],
        **changes,
    }
    return (
        'versions = ["v1", "v2"]\n[[rule]]\ndoes = "retire"\nversion = ["v1"]\nretirement = "feed v1"\n'
        "[[retirement]]\n" + "\n".join(f"{key} = {value}" for key, value in told.items()) + "\n"
    )


def turned_away(member: MemberProcess, keys: range) -> set[int]:
    """The callers that get no connection."""
    found = set()
    for key in keys:
        flow = send_request(member, fields=",t=acme,v=v1", key=key)
        if flow and flow.connection:
            flow.connection.socket.close()
        elif flow:
            found.add(key)
    return found


def test_fleet_sheds_the_same_callers_until_halted(fleets: Fleets) -> None:
    """A halt binds members that receive it, and by the end of their leases those that do not."""
    text = retirement(time.time() + 1)
    fleet = tables(fleets, 5, text)
    keys, halted = range(24), text + "halted = true\n"
    away = {key for key in keys if caller_position("feed v1", f"k{key}") < 0.5}
    wait_until(lambda: all(turned_away(member, keys) == away for member in fleet.members))
    assert 0 < len(away) < len(keys)
    lender = fleet.wait_for_leader()
    deaf = (lender + 1) % 5
    fleet.relay.partition({deaf})
    began = time.monotonic()
    hang_up(fleet.members[(lender + 2) % 5], halted)
    others = [member for n, member in enumerate(fleet.members) if n != deaf]
    one = min(away)
    wait_until(lambda: not any(turned_away(member, range(one, one + 1)) for member in others))
    wait_until(lambda: not turned_away(fleet.members[deaf], keys))
    assert time.monotonic() < began + TEST_TIMEOUT
    fleet.relay.severed_links.clear()
    hang_up(fleet.members[(lender + 2) % 5], text)  # the halt is over
    wait_until(lambda: all(turned_away(member, keys) == away for member in fleet.members))


def test_retirement_notice_and_migration_at_the_end(fleets: Fleets, tmp_path: Path) -> None:
    fleet = fleets(1)
    member = fleet.members[0]
    member.kill()
    file = writer.from_platform(member.config)
    listen = ":".join(map(str, unused_udp_address()))
    file.fleet = FleetTable(listen, [listen], True, "maps.routes.toml")
    path = tmp_path / "maps.toml"
    writer.replace_file(path, writer.file_text(file))
    begins = time.time() + 3

    def at(seconds: float) -> str:
        return datetime.fromtimestamp(begins + seconds, UTC).isoformat()

    rules = retirement(begins, ended=at(4), notice="true", move_within='"1s"')
    writer.replace_file(tmp_path / "maps.routes.toml", rules)
    with member.log_path.open("a") as log:
        process = start_process(
            None, f"import sys\n{SHORT_TIMERS}\n{SIDECAR_CODE.format(str(path), [])}", log
        )
        fleet.extra_processes.append(process)

    def told() -> RequestOutcome | None:
        flow = send_request(member, ",notice=1", fields=",t=acme,v=v1", key=min(kept))
        with suppress(TimeoutError):  # it came before it was warned about
            return (
                flow
                if flow and flow.connection and flow.connection.read_line().startswith("NOTICE ")
                else None
            )
        return None

    kept = [key for key in range(50) if caller_position("feed v1", f"k{key}") > 0.5]
    asked = wait_until(told)
    quiet = send_request(member, fields=",t=acme,v=v1", key=min(kept))
    assert asked.connection and quiet and quiet.connection
    for line in (asked.connection, quiet.connection):
        line.socket.settimeout(TEST_TIMEOUT)
    assert [asked.connection.read_line(), quiet.connection.read_line()] == ["MOVE", "MOVE"]
    wait_until(lambda: turned_away(member, range(min(kept), min(kept) + 1)))
    assert "retirement feed v1: acme still comes" in member.log_text()
    process.terminate()
    assert process.wait() == 0
