"""The real program with Consul as its source, against stand-in agents."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from brambleplank.cli import main
from brambleplank.emulator.consul import ServiceInstance, StandInConsul, Step, apply_step
from brambleplank.sidecar.shapes import Consul, File
from brambleplank.tables import Seconds
from tests.programs import Program, Sidecar
from tests.sample_settings import endpoint_list
from tests.stand_ins import StandInServer
from tests.waiting import TEST_TIMEOUT


class Agents:
    """Stand-in agents in a thread of their own, over one catalogue or several."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.agents: list[StandInConsul] = []

    def new(self) -> StandInConsul:
        self.agents.append(StandInConsul())
        self.run(self.agents[-1].listen())
        return self.agents[-1]

    def run(self, doing: Any) -> None:
        asyncio.run_coroutine_threadsafe(doing, self.loop).result(TEST_TIMEOUT)

    def do(self, agent: StandInConsul, what: str, server: str = "", **more: Any) -> float:
        self.run(apply_step(agent, Step(0.0, what, "feeds", server, more)))
        return time.monotonic()

    def close(self) -> None:
        for agent in self.agents:
            self.run(agent.close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        left = asyncio.all_tasks(self.loop)
        self.loop.close()
        assert not left


@pytest.fixture
def agents() -> Iterator[Agents]:
    found = Agents()
    yield found
    found.close()


class Beside(Sidecar):
    """A sidecar whose servers come from Consul."""

    def __init__(self, folder: Path, asked: Consul) -> None:
        self.asked = asked
        super().__init__(folder, endpoint_list(1, True))

    def write_file(self) -> None:
        file: File = self.file
        file.servers, file.consul = None, self.asked
        super().write_file()


@pytest.fixture
def beside(tmp_path: Path) -> Iterator[Callable[[Consul], Beside]]:
    programs: list[Program] = []

    def begin(asked: Consul) -> Beside:
        program = Beside(tmp_path, asked)
        programs.append(program)
        program.next_log_line("ready: ")
        return program

    yield begin
    for program in programs:
        program.process.kill()
        program.process.wait()


def fleet(agents: Agents, agent: StandInConsul, *servers: StandInServer) -> None:
    for n, server in enumerate(servers):
        agents.do(agent, "register", f"s{n}", address=server.address)


def asked(*agents: StandInConsul, **more: Any) -> Consul:
    return Consul([agent.address for agent in agents], ["feeds"], **more)


def words(program: Beside, count: int, start: int = 0) -> list[str]:
    """What many flows of many keys hear."""
    heard = []
    for key in range(start, start + count):
        caller = program.open_request(f"{key * 7919:x}")
        heard.append(caller.read_line())
        caller.close()
    return heard


def test_drain_ends_new_requests_in_time_and_keeps_sessions(
    agents: Agents, beside: Callable[[Consul], Beside]
) -> None:
    agent, one, other = agents.new(), StandInServer("UP one"), StandInServer("UP other")
    fleet(agents, agent, one, other)
    program = beside(asked(agent))
    standing = program.open_request()
    word = standing.read_line()
    owner, server = (one, "s0") if word == "UP one" else (other, "s1")
    there = owner.next_opening()[1]
    agents.do(agent, "maintain", server)
    said = program.next_log_line("as maintenance")
    assert "as maintenance after 0.0" in said or "as maintenance after 0.1" in said
    count = owner.opening_count
    assert word not in words(program, 40) and owner.opening_count == count
    standing.send_line("M 1")
    assert there.read_line() == "M 1"
    there.send_line(
        "M 1"
    )  # a line left without an answer would show a strained server, whose clients are moved
    assert standing.read_line() == "M 1"
    agents.do(agent, "lift", server)
    program.next_log_line("ready size=1 as passing")
    assert word in words(program, 40, 100)
    for what in ("critical", "deregister"):
        agents.do(agent, what, server)
        program.next_log_line("draining" if what == "critical" else "gone")
        standing.send_line(what)  # no word of the catalogue alone ends what stands
        assert there.read_line() == what
        there.send_line(what)
        assert standing.read_line() == what


def test_agent_restart_with_a_lower_index_costs_no_server(
    agents: Agents, beside: Callable[[Consul], Beside]
) -> None:
    agent, servers = agents.new(), [StandInServer(f"UP {n}") for n in range(3)]
    fleet(agents, agent, *servers)
    program = beside(asked(agent))
    standing = program.open_request()
    assert standing.read_line().startswith("UP ")
    agents.do(agent, "stop")
    program.next_log_line("the list held stays good")
    assert set(words(program, 40)) == {"UP 0", "UP 1", "UP 2"}
    agents.do(agent, "go_back", index=1)
    kept = agent.services["feeds"]
    agent.services["feeds"] = {}
    agents.do(agent, "start")
    program.next_log_line("answered again")
    assert set(words(program, 40, 100)) == {"UP 0", "UP 1", "UP 2"}
    agent.services["feeds"] = kept
    agents.do(agent, "maintain", "s1")
    program.next_log_line("s1 draining")
    assert set(words(program, 40, 200)) == {"UP 0", "UP 2"}
    standing.send_line("M 1")
    assert program.process.poll() is None


def test_errors_and_rotated_tokens_cost_nothing_and_fail_over(
    agents: Agents, beside: Callable[[Consul], Beside], tmp_path: Path
) -> None:
    first, second = agents.new(), agents.new()
    servers = [StandInServer("UP 0"), StandInServer("UP 1")]
    second.services = first.services
    fleet(agents, first, *servers)
    second.reset_index(first.index)
    first.token = second.token = "old"
    (tmp_path / "token").write_text("old\n")
    program = beside(asked(first, second, token_file=str(tmp_path / "token")))
    assert set(words(program, 30)) == {"UP 0", "UP 1"}
    for what, more in (("statuses", {"list": [500, 429]}), ("torn", {"count": 1})):
        for agent in (first, second):  # whichever is asked by now
            agents.do(agent, what, **more)
        for agent in (first, second):
            agents.do(agent, "passing", "s0")  # whoever waits is answered
        program.next_log_line("the list held stays good")
        program.next_log_line("answered again")
    first.token = second.token = "new"
    agents.do(first, "passing", "s0")
    agents.do(second, "passing", "s0")
    program.next_log_line("status 403")
    (tmp_path / "token").write_text("new\n")
    program.next_log_line("answered again")
    assert set(words(program, 30, 100)) == {"UP 0", "UP 1"}
    for agent in (first, second):
        agents.do(agent, "maintain", "s1")
    program.next_log_line("s1 draining")
    assert set(words(program, 30, 200)) == {"UP 0"}
    agents.do(first, "stop")
    for _ in range(2):
        agents.do(second, "lift", "s1")
    program.next_log_line("s1 ready")
    assert "fault" not in program.stop()


def test_many_changes_are_applied_in_ticks(agents: Agents, beside: Callable[[Consul], Beside]) -> None:
    agent, real = agents.new(), StandInServer()
    members = {
        f"x{n}": ServiceInstance(f"x{n}", f"127.0.{n // 250}.{n % 250 + 2}:9", maintenance=True)
        for n in range(2000)
    }
    members["s0"] = ServiceInstance("s0", real.address)
    agent.services["feeds"] = members
    agent.mark_changed("feeds")
    program = beside(asked(agent))
    assert program.open_request().read_line() == "UP r1"

    async def change() -> None:
        for n in range(600):
            members[f"x{n}"].meta["size"] = "2"
            agent.mark_changed("feeds")
            await asyncio.sleep(0.005)

    began, before, answered = time.monotonic(), cpu(program), agent.answer_count
    agents.run(change())
    took = time.monotonic() - began
    lists = agent.answer_count - answered
    assert lists <= took / 0.1 + 2
    assert cpu(program) - before < took  # a core is not full of it
    assert words(program, 5) == ["UP r1"] * 5


def cpu(program: Program) -> float:
    fields = Path(f"/proc/{program.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def test_agent_without_leader_is_asked_with_backoff(
    agents: Agents, beside: Callable[[Consul], Beside]
) -> None:
    agent, server = agents.new(), StandInServer()
    fleet(agents, agent, server)
    program = beside(asked(agent))
    assert program.open_request().read_line() == "UP r1"
    agents.do(agent, "no_leader")
    agents.do(agent, "passing", "s0")  # whoever waits is answered
    before, until = agent.answer_count, time.monotonic() + 3.0
    while time.monotonic() < until:
        words(program, 1)
        time.sleep(0.05)
    assert agent.answer_count - before <= 6
    assert program.open_request().read_line() == "UP r1"


def test_new_writes_a_file_for_consul(tmp_path: Path) -> None:
    options = [
        "new",
        "--application=maps",
        "--service=views:repeatable:300ms:1800ms",
        "-o",
        str(tmp_path / "maps.toml"),
        "--consul=127.0.0.1:8500",
    ]
    ran = CliRunner().invoke(main, options)
    assert ran.exit_code == 2 and "consul.services" in ran.output
    assert CliRunner().invoke(main, [*options, "--consul-service=feeds"]).exit_code == 0
    ran = CliRunner().invoke(main, ["check", str(tmp_path / "maps.toml")])
    assert ran.exit_code == 0, ran.output
    ran = CliRunner().invoke(main, ["convert", str(tmp_path / "maps.toml"), "--discovery=10.2.0.1:8500"])
    assert ran.exit_code == 2 and "consul" in ran.output
    ran = CliRunner().invoke(main, [*options[:-1], "--server=s0=127.0.0.1:7501", "--consul-service=feeds"])
    assert ran.exit_code == 2 and "--consul-service" in ran.output


def test_watch_prints_each_change_what_was_made_of_it_and_its_delay(agents: Agents, tmp_path: Path) -> None:
    agent = agents.new()
    for n in range(4):
        agents.do(agent, "register", f"s{n}", address=f"127.0.0.1:{7000 + n}", zone="a")
    options = [
        "new",
        "--application=maps",
        "--service=views:repeatable:300ms:1800ms",
        "-o",
        str(tmp_path / "maps.toml"),
        f"--consul={agent.address}",
        "--consul-service=feeds",
    ]
    assert CliRunner().invoke(main, options).exit_code == 0
    watching = subprocess.Popen(
        [sys.executable, "-m", "brambleplank.cli", "watch", str(tmp_path / "maps.toml")],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert watching.stdout
    try:
        lines = iter(watching.stdout.readline, "")
        assert any("n1/s3 ready at 127.0.0.1:7003 zone=a" in line for line in lines)
        agents.do(agent, "maintain", "s1")
        assert any("n1/s1 draining at 127.0.0.1:7001" in line for line in lines)
        assert any("n1/s1 draining size=1 as maintenance after 0." in line for line in lines)
        agents.do(agent, "critical", "s2")
        assert any("n1/s2 draining size=1 as critical after 1." in line for line in lines)
    finally:
        watching.kill()
        watching.wait()


def test_a_file_with_consul_is_checked(tmp_path: Path) -> None:
    from tests.test_check import GOOD, faults_of

    cut = GOOD.index("[[server]]")
    text = GOOD[:cut] + '[consul]\nagents = ["127.0.0.1:8500"]\nservices = ["feeds"]\n'
    assert faults_of(text, tmp_path) == []
    for bad, key in (
        (text.replace("127.0.0.1:8500", "consul.example.org"), "consul.agents[1]"),
        (text.replace('["feeds"]', "[]"), "consul.services"),
        (text.replace('["127.0.0.1:8500"]', "[]"), "consul.agents"),
        (text + 'reads = "fresh"\n', "consul.reads"),
        (text + "healthy = 1.5\n", "consul.healthy"),
        (text + 'steady = "40s"\n', "consul.steady"),
        (text + '[servers]\nfile = "maps.servers.toml"\n', "consul"),
    ):
        assert key in [fault.key for fault in faults_of(bad, tmp_path)], key
    assert Consul(["127.0.0.1:8500"], ["feeds"]).settle == Seconds(1)
