"""End-to-end tests of the Consul source: the real program against stand-in agents."""

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
    """Stand-in agents, all in one thread, which may share a catalog."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.agents: list[StandInConsul] = []

    def start_agent(self) -> StandInConsul:
        self.agents.append(StandInConsul())
        self.run(self.agents[-1].listen())
        return self.agents[-1]

    def run(self, coroutine: Any) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(TEST_TIMEOUT)

    def apply(self, agent: StandInConsul, what: str, server: str = "", **options: Any) -> float:
        self.run(apply_step(agent, Step(0.0, what, "feeds", server, options)))
        return time.monotonic()

    def close(self) -> None:
        for agent in self.agents:
            self.run(agent.close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        pending = asyncio.all_tasks(self.loop)
        self.loop.close()
        assert not pending


@pytest.fixture
def agents() -> Iterator[Agents]:
    running = Agents()
    yield running
    running.close()


class ConsulSidecar(Sidecar):
    """A sidecar whose servers come from Consul."""

    def __init__(self, folder: Path, consul_config: Consul) -> None:
        self.consul_config = consul_config
        super().__init__(folder, endpoint_list(1, True))

    def write_file(self) -> None:
        file: File = self.file
        file.servers, file.consul = None, self.consul_config
        super().write_file()


@pytest.fixture
def start_consul_sidecar(tmp_path: Path) -> Iterator[Callable[[Consul], ConsulSidecar]]:
    programs: list[Program] = []

    def start(consul_config: Consul) -> ConsulSidecar:
        program = ConsulSidecar(tmp_path, consul_config)
        programs.append(program)
        program.next_log_line("ready: ")
        return program

    yield start
    for program in programs:
        program.process.kill()
        program.process.wait()


def register_servers(agents: Agents, agent: StandInConsul, *servers: StandInServer) -> None:
    for n, server in enumerate(servers):
        agents.apply(agent, "register", f"s{n}", address=server.address)


def consul_config(*agents: StandInConsul, **options: Any) -> Consul:
    return Consul([agent.address for agent in agents], ["feeds"], **options)


def answers_to_requests(program: ConsulSidecar, count: int, start: int = 0) -> list[str]:
    """Opens requests with many keys, one after another, and returns their answers."""
    answers = []
    for key in range(start, start + count):
        client = program.open_request(f"{key * 7919:x}")
        answers.append(client.read_line())
        client.close()
    return answers


def test_drain_ends_new_requests_in_time_and_keeps_sessions(
    agents: Agents, start_consul_sidecar: Callable[[Consul], ConsulSidecar]
) -> None:
    agent, one, other = agents.start_agent(), StandInServer("UP one"), StandInServer("UP other")
    register_servers(agents, agent, one, other)
    program = start_consul_sidecar(consul_config(agent))
    session = program.open_request()
    answer = session.read_line()
    owner, server = (one, "s0") if answer == "UP one" else (other, "s1")
    server_side = owner.next_opening()[1]
    agents.apply(agent, "maintain", server)
    log_line = program.next_log_line("as maintenance")
    assert "as maintenance after 0.0" in log_line or "as maintenance after 0.1" in log_line
    count = owner.opening_count
    assert answer not in answers_to_requests(program, 40) and owner.opening_count == count
    session.send_line("M 1")
    assert server_side.read_line() == "M 1"
    # An unanswered line would count as a sign of overload, and clients would be migrated.
    server_side.send_line("M 1")
    assert session.read_line() == "M 1"
    agents.apply(agent, "lift", server)
    program.next_log_line("ready size=1 as passing")
    assert answer in answers_to_requests(program, 40, 100)
    for what in ("critical", "deregister"):
        agents.apply(agent, what, server)
        program.next_log_line("draining" if what == "critical" else "gone")
        session.send_line(what)  # a report alone never ends a session
        assert server_side.read_line() == what
        server_side.send_line(what)
        assert session.read_line() == what


def test_agent_restart_with_a_lower_index_costs_no_server(
    agents: Agents, start_consul_sidecar: Callable[[Consul], ConsulSidecar]
) -> None:
    agent, servers = agents.start_agent(), [StandInServer(f"UP {n}") for n in range(3)]
    register_servers(agents, agent, *servers)
    program = start_consul_sidecar(consul_config(agent))
    session = program.open_request()
    assert session.read_line().startswith("UP ")
    agents.apply(agent, "stop")
    program.next_log_line("the last list stays in use")
    assert set(answers_to_requests(program, 40)) == {"UP 0", "UP 1", "UP 2"}
    agents.apply(agent, "go_back", index=1)
    saved = agent.services["feeds"]
    agent.services["feeds"] = {}
    agents.apply(agent, "start")
    program.next_log_line("answered again")
    assert set(answers_to_requests(program, 40, 100)) == {"UP 0", "UP 1", "UP 2"}
    agent.services["feeds"] = saved
    agents.apply(agent, "maintain", "s1")
    program.next_log_line("s1 draining")
    assert set(answers_to_requests(program, 40, 200)) == {"UP 0", "UP 2"}
    session.send_line("M 1")
    assert program.process.poll() is None


def test_agent_that_is_slow_for_all_queries_is_heard(
    agents: Agents, start_consul_sidecar: Callable[[Consul], ConsulSidecar]
) -> None:
    # Guards against queries that are all given up before a slow agent answers, so that no change arrives.
    agent, one, other = agents.start_agent(), StandInServer("UP one"), StandInServer("UP other")
    register_servers(agents, agent, one, other)
    program = start_consul_sidecar(consul_config(agent))
    assert set(answers_to_requests(program, 20)) == {"UP one", "UP other"}
    agents.apply(agent, "slow", by="3s")  # longer than a query is waited for at first
    agents.apply(agent, "stop")
    program.next_log_line("the last list stays in use")
    agents.apply(agent, "start")
    program.next_log_line("answered again")
    agents.apply(agent, "maintain", "s0")
    program.next_log_line("s0 draining")


def test_errors_and_rotated_tokens_cost_nothing_and_fail_over(
    agents: Agents, start_consul_sidecar: Callable[[Consul], ConsulSidecar], tmp_path: Path
) -> None:
    first, second = agents.start_agent(), agents.start_agent()
    servers = [StandInServer("UP 0"), StandInServer("UP 1")]
    second.services = first.services
    register_servers(agents, first, *servers)
    second.reset_index(first.index)
    first.token = second.token = "old"
    (tmp_path / "token").write_text("old\n")
    program = start_consul_sidecar(consul_config(first, second, token_file=str(tmp_path / "token")))
    assert set(answers_to_requests(program, 30)) == {"UP 0", "UP 1"}
    for what, options in (("statuses", {"list": [500, 429]}), ("torn", {"count": 1})):
        for agent in (first, second):  # whichever is queried now
            agents.apply(agent, what, **options)
        for agent in (first, second):
            agents.apply(agent, "passing", "s0")  # completes the pending blocking query
        program.next_log_line("the last list stays in use")
        program.next_log_line("answered again")
    first.token = second.token = "new"
    agents.apply(first, "passing", "s0")
    agents.apply(second, "passing", "s0")
    program.next_log_line("status 403")
    (tmp_path / "token").write_text("new\n")
    program.next_log_line("answered again")
    assert set(answers_to_requests(program, 30, 100)) == {"UP 0", "UP 1"}
    for agent in (first, second):
        agents.apply(agent, "maintain", "s1")
    program.next_log_line("s1 draining")
    assert set(answers_to_requests(program, 30, 200)) == {"UP 0"}
    agents.apply(first, "stop")
    for _ in range(2):
        agents.apply(second, "lift", "s1")
    program.next_log_line("s1 ready")
    assert "fault" not in program.stop()


def test_many_changes_are_applied_in_ticks(
    agents: Agents, start_consul_sidecar: Callable[[Consul], ConsulSidecar]
) -> None:
    agent, real = agents.start_agent(), StandInServer()
    members = {
        f"x{n}": ServiceInstance(f"x{n}", f"127.0.{n // 250}.{n % 250 + 2}:9", maintenance=True)
        for n in range(2000)
    }
    members["s0"] = ServiceInstance("s0", real.address)
    agent.services["feeds"] = members
    agent.mark_changed("feeds")
    program = start_consul_sidecar(consul_config(agent))
    assert program.open_request().read_line() == "UP r1"

    async def change() -> None:
        for n in range(600):
            members[f"x{n}"].meta["size"] = "2"
            agent.mark_changed("feeds")
            await asyncio.sleep(0.005)

    began, before, answered = time.monotonic(), cpu_seconds(program), agent.answer_count
    agents.run(change())
    elapsed = time.monotonic() - began
    lists = agent.answer_count - answered
    assert lists <= elapsed / 0.1 + 2
    assert cpu_seconds(program) - before < elapsed  # less than one core
    assert answers_to_requests(program, 5) == ["UP r1"] * 5


def cpu_seconds(program: Program) -> float:
    fields = Path(f"/proc/{program.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def test_agent_without_leader_is_asked_with_backoff(
    agents: Agents, start_consul_sidecar: Callable[[Consul], ConsulSidecar]
) -> None:
    agent, server = agents.start_agent(), StandInServer()
    register_servers(agents, agent, server)
    program = start_consul_sidecar(consul_config(agent))
    assert program.open_request().read_line() == "UP r1"
    agents.apply(agent, "no_leader")
    agents.apply(agent, "passing", "s0")  # completes the pending blocking query
    before, until = agent.answer_count, time.monotonic() + 3.0
    while time.monotonic() < until:
        answers_to_requests(program, 1)
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
    result = CliRunner().invoke(main, options)
    assert result.exit_code == 2 and "consul.services" in result.output
    assert CliRunner().invoke(main, [*options, "--consul-service=feeds"]).exit_code == 0
    result = CliRunner().invoke(main, ["check", str(tmp_path / "maps.toml")])
    assert result.exit_code == 0, result.output
    result = CliRunner().invoke(main, ["convert", str(tmp_path / "maps.toml"), "--discovery=10.2.0.1:8500"])
    assert result.exit_code == 2 and "consul" in result.output
    result = CliRunner().invoke(main, [*options[:-1], "--server=s0=127.0.0.1:7501", "--consul-service=feeds"])
    assert result.exit_code == 2 and "--consul-service" in result.output


def test_watch_prints_each_change_what_was_made_of_it_and_its_delay(agents: Agents, tmp_path: Path) -> None:
    agent = agents.start_agent()
    for n in range(4):
        agents.apply(agent, "register", f"s{n}", address=f"127.0.0.1:{7000 + n}", zone="a")
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
        agents.apply(agent, "maintain", "s1")
        assert any("n1/s1 draining at 127.0.0.1:7001" in line for line in lines)
        assert any("n1/s1 draining size=1 as maintenance after 0." in line for line in lines)
        agents.apply(agent, "critical", "s2")
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
