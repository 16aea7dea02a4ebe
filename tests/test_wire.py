"""Runs the simulator's adapter as a process and sends it batches of events."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from brambleplank.decisions.balancer import Balancer
from brambleplank.wirehost.pipe import Adapter
from tests.sample_settings import PLATFORM_SETTINGS

TABLE = ["TABLE", 0, [["10.0.0.1:80", "a", "m", 0, "IN", 1, None]]]
START = [["ENLIST", "proxy/0", 1, PLATFORM_SETTINGS], TABLE, ["ROSTER_CHANGE", "proxy/0", "SAVED", 1, 0]]
REQUEST = ["WORK_ITEM", "proxy/0", "00000000000000aa", "feed", None, 7, 3000000, None, None, 0]


def run(*batches: Any) -> tuple[int, list[Any], str]:
    lines = [b if isinstance(b, str) else json.dumps({"t_us": 10**6, "news": b}) for b in batches]
    done = subprocess.run(
        [sys.executable, "-m", "brambleplank.wirehost"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    return done.returncode, [json.loads(line)["out"] for line in done.stdout.splitlines()], done.stderr


def test_request_gets_an_attempt_and_unknown_requests_are_ignored() -> None:
    code, replies, errors = run([], START, [REQUEST, ["LAPSED", "proxy/0", "00000000000000bb"]])
    assert (code, errors, replies[0]) == (0, "", [])
    assert ["DELIVER", "proxy/0", "00000000000000aa", "10.0.0.1:80"] in [a[:4] for a in replies[2]]


def test_restarted_proxy_has_forgotten_its_requests() -> None:
    end = ["ATTEMPT_END", "proxy/0", "00000000000000aa", 0, "10.0.0.1:80", 110, 300000, False, None]
    code, replies, _ = run(START, [REQUEST], [["DETACH", "proxy/0"], *START], [end])
    assert code == 0 and replies[-1] == []


def test_reused_list_number_refers_to_the_newest_list() -> None:
    other = ["TABLE", 0, [["10.0.0.2:80", "a", "m", 0, "IN", 1, None]]]
    _, replies, _ = run([*START, other, ["ROSTER_CHANGE", "proxy/0", "FULL", 2, 0], REQUEST])
    assert "10.0.0.2:80" in [a[3] for a in replies[0] if a[0] == "DELIVER"]


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [
        ("{", "not JSON"),
        ("[]", "t_us"),
        ('{"t_us":1,"news":[["TEAPOT","proxy/0"]]}', "TEAPOT"),
        ('{"t_us":1,"news":[["LAPSED","proxy/9","aa"]]}', "proxy/9"),
        ('{"t_us":1,"news":[["LAPSED","proxy/0"]]}', "LAPSED"),
        ('{"t_us":1,"news":[["ENLIST","proxy/0",1,{}]]}', "policy_limits"),
        ('{"t_us":1,"news":[["ATTEMPT_END","proxy/0","aa",0,"10.0.0.1:80",999,5,true,null]]}', "999"),
        ('{"t_us":1,"news":[["ROSTER_CHANGE","proxy/0","HALF",2,0]]}', "HALF"),
        ('{"t_us":1,"news":[["TABLE",0,[["10.0.0.1:80","a","m",0,"IN","big",null]]]]}', "big"),
        ('{"t_us":1,"news":[["TABLE",0,[["10.0.0.1:80"]]]]}', "a list entry needs 7"),
        ('{"t_us":1,"news":[["TABLE",[],[]]]}', "TABLE"),
        ('{"t_us":1,"news":[["LAPSED",["proxy/0"],"aa"]]}', "LAPSED"),
        ('{"t_us":1,"news":[["ELAPSED","proxy/0",77]]}', "77"),
        (json.dumps({"t_us": 1, "news": [[*REQUEST[:3], "unheard-of", *REQUEST[4:]]]}), "unheard-of"),
        (json.dumps({"t_us": 1, "news": [[*REQUEST[:5], "seven", *REQUEST[6:]]]}), "seven"),
    ],
)
def test_malformed_input_ends_the_process_with_an_error_that_names_it(line: str, expected_text: str) -> None:
    code, replies, errors = run(START, line)
    assert code != 0 and expected_text in errors and "Traceback" not in errors and len(replies) == 1


def test_exception_in_the_decisions_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "place", lambda *_: 1 / 0)
    reply = json.loads(Adapter().handle_batch(json.dumps({"t_us": 10**6, "news": [*START, REQUEST]})))
    assert [a[0] for a in reply["out"]] == ["INTERNAL_ERROR"]


def test_session_at_an_unlisted_server_is_kept() -> None:
    carried = ["CARRIED", *REQUEST[1:], "10.0.0.9:80"]
    end = ["ATTEMPT_END", "proxy/0", REQUEST[2], 0, "10.0.0.9:80", 104, 0, True, None]
    code, replies, errors = run([*START, carried], [end])
    assert (code, errors, [a for a in replies[0] if a[0] == "DELIVER"]) == (0, "", [])


def test_proxy_with_a_number_beyond_the_proxy_count_and_an_empty_list_rejects() -> None:
    start = [["ENLIST", "proxy/0", 1, {**PLATFORM_SETTINGS, "slot_no": 9}], ["TABLE", 0, []], START[2]]
    code, replies, _ = run([*start, REQUEST])
    assert code == 0 and [a[0] for a in replies[0]][-1] == "BUSY"
