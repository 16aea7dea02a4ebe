"""The door: connections that are no flow yet, or no longer, how many there may be, and ids already used."""

from __future__ import annotations

from collections.abc import Iterable

from brambleplank.net.clock import Clock
from brambleplank.seams import Client, Listener

CROWDED = 3 / 4  # share of the descriptors in use from which those who only stand about are shown out
AT_ONCE = 1 / 4  # share that is made free at once for those who wait in the kernel
LAST = 15 / 16  # share from which nobody is let in; flows are rejected before that
GRACE = 0.05  # seconds in which a line is due where it is crowded, or an answer is read
IDS_KEPT = 60.0  # seconds for which an id stays used after its flow
MOST_IDS = 8192
BY_THE_PROGRAM = 16  # descriptors that the program itself holds


class Door:
    """Who is at the door: nothing of this is a flow, and none of it is a server's doing.

    Danger: hundreds that say nothing, or stay on after their answer, would hold every descriptor; usual
    clients would find none, and connects to sound servers would fail for want of one.
    """

    def __init__(self, clock: Clock, descriptors: int) -> None:
        self.clock = clock
        self.descriptors, self.in_use = descriptors, BY_THE_PROGRAM
        self.memory_free = 1.0  # the share of the memory allowed; 1 where none is counted
        self.listeners: list[Listener] = []
        self.waiting: dict[Client, float] = {}  # without a whole first line, longest first, and since when
        self.leaving: dict[Client, float] = {}  # answered, and not gone yet
        self.shown_out: dict[Client, None] = {}  # closed by us, their descriptors not free yet
        self.open_ids: set[str] = set()
        self.used_ids: dict[str, float] = {}  # of flows that are over, and until when; soonest first
        self.looking = False

    def held(self, change: int) -> None:
        """Descriptors taken up, or given back."""
        self.in_use += change
        if change < 0:
            self.let_in()

    def free(self) -> float:
        """The share of the descriptors that is free, or of memory where that is less."""
        return min(self.memory_free, 1 - self.in_use / self.descriptors)

    def came(self, client: Client) -> None:
        self.waiting[client] = self.clock.now()
        self.make_room()

    def opened(self, client: Client, flow_id: str) -> bool:
        """A flow begins; False if its id is in use, or was just now."""
        now = self.clock.now()
        while self.used_ids and (now >= next(iter(self.used_ids.values())) or len(self.used_ids) > MOST_IDS):
            del self.used_ids[next(iter(self.used_ids))]
        if flow_id in self.open_ids or flow_id in self.used_ids:
            return False
        self.open_ids.add(flow_id)
        self.waiting.pop(client, None)
        self.let_in()
        return True

    def in_use_elsewhere(self, flow_ids: Iterable[str]) -> None:
        """Ids of flows at another process of this proxy."""
        self.used_ids.update(dict.fromkeys(flow_ids, self.clock.now() + IDS_KEPT))

    def taken_on(self, client: Client, flow_id: str) -> None:
        """A flow that began at another process goes on here."""
        self.waiting.pop(client, None)
        self.used_ids.pop(flow_id, None)
        self.open_ids.add(flow_id)

    def over(self, flow_id: str) -> None:
        self.open_ids.discard(flow_id)
        self.used_ids[flow_id] = self.clock.now() + IDS_KEPT

    def answered(self, client: Client) -> None:
        self.waiting.pop(client, None)
        if client not in self.shown_out:
            self.leaving[client] = self.clock.now()
            self.make_room()

    def gone(self, client: Client) -> None:
        for group in (self.waiting, self.leaving, self.shown_out):
            group.pop(client, None)
        self.let_in()

    def beyond(self) -> int:
        """How many descriptors are in use beyond the share that is left to usual clients."""
        return self.in_use - len(self.shown_out) - int(CROWDED * self.descriptors)

    def make_room(self) -> None:
        """Shows out who has had its answer, then who has longest had nothing to say."""
        now = self.clock.now()
        # Danger: let in one for one, those who say nothing would keep all behind them waiting in the kernel.
        held = any(listener.held for listener in self.listeners)
        spare = int(AT_ONCE * self.descriptors) if held else 0
        for group in (self.leaving, self.waiting):
            while group and self.beyond() + spare > 0:
                client, since = next(iter(group.items()))
                if now < since + GRACE:
                    break
                del group[client]
                self.shown_out[client] = None
                client.show_out()
        if self.beyond() >= 0 and (self.waiting or self.leaving) and not self.looking:
            self.looking = True
            self.clock.after_reads(GRACE, self.look)

    def look(self) -> None:
        self.looking = False
        self.make_room()
        self.let_in()

    def room(self) -> int:
        """How many more may be let in now."""
        most = int(LAST * self.descriptors) - self.in_use
        return min(most, -self.beyond()) if self.waiting or self.leaving else most

    def let_in(self) -> None:
        """Danger: accepted beyond that, they would hold what the next flows need; the kernel keeps them."""
        for listener in self.listeners:
            if listener.held and self.room() > 0:
                listener.resume()
