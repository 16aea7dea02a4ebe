"""1,024 processes before 1,024 servers, through every list, message and file that names them."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from brambleplank import records
from brambleplank.checks import parse_address
from brambleplank.decisions.balancer import Balancer
from brambleplank.decisions.rotation import Rotation
from brambleplank.discovery.consul import answers
from brambleplank.discovery.file import server_file
from brambleplank.discovery.platform.discovery import Watch
from brambleplank.discovery.platform.endpoint_list import decode_list
from brambleplank.fleet import server_observations
from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.member import FleetMember
from brambleplank.model import Address, Endpoint, EndpointStatus
from brambleplank.net.peer_link import MAX_DATAGRAM_SIZE
from brambleplank.platform import configuration, upgrade_messages
from brambleplank.platform.handoff_state import HandoffState
from brambleplank.platform.run import Program
from brambleplank.sidecar import reader
from brambleplank.sidecar.rules import Machine
from brambleplank.wirehost.pipe import Pipe
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.test_check import GOOD

PROCESSES = SERVERS = 1024
TURN = 0.1  # seconds between two turns of a member
NAMES = [f"s-{number:04}" for number in range(SERVERS)]
PLACES = [f"10.{1 + number // 250}.0.{number % 250}:5000" for number in range(SERVERS)]
LIST = endpoint_list(1, True, **dict(zip(NAMES, PLACES, strict=True)))
PEERS = [f"10.200.{number // 250}.{number % 250}:7946" for number in range(PROCESSES)]
EVERYWHERE = "10.201.0.1:7946"


def settings(number: int) -> dict[str, Any]:
    limits = {**PLATFORM_SETTINGS["policy_limits"], "may_probe": True, "peers": True}
    return {**PLATFORM_SETTINGS, "balancers": PROCESSES, "slot_no": number, "policy_limits": limits}


class Process:
    """A program as the platform configures it, its list read; datagrams are carried by hand."""

    def __init__(self, number: int, hosts: dict[str, Any] = LIST, **changes: Any) -> None:
        config = {
            "name": f"n{number}",
            "listen": "127.0.0.1:7000",
            "discovery": "127.0.0.1:7001",
            "seed": "1f",
            "known": hosts,
            "peer_listen": PEERS[number],
            "peers": PEERS,
            "peers_all": EVERYWHERE,
            "settings": settings(number),
            **changes,
        }
        self.told = configuration.decode(config)
        self.program = Program(self.told)
        self.program.discovery.apply_initial_list(self.told.initial_list)
        self.proxy = self.program.proxy
        self.balancer = self.proxy.balancer
        # Nothing that is reported of a server is too much to be believed.
        self.balancer.server_pool.counts.max_on_ready = 10**9
        self.servers = self.balancer.servers
        self.sent: list[tuple[bytes, Address]] = []
        assert self.proxy.peer_link is not None
        self.peers = self.proxy.peer_link
        self.peers.transport = SimpleNamespace(write=lambda *sent: self.sent.append(sent))

    def datagrams(self) -> list[bytes]:
        """What it has told since."""
        self.peers.send()
        sent, self.sent = self.sent, []
        assert max(len(data) for data, _ in sent) <= MAX_DATAGRAM_SIZE
        return [data for data, _ in sent]

    def hear(self, datagrams: list[bytes], number: int) -> None:
        for data in datagrams:
            self.peers.datagramReceived(data, parse_address(PEERS[number], "peers"))


def test_counts_of_all_servers_come_from_all_processes_and_go_out_as_sums_that_fit() -> None:
    sender, aggregator, third = (Process(number) for number in (1, 0, 2))
    assert sorted(aggregator.peers.peer_numbers.values()) == list(range(PROCESSES))
    held = {server: 300 * number for number, server in enumerate(sender.servers.values())}
    sender.proxy.send_load_report(held.items(), True, None, False)
    datagrams = sender.datagrams()
    assert len(datagrams) <= SERVERS // 40  # three bytes for a tag, two or three for a count of thousands
    aggregator.hear(datagrams, 1)
    assert [server.connections_by_peer.get(1, 0) for server in aggregator.servers.values()] == list(
        held.values()
    )

    sender.proxy.send_load_report(dict.fromkeys(held, 1).items(), True, None, False)
    datagrams = sender.datagrams()
    assert len(datagrams) <= SERVERS // 60
    for number in range(2, PROCESSES):
        aggregator.hear(datagrams, number)
    sums = [count + PROCESSES - 2 for count in held.values()]
    assert [server.connections_elsewhere for server in aggregator.servers.values()] == sums

    aggregator.balancer.server_pool.load_reports.aggregator = 0
    aggregator.balancer.server_pool.load_reports.report_changes(aggregator.proxy.clock.now())
    third.hear(aggregator.datagrams(), 0)
    assert [server.connections_elsewhere for server in third.servers.values()] == sums


def test_message_times_homes_and_turns_of_all_servers_reach_who_they_are_for() -> None:
    sender, receiver = Process(1), Process(0)
    homes, turns = list[Any](), list[Any]()
    balancer: Any = receiver.balancer
    balancer.group_server_reported = lambda now, *home: homes.append(home)
    balancer.permit_message_received = lambda now, *turn: turns.append(turn)
    for number, server in enumerate(sender.servers.values()):
        if number % 2:
            sender.proxy.report_message_time(server, 0.001 * number)
        sender.proxy.report_group_servers([(number << records.UNREPORTED_POSITION_BITS, server)])
    receiver.hear(sender.datagrams(), 1)
    told_of = [server.id for server in receiver.servers.values() if server.message_time_reported_at]
    assert told_of == NAMES[1::2]
    late = [server.id for server in receiver.servers.values() if server.slow_until]
    longest = receiver.proxy.settings.shortest_message_objective / 3
    assert late == [name for number, name in enumerate(NAMES) if number % 2 and 0.001 * number > longest]
    assert homes == [
        (number << records.UNREPORTED_POSITION_BITS, each)
        for number, each in enumerate(receiver.servers.values())
    ]
    for server in sender.servers.values():
        sender.proxy.send_permit_message(server, 0, 2)
    receiver.hear(sender.datagrams(), 1)
    assert turns == [(1, server, 2) for server in receiver.servers.values()]


def test_servers_whose_tags_are_the_same_are_never_taken_for_each_other(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    digest: Callable[[bytes], Any] = vars(records)["md5"]

    def md5(text: bytes) -> Any:
        own = digest(text).digest()
        first = {b"s-0007#0": b"s-0003#0", b"s-1001#0": b"s-0500#0"}.get(text)
        return SimpleNamespace(digest=lambda: own[:12] + digest(first).digest()[12:] if first else own)

    monkeypatch.setattr(records, "md5", md5)
    same = {"s-0007", "s-0003", "s-1001", "s-0500"}
    sender, receiver = Process(1, fleet={}), Process(0)
    turns: list[str] = []
    balancer: Any = receiver.balancer
    balancer.permit_message_received = lambda now, peer, server, word: turns.append(server.id)
    sender.proxy.send_load_report([(server, 9) for server in sender.servers.values()], True, None, False)
    for server in sender.servers.values():
        sender.proxy.report_message_time(server, 9.0)
        sender.proxy.send_permit_message(server, 0, 2)
    receiver.hear(sender.datagrams(), 1)
    apart = [name for name in NAMES if name not in same]
    assert turns == apart
    assert [server.id for server in receiver.servers.values() if server.connections_elsewhere] == apart
    assert [server.id for server in receiver.servers.values() if server.slow_until] == apart
    said = [line for line in capsys.readouterr().err.splitlines() if "tags" in line]
    assert len(said) == 2 and all(name in line for name in same for line in said)
    # A process whose list has only one of two reports of it; who has both believes nothing of that.
    shorter = {**LIST, "hosts": [host for host in LIST["hosts"] if host["host"] not in ("s-0007", "s-1001")]}
    fourth = Process(3, shorter)
    fourth.proxy.send_load_report([(server, 5) for server in fourth.servers.values()], True, None, False)
    receiver.hear(fourth.datagrams(), 3)
    assert [server.id for server in receiver.servers.values() if server.connections_by_peer.get(3)] == apart
    # Nor are they judged for each other.
    shares: Any = sender.proxy.requests.fleet_admission
    for _ in range(server_observations.FAILURES_TO_REPORT):
        for name in ("s-0003", "s-0001"):
            shares.attempt_finished(sender.servers[name], False)
    good, bad = shares.fleet.server_observer.recent_observations(sender.proxy.clock.now())
    assert good == [] and len(bad) == 1


def test_small_lists_have_short_tags_which_a_longer_list_reads_where_they_are_its_own() -> None:
    few = {**LIST, "hosts": LIST["hosts"][:20]}
    sender, receiver = Process(1, few), Process(0)
    sender.proxy.send_load_report([(server, 7) for server in sender.servers.values()], True, None, False)
    datagrams = sender.datagrams()
    assert [len(data) for data in datagrams] == [1 + 1 + 1 + 20 * 3]
    receiver.hear(datagrams, 1)
    tags = Counter(server.points[0] & 0xFFFF for server in receiver.servers.values())
    apart = [name for name in NAMES[:20] if tags[receiver.servers[name].points[0] & 0xFFFF] == 1]
    assert [
        server.id for server in receiver.servers.values() if server.connections_by_peer.get(1) == 7
    ] == apart
    assert len(tags) < SERVERS  # two bytes would not do for the longer list


def test_messages_on_the_wire_hold_no_more_than_it_takes() -> None:
    pipe = Pipe()
    table = [[name, "a", "m", 0, "IN", 1, None] for name in NAMES]
    news: list[Any] = [["TABLE", 0, table]]
    for number in (0, 1):
        news.append(["ENLIST", f"proxy/{number}", number, settings(number)])
        news.append(["ROSTER_CHANGE", f"proxy/{number}", "SAVED", 1, 0])
    pipe.batch(json.dumps({"t_us": 10**6, "news": news}))
    reader_, sender = pipe.proxies["proxy/0"], pipe.proxies["proxy/1"]
    reader_.balancer.server_pool.counts.max_on_ready = 10**9
    pipe.actions.clear()
    servers: list[records.Server] = list(sender.balancer.servers.values())
    sender.send_load_report(
        [(server, 300 * number) for number, server in enumerate(servers)], True, None, False
    )
    sender.finish_event()
    texts = [action[3] for action in pipe.actions]
    assert max(map(len, texts)) <= MAX_DATAGRAM_SIZE
    pipe.batch(json.dumps({"t_us": 10**6, "news": [["PEER", "proxy/0", 1, text] for text in texts]}))
    told_of = [server.connections_by_peer.get(1, 0) for server in reader_.balancer.servers.values()]
    assert told_of == [300 * number for number in range(SERVERS)]


def test_lists_of_all_servers_come_in_from_each_source() -> None:
    version, complete, listed, addresses = decode_list(LIST)
    assert (version, complete, len(listed), len(addresses)) == (1, True, SERVERS, SERVERS)
    heard: list[Any] = []
    discovery = SimpleNamespace(list_received=heard.append, watch_failed=heard.append)
    discovery.proxy = SimpleNamespace(
        clock=SimpleNamespace(now=lambda: 0.0, call_after_reads=lambda *_: None), settings=None
    )
    discovery.watch = watch = Watch(discovery)  # type: ignore[arg-type]
    for text in (json.dumps(LIST), json.dumps(LIST, indent=4)):
        data = text.encode() + b"\n"
        for at in range(0, len(data), 1400):
            watch.dataReceived(data[at : at + 1400])
    assert heard == [LIST, LIST]

    servers = "".join(
        f'[[server]]\nname = "{name}"\naddress = "{place}"\n'
        for name, place in zip(NAMES, PLACES, strict=True)
    )
    reading, of_file = server_file.parse(servers + "[end]\n")
    assert not reading.faults and [server.name for server in of_file] == NAMES

    items = [
        {"Node": {"Node": "n", "Address": place.split(":")[0]}, "Service": {"ID": name, "Port": 5000}}
        for name, place in zip(NAMES, PLACES, strict=True)
    ]
    found, unused = answers.AnswerDecoder(answers.MetadataKeys()).decode(json.dumps(items).encode())
    assert len(found) == SERVERS and not unused


def test_the_sidecars_file_may_name_all_servers_and_members(tmp_path: Path) -> None:
    members = ", ".join(f'"{peer}"' for peer in PEERS)
    fleet = f'[fleet]\nlisten = "{PEERS[7]}"\nmembers = [{members}]\n\n[log]'
    servers = "".join(
        f'[[server]]\nname = "{name}"\naddress = "{place}"\n'
        for name, place in zip(NAMES, PLACES, strict=True)
    )
    text = GOOD[: GOOD.index("[[server]]")].replace("[log]", fleet)
    text = text.replace("descriptors = 512", "descriptors = 2048").replace("128MiB", "512MiB")
    path = tmp_path / "maps.toml"
    path.write_text(f"sidecars = {PROCESSES}\nnumber = 7\n{text}{servers}\n[end]\n")
    read = reader.read(str(path), {}, Machine(10**6, 2**40))
    assert read.fault_lines() == [] and read.file and read.file.fleet
    assert [server.name for server in read.servers] == NAMES and read.file.fleet.members == PEERS
    assert read.settings and (read.settings.proxies, read.settings.proxy_number) == (PROCESSES, 7)


def test_what_operators_said_of_all_servers_goes_along_to_the_next_process() -> None:
    before, after = Process(1), Process(1, {**LIST, "hosts": []})
    for name in NAMES:
        before.proxy.operator_commands.take_out_of_rotation(name)
    state = HandoffState.capture(before.proxy, before.program.discovery)
    line = upgrade_messages.encode({"estate": state.encode()})
    assert len(line) < upgrade_messages.MAX_LINE
    HandoffState.decode(json.loads(line)["estate"]).restore(after.proxy, after.program.discovery)
    assert list(after.proxy.rotation.out_since) == NAMES and list(after.servers) == NAMES
    rotation, listed = Rotation(), [entry(name) for name in NAMES]
    for old in range(4):  # names that were listed once are forgotten ahead of those that are listed
        rotation.apply([entry(f"{old}{name}") for name in NAMES], True)
    assert rotation.apply(listed, True) == listed and {each[0] for each in listed} <= set(rotation.listed)


def entry(name: str) -> Endpoint:
    return Endpoint(name, "a", 0, EndpointStatus.READY, 1.0, 0.0)


class Members:
    """The processes of one fleet in virtual time; each datagram takes up to 20 ms."""

    def __init__(self) -> None:
        self.now, self.rng, self.order = 0.0, Random(1), count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        budget = Budget("flows", 10 * PROCESSES, 2.0, PROCESSES)
        self.fleets: list[FleetMember] = []
        for number in range(PROCESSES):
            say = partial(self.carry, number)
            fleet = FleetMember(
                number, PROCESSES, [budget], 10**12, 0.0, number, say, lambda line: None, self.tags
            )
            self.fleets.append(fleet)
            self.later(self.rng.uniform(0, TURN), partial(self.turn, fleet))

    @staticmethod
    def tags() -> list[int]:
        """The largest, which take the most bytes."""
        return list(range(2**32 - SERVERS, 2**32))

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        heappush(self.events, (self.now + seconds, next(self.order), call))

    def turn(self, fleet: FleetMember) -> None:
        fleet.tick(self.now)
        self.later(TURN, partial(self.turn, fleet))

    def carry(self, sender: int, data: bytes, to: int | None) -> None:
        assert len(data) <= MAX_DATAGRAM_SIZE
        for number in range(PROCESSES) if to is None else (to,):
            if number != sender:
                self.later(self.rng.uniform(0.0, 0.02), partial(self.arrive, number, sender, data))

    def arrive(self, number: int, sender: int, data: bytes) -> None:
        self.fleets[number].receive_datagram(self.now, sender, data)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.events[0][0] < until:
            self.now, _, call = heappop(self.events)
            call()
        self.now = until


def test_a_fleet_of_all_processes_finds_a_leader_lends_to_each_and_judges_all_servers() -> None:
    members = Members()
    members.run(9.0)
    assert {fleet.coverage(members.now).reachable for fleet in members.fleets} == {PROCESSES}
    assert all(fleet.has_lease(members.now) for fleet in members.fleets)
    for fleet in members.fleets:
        fleet.counts.increment(1, "feed", "acme", "v1")
    tags = members.tags()
    bad = tags[::5][:200]
    for fleet in members.fleets[1:4]:
        for tag in tags:
            for _ in range(server_observations.FAILURES_TO_REPORT):
                fleet.server_observer.record_attempt(members.now, tag, tag not in bad)
    members.run(7.0)
    for fleet in (members.fleets[0], members.fleets[-1]):
        assert sorted(fleet.server_observer.ejected_servers(members.now, tags)) == bad
        assert sum(totals[1] for totals in fleet.counts.fleet.values()) == PROCESSES


def test_the_ring_holds_all_servers() -> None:
    balancer: Balancer = Process(0).balancer
    assert len(balancer.ring.points) == SERVERS * records.POINTS_PER_SERVER
    assert len(set(balancer.ring.servers_from(7))) == SERVERS
