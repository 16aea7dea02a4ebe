"""State of a server that a process hands to its successor, besides its connections. Does no I/O.

Processes of other releases read the stored form, so its keys are fixed; attributes may be renamed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from brambleplank.net.upstream_endpoint import upstream_endpoint_of
from brambleplank.platform.stored_values import (
    decode_array,
    decode_integer,
    decode_number,
    decode_number_pair,
)
from brambleplank.records import Server

MAX_PROBE_DELAYS = 16  # latest probes that are handed off for each server


@dataclass(frozen=True)
class ServerState:
    """State of one server; times are those of `Clock.now`, durations are in seconds, both with fractions."""

    unready_since: float
    started: float
    usual_response_time: float
    unanswered_time: float
    ejection_time: float
    next_trial_at: float
    slow_until: float
    overdue_until: float
    dropping_until: float
    message_time_reported_at: float
    trial_attempts: int
    slow_start_slot: int
    slow_start_sent: int
    recent_attempts: float
    recent_attempts_at: float
    probe_delays: list[float]
    typical_probe_delay: float

    @classmethod
    def capture(cls, server: Server) -> ServerState:
        """Captures the state of a server in this process."""
        endpoint = upstream_endpoint_of(server)
        return cls(
            unready_since=server.unready_since,
            started=server.started,
            usual_response_time=server.usual_response_time,
            unanswered_time=server.unanswered_time,
            ejection_time=server.ejection_time,
            next_trial_at=server.next_trial_at,
            slow_until=server.slow_until,
            overdue_until=server.overdue_until,
            dropping_until=server.dropping_until,
            message_time_reported_at=server.message_time_reported_at,
            trial_attempts=server.trial_attempts,
            slow_start_slot=server.slow_start_slot,
            slow_start_sent=server.slow_start_sent,
            recent_attempts=server.recent_attempts.count,
            recent_attempts_at=server.recent_attempts.updated_at,
            probe_delays=endpoint.probe_delays[-MAX_PROBE_DELAYS:],
            typical_probe_delay=endpoint.reported_typical_delay,
        )

    def restore(self, server: Server) -> None:
        """Applies the state to the server record of this process."""
        server.unready_since = self.unready_since
        server.started = self.started
        server.usual_response_time = self.usual_response_time
        server.unanswered_time = self.unanswered_time
        server.ejection_time = self.ejection_time
        server.next_trial_at = self.next_trial_at
        server.slow_until = self.slow_until
        server.overdue_until = self.overdue_until
        server.dropping_until = self.dropping_until
        server.message_time_reported_at = self.message_time_reported_at
        server.trial_attempts = self.trial_attempts
        server.slow_start_slot = self.slow_start_slot
        server.slow_start_sent = self.slow_start_sent
        server.recent_attempts.count = self.recent_attempts
        server.recent_attempts.updated_at = self.recent_attempts_at
        endpoint = upstream_endpoint_of(server)
        endpoint.probe_delays = list(self.probe_delays)
        endpoint.reported_typical_delay = self.typical_probe_delay

    def encode(self) -> dict[str, Any]:
        """Returns the stored form, as plain values for JSON."""
        return {
            "unready_since": self.unready_since,
            "started": self.started,
            "gap": self.usual_response_time,
            "silence": self.unanswered_time,
            "pause": self.ejection_time,
            "retry_at": self.next_trial_at,
            "slow_until": self.slow_until,
            "late_until": self.overdue_until,
            "dropping_until": self.dropping_until,
            "told_at": self.message_time_reported_at,
            "trickle": self.trial_attempts,
            "cold_slot": self.slow_start_slot,
            "cold_sent": self.slow_start_sent,
            "recent": [self.recent_attempts, self.recent_attempts_at],
            "delays": self.probe_delays,
            "usual": self.typical_probe_delay,
        }

    @classmethod
    def decode(cls, stored: dict[str, Any], key: str) -> ServerState:
        """Decodes the stored form; `key` is its path, for errors.

        Raises InvalidConfigurationError, which names the key.
        """

        def decode_time(name: str) -> float:
            return decode_number(stored.get(name), f"{key}.{name}")

        def decode_count(name: str) -> int:
            return decode_integer(stored.get(name), f"{key}.{name}")

        recent_attempts, recent_attempts_at = decode_number_pair(stored.get("recent"), f"{key}.recent")
        delays = decode_array(stored.get("delays"), f"{key}.delays")[-MAX_PROBE_DELAYS:]
        return cls(
            unready_since=decode_time("unready_since"),
            started=decode_time("started"),
            usual_response_time=decode_time("gap"),
            unanswered_time=decode_time("silence"),
            ejection_time=decode_time("pause"),
            next_trial_at=decode_time("retry_at"),
            slow_until=decode_time("slow_until"),
            overdue_until=decode_time("late_until"),
            dropping_until=decode_time("dropping_until"),
            message_time_reported_at=decode_time("told_at"),
            trial_attempts=decode_count("trickle"),
            slow_start_slot=decode_count("cold_slot"),
            slow_start_sent=decode_count("cold_sent"),
            recent_attempts=recent_attempts,
            recent_attempts_at=recent_attempts_at,
            probe_delays=[decode_number(delay, f"{key}.delays") for delay in delays],
            typical_probe_delay=decode_time("usual"),
        )
