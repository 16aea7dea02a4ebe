"""The process limit of open file descriptors (RLIMIT_NOFILE)."""

from __future__ import annotations

import resource


def raise_descriptor_limit(wanted: int) -> int:
    """Raises the soft limit to `wanted` descriptors, or to the hard limit if that is lower.

    Returns how many descriptors the process may open, at most `wanted`.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    reachable = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (reachable, hard))
    except (ValueError, OSError):
        return soft
    return reachable
