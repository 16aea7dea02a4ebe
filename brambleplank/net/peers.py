"""Datagrams between the proxies: a server's id and how long messages take there."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

LONGEST = 256


class Peers(DatagramProtocol):
    noisy = False
    transport: Any

    def __init__(
        self, told: Callable[[str, float, float], None], all_others: tuple[str, int],
        known: list[tuple[str, int]],
    ) -> None:
        self.told = told
        self.reach(all_others, known)

    def reach(self, all_others: tuple[str, int], known: list[tuple[str, int]]) -> None:
        self.all_others = all_others
        self.known = frozenset(known)

    def tell(self, server_id: str, seconds: float, usual: float) -> None:
        text = (f"{server_id} {seconds:.3g}" + (f" {usual:.4f}" if usual else "")).encode()
        if len(text) <= LONGEST:
            self.transport.write(text, self.all_others)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        server_id, *words = datagram.decode(errors="replace").split(" ")
        try:
            takes, usually = float(words[0]), float(words[1]) if len(words) > 1 else 0.0
        except (ValueError, IndexError):
            return
        # Danger: whatever reaches the port could say that every server is strained.
        if addr in self.known and 0 <= takes < 3600 and 0 <= usually < 3600:
            self.told(server_id, takes, usually)
