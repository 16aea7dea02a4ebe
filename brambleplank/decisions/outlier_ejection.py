"""Ejection of servers that fail attempts or leave them unanswered for unusually long."""

from __future__ import annotations

from brambleplank.decisions.concurrency_limiter import ConcurrencyLimiter
from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.decisions.stage import Penalty, Stage
from brambleplank.model import AttemptOutcome
from brambleplank.records import Attempt, Request, Server

REINSTATEMENT_TRIALS = 8  # allowed trial attempts, doubled from one, at which a server is reinstated
MAX_EJECTED_SHARE = 1 / 2  # of the ready servers
MAX_SILENCE_SCORE = 3.0  # a healthy server is silent for longer with a probability of 1 in 1,000
LOG10_E = 0.4343  # converts silence divided by the mean response time into the silence score
LEARNING_RATE = 1 / 8  # weight of the newest response time
MIN_USUAL_SHARE = 1 / 4  # of the shortest latency objective; lower bound of the usual response time
SILENT = "silent"  # reason in log lines, besides the values of AttemptOutcome

NOT_SERVER_FAULTS = frozenset(
    (AttemptOutcome.OK, AttemptOutcome.CANCELLED, AttemptOutcome.ABANDONED, AttemptOutcome.LOCAL_FAULT)
)
NOT_SERVER_FAULTS_IF_CONGESTED = NOT_SERVER_FAULTS | {AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT}


class OutlierEjection(Stage):
    """Ejects servers, and allows a doubling number of trial attempts until they are reinstated."""

    def __init__(self, context: Context, endpoints: EndpointList, limiter: ConcurrencyLimiter) -> None:
        super().__init__(context)
        self.endpoints = endpoints
        self.limiter = limiter
        self.usual_response_time = 0.0  # seconds from an attempt to its answer, over all servers

    def restore_usual_response_time(self, seconds: float) -> None:
        """Restores the usual response time of a previous process of this proxy."""
        self.usual_response_time = seconds

    def penalty(self, now: float, _request: Request, server: Server) -> Penalty:
        """Returns HARMFUL for an ejected server that may have no further trial attempt yet."""
        self.eject_if_silent(now, server)
        allowed = server.trial_attempts
        if allowed > 0 and (now < server.next_trial_at or len(server.pending_attempts) >= allowed):
            return Penalty.HARMFUL
        return Penalty.NONE

    def silence_score(self, now: float, server: Server) -> float:
        """Returns minus log10 of the probability of the server's current silence.

        Response times are assumed to be exponentially distributed.
        """
        oldest = next(iter(server.pending_attempts), None)
        silence = server.unanswered_time + (now - oldest.sent if oldest else 0.0)
        usual = max(
            server.usual_response_time,
            self.usual_response_time,
            self.settings.shortest_latency_objective * MIN_USUAL_SHARE,
        )
        return LOG10_E * silence / usual

    def eject_if_silent(self, now: float, server: Server) -> None:
        """Ejects the server if its silence score is too high."""
        if server.trial_attempts == 0 and self.silence_score(now, server) > MAX_SILENCE_SCORE:
            self.eject(now, server, SILENT)

    def eject(self, now: float, server: Server, reason: str) -> None:
        """Ejects the server, unless too many are ejected.

        If it is already ejected, extends the ejection by twice its previous time.
        """
        was_in_use = server.trial_attempts == 0
        if was_in_use and self.has_too_many_ejected():
            return
        server.ejection_time = self.next_ejection_time(server)
        server.trial_attempts = 1
        server.unanswered_time = 0.0
        server.fails_every_attempt = reason != AttemptOutcome.ERROR.value
        self.endpoints.note_failing_server()
        server.next_trial_at = now + server.ejection_time * self.context.rng.uniform(0.75, 1.25)
        if was_in_use:
            self.host.log(f"{server.id} ejected: {reason}")

    def has_too_many_ejected(self) -> bool:
        """Returns whether so many servers are ejected that the cause is most likely common to all."""
        ready = self.endpoints.ready
        return sum(server.trial_attempts > 0 for server in ready) >= MAX_EJECTED_SHARE * len(ready)

    def next_ejection_time(self, server: Server) -> float:
        """Returns the server's next ejection time in seconds, doubled at each further failure."""
        if server.trial_attempts == 0:
            return self.settings.shortest_latency_objective
        return min(2 * server.ejection_time, self.settings.slow_start_time)

    def attempt_established(self, _now: float, attempt: Attempt, delay: float) -> None:
        """Updates the usual response times; doubles the trial attempts of an ejected server."""
        server = attempt.server
        server.unanswered_time = 0.0
        server.fails_every_attempt = False
        self.learn_response_time(server, delay)
        if server.trial_attempts:
            server.trial_attempts *= 2
            if server.trial_attempts >= REINSTATEMENT_TRIALS:
                server.trial_attempts = 0
                self.host.log(f"{server.id} reinstated")

    def learn_response_time(self, server: Server, delay: float) -> None:
        """Updates the moving averages of response times, of the server and of all servers."""
        if server.usual_response_time:
            server.usual_response_time += LEARNING_RATE * (delay - server.usual_response_time)
        else:
            server.usual_response_time = delay
        # It rises at once: otherwise a delay common to all servers would make each of them look silent.
        smoothed = self.usual_response_time + LEARNING_RATE * (delay - self.usual_response_time)
        self.usual_response_time = max(delay, smoothed)

    def attempt_ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome, delay: float) -> None:
        """Ejects the server after a failure, unless the cause is most likely elsewhere."""
        server = attempt.server
        is_shared = self.limiter.is_congested(now, attempt.request.traffic_class.deadline)
        if attempt.established or outcome in (
            NOT_SERVER_FAULTS_IF_CONGESTED if is_shared else NOT_SERVER_FAULTS
        ):
            return
        if outcome is AttemptOutcome.TIMEOUT:
            server.unanswered_time += delay
        if outcome is AttemptOutcome.TIMEOUT and not server.trial_attempts:
            self.eject_if_silent(now, server)
        else:
            self.eject(now, server, outcome.value)
