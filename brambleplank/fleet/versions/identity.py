"""Who takes part in an agreement on versions, and through which calls it reaches the process around it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleplank.fleet import messages

# Sends a message to a member by its number, or to all others.
SendMessage = Callable[[messages.Message, int | None], None]
# Prepares a text and judges it; calls back with the objection, "" for none, at once or later.
Reviewer = Callable[[int, bytes, Callable[[str], None]], None]


@dataclass(frozen=True)
class AgreementIdentity:
    """Names one agreement, and this process's place in it."""

    kind: int  # of text, in messages
    name: str  # in log lines
    number: int  # of this member
    members: int
    incarnation: int

    @property
    def majority(self) -> int:
        """How many members are more than half of them."""
        return self.members // 2 + 1


@dataclass(frozen=True)
class AgreementCallbacks:
    """What an agreement calls: `apply` with each version that comes into force here, and its digest."""

    send: SendMessage
    review: Reviewer
    apply: Callable[[int, int], None]
    log: Callable[[str], None]
