"""A run in which proxies are sent damaged configurations while servers reset requests that have run."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from tests.soak.drawn_settings import KEYED_CLASS
from tests.soak.proxies import Proxy
from tests.soak.servers import ServerBehaviour
from tests.soak.simulation import Simulation

START = (0.5, 1.5)  # seconds until the first damaged file
DAMAGED_TIME = (1.0, 2.0)  # seconds that a damaged file stays
SOUND_TIME = (0.3, 0.6)  # seconds that the sound one stays between two of these
SHARE_OF_SERVERS = 1 / 3  # that reset each request after it has run

Configuration = dict[str, Any]


def keyed_class(configuration: Configuration) -> dict[str, Any]:
    """Returns the class of a configuration whose repeats are bound to a group of servers."""
    classes = configuration["settings"]["service_types"]
    return next(each for each in classes if each["name"] == KEYED_CLASS)


def lose_key(configuration: Configuration, key: str) -> str:
    """Takes a key out of the class; returns the text of the file."""
    del keyed_class(configuration)[key]
    return json.dumps(configuration)


def replace_value(configuration: Configuration, key: str, value: Any) -> str:
    """Replaces a value of the class; returns the text of the file."""
    keyed_class(configuration)[key] = value
    return json.dumps(configuration)


DAMAGES: tuple[Callable[[Configuration], str], ...] = (
    lambda configuration: lose_key(configuration, "group"),
    lambda configuration: lose_key(configuration, "window_us"),
    lambda configuration: lose_key(configuration, "deadline_us"),
    lambda configuration: replace_value(configuration, "group", "zon"),
    lambda configuration: replace_value(configuration, "window_us", float("inf")),
    lambda configuration: replace_value(configuration, "effect", "repeated"),
    lambda configuration: json.dumps(configuration)[:-40],
    lambda _: "",
)


async def send_damaged_configurations(simulation: Simulation) -> None:
    """Replaces the files of all proxies by damaged ones, and by the sound ones again, until the run ends."""
    rng = Random(f"damaged reloads {simulation.plan.seed}")
    resetting = rng.sample(simulation.servers, max(1, round(SHARE_OF_SERVERS * len(simulation.servers))))
    simulation.record_fault(f"reset at {' '.join(server.name for server in resetting)}")
    for server in resetting:
        server.behaviour = ServerBehaviour.RESET
    await asyncio.sleep(rng.uniform(*START))
    while not simulation.is_ending:
        for proxy in simulation.proxies:
            number = rng.randrange(len(DAMAGES))
            simulation.record_fault(f"damage {number} at n{proxy.number}")
            await reload(proxy, DAMAGES[number](copy.deepcopy(proxy.config)))
        await asyncio.sleep(rng.uniform(*DAMAGED_TIME))
        for proxy in simulation.proxies:
            await reload(proxy, json.dumps(proxy.config))
        await asyncio.sleep(rng.uniform(*SOUND_TIME))


async def reload(proxy: Proxy, text: str) -> None:
    """Replaces the file of a proxy and has it read.

    In a thread: on a busy disk this may take a tenth of a second, for which the whole simulation would stand.
    """
    await asyncio.to_thread(replace_file, proxy.folder / "config.json", text)
    proxy.send_signal(signal.SIGHUP)


def replace_file(path: Path, text: str) -> None:
    """Replaces a file atomically."""
    new = path.with_suffix(".new")
    new.write_text(text)
    new.replace(path)
