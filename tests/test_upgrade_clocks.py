"""What was promised to operators before an upgrade has its time in the next process, not begun anew."""

from __future__ import annotations

import json
import signal
import time

from brambleplank.net.proxy import Proxy
from brambleplank.platform.handoff_state import HandoffState
from tests.fake_host import FakeHost, HostCall
from tests.sample_settings import DECODED_SETTINGS, endpoint_list
from tests.stand_ins import StandInServer
from tests.test_handoff_state import make_proxy
from tests.test_operating import StartProgram, send_command
from tests.test_upgrade import first, wait_until_ready

DRAINED_WITHIN = 4.05  # seconds from the call until each client has been moved, with the slack on sockets
CLIENTS = 24


def handed_over(age: float) -> Proxy:
    """Returns a next process; the drain, and a server's time out of rotation, began `age` seconds ago."""
    proxy, discovery = make_proxy()
    discovery.apply_initial_list(endpoint_list(41, True, s0="10.0.0.1:80", s1="10.0.0.2:80"))
    proxy.operator_commands.drain()
    proxy.operator_commands.take_out_of_rotation("s1")
    proxy.operator_commands.draining_since = proxy.clock.now() - age
    proxy.rotation.out_since["s1"] = proxy.clock.now() - age
    stored = json.loads(json.dumps(HandoffState.capture(proxy, discovery).encode()))
    successor, successor_discovery = make_proxy()
    HandoffState.decode(stored).restore(successor, successor_discovery)
    assert successor.draining
    return successor


def test_times_of_a_drain_and_of_a_server_out_of_rotation_go_on() -> None:
    # Guards against a drain, and the moves off a server, that begin anew in the next process.
    successor = handed_over(age=2.0)
    due = successor.clock.now() - 2.0 + DECODED_SETTINGS.shutdown_time
    assert abs(successor.balancer.shutdown_at - due) < 0.5
    assert abs(successor.balancer.servers["s1"].migrate_by - due) < 0.5


def test_drain_of_an_older_release_begins_at_the_takeover() -> None:
    # Guards against a state without the time of the drain that is refused, or not drained at all.
    proxy, discovery = make_proxy()
    discovery.apply_initial_list(endpoint_list(41, True, s0="10.0.0.1:80"))
    proxy.operator_commands.drain()
    stored = HandoffState.capture(proxy, discovery).encode()
    del stored["draining_since"]
    successor, successor_discovery = make_proxy()
    HandoffState.decode(stored).restore(successor, successor_discovery)
    due = successor.clock.now() + DECODED_SETTINGS.shutdown_time
    assert abs(successor.balancer.shutdown_at - due) < 0.5


def test_clients_are_moved_in_the_time_of_a_drain_that_an_upgrade_interrupts(
    start_program: StartProgram,
) -> None:
    # Guards against clients that are held for longer than an operator was promised.
    program = first(start_program, StandInServer())
    wait_until_ready(program)
    clients = [program.open_request(f"{key:x}") for key in range(CLIENTS)]
    assert {client.read_line() for client in clients} == {"UP r1"}
    called_at = time.monotonic()
    assert send_command(program, "/-/drain") == 200
    program.next_log_line("end moved")
    successor = wait_until_ready(program.upgrade())
    program.process.send_signal(signal.SIGTERM)
    assert {client.read_line() for client in clients} == {"MOVE"}
    assert time.monotonic() < called_at + DRAINED_WITHIN  # the old process itself may end later
    log = program.remaining_log()
    assert program.process.returncode == 0, log
    assert successor.process.poll() is None


def test_session_that_is_established_after_sigterm_in_a_drain_is_moved_by_the_end_of_the_drain() -> None:
    # Guards against a shutdown that begins the time of an operator's drain anew.
    host = FakeHost()
    shutdown_time = host.balancer.settings.shutdown_time
    host.balancer.begin_shutdown(host.now)
    host.advance(0.5 * shutdown_time)
    host.balancer.begin_shutdown(host.now)
    request = host.establish(host.request())
    host.advance(0.5 * shutdown_time)
    assert (HostCall.MIGRATE, request) in host.recorded_calls
    assert host.balancer.shutdown_at == host.now + 0.5 * shutdown_time
