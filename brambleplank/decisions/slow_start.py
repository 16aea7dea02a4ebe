"""A limit on the attempts of all proxies together at servers in slow start."""

from __future__ import annotations

from collections.abc import Collection
from functools import partial
from math import ceil, floor, sqrt

from brambleplank.decisions.context import Context
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.decisions.stage import Place, Stage
from brambleplank.model import PermitMessage
from brambleplank.records import POINTS_PER_SERVER, DecayingCounter, Request, Server

RANDOM_GRANT_SHARE = 2 / 3  # of the budget; the mean share that is used if attempts are admitted at random
FREQUENT_CHECKS = 1 / 4  # checks per server in slow start and overload window
PERMIT_WAIT_SHARE = 1 / 4  # of the shortest latency objective; timeout of a permit request


class SlowStartBudget:
    """The attempts that a server in slow start can sustain, and the shares of the proxies."""

    def __init__(self, context: Context, server_pool: ServerPool) -> None:
        self.context = context
        self.server_pool = server_pool

    def usable_tokens(self, now: float, server: Server, proxy_numbers: Collection[int]) -> int:
        """Returns the number of attempts that the given proxies may send together now.

        The tokens of a slot become usable one after another at equal distances, so that the budget of a new
        slot is not free at once. They are dealt out by proxy number, beginning with a proxy derived from the
        server's points, so that proxies with the same endpoint list agree on the shares.
        """
        proxies = self.context.settings.proxies
        budget = self.budget(now, server) * self.server_pool.slots.windows_per_slot()

        def tokens_until(slot: int, slot_share: float) -> int:
            first = server.points[slot % POINTS_PER_SERVER]
            last_index = ceil(budget) - 1 if slot_share >= 1.0 else floor(slot_share * budget)
            return sum(
                max(0, (last_index - (number + first) % proxies) // proxies + 1) for number in proxy_numbers
            )

        return self.server_pool.slots.usable_tokens(now, server, tokens_until)

    def budget(self, now: float, server: Server) -> float:
        """Returns the allowed attempts of all proxies per overload window; one is harmless to any server."""
        sustainable = self.sustainable_attempts(now, server)
        # A token lasts for a window, so another window may see those of up to two, and tokens are rounded up.
        return max(1.0, min(sustainable, sustainable / 2 + sqrt(sustainable)))

    def sustainable_attempts(self, now: float, server: Server) -> float:
        """Returns the attempts per overload window that the server can sustain at its age.

        The estimate is based on the connections and the served rate of warm servers.
        """
        settings = self.context.settings
        age = max(0.0, now - server.started)
        capacity = 1 - (1 - settings.slow_start_initial_share) * (1 - age / settings.slow_start_time)
        return (
            settings.overload_factor
            * (self.rate_on_warm_servers(now, server) * capacity)
            * settings.overload_window
            / max(1, self.server_pool.endpoints.warm_count)
        )

    def rate_on_warm_servers(self, now: float, server: Server) -> float:
        """Returns the attempts per second at all warm servers, scaled to the size of this server."""
        settings = self.context.settings
        proxies_per_report = 1.0
        if not self.server_pool.load_reports.has_aggregate:
            proxies_per_report = settings.proxies / (1 + len(self.server_pool.load_reports.peers))
        connections = (
            proxies_per_report * self.server_pool.load.mean() * len(self.server_pool.endpoints.available)
        )
        # Assuming that each proxy serves as much as this one is far off if clients are unevenly spread.
        proxies_alike = min(
            settings.proxies, max(proxies_per_report, connections) / max(1, self.server_pool.counts.on_ready)
        )
        rate_by_connections = (
            connections * server.size / self.server_pool.endpoints.mean_size / settings.slow_start_time
        )
        return max(rate_by_connections, proxies_alike * self.server_pool.counts.served_rate(now))


class SlowStart(Stage):
    """Excludes servers in slow start whose budget is spent.

    A live aggregator grants permits for single attempts; without one, each proxy has a share of the budget.
    """

    def __init__(
        self, context: Context, place: Place, server_pool: ServerPool, slow_start_budget: SlowStartBudget
    ) -> None:
        super().__init__(context)
        self.place = place
        self.server_pool = server_pool
        self.slow_start_budget = slow_start_budget
        self.candidate_checks = DecayingCounter()  # checks of servers in slow start for requests

    def is_in_slow_start(self, now: float, server: Server) -> bool:
        """Returns whether the server started less than the slow-start time ago."""
        return server.started > max(0.0, now - self.settings.slow_start_time)

    def update_slot(self, now: float, server: Server) -> int:
        """Returns the number of the server's current slot, and drops the unused tokens of earlier ones."""
        return self.server_pool.slots.update(now, server)

    def sustainable_attempts(self, now: float, server: Server) -> float:
        """Returns the attempts per overload window that the server can sustain at its age."""
        return self.slow_start_budget.sustainable_attempts(now, server)

    def budget(self, now: float, server: Server) -> float:
        """Returns the allowed attempts of all proxies per overload window."""
        return self.slow_start_budget.budget(now, server)

    def excludes(self, now: float, request: Request, server: Server) -> bool:
        """Returns whether the server is in slow start, and the request has no permit and cannot get one.

        Without a live aggregator, it is excluded if this proxy has no token left.
        """
        if not self.is_in_slow_start(now, server) or request.permit_for is server:
            return False
        if self.server_pool.load_reports.has_live_aggregator(now):
            return request.permit_requested
        return not self.has_token(now, server)

    def has_token(self, now: float, server: Server) -> bool:
        """Returns whether this proxy may send another attempt there, by its tokens or at random."""
        self.candidate_checks.add(now, self.settings.overload_window)
        candidate_checks = self.checks_per_server(now)
        if self.settings.aggregates_load or candidate_checks >= FREQUENT_CHECKS:
            return self.slow_start_budget.usable_tokens(now, server, [self.settings.proxy_number]) > 0
        # If requests for each server are rare, most tokens dealt by proxy number would expire unused.
        sustainable = self.slow_start_budget.sustainable_attempts(now, server)
        self.update_slot(now, server)
        share = max(1.0, RANDOM_GRANT_SHARE * sustainable) / self.settings.proxies
        # Otherwise a moving group could send far more attempts to a single server, through many proxies.
        return (
            server.slow_start_sent <= share
            and self.context.rng.random() * max(candidate_checks, 2 * share) < share
        )

    def checks_per_server(self, now: float) -> float:
        """Returns the checks per server in slow start in the last overload window."""
        candidate_checks = self.candidate_checks.value(now, self.settings.overload_window)
        return candidate_checks / max(
            1, len(self.server_pool.endpoints.ready) - self.server_pool.endpoints.warm_count
        )

    def admit(self, now: float, request: Request) -> bool:
        """Counts an attempt at a server in slow start, or requests a permit for it."""
        server = request.target
        has_permit = request.permit_for is server
        request.permit_for = None  # A permit is for one attempt.
        if has_permit:
            return True
        if not self.is_in_slow_start(now, server) or not self.server_pool.load_reports.has_live_aggregator(
            now
        ):
            server.slow_start_sent += 1
            return True
        self.request_permit(now, request, server)
        return False

    def request_permit(self, now: float, request: Request, server: Server) -> None:
        """Requests a permit from the aggregator; the request waits for the answer."""
        request.permit_requested = True
        server.permit_requests[request] = None
        if self.server_pool.load_reports.is_aggregator:
            self.permit_answered(now, server, self.grant_permit(now, server))
            return
        self.host.send_permit_message(server, self.server_pool.load_reports.aggregator, PermitMessage.REQUEST)
        wait = self.settings.shortest_latency_objective * PERMIT_WAIT_SHARE
        self.host.call_later(wait, partial(self.permit_timed_out, server=server, request=request))

    def grant_permit(self, now: float, server: Server) -> bool:
        """Returns whether another attempt may be sent to the server; called at the aggregator only.

        The aggregator has the tokens of all proxies that report to it.
        """
        proxy_numbers = [*self.server_pool.load_reports.peers, self.settings.proxy_number]
        is_granted = (
            self.server_pool.load_reports.has_live_aggregator(now)
            and self.slow_start_budget.usable_tokens(now, server, proxy_numbers) > 0
        )
        if is_granted:
            server.slow_start_sent += 1
        return is_granted

    def permit_message_received(self, now: float, peer: int, server: Server, message: int) -> None:
        """Answers a peer's permit request, or handles the answer to one of this proxy."""
        if message != PermitMessage.REQUEST:
            self.permit_answered(now, server, message != PermitMessage.DENY)
            return
        answer = PermitMessage.GRANT if self.grant_permit(now, server) else PermitMessage.DENY
        self.host.send_permit_message(server, peer, answer)

    def permit_answered(self, now: float, server: Server, is_granted: bool) -> None:
        """Applies the answer to the request that has waited longest."""
        request = next(iter(server.permit_requests), None)
        if request is not None:
            self.finish_permit_request(now, server, request, is_granted)

    def permit_timed_out(self, now: float, server: Server, request: Request) -> None:
        """Treats a permit request without a timely answer as denied."""
        if request in server.permit_requests:
            self.finish_permit_request(now, server, request, False)

    def finish_permit_request(self, now: float, server: Server, request: Request, is_granted: bool) -> None:
        """Places the request again, with the permit if it was granted."""
        del server.permit_requests[request]
        request.permit_for = server if is_granted else None
        if not request.answered:
            self.place(now, request)
