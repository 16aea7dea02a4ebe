"""Faulty files are refused with key and line; properties of the parsers of files, units and addresses."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import example, given, settings
from hypothesis import strategies as st

from brambleplank import addresses
from brambleplank.cli import main
from brambleplank.discovery.file import server_file
from brambleplank.sidecar import reader, writer
from brambleplank.sidecar.explain import all_keys
from brambleplank.sidecar.rules import Machine
from brambleplank.sidecar.schema import schema
from brambleplank.tables import (
    KeyLines,
    Seconds,
    description_of,
    duration_text,
    parse_seconds,
    parse_size,
    size_text,
)

GOOD = """\
application = "maps"
zone = "a"
customers = ["acme", "umbra"]
groups = true
probes = true

[listen]
address = "127.0.0.1:7400"

[limits]
connections = 100
descriptors = 512
memory = "128MiB"

[connects]
most = 3
up_within = "150ms"

[drain]
window = "1s"

[cold]
able = 0.2
warm_within = "20s"
falls_over_at = 3.0
falls_within = "2s"

[[service_type]]
name = "views"
effect = "repeatable"
setup_target = "300ms"
connect_timeout = "1800ms"

[[service_type]]
name = "orders"
effect = "referenced"
setup_target = "300ms"
connect_timeout = "1800ms"
group = "zone"
window = "5s"

[[service_type]]
name = "warnings"
effect = "once-only"
setup_target = "300ms"
connect_timeout = "1800ms"

[log]
form = "lines"

[[server]]
name = "feed1"
address = "127.0.0.1:7501"

[[server]]
name = "feed2"
address = "127.0.0.1:7502"
state = "draining"

[end]
"""
HERE = Machine(4096, 8 * 1024**3)

# A text of the valid file, its replacement, the key of the expected fault, and a text on the reported line.
BROKEN = [
    ("most = 3", "most = 5", "connects.most", "most = 5"),
    ("most = 3", "most = 0", "connects.most", "most = 0"),
    ("most = 3", "most = 2.5", "connects.most", "most = 2.5"),
    ('window = "1s"', 'window = "3.001s"', "drain.window", "3.001s"),
    ('window = "1s"', 'window = "0s"', "drain.window", "0s"),
    ('window = "1s"', "window = 1", "drain.window", "window = 1"),
    ('window = "1s"', 'window = "1 s"', "drain.window", "1 s"),
    ('window = "1s"', 'window = "nan"', "drain.window", "nan"),
    ('window = "1s"', 'windwo = "1s"', "drain.windwo", "windwo"),
    ('setup_target = "300ms"', 'setup_target = "1801ms"', "service_type[1].setup_target", "1801ms"),
    ('connect_timeout = "1800ms"', 'connect_timeout = "449ms"', "service_type[1].connect_timeout", "449ms"),
    ('up_within = "150ms"', 'up_within = "11s"', "connects.up_within", "11s"),
    (
        'name = "warnings"\neffect = "once-only"',
        'name = "warnings"\neffect = "once-only"\nwindow = "5s"',
        "service_type[3].window",
        'window = "5s"',
    ),
    (
        'name = "warnings"\neffect = "once-only"',
        'name = "warnings"\neffect = "once-only"\ngroup = "all"',
        "service_type[3].group",
        'group = "all"',
    ),
    ('name = "views"', 'name = "views"\nwindow = "1s"', "service_type[1].window", 'window = "1s"'),
    ('group = "zone"\n', "", "service_type[2].group", "[[service_type]]"),
    ('window = "5s"\n', "", "service_type[2].window", "[[service_type]]"),
    ('group = "zone"', 'group = "rack"', "service_type[2].group", "rack"),
    ('effect = "once-only"', 'effect = "twice"', "service_type[3].effect", "twice"),
    ('name = "orders"', 'name = "views"', "service_type[2].name", 'name = "views"'),
    ('name = "orders"', 'name = "my orders"', "service_type[2].name", "my orders"),
    (
        'setup_target = "300ms"\nconnect_timeout = "1800ms"\ngroup',
        'connect_timeout = "1800ms"\ngroup',
        "service_type[2].setup_target",
        "[[service_type]]",
    ),
    ("able = 0.2", "able = 0", "cold.able", "able = 0"),
    ("able = 0.2", "able = 1.01", "cold.able", "1.01"),
    ("able = 0.2", "able = nan", "cold.able", "nan"),
    ("falls_over_at = 3.0", "falls_over_at = 0.9", "cold.falls_over_at", "0.9"),
    ("falls_over_at = 3.0", "falls_over_at = inf", "cold.falls_over_at", "inf"),
    ('falls_within = "2s"', 'falls_within = "21s"', "cold.falls_within", "21s"),
    ('warm_within = "20s"', 'warm_within = "2h"', "cold.warm_within", "2h"),
    ('address = "127.0.0.1:7400"', 'address = "10.0.0.4:7400"', "listen.address", "10.0.0.4"),
    ('address = "127.0.0.1:7400"', 'address = "0.0.0.0:7400"', "listen.address", "0.0.0.0"),
    (
        'address = "127.0.0.1:7400"',
        'address = "127.0.0.1:7400"\noutside_loopback = "yes"',
        "listen.outside_loopback",
        "outside_loopback",
    ),
    ('address = "127.0.0.1:7400"', 'address = "127.0.0.1:443"', "listen.address", ":443"),
    ('address = "127.0.0.1:7400"', 'address = "maps.example.org:7400"', "listen.address", "maps.example.org"),
    ('address = "127.0.0.1:7400"', 'address = "127.0.0.1"', "listen.address", '"127.0.0.1"'),
    ('address = "127.0.0.1:7400"', 'address = "127.0.0.1:70000"', "listen.address", "70000"),
    ('address = "127.0.0.1:7400"', 'socket = "run/b.sock"', "listen.socket", "run/b.sock"),
    ('address = "127.0.0.1:7400"', f'socket = "/{"b" * 107}"', "listen.socket", "socket = "),
    ('address = "127.0.0.1:7400"', 'address = "127.0.0.1:7400"\nsocket = "/tmp/b"', "listen", "[listen]"),
    ('address = "127.0.0.1:7400"\n', "", "listen", "[listen]"),
    ('address = "127.0.0.1:7400"', 'socket = "/tmp/b"\nmode = "0099"', "listen.mode", "0099"),
    ('address = "127.0.0.1:7400"', 'socket = "/tmp/b"\nmode = "0060"', "listen.mode", "0060"),
    ("127.0.0.1:7502", "127.0.0.1:7400", "server[2].address", "127.0.0.1:7400"),
    ("127.0.0.1:7502", "localhost:7400", "server[2].address", "localhost:7400"),
    ("127.0.0.1:7502", "[::ffff:127.0.0.1]:7400", "server[2].address", "::ffff"),
    ("127.0.0.1:7502", "localhost:7501", "server[2].address", "localhost:7501"),
    ("127.0.0.1:7502", "feed2", "server[2].address", "feed2"),
    ('name = "feed2"', 'name = "feed1"', "server[2].name", 'name = "feed1"'),
    ('name = "feed2"', 'name = "feed 2"', "server[2].name", "feed 2"),
    ('state = "draining"', 'state = "drained"', "server[2].state", "drained"),
    ('state = "draining"', "size = 0", "server[2].size", "size = 0"),
    ('state = "draining"', "started = 2026-01-31T08:00:00", "server[2].started", "started"),
    ("descriptors = 512", "descriptors = 250", "limits.descriptors", "250"),
    ("descriptors = 512", "descriptors = 5000", "limits.descriptors", "5000"),
    ("descriptors = 512", "descriptors = 8", "limits.descriptors", "8"),
    ('memory = "128MiB"', 'memory = "128 MB"', "limits.memory", "128 MB"),
    ('memory = "128MiB"', 'memory = "16GiB"', "limits.memory", "16GiB"),
    (
        "connections = 100\ndescriptors = 512",
        "connections = 1500\ndescriptors = 4096",
        "limits.memory",
        "memory",
    ),
    ("connections = 100", "connections = true", "limits.connections", "true"),
    ('zone = "a"', "zone = 1", "zone", "zone = 1"),
    ("groups = true", "grups = true", "grups", "grups"),
    ("groups = true", 'groups = "yes"', "groups", "yes"),
    ('"umbra"', '"um bra"', "customers[2]", "um bra"),
    ('"umbra"', '"acme"', "customers[2]", "acme"),
    ('zone = "a"', 'zone = "a"\nsidecars = 3\nnumber = 3', "number", "number = 3"),
    ('zone = "a"', 'zone = "a"\nsidecars = 0', "sidecars", "sidecars = 0"),
    ('application = "maps"', 'application = " "', "application", "application"),
    ('application = "maps"\n', "", "application", "zone"),
    ('form = "lines"', 'form = "xml"', "log.form", "xml"),
    ("[log]", "[lgo]", "lgo", "[lgo]"),
    ("[end]\n", "", "end", "state"),
    ("[end]\n", "[end]\n[ready]\n", "end", "[end]"),
    ("[end]\n", '[servers]\nfile = "x.toml"\n[end]\n', "servers.file", "file"),
    ('[drain]\nwindow = "1s"', 'drain = "1s"\n[drains]', "connects.drain", "drain ="),
    ("[log]", "[log", "file", "[log"),
    ("able = 0.2", "able = 0.2\nable = 0.3", "file", "able = 0.3"),
]


def faults_of(text: str, tmp_path: Path, environment: dict[str, str] | None = None) -> list[Any]:
    path = tmp_path / "maps.toml"
    path.write_text(text)
    return reader.read(str(path), environment or {}, HERE).faults


def test_valid_file_has_no_faults_and_is_explained(tmp_path: Path) -> None:
    assert faults_of(GOOD, tmp_path) == []
    explained = CliRunner().invoke(main, ["explain", str(tmp_path / "maps.toml")], env={}).output
    assert re.search(r'drain.window +"1s" +line 20 .*\[drains kept]', explained)
    assert re.search(r"connects.withdraw +true +default ", explained)


@pytest.mark.parametrize(("good", "bad", "key", "on_line"), BROKEN, ids=range(len(BROKEN)))
def test_faulty_file_is_refused_with_key_and_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, good: str, bad: str, key: str, on_line: str
) -> None:
    monkeypatch.setattr(reader, "machine_limits", lambda: HERE)
    assert good in GOOD
    text = GOOD.replace(good, bad, 1)
    faults = faults_of(text, tmp_path)
    named = [fault for fault in faults if fault.key == key]
    assert named, faults
    assert on_line in text.split("\n")[named[0].line - 1], named
    assert named[0].wrong and named[0].instead
    ran = CliRunner().invoke(main, ["check", str(tmp_path / "maps.toml")], env={})
    assert ran.exit_code == 2 and not isinstance(ran.exception, Exception)


def test_all_faults_are_reported_at_once_despite_an_unreadable_value(tmp_path: Path) -> None:
    text = GOOD
    for good, bad, *_ in (BROKEN[0], BROKEN[3], BROKEN[8], BROKEN[14], BROKEN[20], BROKEN[29], BROKEN[47]):
        text = text.replace(good, bad, 1)
    text = text.replace('up_within = "150ms"', "up_within = []")
    keys_named = {fault.key for fault in faults_of(text, tmp_path)}
    assert keys_named == {
        "connects.most",
        "drain.window",
        "connects.up_within",
        "service_type[1].window",
        "service_type[2].name",
        "listen.address",
        "server[2].name",
    }


def test_environment_sets_missing_keys_and_overrides_none(tmp_path: Path) -> None:
    (fault,) = faults_of(GOOD, tmp_path, {"BRAMBLEPLANK_LISTEN": "127.0.0.1:7401"})
    assert (fault.key, fault.line) == ("listen.address", 8) and "BRAMBLEPLANK_LISTEN" in fault.wrong
    shared = GOOD.replace('zone = "a"', 'zone = "a"\nsidecars = 3')
    assert faults_of(shared, tmp_path, {"BRAMBLEPLANK_NUMBER": "2"}) == []
    assert [fault.key for fault in faults_of(shared, tmp_path, {"BRAMBLEPLANK_NUMBER": "3"})] == ["number"]
    without = GOOD.replace('[listen]\naddress = "127.0.0.1:7400"\n', "")
    assert faults_of(without, tmp_path, {"BRAMBLEPLANK_LISTEN": "127.0.0.1:7401"}) == []
    assert [fault.key for fault in faults_of(without, tmp_path)] == ["listen"]


def test_check_prints_json_and_checks_a_file_of_servers(tmp_path: Path) -> None:
    (tmp_path / "maps.toml").write_text(GOOD.replace("most = 3", "most = 5"))
    ran = CliRunner().invoke(main, ["check", "--json", str(tmp_path / "maps.toml")])
    found = json.loads(ran.output)
    assert ran.exit_code == 2 and not found["good"]
    assert found["faults"][0].items() >= {"line": 16, "key": "connects.most"}.items()
    servers = tmp_path / "servers.toml"
    servers.write_text('[[server]]\nname = "feed1"\naddress = "127.0.0.1:7501"\n')
    ran = CliRunner().invoke(main, ["check", str(servers)])
    assert ran.exit_code == 2 and "end: missing" in ran.output
    servers.write_text(servers.read_text() + "[end]\n")
    assert CliRunner().invoke(main, ["check", str(servers)]).exit_code == 0
    old = tmp_path / "old.toml"
    old.write_text(servers.read_text().replace("7501", "7502"))
    ran = CliRunner().invoke(main, ["check", str(servers), "--against", str(old)])
    assert ran.exit_code == 0 and "server feed1: taken up by SIGHUP; another address" in ran.output
    ran = CliRunner().invoke(main, ["check", str(servers), "--against", str(tmp_path / "maps.toml")])
    assert ran.exit_code == 2 and "is of another kind, so it can't be compared" in ran.output


def test_check_against_an_old_file_lists_reloaded_and_waiting_changes(tmp_path: Path) -> None:
    (tmp_path / "old.toml").write_text(GOOD)
    new = GOOD.replace("7501", "7503").replace('window = "1s"', 'window = "2s"').replace("512", "600")
    (tmp_path / "new.toml").write_text(new.replace('name = "feed2"', 'name = "feed3"'))
    ran = CliRunner().invoke(
        main, ["check", str(tmp_path / "new.toml"), "--against", str(tmp_path / "old.toml")], env={}
    )
    assert ran.exit_code == 0
    for line in (
        "limits.descriptors: taken up by SIGHUP",
        "drain.window: waits for a restart; its restart moves",
        "server feed1: taken up by SIGHUP; another address",
        "server feed3: taken up by SIGHUP; new",
        "server feed2: taken up by SIGHUP; gone:",
    ):
        assert line in ran.output


def test_new_writes_only_files_that_check_accepts(tmp_path: Path) -> None:
    service = "--service=orders:referenced:300ms:1800ms:zone:5s"
    options = ["new", "--application=maps", service, "--server=feed1=127.0.0.1:7501", "--connections=2000"]
    out = tmp_path / "maps.toml"
    ran = CliRunner().invoke(main, [*options, "-o", str(out), "--connects=5", "--drain=3.001s"])
    assert ran.exit_code == 2 and not out.exists()
    assert "connects.most: 5" in ran.output and "drain.window" in ran.output
    assert CliRunner().invoke(main, [*options, "-o", str(out)]).exit_code == 0
    ran = CliRunner().invoke(main, ["check", str(out)])
    assert ran.exit_code == 0, ran.output
    assert CliRunner().invoke(main, [*options, "-o", str(out)]).exit_code == 1  # the file exists already


def test_new_prompts_for_missing_options(tmp_path: Path) -> None:
    out = tmp_path / "maps.toml"
    answers = "maps\n127.0.0.1:7411\norders\nreferenced\n200ms\n1s\nzone\n4s\nfeed1=127.0.0.1:7501\n"
    ran = CliRunner().invoke(main, ["new", "--ask", "-o", str(out)], input=answers)
    assert ran.exit_code == 0, ran.output
    file = reader.read(str(out), {}, HERE).file
    assert file and file.listen.address == "127.0.0.1:7411" and file.service_type[0].window == 4.0


def test_conversion_to_platform_json_and_back_keeps_the_settings(tmp_path: Path) -> None:
    path, other, back = (tmp_path / name for name in ("maps.toml", "config.json", "back.toml"))
    path.write_text(GOOD)
    for source, out in ((path, other), (other, back)):
        options = ["--discovery", "10.2.0.1:8500"] if source is path else []
        ran = CliRunner().invoke(main, ["convert", str(source), "-o", str(out), *options], env={})
        assert ran.exit_code == 0, ran.output
    before, after = reader.read(str(path), {}, HERE), reader.read(str(back), {}, HERE)
    assert after.faults == [] and after.settings == before.settings and after.servers == before.servers
    ran = CliRunner().invoke(main, ["convert", str(path)], env={})
    assert ran.exit_code == 2 and "--discovery" in ran.output
    for bad in ("{", '{"name": 1}', '{"name": "x", "settings": []}', "[1"):
        other.write_text(bad)
        ran = CliRunner().invoke(main, ["convert", str(other)], env={})
        assert ran.exit_code == 2 and isinstance(ran.exception, SystemExit)


def test_route_table_is_read_and_linted_with_the_sidecars_file(tmp_path: Path) -> None:
    fleet = '[fleet]\nlisten = "127.0.0.1:7500"\nmembers = ["127.0.0.1:7500"]\nroutes = "r.toml"\n\n[log]'
    path, rules = tmp_path / "maps.toml", tmp_path / "r.toml"
    path.write_text(GOOD.replace("[log]", fleet))
    for text, named in (
        (None, "cannot be read"),
        ('[[rule]]\ndoes = "server"\n', "line 2: rule[1].does: need one of"),
        (
            '[[rule]]\ndoes = "serve"\n' * 2,
            "line 3: shadowed: all flows that it matches are decided by line 1",
        ),
        ('[[rule]]\ndoes = "serve"\nservice_type = ["tiles"]\n', 'unreachable: no service type "tiles"'),
        ('[[rule]]\ndoes = "serve"\n', ""),
    ):
        if text is not None:
            rules.write_text(text)
        faults = reader.read(str(path), {}, HERE).faults
        assert [fault.key for fault in faults] == ["fleet.routes"] * bool(named)
        assert all(named in fault.wrong for fault in faults), faults


def test_schema_and_page_list_every_key() -> None:
    docs = Path(__file__).parents[1] / "docs"
    assert (docs / "sidecar.schema.json").read_text() == schema()
    page = (docs / "sidecar.md").read_text()
    for key, hint in all_keys():
        assert f"| `{key}` |" in page and description_of(hint) in page, key


def test_two_thousand_servers_are_checked(tmp_path: Path) -> None:
    servers = [
        server_file.Server(name=f"feed{n}", address=f"127.0.{n // 250}.{n % 250 + 1}:7501")
        for n in range(2000)
    ]
    (tmp_path / "maps.servers.toml").write_text(writer.servers_text(servers))
    cut = GOOD.index("[[server]]")
    text = GOOD[:cut].replace("probes = true", "").replace("128MiB", "512MiB")
    text += '[servers]\nfile = "maps.servers.toml"\n'
    assert faults_of(text, tmp_path) == []
    text = (tmp_path / "maps.servers.toml").read_text().replace("127.0.3.7:", "127.0.3.8:")
    reading, none = server_file.parse(text)
    assert none == [] and [fault.key for fault in reading.faults] == ["server[758].address"]


# Properties.

REPEATABLE = settings(derandomize=True, deadline=None, max_examples=300)
KEY = st.from_regex(r"[a-z]{1,6}", fullmatch=True)


@REPEATABLE
@given(st.integers(0, 10**12), st.integers(0, 10**15))
def test_durations_and_sizes_round_trip(micro: int, count: int) -> None:
    assert parse_seconds(duration_text(micro / 1e6)) == pytest.approx(micro / 1e6, rel=1e-12)
    assert parse_size(size_text(count)) == count


@REPEATABLE
@example(GOOD.index('name = "views"'), 0, "0")  # a service type without a name
@example(GOOD.index("[listen]") + len("[listen]"), 0, "\nmode = 5")
@given(st.integers(0, len(GOOD) - 1), st.integers(0, 40), st.text(max_size=12))
def test_no_damage_ends_in_an_exception(at: int, gone: int, put: str) -> None:
    told = reader.LoadedFile("maps.toml")
    text = GOOD[:at] + put + GOOD[at + gone :]
    reader.check_text(told, text, {}, HERE)
    assert told.faults or told.settings


def test_server_name_that_is_not_a_string_is_a_fault() -> None:
    # Guards against a TypeError in place of a fault: the name check reads a value that could not be decoded.
    document, servers = server_file.parse('[[server]]\nname = 5\naddress = "127.0.0.1:7501"\n[end]\n')
    assert [fault.key for fault in document.faults] == ["server[1].name"] and not servers


@REPEATABLE
@given(st.data())
def test_truncated_list_of_servers_is_refused(data: st.DataObject) -> None:
    names = data.draw(st.lists(KEY, unique=True, min_size=1, max_size=6))
    text = writer.servers_text(
        [server_file.Server(name=name, address=f"127.0.0.1:{7000 + n}") for n, name in enumerate(names)]
    )
    reading, servers = server_file.parse(text)
    assert not reading.faults and [server.name for server in servers] == names
    cut = data.draw(st.integers(0, text.index("[end]") + len("[end]") - 1))
    reading, servers = server_file.parse(text[:cut])
    assert reading.faults and not servers


VALUE = st.one_of(
    st.integers(-9, 9).map(str),
    st.sampled_from(['"a # b"', "'[x]'", '"""one\n[two]\nthree = 3"""', "true"]),
    st.sampled_from(["[1, 2]", "[\n  1, # ]\n  2,\n]", '{ k = "}" }', "'''\na = 1\n'''", '"\\""']),
)
PAIRS = st.lists(st.tuples(KEY, VALUE), max_size=4, unique_by=lambda pair: pair[0])


@REPEATABLE
@given(st.lists(st.tuples(KEY, st.booleans(), PAIRS), max_size=5))
def test_keys_are_found_on_their_lines(tables: list[tuple[str, bool, list[tuple[str, str]]]]) -> None:
    lines: list[str] = []
    wanted: dict[tuple[Any, ...], int] = {}
    many: dict[str, int] = {}
    for n, (name, one_of_many, pairs) in enumerate(tables):
        at: tuple[Any, ...] = (f"t{n}{name}",)
        if one_of_many:
            at = (f"m{name}", many.setdefault(name, 0))
            many[name] += 1
        lines.append(f"[[{at[0]}]]  # [x]" if one_of_many else f"[{at[0]}]")
        wanted[at] = len(lines)
        for key, value in pairs:
            wanted[(*at, key)] = len(lines) + 1
            lines += f"{key} = {value}".split("\n")
    found = KeyLines("\n".join(lines)).by_path
    assert {path: found.get(path) for path in wanted} == wanted


@REPEATABLE
@given(st.integers(0, 2**32 - 1), st.integers(1, 65535))
def test_notations_of_an_address_are_equal(number: int, port: int) -> None:
    host = ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))
    plain, mapped = addresses.parse(f"{host}:{port}"), addresses.parse(f"[::ffff:{host}]:{port}")
    assert plain == mapped and plain and addresses.parse(addresses.to_text(plain)) == plain
    assert addresses.listener_accepts(plain, plain)
    assert addresses.listener_accepts(("0.0.0.0", port), plain) == (host.startswith("127.") or number == 0)


def test_seconds_are_numbers() -> None:
    assert Seconds(0.5) * 2 == 1.0 and parse_seconds("1.5min") == 90.0 and parse_seconds("1 s") is None
