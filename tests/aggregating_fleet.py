"""Fleets of proxies that report their load to an aggregator, in virtual time."""

from __future__ import annotations

from tests.fake_host import PeeredFakeHost, make_fake_fleet


def advance_together(fakes: list[PeeredFakeHost], seconds: float, step: float = 0.05) -> None:
    """Advances the clocks of all proxies step by step."""
    for _ in range(round(seconds / step)):
        for fake in fakes:
            fake.advance(step)


def aggregators(fakes: list[PeeredFakeHost]) -> set[object]:
    """Returns the numbers of the aggregators that the proxies report to."""
    return {fake.balancer.server_pool.load_reports.aggregator for fake in fakes}


def make_aggregating_fleet(proxies: int) -> list[PeeredFakeHost]:
    """Returns proxies that exchange messages but do not probe; their sessions continue at other proxies."""
    return make_fake_fleet(proxies, PeeredFakeHost, probes_endpoints=False, passes_through=True)


def make_crowded_fleet(proxies: int) -> tuple[list[PeeredFakeHost], str]:
    """Returns proxies with an aggregator and one connection each at one server, and the server's id."""
    fakes = make_aggregating_fleet(proxies)
    crowded = fakes[0].balancer.ready_servers[0].id
    for fake in fakes:
        fake.establish(fake.request(group=3, server=fake.server(crowded)))
    advance_together(fakes, 6.0)
    return fakes, crowded
