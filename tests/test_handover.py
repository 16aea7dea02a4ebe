"""Reports between two processes of a proxy while both run."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from brambleplank.net.sibling_processes import SiblingProcesses
from brambleplank.platform.holdings import Holdings
from brambleplank.platform.upgrade_messages import Message
from brambleplank.records import Server


class RecordingChannel:
    """A channel to the successor that records the messages sent over it."""

    def __init__(self) -> None:
        self.to_successor = True
        self.messages: list[dict[str, Any]] = []

    def send(self, message: Message) -> None:
        self.messages.append(message.encode())


def test_each_attempt_during_slow_start_is_reported_even_if_nothing_else_changed() -> None:
    channel: Any = RecordingChannel()
    siblings = SiblingProcesses()
    siblings.set_has_successor(True)
    proxy: Any = SimpleNamespace(
        admission=SimpleNamespace(descriptors_in_use=20, open_ids={"1f"}),
        balancer=SimpleNamespace(servers={}),
        siblings=siblings,
    )
    server = Server("s0", 0.0)
    holdings = Holdings(proxy)
    holdings.add(channel, known_ids=[])
    for attempts in (0, 1, 1, 0, 0):
        for _ in range(attempts):
            siblings.attempt_started(server)
        holdings.report()
    # The first report has the request id, the last says that there were no more attempts; then none is due.
    assert [message["sent"] for message in channel.messages] == [{}, {"s0": 1}, {"s0": 1}, {}]
