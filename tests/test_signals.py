"""SIGHUP and SIGTERM that arrive during the start or the exit of a process."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.programs import Program, Sidecar, start_process
from tests.sample_settings import endpoint_list
from tests.stand_ins import StandInDiscovery, StandInServer
from tests.waiting import wait_until

StartProgram = Callable[..., Program]
SEND_SIGNAL = "import os, signal, sys\nsend = lambda name: os.kill(os.getpid(), getattr(signal, name))"
SIGHUP_DURING_IMPORT = """
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == {module!r}:
            sys.meta_path.remove(self)
            send("SIGHUP")
sys.meta_path.insert(0, Finder())
"""
SIGHUP_AFTER_READ = """
from brambleplank.platform import configuration
original_read = configuration.read
def read(*arguments):
    configuration.read, result = original_read, original_read(*arguments)
    os.replace({new!r}, os.environ["ROUTER_CONFIG"])
    send("SIGHUP")
    return result
configuration.read = read
"""
RUN_AS_PROGRAM = "import runpy\nrunpy.run_module('brambleplank', run_name='__main__')"


def restart_with(program: Program, code: str) -> None:
    """Kills the program and starts it again with the same configuration; `code` runs first in the process."""
    program.process.kill()
    program.process.wait()
    program.process, program.log_lines = (
        start_process(program.config_path, f"{SEND_SIGNAL}\n{code}\n{RUN_AS_PROGRAM}"),
        [],
    )


@pytest.mark.parametrize(
    "module", ["brambleplank.platform.run", "brambleplank.decisions.balancer", "twisted.web.client"]
)
def test_sighup_during_imports_does_not_end_the_process(start_program: StartProgram, module: str) -> None:
    program = start_program(endpoint_list(41, True, s0=StandInServer().address))
    restart_with(program, SIGHUP_DURING_IMPORT.format(module=module))
    assert program.open_request().read_line() == "UP r1"
    assert "shutdown: drained" in program.stop() and program.process.returncode == 0


def test_sighup_between_reading_and_start_is_applied(start_program: StartProgram, tmp_path: Path) -> None:
    program = start_program(endpoint_list(41, True, s0=StandInServer().address))
    new_discovery, new_file = StandInDiscovery(), tmp_path / "new.json"
    new_file.write_text(json.dumps({**program.config, "discovery": new_discovery.address}))
    restart_with(program, SIGHUP_AFTER_READ.format(new=str(new_file)))
    assert new_discovery.accept_watch()[0].startswith("GET /discovery/hosts")


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_signal_at_interpreter_exit_keeps_the_exit_code(start_program: StartProgram, name: str) -> None:
    pause = threading.Event()  # sent without a pause, signals would nest Python's own handlers too deep
    for _ in range(5):
        program = start_program(endpoint_list(41, True, s0=StandInServer().address))
        assert program.open_request().read_line() == "UP r1"
        program.process.send_signal(signal.SIGTERM)
        program.next_log_line("shutdown: drained")
        while program.process.poll() is None:
            program.process.send_signal(getattr(signal, name))
            pause.wait(0.0005)
        assert program.process.returncode == 0


DELAYED_READ = """
import time
from brambleplank.sidecar import run
original_read = run.read
def read(path):
    result = original_read(path)
    if os.path.exists({hold!r}):
        os.replace({hold!r}, {hold!r} + ".seen")
    while os.path.exists({hold!r} + ".seen"):
        time.sleep(0.01)
    return result
run.read = read
"""


def test_sidecar_file_changed_while_read_is_read_again(
    start_sidecar: Callable[..., Sidecar], tmp_path: Path
) -> None:
    hold = tmp_path / "hold"
    program = start_sidecar(
        endpoint_list(1, True, s0=StandInServer().address),
        patch="import os\n" + DELAYED_READ.format(hold=str(hold)),
    )
    assert program.open_request().read_line() == "UP r1"
    hold.touch()
    program.process.send_signal(signal.SIGHUP)
    seen = tmp_path / "hold.seen"
    wait_until(seen.exists)
    program.file.limits.descriptors = 300
    program.write_file()
    program.process.send_signal(signal.SIGHUP)
    seen.unlink()
    program.next_log_line("taken up: limits.descriptors")
