"""1,024 processes with 1,024 servers: every list, message and file that names them has room for all."""

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
from brambleplank.wirehost.pipe import Adapter
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.test_check import GOOD

PROCESSES = SERVERS = 1024
TICK_INTERVAL = 0.1  # seconds between two ticks of a member
NAMES = [f"s-{number:04}" for number in range(SERVERS)]
SERVER_ADDRESSES = [f"10.{1 + number // 250}.0.{number % 250}:5000" for number in range(SERVERS)]
ENDPOINT_LIST = endpoint_list(1, True, **dict(zip(NAMES, SERVER_ADDRESSES, strict=True)))
PEER_ADDRESSES = [f"10.200.{number // 250}.{number % 250}:7946" for number in range(PROCESSES)]
BROADCAST_ADDRESS = "10.201.0.1:7946"


def settings(number: int) -> dict[str, Any]:
    limits = {**PLATFORM_SETTINGS["policy_limits"], "may_probe": True, "peers": True}
    return {**PLATFORM_SETTINGS, "balancers": PROCESSES, "slot_no": number, "policy_limits": limits}


class Process:
    """A program as the platform configures it, with a list applied; tests deliver its datagrams."""

    def __init__(self, number: int, hosts: dict[str, Any] = ENDPOINT_LIST, **changes: Any) -> None:
        config = {
            "name": f"n{number}",
            "listen": "127.0.0.1:7000",
            "discovery": "127.0.0.1:7001",
            "seed": "1f",
            "known": hosts,
            "peer_listen": PEER_ADDRESSES[number],
            "peers": PEER_ADDRESSES,
            "peers_all": BROADCAST_ADDRESS,
            "settings": settings(number),
            **changes,
        }
        self.configuration = configuration.decode(config)
        self.program = Program(self.configuration)
        self.program.discovery.apply_initial_list(self.configuration.initial_list)
        self.proxy = self.program.proxy
        self.balancer = self.proxy.balancer
        # Accepts any reported connection count, however high.
        self.balancer.server_pool.counts.max_on_ready = 10**9
        self.servers = self.balancer.servers
        self.sent: list[tuple[bytes, Address]] = []
        assert self.proxy.peer_link is not None
        self.peer_link = self.proxy.peer_link
        self.peer_link.transport = SimpleNamespace(write=lambda *sent: self.sent.append(sent))

    def take_datagrams(self) -> list[bytes]:
        """Returns the datagrams sent since the last call."""
        self.peer_link.send()
        sent, self.sent = self.sent, []
        assert max(len(data) for data, _ in sent) <= MAX_DATAGRAM_SIZE
        return [data for data, _ in sent]

    def receive(self, datagrams: list[bytes], number: int) -> None:
        for data in datagrams:
            self.peer_link.datagramReceived(data, parse_address(PEER_ADDRESSES[number], "peers"))


def test_load_reports_of_all_processes_are_aggregated_and_fit_into_datagrams() -> None:
    sender, aggregator, third = (Process(number) for number in (1, 0, 2))
    assert sorted(aggregator.peer_link.peer_numbers.values()) == list(range(PROCESSES))
    counts = {server: 300 * number for number, server in enumerate(sender.servers.values())}
    sender.proxy.send_load_report(counts.items(), True, None, False)
    datagrams = sender.take_datagrams()
    assert len(datagrams) <= SERVERS // 40  # three bytes per tag, two or three per count in the thousands
    aggregator.receive(datagrams, 1)
    assert [server.connections_by_peer.get(1, 0) for server in aggregator.servers.values()] == list(
        counts.values()
    )

    sender.proxy.send_load_report(dict.fromkeys(counts, 1).items(), True, None, False)
    datagrams = sender.take_datagrams()
    assert len(datagrams) <= SERVERS // 60
    for number in range(2, PROCESSES):
        aggregator.receive(datagrams, number)
    sums = [count + PROCESSES - 2 for count in counts.values()]
    assert [server.connections_elsewhere for server in aggregator.servers.values()] == sums

    aggregator.balancer.server_pool.load_reports.aggregator = 0
    aggregator.balancer.server_pool.load_reports.report_changes(aggregator.proxy.clock.now())
    third.receive(aggregator.take_datagrams(), 0)
    assert [server.connections_elsewhere for server in third.servers.values()] == sums


def test_message_times_group_reports_and_permits_for_all_servers_are_received() -> None:
    sender, receiver = Process(1), Process(0)
    group_reports, permit_messages = list[Any](), list[Any]()
    balancer: Any = receiver.balancer
    balancer.group_server_reported = lambda now, *group_report: group_reports.append(group_report)
    balancer.permit_message_received = lambda now, *permit_message: permit_messages.append(permit_message)
    for number, server in enumerate(sender.servers.values()):
        if number % 2:
            sender.proxy.report_message_time(server, 0.001 * number)
        sender.proxy.report_group_servers([(number << records.UNREPORTED_POSITION_BITS, server)])
    receiver.receive(sender.take_datagrams(), 1)
    reported = [server.id for server in receiver.servers.values() if server.message_time_reported_at]
    assert reported == NAMES[1::2]
    slow = [server.id for server in receiver.servers.values() if server.slow_until]
    slow_threshold = receiver.proxy.settings.shortest_message_objective / 3
    assert slow == [
        name for number, name in enumerate(NAMES) if number % 2 and 0.001 * number > slow_threshold
    ]
    assert group_reports == [
        (number << records.UNREPORTED_POSITION_BITS, group_server)
        for number, group_server in enumerate(receiver.servers.values())
    ]
    for server in sender.servers.values():
        sender.proxy.send_permit_message(server, 0, 2)
    receiver.receive(sender.take_datagrams(), 1)
    assert permit_messages == [(1, server, 2) for server in receiver.servers.values()]


def test_servers_with_equal_tags_are_never_confused(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    real_md5: Callable[[bytes], Any] = vars(records)["md5"]

    def fake_md5(text: bytes) -> Any:
        real_digest = real_md5(text).digest()
        imitated = {b"s-0007#0": b"s-0003#0", b"s-1001#0": b"s-0500#0"}.get(text)
        return SimpleNamespace(
            digest=lambda: real_digest[:12] + real_md5(imitated).digest()[12:] if imitated else real_digest
        )

    monkeypatch.setattr(records, "md5", fake_md5)
    sharing_tags = {"s-0007", "s-0003", "s-1001", "s-0500"}
    sender, receiver = Process(1, fleet={}), Process(0)
    permit_messages: list[str] = []
    balancer: Any = receiver.balancer
    balancer.permit_message_received = lambda now, peer, server, word: permit_messages.append(server.id)
    sender.proxy.send_load_report([(server, 9) for server in sender.servers.values()], True, None, False)
    for server in sender.servers.values():
        sender.proxy.report_message_time(server, 9.0)
        sender.proxy.send_permit_message(server, 0, 2)
    receiver.receive(sender.take_datagrams(), 1)
    distinct = [name for name in NAMES if name not in sharing_tags]
    assert permit_messages == distinct
    assert [server.id for server in receiver.servers.values() if server.connections_elsewhere] == distinct
    assert [server.id for server in receiver.servers.values() if server.slow_until] == distinct
    log_lines = [line for line in capsys.readouterr().err.splitlines() if "tags" in line]
    assert len(log_lines) == 2 and all(name in line for name in sharing_tags for line in log_lines)
    # A process that lists only one of two servers with equal tags reports it; a process that lists both
    # ignores that report.
    shorter = {
        **ENDPOINT_LIST,
        "hosts": [host for host in ENDPOINT_LIST["hosts"] if host["host"] not in ("s-0007", "s-1001")],
    }
    fourth = Process(3, shorter)
    fourth.proxy.send_load_report([(server, 5) for server in fourth.servers.values()], True, None, False)
    receiver.receive(fourth.take_datagrams(), 3)
    assert [
        server.id for server in receiver.servers.values() if server.connections_by_peer.get(3)
    ] == distinct
    # Failed attempts at a server with an ambiguous tag give no opinion on any server.
    admission: Any = sender.proxy.requests.fleet_admission
    for _ in range(server_observations.FAILURES_TO_REPORT):
        for name in ("s-0003", "s-0001"):
            admission.attempt_finished(sender.servers[name], False)
    good, bad = admission.fleet.server_observer.recent_observations(sender.proxy.clock.now())
    assert good == [] and len(bad) == 1


def test_short_tags_of_a_small_list_are_read_by_a_longer_list_where_unambiguous() -> None:
    short_list = {**ENDPOINT_LIST, "hosts": ENDPOINT_LIST["hosts"][:20]}
    sender, receiver = Process(1, short_list), Process(0)
    sender.proxy.send_load_report([(server, 7) for server in sender.servers.values()], True, None, False)
    datagrams = sender.take_datagrams()
    assert [len(data) for data in datagrams] == [1 + 1 + 1 + 20 * 3]
    receiver.receive(datagrams, 1)
    tags = Counter(server.points[0] & 0xFFFF for server in receiver.servers.values())
    distinct = [name for name in NAMES[:20] if tags[receiver.servers[name].points[0] & 0xFFFF] == 1]
    assert [
        server.id for server in receiver.servers.values() if server.connections_by_peer.get(1) == 7
    ] == distinct
    assert len(tags) < SERVERS  # two-byte tags are ambiguous in the longer list


def test_peer_messages_on_the_simulator_wire_keep_within_its_size_limit() -> None:
    adapter = Adapter()
    entries = [[name, "a", "m", 0, "IN", 1, None] for name in NAMES]
    events: list[Any] = [["TABLE", 0, entries]]
    for number in (0, 1):
        events.append(["ENLIST", f"proxy/{number}", number, settings(number)])
        events.append(["ROSTER_CHANGE", f"proxy/{number}", "SAVED", 1, 0])
    adapter.handle_batch(json.dumps({"t_us": 10**6, "news": events}))
    receiver, sender = adapter.proxies["proxy/0"], adapter.proxies["proxy/1"]
    receiver.balancer.server_pool.counts.max_on_ready = 10**9
    adapter.actions.clear()
    servers: list[records.Server] = list(sender.balancer.servers.values())
    sender.send_load_report(
        [(server, 300 * number) for number, server in enumerate(servers)], True, None, False
    )
    sender.finish_event()
    texts = [action[3] for action in adapter.actions]
    assert max(map(len, texts)) <= MAX_DATAGRAM_SIZE
    adapter.handle_batch(
        json.dumps({"t_us": 10**6, "news": [["PEER", "proxy/0", 1, text] for text in texts]})
    )
    reported = [server.connections_by_peer.get(1, 0) for server in receiver.balancer.servers.values()]
    assert reported == [300 * number for number in range(SERVERS)]


def test_each_discovery_source_reads_a_list_of_all_servers() -> None:
    version, complete, listed, addresses = decode_list(ENDPOINT_LIST)
    assert (version, complete, len(listed), len(addresses)) == (1, True, SERVERS, SERVERS)
    received_lists: list[Any] = []
    discovery = SimpleNamespace(list_received=received_lists.append, watch_failed=received_lists.append)
    discovery.proxy = SimpleNamespace(
        clock=SimpleNamespace(now=lambda: 0.0, call_after_reads=lambda *_: None), settings=None
    )
    request: Any = SimpleNamespace(requested_at=0.0)
    discovery.watch = watch = Watch(discovery, request)  # type: ignore[arg-type]
    for text in (json.dumps(ENDPOINT_LIST), json.dumps(ENDPOINT_LIST, indent=4)):
        data = text.encode() + b"\n"
        for at in range(0, len(data), 1400):
            watch.dataReceived(data[at : at + 1400])
    assert received_lists == [ENDPOINT_LIST, ENDPOINT_LIST]

    servers = "".join(
        f'[[server]]\nname = "{name}"\naddress = "{address_text}"\n'
        for name, address_text in zip(NAMES, SERVER_ADDRESSES, strict=True)
    )
    parsed, listed_servers = server_file.parse(servers + "[end]\n")
    assert not parsed.faults and [server.name for server in listed_servers] == NAMES

    items = [
        {"Node": {"Node": "n", "Address": address_text.split(":")[0]}, "Service": {"ID": name, "Port": 5000}}
        for name, address_text in zip(NAMES, SERVER_ADDRESSES, strict=True)
    ]
    found, unused = answers.AnswerDecoder(answers.MetadataKeys()).decode(json.dumps(items).encode())
    assert len(found) == SERVERS and not unused


def test_sidecar_file_accepts_all_servers_and_members(tmp_path: Path) -> None:
    members = ", ".join(f'"{peer}"' for peer in PEER_ADDRESSES)
    fleet = f'[fleet]\nlisten = "{PEER_ADDRESSES[7]}"\nmembers = [{members}]\n\n[log]'
    servers = "".join(
        f'[[server]]\nname = "{name}"\naddress = "{address_text}"\n'
        for name, address_text in zip(NAMES, SERVER_ADDRESSES, strict=True)
    )
    text = GOOD[: GOOD.index("[[server]]")].replace("[log]", fleet)
    text = text.replace("descriptors = 512", "descriptors = 2048").replace("128MiB", "512MiB")
    path = tmp_path / "maps.toml"
    path.write_text(f"sidecars = {PROCESSES}\nnumber = 7\n{text}{servers}\n[end]\n")
    read = reader.read(str(path), {}, Machine(10**6, 2**40))
    assert read.fault_lines() == [] and read.file and read.file.fleet
    assert [server.name for server in read.servers] == NAMES and read.file.fleet.members == PEER_ADDRESSES
    assert read.settings and (read.settings.proxies, read.settings.proxy_number) == (PROCESSES, 7)


def test_operator_commands_for_all_servers_are_handed_off() -> None:
    old_process, new_process = Process(1), Process(1, {**ENDPOINT_LIST, "hosts": []})
    for name in NAMES:
        old_process.proxy.operator_commands.take_out_of_rotation(name)
    state = HandoffState.capture(old_process.proxy, old_process.program.discovery)
    line = upgrade_messages.encode({"estate": state.encode()})
    assert len(line) < upgrade_messages.MAX_LINE
    HandoffState.decode(json.loads(line)["estate"]).restore(new_process.proxy, new_process.program.discovery)
    assert list(new_process.proxy.rotation.out_since) == NAMES and list(new_process.servers) == NAMES
    rotation, listed = Rotation(), [entry(name) for name in NAMES]
    for old in range(4):  # names that are no longer listed are forgotten before those that are
        rotation.apply([entry(f"{old}{name}") for name in NAMES], True)
    assert rotation.apply(listed, True) == listed and {endpoint[0] for endpoint in listed} <= set(
        rotation.listed
    )


def entry(name: str) -> Endpoint:
    return Endpoint(name, "a", 0, EndpointStatus.READY, 1.0, 0.0)


class FleetSimulation:
    """Simulates the processes of one fleet in virtual time; each datagram takes up to 20 ms."""

    def __init__(self) -> None:
        self.now, self.rng, self.sequence = 0.0, Random(1), count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        budget = Budget("flows", 10 * PROCESSES, 2.0, PROCESSES)
        self.members: list[FleetMember] = []
        for number in range(PROCESSES):
            send = partial(self.send, number)
            member = FleetMember(
                number, PROCESSES, [budget], 10**12, 0.0, number, send, lambda line: None, self.tags
            )
            self.members.append(member)
            self.schedule(self.rng.uniform(0, TICK_INTERVAL), partial(self.tick, member))

    @staticmethod
    def tags() -> list[int]:
        """Returns the largest tags, which take the most bytes."""
        return list(range(2**32 - SERVERS, 2**32))

    def schedule(self, seconds: float, call: Callable[[], None]) -> None:
        heappush(self.events, (self.now + seconds, next(self.sequence), call))

    def tick(self, member: FleetMember) -> None:
        member.tick(self.now)
        self.schedule(TICK_INTERVAL, partial(self.tick, member))

    def send(self, sender: int, data: bytes, to: int | None) -> None:
        assert len(data) <= MAX_DATAGRAM_SIZE
        for number in range(PROCESSES) if to is None else (to,):
            if number != sender:
                self.schedule(self.rng.uniform(0.0, 0.02), partial(self.deliver, number, sender, data))

    def deliver(self, number: int, sender: int, data: bytes) -> None:
        self.members[number].receive_datagram(self.now, sender, data)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events[0][0] < end:
            self.now, _, call = heappop(self.events)
            call()
        self.now = end


def test_fleet_of_all_processes_elects_a_leader_leases_to_each_and_ejects_servers() -> None:
    simulation = FleetSimulation()
    simulation.run(9.0)
    assert {member.coverage(simulation.now).reachable for member in simulation.members} == {PROCESSES}
    assert all(member.has_lease(simulation.now) for member in simulation.members)
    for member in simulation.members:
        member.counts.increment(1, "feed", "acme", "v1")
    tags = simulation.tags()
    failing_tags = tags[::5][:200]
    for member in simulation.members[1:4]:
        for tag in tags:
            for _ in range(server_observations.FAILURES_TO_REPORT):
                member.server_observer.record_attempt(simulation.now, tag, tag not in failing_tags)
    simulation.run(7.0)
    for member in (simulation.members[0], simulation.members[-1]):
        assert sorted(member.server_observer.ejected_servers(simulation.now, tags)) == failing_tags
        assert sum(totals[1] for totals in member.counts.fleet.values()) == PROCESSES


def test_the_ring_holds_all_servers() -> None:
    balancer: Balancer = Process(0).balancer
    assert len(balancer.ring.points) == SERVERS * records.POINTS_PER_SERVER
    assert len(set(balancer.ring.servers_from(7))) == SERVERS
