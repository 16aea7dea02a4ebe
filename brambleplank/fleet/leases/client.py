"""Requests leases from the leader for this process's accounts, and applies its grants."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Protocol

from brambleplank.backoff import exponential_backoff
from brambleplank.fleet.leases.account import Account
from brambleplank.fleet.leases.leader_election import LeaderElection
from brambleplank.fleet.leases.timing import HEARTBEAT_INTERVAL, LEASE_DURATION
from brambleplank.fleet.messages import Allocation, Heartbeat, LeaseGrant, LeaseRequest

EARLY_RETRY_INTERVAL = 0.25  # seconds between requests after a unit was refused for lack of a lease
BACKOFF_FACTOR = 1.5  # between consecutive waits while no reply arrives
MAX_RETRY_WAIT = 2 * HEARTBEAT_INTERVAL  # seconds
MS_PER_SECOND = 1000


class Identity(Protocol):
    """The identity of this process in lease requests."""

    @property
    def incarnation(self) -> int:
        """The incarnation of this process."""

    def age(self, now: float) -> float:
        """Seconds since it started."""


class LeaseClient:
    """This process as a borrower. `accounts` are keyed by the tags of their budgets."""

    def __init__(
        self,
        identity: Identity,
        accounts: Mapping[int, Account],
        election: LeaderElection,
        now: float,
        rng: Random,
    ) -> None:
        self.identity = identity
        self.accounts = accounts
        self.election = election
        self.rng = rng
        self.sequence = 0  # of the newest request
        self.requested_at = now
        self.granted_at = float("-inf")
        self.unanswered = 0  # requests since the last grant
        self.unit_refused = False  # for lack of a lease, since the last request
        self.due_at = now + rng.uniform(0, HEARTBEAT_INTERVAL)

    def has_lease(self, now: float) -> bool:
        """Returns whether the leader has answered a request within the last lease duration."""
        return now < self.granted_at + LEASE_DURATION

    def record_refusal(self) -> None:
        """Records that a unit was refused; the next request becomes due early."""
        self.unit_refused = True

    def expedite(self, now: float) -> None:
        """Makes a request due at once."""
        self.due_at = now

    def is_due(self, now: float) -> bool:
        """Returns whether to send a request now."""
        if now >= self.due_at:
            return True
        if not self.unit_refused:
            return False
        wait = exponential_backoff(EARLY_RETRY_INTERVAL, BACKOFF_FACTOR, self.unanswered, MAX_RETRY_WAIT)
        return now >= self.requested_at + wait

    def retry_wait(self) -> float:
        """Returns the seconds until the next request, which increase while the leader does not reply."""
        if not self.unanswered:
            return HEARTBEAT_INTERVAL
        # A candidate does not reply yet. Backing off would cost it its majority on lossy links.
        steps = self.unanswered - 1 if self.election.followed.is_elected else 0
        return exponential_backoff(HEARTBEAT_INTERVAL / 2, BACKOFF_FACTOR, steps, MAX_RETRY_WAIT)

    def schedule_retry(self, now: float, wait: float) -> None:
        """Schedules the next request in about `wait` seconds."""
        self.due_at = now + wait * self.rng.uniform(0.9, 1.0)

    def next_request(self, now: float) -> LeaseRequest:
        """Returns a request to the followed process, with all units that this process holds."""
        election = self.election
        supports = election.supports_leader(now)
        self.sequence += 1
        self.requested_at = now
        self.unit_refused = False
        self.unanswered += 1
        follows_itself = election.leader == election.number
        return LeaseRequest(
            incarnation=self.identity.incarnation,
            sequence=self.sequence,
            recipient=election.followed.incarnation,
            heartbeat=election.schedule.sequence if follows_itself else election.followed.heartbeat,
            supports=supports,
            age=self.age_ms(now),
            term=election.newest_term,
            allocations=[
                Allocation(tag, account.release_unused(now), account.wanted_units(now))
                for tag, account in self.accounts.items()
            ],
        )

    def pre_vote(self, now: float, heartbeat: Heartbeat) -> LeaseRequest:
        """Returns a pre-vote for the sender of a heartbeat. It makes no promise and requests no lease."""
        self.sequence += 1
        return LeaseRequest(
            incarnation=self.identity.incarnation,
            sequence=self.sequence,
            recipient=heartbeat.incarnation,
            heartbeat=heartbeat.sequence,
            supports=False,
            age=self.age_ms(now),
            term=self.election.newest_term,
            allocations=[],
        )

    def age_ms(self, now: float) -> int:
        """Returns the age of this process in ms."""
        return round(self.identity.age(now) * MS_PER_SECOND)

    def receive_grant(self, now: float, sender: int, grant: LeaseGrant) -> None:
        """Applies the reply to the newest request.

        The leader's record matches that request; earlier replies are void.
        """
        if grant.recipient != self.identity.incarnation:
            return
        is_answer = grant.request == self.sequence and self.unanswered
        if not is_answer or not self.election.followed.is_incarnation(sender, grant.incarnation):
            return
        self.granted_at = now
        self.unanswered = 0
        self.schedule_retry(self.requested_at, HEARTBEAT_INTERVAL)
        for lease in grant.leases:
            if lease.budget in self.accounts:
                self.accounts[lease.budget].receive_lease(self.requested_at, lease.amount)

    def reset(self, now: float) -> None:
        """Resets the client for a new incarnation, whose requests are numbered from 1 again."""
        self.sequence = 0
        self.unanswered = 0
        for account in self.accounts.values():
            account.reset(now)
