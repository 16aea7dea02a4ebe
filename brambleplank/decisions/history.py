"""What a balancer has learned, handed on to the next process of its proxy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class BalancerHistory:
    """State learned over all servers; times in seconds."""

    usual_response_time: float  # from sending an attempt to its answer
    first_list_at: float  # negative: no list received
    served: float  # decaying count of connections that ended normally
    served_at: float  # time of the newest of them
    concurrency_limit: float  # concurrent attempts
