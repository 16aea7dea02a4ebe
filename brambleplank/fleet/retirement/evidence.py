"""What speaks against turning callers away: counts of the last minute, coverage, servers that are missing."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from brambleplank.fleet.leases.counts import CountKind, Coverage, Totals, count_key, zero_totals
from brambleplank.fleet.retirement.plan import Retirement, RetirementStage, RetirementStep

EVIDENCE_WINDOW = 60.0  # seconds over which evidence is weighed
SAMPLES = 12  # of the counts in a window
MIN_REACHABLE_SHARE = 0.8  # share of the members that must be heard
MAX_REFUSAL_INCREASE = 0.1  # share of refused requests of the successor, over what it was, that halts
RETRY_STORM_FACTOR = 2.0  # times what callers offered before that halts
MIN_REQUESTS = 20  # in a window, under which nothing is concluded


class Sample(NamedTuple):
    """The counts over the fleet at one time."""

    at: float
    counts: dict[str, Totals]


class Baseline(NamedTuple):
    """What was counted before callers were turned away."""

    refused_share: float = 0.0  # of the requests for the successor
    offered: int = 0  # requests for what is retired


class CountSamples:
    """Counts over the fleet, sampled so that those of the last window can be told from older ones."""

    def __init__(self, counts: Mapping[str, Totals]) -> None:
        """`counts` are the fleet's, as they change."""
        self.counts = counts
        self.samples: deque[Sample] = deque(maxlen=SAMPLES + 1)

    def update(self, now: float) -> None:
        """Takes a sample, if one is due."""
        if not self.samples or now >= self.samples[-1].at + EVIDENCE_WINDOW / SAMPLES:
            self.samples.append(Sample(now, {key: list(totals) for key, totals in self.counts.items()}))

    def lately(self, service_type: str, version: str, customer: str | None = None) -> Totals:
        """Returns what was counted in the last window, of one customer or of all."""
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
        """Returns the requests for what is retired in the last window."""
        return self.lately(retirement.service_type, retirement.version)[CountKind.OFFERED]

    def refused_share(self, retirement: Retirement) -> float:
        """Returns the share of the successor's requests that were refused in the last window."""
        counted = self.lately(*retirement.successor)
        offered = counted[CountKind.OFFERED]
        return counted[CountKind.REFUSED] / offered if offered >= MIN_REQUESTS else 0.0


class Evidence:
    """Finds reasons to halt a retirement. `servers` gives how many are ready."""

    def __init__(
        self,
        samples: CountSamples,
        coverage: Callable[[float], Coverage],
        servers: Callable[[], int],
    ) -> None:
        self.samples = samples
        self.coverage = coverage
        self.servers = servers
        self.baselines: dict[str, Baseline] = {}  # by retirement

    def take_baseline(self, retirement: Retirement) -> None:
        """Notes the counts before callers are turned away."""
        refused_share = self.samples.refused_share(retirement)
        self.baselines[retirement.name] = Baseline(refused_share, self.samples.offered(retirement))

    def reason_to_halt(self, now: float, retirement: Retirement, step: RetirementStep) -> str:
        """Returns why nobody should be turned away now; "" if nothing speaks against it."""
        coverage = self.coverage(now)
        if coverage.reachable < MIN_REACHABLE_SHARE * coverage.members:
            return f"coverage is too small: {coverage}"
        if not self.servers():
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
        """Returns which customer is served too little while some of its requests are turned away."""
        for terms in retirement.customer:
            if not terms.floor:
                continue
            counted = self.samples.lately(retirement.service_type, retirement.version, terms.customer)
            served = counted[CountKind.SERVED]
            if counted[CountKind.SHED] and served < terms.floor:
                return f"{terms.customer} has {served} flows a minute served, {terms.floor} are its floor"
        return ""
