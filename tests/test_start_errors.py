"""Invalid configurations and addresses in use: the start fails and names the key."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import pytest

from tests.programs import start_process
from tests.sample_settings import PLATFORM_SETTINGS, endpoint_list
from tests.test_sockets import StartProgram


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": None}, "listen"),
        ({"listen": "here"}, "listen"),
        ({"listen": "127.0.0.1:0"}, "listen"),
        ({"discovery": 8500}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"name": ""}, "name"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": {"sockets": -1}}, "limits.sockets"),
        ({"limits": []}, "limits"),
        ({"known": {"seq": 1}}, "known"),
        ({"known": [1]}, "known"),
        ({"settings": None}, "settings"),
        ({"settings": {**PLATFORM_SETTINGS, "rules": {}}}, "stop_sending_within_us"),
        ({"settings": {**PLATFORM_SETTINGS, "service_types": []}}, "service_types"),
        ({"settings": {**PLATFORM_SETTINGS, "tick_us": "short"}}, "tick_us"),
        ({"settings": {**PLATFORM_SETTINGS, "balancers": -3}}, "balancers"),
        ({"settings": {**PLATFORM_SETTINGS, "specifics": 3}}, "settings"),
        ({"settings": {**PLATFORM_SETTINGS, "tenants": [{"name": 1}]}}, "settings.tenants[0].name"),
        ({"settings": {**PLATFORM_SETTINGS, "tick_us": float("inf")}}, "tick_us"),
    ],
)
def test_invalid_key_is_reported_and_the_start_fails(
    start_program: StartProgram, changes: dict[str, Any], key: str
) -> None:
    program = start_program(**{"known": endpoint_list(0, True), **changes})
    log = program.remaining_log()
    assert program.process.returncode not in (0, None)
    assert key in log and "Traceback" not in log and log.count("\n") == 1


def test_unreadable_file_and_address_in_use_are_reported(start_program: StartProgram, tmp_path: Path) -> None:
    (tmp_path / "bad.json").write_text('{"name": ')
    (tmp_path / "list.json").write_text("[]")
    for path in (None, tmp_path / "none.json", tmp_path / "bad.json", tmp_path / "list.json"):
        process = start_process(path)
        log = process.communicate(timeout=15)[1]
        assert process.returncode and "ROUTER_CONFIG" in log and "Traceback" not in log
    listener = socket.create_server(("127.0.0.1", 0))
    program = start_program(endpoint_list(0, True), listen=f"127.0.0.1:{listener.getsockname()[1]}")
    log = program.remaining_log()
    assert program.process.returncode and "listen" in log and "Traceback" not in log
