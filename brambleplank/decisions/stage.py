"""The base class of the stages that requests, and outcomes of their attempts, pass."""

# ruff: noqa: ARG002 - the parameters are for subclasses

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

from brambleplank.decisions.context import Context
from brambleplank.decisions.interface import Host
from brambleplank.model import AttemptOutcome, Settings
from brambleplank.records import Attempt, Request, Server

Place = Callable[[float, Request], None]  # passes a request down the chain, at the given time


class Penalty(IntEnum):
    """How strongly evidence speaks against a server. A HARMFUL one gets no request, even as the last one."""

    NONE = 0
    FULL = 1
    SLOW = 2
    HARMFUL = 3


class Stage:
    """One step of the chain. Methods that are not overridden let all requests pass."""

    def __init__(self, context: Context) -> None:
        self.context = context

    @property
    def host(self) -> Host[Request, Server]:
        """The host of the decisions."""
        return self.context.host

    @property
    def settings(self) -> Settings:
        """The current settings."""
        return self.context.settings

    def admit(self, now: float, request: Request) -> bool:
        """Returns whether to pass the request on; if not, this stage has queued or ended it."""
        return True

    def excludes(self, now: float, request: Request, server: Server) -> bool:
        """Returns whether a rule excludes the server for this request."""
        return False

    def penalty(self, now: float, request: Request, server: Server) -> Penalty:
        """Returns the penalty of the server for this request."""
        return Penalty.NONE

    def attempt_established(self, now: float, attempt: Attempt, delay: float) -> None:
        """Handles an attempt that was established, `delay` seconds after it was sent."""

    def attempt_ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome, delay: float) -> None:
        """Handles an attempt that failed, or a session that ended, `delay` seconds after it was sent."""
