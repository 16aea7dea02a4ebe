"""Twisted's reactor, typed as what it is here: its own stubs do not name its methods."""

from __future__ import annotations

from typing import Any

from twisted.internet import reactor as _reactor

reactor: Any = _reactor
