"""The stand-in Consul agent and its scripts."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from brambleplank.emulator.consul import StandInConsul, Step, parse_script, run_script


def test_script_steps_are_applied_in_order_of_time() -> None:
    async def run_agent() -> StandInConsul:
        agent = StandInConsul()
        steps = [("0.02s", "critical", "s0"), ("0s", "register", "s0"), ("0.03s", "maintain", "s0")]
        await run_script(
            agent,
            parse_script(
                "".join(
                    f'[[step]]\nat = "{at}"\ndo = "{action}"\nservice = "feeds"\nserver = "{server}"\n'
                    + ('address = "127.0.0.1:7000"\n' if action == "register" else "")
                    for at, action, server in steps
                )
            ),
        )
        return agent

    agent = asyncio.run(run_agent())
    instance = agent.services["feeds"]["s0"]
    assert (instance.status, instance.maintenance, agent.index) == ("critical", True, 4)


def test_malformed_script_step_is_named_in_the_error() -> None:
    steps = parse_script('[[step]]\nat = "1s"\ndo = "critical"\nservice = "feeds"\nserver = "s0"\n')
    assert steps == [Step(1.0, "critical", "feeds", "s0")]
    with pytest.raises(ValueError, match=r"step\[2\]"):
        parse_script('[[step]]\nat = "1s"\ndo = "stop"\n[[step]]\nat = "soon"\ndo = "stop"\n')


def test_closed_agent_leaves_no_pending_task() -> None:
    async def tasks_after_close() -> set[asyncio.Task[Any]]:
        agent = StandInConsul()
        await agent.listen()
        for _ in range(3):
            _, writer = await asyncio.open_connection("127.0.0.1", agent.port)
            writer.write(b"GET /v1/health/service/feeds?index=1&wait=60s HTTP/1.1\r\n\r\n")
        while len(agent.open_connections) < 3:
            await asyncio.sleep(0)
        await agent.close()
        return asyncio.all_tasks() - {asyncio.current_task()}

    assert not asyncio.run(tasks_after_close())
