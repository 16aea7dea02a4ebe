"""Formats that other processes read: encoded to the same bytes as before, and decoded to the same values.

Release 0b808a3 wrote the files in `tests/golden`. They change only if a format is changed on purpose.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from brambleplank.decisions.rotation import Rotation
from brambleplank.discovery.platform.discovery import Discovery
from brambleplank.fleet import messages
from brambleplank.frontends.line import session_transfer
from brambleplank.model import DeduplicationScope, EndpointStatus, Idempotency, TrafficClass
from brambleplank.net.log import LogWriter
from brambleplank.net.proxy import Proxy
from brambleplank.net.upstream_endpoint import upstream_endpoint_of
from brambleplank.peer_messages import PeerMessenger
from brambleplank.platform import upgrade_messages
from brambleplank.platform.handoff_state import HandoffState
from brambleplank.platform.rotation_file import RotationFile
from brambleplank.platform.upgrade_messages import MessageKind
from brambleplank.records import Server
from brambleplank.server_tags import ServerTags
from brambleplank.settings import decode_settings
from tests.ports import unused_address
from tests.programs import Program
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.stand_ins import StandInServer
from tests.test_operating import operator_connection

GOLDEN = Path(__file__).parent / "golden"
NOW = 1_700_000_100.0
EPOCH_OFFSET = 1_700_000_000.0


def load_golden(name: str) -> Any:
    return json.loads((GOLDEN / name).read_text())


class FixedClock:
    """A clock whose time stands still and whose timers never fire."""

    def __init__(self) -> None:
        self.epoch_offset = 0.0

    def now(self) -> float:
        return NOW

    def wall_time(self) -> float:
        return NOW

    def adopt_epoch_offset(self, epoch_offset: float) -> None:
        self.epoch_offset = epoch_offset

    def call_later(self, delay: float, call: Callable[..., object], *what: Any) -> Any:
        return SimpleNamespace(active=lambda: False, cancel=lambda: None)

    call_after_reads = call_later


def make_proxy() -> tuple[Proxy, Discovery]:
    clock: Any = FixedClock()
    proxy = Proxy(
        clock,
        LogWriter(clock.now),
        decode_settings(PLATFORM_SETTINGS, True),
        31,
        256,
        lambda *_: SimpleNamespace(),
    )
    discovery = Discovery(proxy, ("127.0.0.1", 7001))
    proxy.set_endpoint_source(discovery)
    return proxy, discovery


# State and messages between two processes of a proxy.


def test_handed_off_state_is_read_value_by_value_and_written_as_before() -> None:
    stored = load_golden("handoff.json")
    proxy, discovery = make_proxy()
    HandoffState.decode(stored).restore(proxy, discovery)
    assert proxy.clock.epoch_offset == EPOCH_OFFSET
    assert proxy.started_at == NOW - 50 and proxy.serving and not proxy.draining
    assert proxy.start_times.starts == {"s1": (NOW - 7.5, NOW - 8.25), "s3": (NOW - 600.0, NOW - 601.0)}
    assert proxy.rotation.out_since == {"s2": NOW - 30.0}
    assert proxy.rotation.previous_outages == {"s3": (NOW - 40.0, NOW - 20.0)}
    assert {s: e[3] for s, e in proxy.rotation.listed.items()}["s4"] is EndpointStatus.REMOVED
    assert discovery.version == 41 and discovery.address == ("127.0.0.1", 7001)
    balancer = proxy.balancer
    history = balancer.history()
    assert (history.usual_response_time, history.first_list_at) == (0.0625, NOW - 49.5)
    assert (history.served, history.served_at) == (3.5, NOW - 1.0)
    assert history.concurrency_limit == 12.0
    servers = balancer.servers
    assert [servers[s].status.value for s in ("s0", "s1", "s2", "s3")] == [
        "ready",
        "ready",
        "draining",
        "ready",
    ]
    s1 = servers["s1"]
    assert (s1.zone, s1.cell, s1.size) == ("a", 0, 1.0)
    assert (s1.unready_since, s1.started, s1.usual_response_time, s1.unanswered_time) == (
        NOW - 45,
        NOW - 8.25,
        0.25,
        0.125,
    )
    assert (s1.ejection_time, s1.next_trial_at) == (0.3, NOW + 0.5)
    assert (s1.slow_until, s1.overdue_until, s1.dropping_until) == (NOW + 1, NOW + 2, NOW + 3)
    assert (s1.message_time_reported_at, s1.trial_attempts, s1.slow_start_slot, s1.slow_start_sent) == (
        NOW - 4,
        2,
        4,
        3,
    )
    assert (s1.recent_attempts.count, s1.recent_attempts.updated_at) == (1.5, NOW - 0.75)
    assert (
        upstream_endpoint_of(s1).probe_delays == [0.001, 0.002]
        and upstream_endpoint_of(s1).reported_typical_delay == 0.0015
    )
    assert upstream_endpoint_of(s1).address == ("127.0.0.1", 7102)
    group_servers = {
        position: (server.id, until) for position, (server, until) in balancer.groups.reported.items()
    }
    assert group_servers == {0x01020304: ("s3", NOW + 9.0)}
    assert set(proxy.admission.recent_ids) == {"1f", "2f"}
    captured = json.loads(json.dumps(HandoffState.capture(proxy, discovery).encode()))
    assert captured == load_golden("handoff-again.json")
    assert list(captured) == list(load_golden("handoff-again.json"))


def test_upgrade_messages_are_lines_as_before() -> None:
    stored = load_golden("upgrade-messages.json")
    for line in stored:
        assert upgrade_messages.encode(upgrade_messages.decode(line.encode())).decode() == line + "\n"
    kinds = [json.loads(line)["say"] for line in stored]
    assert kinds == [
        MessageKind.TAKEOVER_REQUEST,
        MessageKind.TAKEOVER_RESPONSE,
        MessageKind.LISTENING,
        MessageKind.HOLDINGS,
        MessageKind.OPERATOR_COMMAND,
        MessageKind.SESSION,
        MessageKind.SESSION_ADOPTED,
    ]


def test_the_traffic_class_of_a_handed_off_connection_keeps_its_form() -> None:
    stored = load_golden("traffic-class.json")
    traffic_class = TrafficClass(
        0.3, Idempotency.IDEMPOTENT_IN_GROUP, DeduplicationScope.ZONE, 5.0, 0.1, 1.8, 3
    )
    assert session_transfer.encode_traffic_class(traffic_class) == stored
    assert session_transfer.decode_traffic_class(stored) == traffic_class


def test_the_rotation_file_is_read_and_written_as_before(tmp_path: Path) -> None:
    stored = (GOLDEN / "rotation.json").read_text()
    path = tmp_path / "words"
    path.write_text(stored)
    rotation = Rotation()
    file = RotationFile(str(path), lambda text: None)
    file.read(rotation, 100.0)
    assert rotation.out_since == {"s2": 50.5}
    assert rotation.previous_outages == {"s3": (10.25, 20.75)}
    path.unlink()
    assert file.write(rotation)
    assert path.read_text() == stored


# Datagrams between proxies and between members of the fleet.


def make_messenger(sent: list[str], received: list[Any]) -> PeerMessenger:
    servers = [Server(f"s{number}", 0.0) for number in range(4)]

    def recorder(kind: str) -> Callable[..., None]:
        def record(*what: Any) -> None:
            received.append([kind, *map(server_ids, what)])

        return record

    return PeerMessenger(
        lambda data, to: sent.append(f"{to} {data.hex()}"),
        64,
        lambda send: None,
        lambda: ServerTags(servers),
        recorder("time"),
        recorder("held"),
        recorder("home"),
        recorder("turn"),
    )


def server_ids(value: Any) -> Any:
    """Returns a server, or the keys of a dictionary of servers, as ids; other values unchanged."""
    if isinstance(value, Server):
        return value.id
    return {key.id: count for key, count in value.items()} if isinstance(value, dict) else value


def test_datagrams_between_proxies_are_written_and_read_as_before() -> None:
    stored = load_golden("peer-datagrams.json")
    sent: list[str] = []
    received: list[Any] = []
    messenger = make_messenger(sent, received)
    by_id = messenger.tags().by_id
    messenger.report_message_time(by_id["s0"], 0.25, 0.0)
    messenger.report_message_time(by_id["s1"], 0.5, 0.00125)
    messenger.send_load_report({by_id["s0"]: 3, by_id["s2"]: 300}, False, None, False)
    messenger.send_load_report({by_id["s3"]: 5}, True, None, False)
    messenger.send_load_report({by_id["s1"]: 70_000}, True, 2, True)
    messenger.send_load_report({by_id["s1"]: 9}, False, 2, True)
    messenger.send_load_report({}, False, 1, False)
    messenger.report_group_servers({0x0102030405060708090A0B0C0D0E0F10: by_id["s3"]})
    for kind in (2, 1, 0):
        messenger.send_permit_message(by_id["s2"], 3, kind)
    messenger.send()
    assert sent == stored["sent"]
    for line in stored["sent"]:
        messenger.receive(bytes.fromhex(line.split(" ")[1]), 7)
    assert received == stored["heard"]


MESSAGES: list[messages.Message] = [
    messages.Heartbeat(3, 4, 5, True, 6, 70),
    messages.LeaseRequest(3, 9, 8, 7, True, 60, 4, [messages.Allocation(77, 5, 6)]),
    messages.LeaseGrant(3, 8, 9, [messages.Lease(77, 12)]),
    messages.StaleIncarnation(3, 5),
    messages.CountReport(3, [messages.Count("feed/acme/v1", [1, 2, 3, 4, 5])]),
    messages.Aggregates(3, [messages.Count("feed/acme/v1", [10, 20, 30, 40, 50])]),
    messages.ServerObservations(3, [1, 2], [3], 3, 1),
    messages.Ejections(3, [3, 2**32 - 1]),
    messages.VersionReport(3, 1, 2, 2**40, 3, 4, 2**41, True),
    messages.VersionAnnouncement(3, 1, 9, 4, 2, 2**40, 3, 2**41),
    messages.ChunkRequest(3, 2**40, 2),
    messages.Chunk(3, 2**40, 2, 3, b"\x00text\xff"),
    messages.Vote(3, 1, 4, 3, 2**41, False, "no such budget"),
    messages.PublishRequest(3, 1, 2**41, 2),
    messages.PublishResponse(3, 1, 2**41, 0, "older than what is in force"),
]


def test_datagrams_of_the_fleet_are_written_and_read_as_before() -> None:
    stored = load_golden("fleet-datagrams.json")
    assert [messages.encode(message).hex() for message in MESSAGES] == stored
    assert [messages.decode(bytes.fromhex(data)) for data in stored] == MESSAGES


# Metrics and answers that operators read.


def test_the_metrics_page_keeps_its_names() -> None:
    proxy, _ = make_proxy()
    proxy.event_log.metrics.count("requests_ended", "rejected")
    proxy.event_log.metrics.count("requests_refused", "deadline")
    proxy.event_log.metrics.count("attempts_ended", "timeout")
    proxy.event_log.metrics.count("servers_changed", "ready")
    proxy.invariants.request_unanswered("1f", "had no answer")
    proxy.local_faults.record("connect", 24)
    assert proxy.metrics_text() + "\n" == (GOLDEN / "metrics.txt").read_text()


@pytest.fixture
def program(start_program: Callable[..., Program]) -> Program:
    host, port = unused_address()
    return start_program(endpoint_list(41, True, s0=StandInServer().address), mgmt=f"{host}:{port}")


def test_operators_calls_are_answered_as_before(program: Program) -> None:
    answers = []
    for call, _ in load_golden("operator-answers.json"):
        line = operator_connection(program)
        line.send_line(f"{call} HTTP/1.1\r\nHost: here\r\n")
        text = line.file.read().decode()
        answers.append([call, [part for part in text.split("\r\n") if not part.startswith("Date: ")]])
    assert answers == load_golden("operator-answers.json")
