"""Message times of servers, derived from the delays of probes and from reports of other proxies."""

from __future__ import annotations

import socket
from types import SimpleNamespace
from typing import Any

from brambleplank.net.clock import Clock
from brambleplank.net.health_probes import HealthProbes
from brambleplank.net.upstream_endpoint import UpstreamEndpoint
from tests.sample_settings import DECODED_SETTINGS, PLATFORM_SETTINGS
from tests.stand_ins import StandInServer
from tests.test_sockets import StartProgram, server_list


def test_server_that_a_peer_reports_as_slow_is_relieved(start_program: StartProgram) -> None:
    peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    unused_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for udp_socket in (peer, stranger, unused_socket):
        udp_socket.bind(("127.0.0.1", 0))
    peer_listen_address = unused_socket.getsockname()
    unused_socket.close()
    limits = {**PLATFORM_SETTINGS["policy_limits"], "peers": True}
    peer_address = f"127.0.0.1:{peer.getsockname()[1]}"
    server = StandInServer()
    program = start_program(
        server_list(server),
        settings={**PLATFORM_SETTINGS, "policy_limits": limits},
        peer_listen=f"127.0.0.1:{peer_listen_address[1]}",
        peers=[peer_address],
        peers_all=peer_address,
    )
    client = program.open_request()
    assert client.read_line() == "UP r1"
    upstream = server.next_opening()[1]
    for _ in range(100):
        stranger.sendto(b"s0 0.9", peer_listen_address)
    client.send_line("M 1")
    assert upstream.read_line() == "M 1"
    upstream.send_line("M 1")
    assert client.read_line() == "M 1"
    for text in (b"s0 0.9", b"\xff\xff", b"s9 0.9", b"s0 nan", b"s0") * 100:
        peer.sendto(text, peer_listen_address)
    assert client.read_line() == "MOVE"
    assert "Traceback" not in program.stop()


def test_confirmed_late_probe_reports_a_long_message_time() -> None:
    reported: list[float] = []
    endpoint = UpstreamEndpoint("s0")
    server: Any = SimpleNamespace(zone="a", size=1.0, handle=endpoint)
    fleet: list[Any] = [server]
    open_probe: Any = None
    probes = HealthProbes(
        Clock(), DECODED_SETTINGS, lambda: fleet, lambda _, seconds: reported.append(seconds), open_probe
    )
    sent_probes: list[int] = []
    probe: Any = SimpleNamespace(server=server, unconfirmed_excesses=[], send=lambda: sent_probes.append(1))
    for delay in (0.0040, 0.0042, 0.0041, 0.0040, 0.0043, 0.0006, 0.0041, 0.0042, 0.0040):
        probes.probe_answered(probe, delay)
    assert reported[:2] == [0.0, 0.0] and len(reported) == 9 and max(reported) < 0.033 and not sent_probes
    probes.probe_answered(probe, 0.0130)  # one late packet is confirmed by a further probe first
    assert len(reported) == 9 and len(sent_probes) == 1
    probes.probe_answered(probe, 0.0041)
    assert reported[-1] < 0.033
    probes.probe_answered(probe, 0.0130)
    probes.probe_answered(probe, 0.0110)
    assert reported[-1] > 0.1
    endpoint.probe_delays = [0.0120] * 8  # as slow as in all earlier probes
    probes.probe_answered(probe, 0.0120)
    assert reported[-1] < 0.033
    for typical_delay in (0.0040, 0.0045):
        fleet.append(SimpleNamespace(zone="b", size=2.0, handle=UpstreamEndpoint("s9")))
        fleet[-1].handle.reported_typical_delay = typical_delay  # as reported by proxies of its zone
    probes.probe_answered(probe, 0.0120)
    probes.probe_answered(probe, 0.0120)
    assert reported[-1] > 0.033
    # 1.5 times the delay of servers of its size: it has been slow since before the proxy started.
    endpoint.probe_delays = [0.0060] * 8
    server.size = 2.0
    probes.probe_answered(probe, 0.0085)
    probes.probe_answered(probe, 0.0085)
    assert reported[-1] > 0.033
    endpoint.probe_delays = [0.0006] * 8  # the server hung before and has recovered
    probes.probe_answered(probe, 0.0041)
    assert reported[-1] < 0.033
    server.zone = "c"  # another zone: network delay dominates, so there is no baseline
    probes.probe_answered(probe, 0.0120)
    assert reported[-1] < 0.033
