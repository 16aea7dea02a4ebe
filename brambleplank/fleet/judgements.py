"""Judgements on servers by the word of several: whom this process passes over though it has not tried it.

A server is judged bad only if several members that tried it lately say so, and most of those that tried it;
at most a stated share of the servers at once, the worst first. A member that finds most servers bad has a
network that is ill, and counts for nothing. Own good experience goes before hearsay, and all of it runs out.
A judgement never makes a server more eligible: it adds to what the list and the decisions hold against it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from brambleplank.fleet.leader_election import TELL

LATELY = 8.0  # seconds for which a try speaks
TRIES = 3  # failed ones, before a server is called bad
AGREE = 2  # members at least that must call it bad
CEILING = 1 / 5  # share of the servers that may be judged bad at once, rounded down
HOLDS = 3 * TELL  # seconds that a verdict holds
MOST_SERVERS = 1024
MOST_TOLD = 40


@dataclass
class Tries:
    """What this process met at one server."""

    failed: int = 0
    good_at: float = float("-inf")
    at: float = float("-inf")


@dataclass
class Say:
    """What one member last said."""

    at: float
    good: frozenset[int]
    bad: frozenset[int]
    ill: bool


@dataclass
class Judgements:
    """This process's own tries, what others said, and the verdicts that hold here."""

    tries: dict[int, Tries] = field(default_factory=dict)  # by tag, longest ago first
    says: dict[int, Say] = field(default_factory=dict)
    verdicts: dict[int, float] = field(default_factory=dict)  # until when

    def tried(self, now: float, tag: int, good: bool) -> None:
        tries = self.tries.pop(tag, None) or Tries()
        if now >= tries.at + LATELY:
            tries.failed = 0
        tries.at, tries.failed = now, 0 if good else tries.failed + 1
        if good:
            tries.good_at = now
        self.tries[tag] = tries
        while len(self.tries) > MOST_SERVERS:
            del self.tries[next(iter(self.tries))]

    def opinions(self, now: float) -> tuple[list[int], list[int]]:
        """Servers found good and bad lately."""
        lately = {tag: t for tag, t in self.tries.items() if now < t.at + LATELY}
        bad = [tag for tag, t in lately.items() if t.failed >= TRIES]
        return [tag for tag, t in lately.items() if not t.failed], bad

    def said(
        self, now: float, who: int, good: Iterable[int], bad: Iterable[int], tried: int, ill: int
    ) -> None:
        """What a member found, of so many servers tried and so many of them ill."""
        self.says[who] = Say(now, frozenset(good), frozenset(bad), 2 * ill > tried)

    def judged(self, now: float, servers: int) -> list[int]:
        """Whom several call bad, of so many servers in all: said by who is in office."""
        says = [s for s in self.says.values() if now < s.at + LATELY and not s.ill]
        bad = Counter(tag for s in says for tag in s.bad)
        good = Counter(tag for s in says for tag in s.good)
        agreed = [tag for tag, n in bad.items() if n >= AGREE and n > 2 * good[tag]]
        agreed.sort(key=lambda tag: (-bad[tag], tag))
        return agreed[: min(MOST_TOLD, int(CEILING * servers))]

    def heard(self, now: float, tags: Iterable[int]) -> None:
        self.verdicts = {tag: until for tag, until in self.verdicts.items() if now < until}
        self.verdicts.update(dict.fromkeys(list(tags)[:MOST_TOLD], now + HOLDS))

    def passed_over(self, now: float, servers: list[int]) -> list[int]:
        """Which of these servers are passed over by the word of others.

        Danger: a confused teller names all.
        """
        found = []
        for tag in servers:
            tries = self.tries.get(tag)
            if now < self.verdicts.get(tag, 0.0) and not (tries and now < tries.good_at + LATELY):
                found.append(tag)
        return found[: int(CEILING * len(servers))]
