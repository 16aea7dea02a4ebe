"""What the delays of probes, and other proxies, say of a server's message times."""

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
    ears = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for each in (peer, stranger, ears):
        each.bind(("127.0.0.1", 0))
    here = ears.getsockname()
    ears.close()
    limits = {**PLATFORM_SETTINGS["policy_limits"], "peers": True}
    known_as = f"127.0.0.1:{peer.getsockname()[1]}"
    server = StandInServer()
    program = start_program(
        server_list(server),
        settings={**PLATFORM_SETTINGS, "policy_limits": limits},
        peer_listen=f"127.0.0.1:{here[1]}",
        peers=[known_as],
        peers_all=known_as,
    )
    client = program.open_request()
    assert client.read_line() == "UP r1"
    there = server.next_opening()[1]
    for _ in range(100):
        stranger.sendto(b"s0 0.9", here)
    client.send_line("M 1")
    assert there.read_line() == "M 1"
    there.send_line("M 1")
    assert client.read_line() == "M 1"
    for text in (b"s0 0.9", b"\xff\xff", b"s9 0.9", b"s0 nan", b"s0") * 100:
        peer.sendto(text, here)
    assert client.read_line() == "MOVE"
    assert "Traceback" not in program.stop()


def test_confirmed_late_probe_reports_a_long_message_time() -> None:
    reported: list[float] = []
    reach = UpstreamEndpoint("s0")
    server: Any = SimpleNamespace(zone="a", size=1.0, handle=reach)
    fleet: list[Any] = [server]
    begin: Any = None
    probes = HealthProbes(
        Clock(), DECODED_SETTINGS, lambda: fleet, lambda _, seconds: reported.append(seconds), begin
    )
    asked: list[int] = []
    probe: Any = SimpleNamespace(server=server, unconfirmed_excesses=[], send=lambda: asked.append(1))
    for delay in (0.0040, 0.0042, 0.0041, 0.0040, 0.0043, 0.0006, 0.0041, 0.0042, 0.0040):
        probes.probe_answered(probe, delay)
    assert reported[:2] == [0.0, 0.0] and len(reported) == 9 and max(reported) < 0.033 and not asked
    probes.probe_answered(probe, 0.0130)  # one late packet is measured again before anything is reported
    assert len(reported) == 9 and len(asked) == 1
    probes.probe_answered(probe, 0.0041)
    assert reported[-1] < 0.033
    probes.probe_answered(probe, 0.0130)
    probes.probe_answered(probe, 0.0110)
    assert reported[-1] > 0.1
    reach.probe_delays = [0.0120] * 8  # as long as it was ever probed
    probes.probe_answered(probe, 0.0120)
    assert reported[-1] < 0.033
    for usual in (0.0040, 0.0045):
        fleet.append(SimpleNamespace(zone="b", size=2.0, handle=UpstreamEndpoint("s9")))
        fleet[-1].handle.reported_typical_delay = usual  # in zones of their own, as other proxies tell
    probes.probe_answered(probe, 0.0120)
    probes.probe_answered(probe, 0.0120)
    assert reported[-1] > 0.033
    reach.probe_delays = [
        0.0060
    ] * 8  # half as long again as machines of its size take: it was late from the start
    server.size = 2.0
    probes.probe_answered(probe, 0.0085)
    probes.probe_answered(probe, 0.0085)
    assert reported[-1] > 0.033
    reach.probe_delays = [0.0006] * 8  # it has hung, and answers as usual again
    probes.probe_answered(probe, 0.0041)
    assert reported[-1] < 0.033
    server.zone = "c"  # the way is the larger part, and no measure for others
    probes.probe_answered(probe, 0.0120)
    assert reported[-1] < 0.033
