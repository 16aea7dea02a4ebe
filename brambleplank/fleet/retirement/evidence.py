"""Evidence against turning callers away: recent counts, the coverage of the fleet, and missing servers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from brambleplank.fleet.leases.counts import CountKind, Coverage, Totals, count_key, zero_totals
from brambleplank.fleet.retirement.plan import Retirement, RetirementStage, RetirementStep

EVIDENCE_WINDOW = 60.0  # seconds of counts that are evaluated
SAMPLES_PER_WINDOW = 12
MIN_REACHABLE_SHARE = 0.8  # of the members; a retirement is halted below it
MAX_REFUSAL_INCREASE = 0.1  # of the refused share of the successor's requests; halted above it
RETRY_STORM_FACTOR = 2.0  # times the requests offered before callers were turned away; halted above it
MIN_REQUESTS = 20  # in a window, below which nothing is concluded


class CountSample(NamedTuple):
    """The fleet's counts at one time."""

    at: float
    counts: dict[str, Totals]


class Baseline(NamedTuple):
    """Counts of a window before callers were turned away."""

    refused_share: float = 0.0  # of the successor's requests
    offered: int = 0  # requests for the retired service type or version


class CountSamples:
    """Samples of the fleet's counts, from which those of the last window are computed."""

    def __init__(self, counts: Mapping[str, Totals]) -> None:
        """`counts`: the fleet's counts, which are updated in place."""
        self.counts = counts
        self.samples: deque[CountSample] = deque(maxlen=SAMPLES_PER_WINDOW + 1)

    def update(self, now: float) -> None:
        """Takes a sample if one is due."""
        if not self.samples or now >= self.samples[-1].at + EVIDENCE_WINDOW / SAMPLES_PER_WINDOW:
            self.samples.append(CountSample(now, {key: list(totals) for key, totals in self.counts.items()}))

    def recent_totals(self, service_type: str, version: str, customer: str | None = None) -> Totals:
        """Returns the totals of the last window for a version, of one customer or of all."""
        found = zero_totals()
        if not self.samples:
            return found
        wanted = count_key(service_type, "", version)
        first = self.samples[0].counts
        for key, totals in self.counts.items():
            counted_type, _, rest = key.partition("/")
            counted_customer, _, counted_version = rest.partition("/")
            if f"{counted_type}//{counted_version}" != wanted or customer not in (None, counted_customer):
                continue
            old = first.get(key, zero_totals())
            found = [n + max(0, a - b) for n, a, b in zip(found, totals, old, strict=True)]
        return found

    def offered(self, retirement: Retirement) -> int:
        """Returns how many requests for the retired service type or version came in the last window."""
        return self.recent_totals(retirement.service_type, retirement.version)[CountKind.OFFERED]

    def refused_share(self, retirement: Retirement) -> float:
        """Returns the share of the successor's requests refused in the last window; 0 if they were few."""
        counted = self.recent_totals(*retirement.successor)
        offered = counted[CountKind.OFFERED]
        return counted[CountKind.REFUSED] / offered if offered >= MIN_REQUESTS else 0.0


class Evidence:
    """Finds reasons to halt a retirement. `ready_servers` returns how many servers are ready."""

    def __init__(
        self,
        samples: CountSamples,
        coverage: Callable[[float], Coverage],
        ready_servers: Callable[[], int],
    ) -> None:
        self.samples = samples
        self.coverage = coverage
        self.ready_servers = ready_servers
        self.baselines: dict[str, Baseline] = {}  # by retirement

    def record_baseline(self, retirement: Retirement) -> None:
        """Records the counts before callers are turned away."""
        refused_share = self.samples.refused_share(retirement)
        self.baselines[retirement.name] = Baseline(refused_share, self.samples.offered(retirement))

    def reason_to_halt(self, now: float, retirement: Retirement, step: RetirementStep) -> str:
        """Returns why callers should not be turned away now; "" if there is no reason."""
        coverage = self.coverage(now)
        if coverage.reachable < MIN_REACHABLE_SHARE * coverage.members:
            return f"coverage is too small: {coverage}"
        if not self.ready_servers():
            return "the successor has no ready server"
        baseline = self.baselines.get(retirement.name, Baseline())
        refused = self.samples.refused_share(retirement)
        if refused > baseline.refused_share + MAX_REFUSAL_INCREASE:
            return f"the successor refuses {refused:.0%} of its flows, {baseline.refused_share:.0%} before"
        if step.stage == RetirementStage.SHEDDING and baseline.offered:
            offered = self.samples.offered(retirement)
            if offered > RETRY_STORM_FACTOR * baseline.offered + MIN_REQUESTS:
                return f"callers come again in a storm: {offered} flows a minute, {baseline.offered} before"
        return self.customer_below_floor(retirement)

    def customer_below_floor(self, retirement: Retirement) -> str:
        """Returns which customer has fewer requests served than its floor while some are turned away."""
        for terms in retirement.customer:
            if not terms.floor:
                continue
            counted = self.samples.recent_totals(retirement.service_type, retirement.version, terms.customer)
            served = counted[CountKind.SERVED]
            if counted[CountKind.SHED] and served < terms.floor:
                return (
                    f"{terms.customer} has {served} flows a minute served, below its floor of {terms.floor}"
                )
        return ""
