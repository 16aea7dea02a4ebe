"""Datagrams between proxies: reports round-trip, and invalid or foreign datagrams are ignored."""

from types import SimpleNamespace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from brambleplank.net.peer_link import MAX_DATAGRAM_SIZE, PeerLink
from brambleplank.peer_messages import MAX_VARINT, encode_varint
from brambleplank.records import Server
from brambleplank.server_tags import ServerTags

HERE = ("10.0.0.1", 7946)
SERVERS = [Server(f"s{number}", 0.0) for number in range(300)]
TAGS = ServerTags(SERVERS)


def make_peer_link() -> tuple[PeerLink, dict[str, list[Any]], list[bytes]]:
    """Returns a peer link, the reports that it receives, by kind, and the datagrams that it sends."""
    received: dict[str, list[Any]] = {"message_time": [], "load": [], "group_server": [], "permit": []}
    time, load, group_server, permit = (
        (lambda *report, kind=kind: received[kind].append(report)) for kind in received
    )
    peers = PeerLink(lambda send: None, lambda: TAGS, time, load, group_server, permit, HERE, {HERE: 0})
    sent = list[bytes]()
    peers.transport = SimpleNamespace(write=lambda datagram, where: sent.append(datagram))
    return peers, received, sent


@given(
    st.dictionaries(st.sampled_from(SERVERS), st.integers(0, MAX_VARINT), max_size=300),
    st.booleans(),
    st.sampled_from(SERVERS),
    st.floats(0, 0.6),
)
def test_messages_round_trip(
    connections: dict[Server, int], complete: bool, server: Server, seconds: float
) -> None:
    peers, received, sent = make_peer_link()
    peers.send_load_report(connections, complete, None, False)
    peers.report_message_time(server, seconds, seconds)
    peers.report_group_servers({server.points[0]: server})
    peers.send_permit_message(server, 0, 2)
    peers.send()
    for datagram in sent:
        peers.datagramReceived(datagram, HERE)
    assert connections == {
        server: count for _, part, *_ in received["load"] for server, count in part.items()
    }
    assert [first for *_, first, _ in received["load"]] == [complete, *[False] * 300][: len(received["load"])]
    assert received["message_time"] == [
        (server, round(seconds * 1000) / 1000, round(seconds * 100_000) / 100_000)
    ]
    assert received["group_server"] == [(server.points[0] >> 96 << 96, server)] and received["permit"] == [
        (0, server, 2)
    ]
    data_size = sum(3 + len(encode_varint(count)) for count in connections.values())
    assert max(map(len, sent)) <= MAX_DATAGRAM_SIZE and len(sent) <= 2 + data_size // (MAX_DATAGRAM_SIZE - 16)


@given(st.binary(max_size=300))
def test_unknown_senders_and_malformed_datagrams_are_ignored(datagram: bytes) -> None:
    peers, received, _ = make_peer_link()
    peers.datagramReceived(b"s1 0.2", ("10.9.9.9", 7946))
    for malformed in (
        datagram,
        b"\x04" + datagram,
        b"s0",
        b"s0 nan",
        b"s0 -1",
        b"\x04\x22\x00",
        b"\x04\x42\x00",
    ):
        peers.datagramReceived(malformed, HERE)
    assert not [report for report in received["message_time"] if report[0] is SERVERS[1] and report[1] == 0.2]
    assert all(0 <= report[1] < 3600 and 0 <= report[2] < 3600 for report in received["message_time"])
    peers.datagramReceived(b"s0 0.200 0.00400", HERE)  # the text format is still accepted
    assert received["message_time"][-1] == (SERVERS[0], 0.2, 0.004)


def test_obsolete_format_is_ignored() -> None:
    peers, received, _ = make_peer_link()
    for kind in range(8):
        tags = b"".join((server.points[0] & 0xFFFF).to_bytes(2, "big") + b"\x07" for server in SERVERS[:31])
        peers.datagramReceived(bytes([1, kind * 32 + 31]) + tags, HERE)
    assert received == {"message_time": [], "load": [], "group_server": [], "permit": []}
