"""The context that all parts of one proxy's decisions share."""

from __future__ import annotations

from random import Random

from brambleplank.decisions.interface import Host
from brambleplank.model import Settings
from brambleplank.records import Request, Server


class Context:
    """The host, the current settings and the random number generator.

    All parts of a balancer share one context, so that a reload replaces their settings at once.
    """

    def __init__(self, host: Host[Request, Server], settings: Settings, rng: Random) -> None:
        self.host = host
        self.settings = settings
        self.rng = rng

    @property
    def deadline_margin(self) -> float:
        """Seconds before its deadline at which a request is answered, so that the answer arrives in time."""
        return 2 * self.settings.tick

    def update_settings(self, settings: Settings) -> None:
        """Replaces the current settings."""
        self.settings = settings
