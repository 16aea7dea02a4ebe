"""Case 8: clients take 2 s to write their OPEN line."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from second.world import Client, World, play, read_answer

WRITE_TIME = 2.0  # seconds from the first byte of the line to its last, the page's figure
SLACK = 0.05  # seconds; a client whose write took longer than this over its time does not count
LATE = 0.5  # seconds after its time up to which an answer only earns nothing
WAIT_MS = 1800
ROUNDS = 6
CLIENTS_A_ROUND = 10


async def write_line(client: Client, line: bytes, writer: asyncio.StreamWriter, write_time: float) -> float:
    """Writes the first half of a line and then the rest; returns how long that took."""
    middle = len(line) // 2
    began = time.monotonic()
    writer.write(line[:middle])
    if write_time:
        await asyncio.sleep(max(0.0, began + write_time - time.monotonic()))
    writer.write(line[middle:])
    client.sent_at = time.monotonic()
    return client.sent_at - began


async def visit(world: World, write_time: float) -> str:
    """Connects, writes the line, and waits for an answer; returns the break of the rule, or ""."""
    client = world.new_client()
    host, port = world.listen.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    client.connected_at = time.monotonic()
    line = world.opening_of(client, "point-stream", WAIT_MS)
    took = await write_line(client, line, writer, write_time)
    world.record.note(f"client {client.request_id} wrote {line.decode().strip()} in {took:.4f} s")
    answer = await read_answer(world, client, reader, WAIT_MS / 1000 + LATE + SLACK)
    writer.close()
    if answer or took > write_time + SLACK:
        return ""
    how = "nothing came" if client.left_at else f"the proxy ended the connection {client.error}".strip()
    return f"client {client.request_id} wrote its line in {took:.3f} s and had no answer: {how}"


async def story(world: World, trouble: bool) -> list[str]:
    """Lets some clients in each round take 2 s for their line; the others write it at once."""
    proxy = await world.start_proxy("n1")
    await proxy.wait_until_ready()
    breaks: list[str] = []
    for _ in range(ROUNDS):
        slow = [visit(world, WRITE_TIME if trouble else 0.0) for _ in range(CLIENTS_A_ROUND // 2)]
        quick = [visit(world, 0.0) for _ in range(CLIENTS_A_ROUND // 2)]
        breaks += [text for text in await asyncio.gather(*slow, *quick) if text]
    return breaks


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, story)
