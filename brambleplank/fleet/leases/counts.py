"""Request counts of each process and of the fleet. Both only increase.

Members report totals since their start, so late, lost and duplicate reports do no harm; the last totals of an
earlier incarnation stay in the sum when a later one reports. Aggregates are a lower bound of the true counts:
of two that are received, the larger holds. Merging is commutative, associative and idempotent (a grow-only
counter, by Shapiro and others).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from brambleplank.fleet.messages import MAX_COUNTS, MAX_DATAGRAM, MAX_NAME, Count

MAX_KEYS = 256  # of each process, and of the fleet
OVERFLOW_KEY = "other"  # counts requests with keys beyond MAX_KEYS
COUNT_SPACE = MAX_DATAGRAM - 24  # bytes of a datagram that counts may take
COUNT_OVERHEAD = 4  # bytes of an encoded count beside its key and totals


class CountKind(IntEnum):
    """What is counted of requests. The value is the index in the totals of a key."""

    OFFERED = 0
    SERVED = 1
    REFUSED = 2
    WARNED = 3
    SHED = 4


Totals = list[int]  # one number for each kind


def zero_totals() -> Totals:
    """Returns totals of zero for each kind."""
    return [0] * len(CountKind)


@dataclass(frozen=True)
class Coverage:
    """The part of the fleet that a fleet-wide value is based on."""

    reachable: int  # reachable members, this one included
    members: int
    oldest: float  # seconds since the last contact with the least recently reached of them

    def __str__(self) -> str:
        """Returns the coverage as log lines show it."""
        return f"{self.reachable} of {self.members} heard, oldest {self.oldest:.1f} s"


def count_key(service_type: str, customer: str, version: str) -> str:
    """Returns the key for requests with these properties."""
    return "/".join(part[:MAX_NAME] for part in (service_type, customer, version))


def merge_totals(one: dict[str, Totals], other: dict[str, Totals]) -> dict[str, Totals]:
    """Returns the maximum of each number; neither argument is changed."""
    keys = {**one, **other}
    return {key: list(map(max, one.get(key, zero_totals()), other.get(key, zero_totals()))) for key in keys}


@dataclass
class MemberCounts:
    """Totals reported by one incarnation of a member."""

    incarnation: int
    totals: dict[str, Totals] = field(default_factory=dict)


class Counts:
    """Request counts of this process, and those that it knows of the fleet."""

    def __init__(self) -> None:
        self.own: dict[str, Totals] = {}
        self.fleet: dict[str, Totals] = {}  # aggregates, as received from the leader
        self.unreported: dict[str, None] = {}  # own keys changed since their last report, oldest change first
        # Used while this process leads.
        self.members: dict[int, MemberCounts] = {}
        self.reported_totals: dict[str, Totals] = {}  # sums over all incarnations of all members
        self.unsent_aggregates: dict[str, None] = {}  # keys changed since last sent, oldest change first

    def increment(self, kind: int, service_type: str, customer: str, version: str) -> None:
        """Counts one request of this process under a CountKind."""
        key = count_key(service_type, customer, version)
        if key not in self.own and len(self.own) >= MAX_KEYS:
            key = OVERFLOW_KEY
        self.own.setdefault(key, zero_totals())[kind] += 1
        self.unreported[key] = None

    def next_report(self) -> list[Count]:
        """Returns changed counts of this process, as many as fit in one datagram."""
        return pop_fitting(self.unreported, self.own)

    def next_aggregates(self) -> list[Count]:
        """Returns changed aggregates for the leader to send, as many as fit in one datagram."""
        return pop_fitting(self.unsent_aggregates, self.fleet)

    def receive_report(self, sender: int, incarnation: int, counts: Iterable[Count]) -> None:
        """Merges a member's counts. The caller must leave out reports of earlier incarnations."""
        member = self.members.get(sender)
        if member is None or member.incarnation != incarnation:
            member = MemberCounts(incarnation)
            self.members[sender] = member
        totals = member.totals
        for count in counts:
            key = count.key if count.key in totals or len(totals) < MAX_KEYS else OVERFLOW_KEY
            old = totals.get(key, zero_totals())
            new = list(map(max, old, count.totals))
            totals[key] = new
            if new != old:
                self.add_to_aggregate(key, [after - before for after, before in zip(new, old, strict=True)])

    def add_to_aggregate(self, key: str, increase: Totals) -> None:
        """Adds an increase to the aggregate of a key."""
        key = self.bounded_key(key)
        before = self.reported_totals.get(key, zero_totals())
        self.reported_totals[key] = [total + more for total, more in zip(before, increase, strict=True)]
        self.receive_aggregates({key: self.reported_totals[key]})
        self.unsent_aggregates[key] = None

    def bounded_key(self, key: str) -> str:
        """Returns the key to count under: a member with many keys must not exhaust the leader's memory."""
        return key if key in self.fleet or len(self.fleet) < MAX_KEYS else OVERFLOW_KEY

    def receive_aggregates(self, aggregates: dict[str, Totals]) -> None:
        """Merges counts over the fleet; no total decreases."""
        for name, totals in aggregates.items():
            key = self.bounded_key(name)
            known = {key: self.fleet[key]} if key in self.fleet else {}
            self.fleet.update(merge_totals(known, {key: totals}))

    def reset(self) -> None:
        """Clears the own counts for a new incarnation: under both, a request would count twice."""
        self.own.clear()
        self.unreported.clear()


def pop_fitting(keys: dict[str, None], totals: dict[str, Totals]) -> list[Count]:
    """Removes as many keys as fit in a datagram, and returns their counts."""
    counts: list[Count] = []
    space = COUNT_SPACE
    for key in list(keys):
        size = encoded_size(key, totals[key])
        if size > space or len(counts) == MAX_COUNTS:
            break
        space -= size
        del keys[key]
        counts.append(Count(key, totals[key]))
    return counts


def encoded_size(key: str, totals: Totals) -> int:
    """Returns the maximum size in bytes of a count in MessagePack."""
    return len(key.encode()) + COUNT_OVERHEAD + sum(map(encoded_number_size, totals))


def encoded_number_size(number: int) -> int:
    """Returns the maximum size in bytes of a number in MessagePack."""
    if number > 0xFFFFFFFF:
        return 9
    return 5 if number > 127 else 1
