"""A limit on attempts at servers that have just started, over all proxies together."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from math import ceil, sqrt

from brambleplank.decisions.context import Context
from brambleplank.decisions.server_pool import ServerPool
from brambleplank.decisions.stage import Place, Stage
from brambleplank.model import PermitMessage
from brambleplank.records import POINTS_PER_SERVER, DecayingCounter, Request, Server

GRANTED_BUDGET_SHARE = 2 / 3  # of the budget, what attempts granted by chance come to on average
FREQUENT_TRIES = 1 / 4  # tries of each server in slow start in an overload window
PERMIT_WAIT_SHARE = 1 / 4  # of the shortest latency objective, for the answer to a permit request


class SlowStartBudget:
    """How many attempts a server in slow start bears, and how many of them are this proxy's."""

    def __init__(self, context: Context, server_pool: ServerPool) -> None:
        self.context = context
        self.server_pool = server_pool

    def tokens(self, now: float, server: Server, proxy_numbers: Iterable[int]) -> int:
        """Returns how many attempts in this slot the proxies of these numbers have together.

        They are dealt out by number, from the server's own points on, so that equal lists give equal shares.
        """
        first = server.points[self.server_pool.slots.update(now, server) % POINTS_PER_SERVER]
        proxies = self.context.settings.proxies
        budget = self.budget(now, server) * self.server_pool.slots.windows_per_slot()
        return sum(max(0, ceil((budget - (number + first) % proxies) / proxies)) for number in proxy_numbers)

    def budget(self, now: float, server: Server) -> float:
        """Returns the attempts of all proxies in an overload window. One attempt harms no server."""
        bearable = self.sustainable_attempts(now, server)
        # Any window touches two slots, and tokens are rounded up.
        return max(1.0, min(bearable, bearable / 2 + sqrt(bearable)))

    def sustainable_attempts(self, now: float, server: Server) -> float:
        """Returns the attempts in an overload window that the server bears at its age.

        Judged by what warm servers hold and serve.
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
        """Returns the attempts a second at all warm servers, for the size of this server."""
        settings = self.context.settings
        proxies_per_report = 1.0
        if not self.server_pool.load_reports.has_aggregate:
            proxies_per_report = settings.proxies / (1 + len(self.server_pool.load_reports.peers))
        connections = (
            proxies_per_report * self.server_pool.load.mean() * len(self.server_pool.endpoints.available)
        )
        # What one proxy serves, taken for what each does, is far off where clients are uneven.
        proxies_alike = min(
            settings.proxies, max(proxies_per_report, connections) / max(1, self.server_pool.counts.on_ready)
        )
        rate_by_connections = (
            connections * server.size / self.server_pool.endpoints.mean_size / settings.slow_start_time
        )
        return max(rate_by_connections, proxies_alike * self.server_pool.counts.served_rate(now))


class SlowStart(Stage):
    """Excludes servers in slow start that have had their budget.

    Where an aggregator is live, it grants permits for single attempts; otherwise each proxy has a share.
    """

    def __init__(
        self, context: Context, place: Place, server_pool: ServerPool, budgets: SlowStartBudget
    ) -> None:
        super().__init__(context)
        self.place = place
        self.server_pool = server_pool
        self.budgets = budgets
        self.tries = DecayingCounter()  # how often requests tried any server in slow start

    def is_in_slow_start(self, now: float, server: Server) -> bool:
        """Returns whether the server has started too lately to bear what others do."""
        return server.started > max(0.0, now - self.settings.slow_start_time)

    def update_slot(self, now: float, server: Server) -> int:
        """Returns the number of the server's present slot; a new one begins with no attempt sent."""
        return self.server_pool.slots.update(now, server)

    def sustainable_attempts(self, now: float, server: Server) -> float:
        """Returns the attempts in an overload window that the server bears at its age."""
        return self.budgets.sustainable_attempts(now, server)

    def budget(self, now: float, server: Server) -> float:
        """Returns the attempts of all proxies in an overload window."""
        return self.budgets.budget(now, server)

    def excludes(self, now: float, request: Request, server: Server) -> bool:
        """Returns whether the server is in slow start, and this request has neither permit nor token."""
        if not self.is_in_slow_start(now, server) or request.permit_for is server:
            return False
        if self.server_pool.load_reports.has_live_aggregator(now):
            return request.permit_requested
        return not self.has_token(now, server)

    def has_token(self, now: float, server: Server) -> bool:
        """Returns whether this proxy may send one more attempt there, by number or by chance."""
        tokens = self.budgets.tokens(now, server, [self.settings.proxy_number])
        self.tries.add(now, self.settings.overload_window)
        tries = self.tries_per_server(now)
        if self.settings.aggregates_load or tries >= FREQUENT_TRIES:
            return tokens > server.slow_start_sent
        # Where each server is tried rarely, most tokens dealt by number would expire unused.
        bearable = self.budgets.sustainable_attempts(now, server)
        share = max(1.0, GRANTED_BUDGET_SHARE * bearable) / self.settings.proxies
        # One group that moves would otherwise try a single server far oftener, at many proxies at once.
        return server.slow_start_sent <= share and self.context.rng.random() * max(tries, 2 * share) < share

    def tries_per_server(self, now: float) -> float:
        """Returns how often requests tried each server in slow start in the last overload window."""
        tries = self.tries.value(now, self.settings.overload_window)
        return tries / max(1, len(self.server_pool.endpoints.ready) - self.server_pool.endpoints.warm_count)

    def admit(self, now: float, request: Request) -> bool:
        """Counts the attempt at a server in slow start, or requests a permit for it."""
        server = request.target
        has_permit = request.permit_for is server
        request.permit_for = None  # It is for one attempt.
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
        """Asks the aggregator whether the request may go to the server; it waits for the answer."""
        request.permit_requested = True
        server.permit_requests[request] = None
        if self.server_pool.load_reports.is_aggregator:
            self.permit_answered(now, server, self.grant_permit(now, server))
            return
        self.host.send_permit_message(server, self.server_pool.load_reports.aggregator, PermitMessage.REQUEST)
        wait = self.settings.shortest_latency_objective * PERMIT_WAIT_SHARE
        self.host.call_later(wait, partial(self.permit_timed_out, server=server, request=request))

    def grant_permit(self, now: float, server: Server) -> bool:
        """Returns whether one more attempt may go there; only the aggregator decides this.

        It has the tokens of all proxies that report to it.
        """
        proxy_numbers = [*self.server_pool.load_reports.peers, self.settings.proxy_number]
        is_granted = (
            self.server_pool.load_reports.has_live_aggregator(now)
            and self.budgets.tokens(now, server, proxy_numbers) > server.slow_start_sent
        )
        if is_granted:
            server.slow_start_sent += 1
        return is_granted

    def permit_message_received(self, now: float, peer: int, server: Server, message: int) -> None:
        """Answers a peer's permit request, or takes in the answer to one of this proxy."""
        if message != PermitMessage.REQUEST:
            self.permit_answered(now, server, message != PermitMessage.DENY)
            return
        answer = PermitMessage.GRANT if self.grant_permit(now, server) else PermitMessage.DENY
        self.host.send_permit_message(server, peer, answer)

    def permit_answered(self, now: float, server: Server, is_granted: bool) -> None:
        """Gives the answer to the request that has asked first."""
        request = next(iter(server.permit_requests), None)
        if request is not None:
            self.finish_permit_request(now, server, request, is_granted)

    def permit_timed_out(self, now: float, server: Server, request: Request) -> None:
        """Denies a permit for which no answer has come in time."""
        if request in server.permit_requests:
            self.finish_permit_request(now, server, request, False)

    def finish_permit_request(self, now: float, server: Server, request: Request, is_granted: bool) -> None:
        """Places the request again, with the permit if it was granted."""
        del server.permit_requests[request]
        request.permit_for = server if is_granted else None
        if not request.answered:
            self.place(now, request)
