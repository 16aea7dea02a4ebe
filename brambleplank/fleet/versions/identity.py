"""Identity of an agreement at one member, and the callbacks through which it reaches the process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleplank.fleet import messages

# Sends a message to the member with this number, or to all others (None).
SendMessage = Callable[[messages.Message, int | None], None]
# Prepares and reviews the text with this digest; calls back, at once or later, with the objection, or "".
Reviewer = Callable[[int, bytes, Callable[[str], None]], None]


@dataclass(frozen=True)
class AgreementIdentity:
    """Identifies an agreement, and this member in it."""

    kind: int  # of text, as in messages
    name: str  # in log lines
    number: int  # of this member
    members: int  # of the fleet
    incarnation: int

    @property
    def majority(self) -> int:
        """The smallest number of members that is a majority."""
        return self.members // 2 + 1


@dataclass(frozen=True)
class AgreementCallbacks:
    """Callbacks of an agreement; `apply` gets each version put in force at this member, and its digest."""

    send: SendMessage
    review: Reviewer
    apply: Callable[[int, int], None]
    log: Callable[[str], None]
