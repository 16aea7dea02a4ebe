"""A fleet member: the messages that one process sends and receives, and the budget units that it may use.

A host (`net/fleet_link.py`, or the simulated links of the tests) calls `tick` about ten times a second and
`receive_datagram` for each datagram, and transmits what `send_datagram` gets. No call waits for a reply:
whether a unit of a budget may be used is decided at once, from local state.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from brambleplank.fleet import invariants, messages
from brambleplank.fleet.errors import DatagramError, InvariantError, UnknownBudgetError
from brambleplank.fleet.leases.account import Account
from brambleplank.fleet.leases.budgets import Budget
from brambleplank.fleet.leases.client import LeaseClient
from brambleplank.fleet.leases.counts import Counts, Coverage
from brambleplank.fleet.leases.leader_election import LeaderElection
from brambleplank.fleet.leases.ledger import Borrower
from brambleplank.fleet.leases.lender import Lender
from brambleplank.fleet.membership import MemberIdentity, Membership
from brambleplank.fleet.reports import Reports
from brambleplank.fleet.server_observations import Observations, ServerObserver
from brambleplank.fleet.versions.agreements import Agreements
from brambleplank.fleet.versions.identity import AgreementIdentity

MS_PER_SECOND = 1000


class FleetMember:
    """One member of a fleet. `servers` returns the tags of the ready servers; `log` writes a log line."""

    def __init__(
        self,
        number: int,
        members: int,
        budgets: list[Budget],
        incarnation: int,
        now: float,
        seed: int,
        send_datagram: Callable[[bytes, int | None], None],
        log: Callable[[str], None],
        servers: Callable[[], list[int]] = list,
        check: bool = False,
    ) -> None:
        """`send_datagram` sends to one member by its number, or to all others (None)."""
        self.identity = MemberIdentity(number, members, incarnation, now)
        self.send_datagram = send_datagram
        self.log = log
        self.servers = servers
        self.check = check  # whether invariants are checked at each step
        self.rng = Random(seed)
        self.election = LeaderElection(number, members, incarnation, now, self.rng)
        self.accounts = {budget.name: Account(budget, number, now) for budget in budgets}
        by_tag = {account.budget.tag: account for account in self.accounts.values()}
        self.lease_client = LeaseClient(self.identity, by_tag, self.election, now, self.rng)
        self.lender = Lender(budgets)
        self.leading = False  # as of the last `update_leadership`
        self.reports = Reports(self.identity, self.election, self.send, servers, now, self.rng)
        self.membership = Membership(self.identity, now, log)
        self.agreements = Agreements(self.election)
        self.monotonic = invariants.MonotonicValues([self.monotonic_values])

    def agreement_identity(self, kind: int, name: str) -> AgreementIdentity:
        """Returns this process's identity in the agreement on one kind of text."""
        identity = self.identity
        return AgreementIdentity(kind, name, identity.number, identity.members, identity.incarnation)

    # Queries by the proxy.

    @property
    def counts(self) -> Counts:
        """Request counts of this process and of the fleet."""
        return self.reports.counts

    @property
    def server_observer(self) -> ServerObserver:
        """Server observations of this process and of the other members."""
        return self.reports.server_observer

    @property
    def partitioned(self) -> bool:
        """Whether no leader has answered a lease request for at least one lease duration."""
        return self.membership.partitioned

    def account(self, name: str) -> Account:
        """Returns this process's account of a budget. Raises UnknownBudgetError for an unknown name."""
        try:
            return self.accounts[name]
        except KeyError:
            raise UnknownBudgetError(f"no budget is named {name!r:.40}", "fleet") from None

    def try_acquire(self, now: float, name: str) -> bool:
        """Acquires one unit of a budget if one is free. Raises UnknownBudgetError."""
        acquired = self.account(name).try_acquire(now)
        if not acquired:
            self.lease_client.record_refusal()
        if self.check:
            self.check_invariants(now)
        return acquired

    def record_refusal(self, now: float, account: Account) -> None:
        """Records that a unit was requested and none was free; a lease request becomes due early."""
        account.record_refusal(now)
        self.lease_client.record_refusal()

    def has_lease(self, now: float) -> bool:
        """Returns whether the leader has answered a lease request within the last lease duration."""
        return self.lease_client.has_lease(now)

    def coverage(self, now: float) -> Coverage:
        """Returns the fleet's coverage: this member's own if it leads, else as the leader reported it."""
        return self.membership.coverage(now, self.election.is_leader(now))

    # Periodic work.

    def tick(self, now: float) -> None:
        """Runs the work that is due. Called about ten times a second."""
        try:
            self.run_due_tasks(now)
        except InvariantError as violation:
            self.recover(now, violation)

    def run_due_tasks(self, now: float) -> None:
        """Sends due messages, updates the leadership, and checks invariants if this is enabled."""
        self.send_due_heartbeat(now)
        self.update_leadership(now)
        self.agreements.tick(now)
        wait = self.lease_client.retry_wait()
        if self.lease_client.is_due(now):
            self.request_leases(now)
            self.lease_client.schedule_retry(now, wait)
        if self.reports.is_due(now):
            self.report(now)
        self.log_reachability(now)
        if self.check:
            self.check_invariants(now)

    def send_due_heartbeat(self, now: float) -> None:
        """Sends a heartbeat, if one is due."""
        due = self.election.due_heartbeat(now)
        if due is None:
            return
        coverage = self.coverage(now)
        heartbeat = messages.Heartbeat(
            incarnation=self.identity.incarnation,
            term=due.term,
            sequence=due.sequence,
            is_leader=self.election.is_leader(now),
            reachable=coverage.reachable if due.is_candidate else 0,
            oldest=round(coverage.oldest * MS_PER_SECOND),
        )
        self.send(heartbeat)

    def update_leadership(self, now: float) -> None:
        """Starts or ends this process's term as the election decides."""
        leading = self.election.is_leader(now)
        if leading and not self.leading:
            self.lender.begin_term(now)
            self.agreements.become_leader(now, self.election.candidacy.term)
            self.log(f"fleet: elected leader, term {self.election.candidacy.term}")
        elif self.leading and not leading:
            self.agreements.step_down()
            self.log("fleet: stepped down: no quorum")
        self.leading = leading

    def request_leases(self, now: float) -> None:
        """Sends a lease request to the followed process, which may be this one itself."""
        leader = self.election.leader
        if leader is None:
            return
        request = self.lease_client.next_request(now)
        if leader == self.identity.number:
            self.receive_lease_request(now, leader, request)
        else:
            self.send(request, leader)

    def report(self, now: float) -> None:
        """Reports to the leader; as the leader, publishes to all members."""
        leading = self.election.is_leader(now)
        leader = self.election.leader
        self.agreements.report(now, leader)
        self.reports.report(now, leader, leading)

    def log_reachability(self, now: float) -> None:
        """Logs the start and end of a partition; as the leader, also changes in members' reachability.

        Stops following a leader that answers no lease requests.
        """
        if self.leading:
            self.membership.log_unreachable(now)
        if self.election.stop_following_if_unanswered(now, self.lease_client.granted_at):
            self.log(f"fleet: member {self.election.leader} answers no lease requests; not followed for now")
        if not self.membership.update_partition(now, self.lease_client.granted_at):
            return
        if self.partitioned:
            reserves = ", ".join(
                f"{name} {account.allowance(now)}" for name, account in self.accounts.items()
            )
            self.log(
                f"fleet: partitioned (in the dark): no leases; "
                f"reserves: {reserves or 'none'}; counts are local"
            )
        else:
            self.log(f"fleet: partition over (out of the dark): {self.coverage(now)}")

    # Invariants.

    def check_invariants(self, now: float) -> None:
        """Checks the invariants. After a violation, leases are dropped and only the reserves are used."""
        ledgers = [*self.lender.ledgers.values()] if self.election.is_leader(now) else []
        servers = self.servers()
        ejected = self.server_observer.ejected_servers(now, servers)
        try:
            invariants.check(now, [*self.accounts.values()], ledgers, self.coverage(now))
            invariants.check_ejection_limit(ejected, servers)
            self.monotonic.check()
        except InvariantError as violation:
            self.recover(now, violation)

    def monotonic_values(self) -> dict[str, int]:
        """Returns the values that must not decrease while this process runs."""
        values = self.agreements.versions()
        values["counts"] = sum(map(sum, self.counts.fleet.values()))
        return values

    def recover(self, now: float, violation: InvariantError) -> None:
        """Logs a violated invariant and drops all leases, so that only the reserves remain."""
        self.log(f"fleet: {violation.with_advice()}")
        self.monotonic.accept()  # a violation is logged once only
        for account in self.accounts.values():
            account.drop_lease()
        self.lender.begin_term(now)

    # Messages.

    def send(self, message: messages.Message, to: int | None = None) -> None:
        """Sends a message to one member, or to all others."""
        self.send_datagram(messages.encode(message), to)

    def receive_datagram(self, now: float, sender: int, data: bytes) -> None:
        """Handles a datagram. Raises DatagramError if it is malformed or not from another member."""
        try:
            self.receive(now, sender, messages.decode(data))
        except InvariantError as violation:
            self.recover(now, violation)

    def receive(self, now: float, sender: int, message: messages.AnyMessage) -> None:
        """Handles a message of another member. One from an earlier incarnation is rejected with a reply."""
        if not self.membership.is_other(sender):
            raise DatagramError(f"sender {sender} is not another member", "fleet")
        member = self.membership.state(sender)
        if message.incarnation < member.incarnation:
            # A late message of an earlier process, or the sender's clock was set back.
            self.send(messages.StaleIncarnation(self.identity.incarnation, member.incarnation), sender)
            return
        if message.incarnation > member.incarnation:
            member.begin_incarnation(message.incarnation)
        self.dispatch(now, sender, message)

    def dispatch(self, now: float, sender: int, message: messages.AnyMessage) -> None:
        """Passes a message to its handler."""
        match message:
            case messages.LeaseRequest():
                self.note_reachable(now, sender)
                self.receive_lease_request(now, sender, message)
            case messages.Heartbeat():
                self.receive_heartbeat(now, sender, message)
            case messages.LeaseGrant():
                self.lease_client.receive_grant(now, sender, message)
            case messages.StaleIncarnation():
                self.receive_stale_incarnation(now, sender, message)
            case messages.CountReport() | messages.ServerObservations():
                self.receive_report(now, sender, message)
            case messages.Aggregates() | messages.Ejections():
                self.receive_leader_results(now, sender, message)
            case _:
                self.agreements.receive(now, sender, message)

    def note_reachable(self, now: float, sender: int) -> None:
        """Records that a lease request of a member has arrived."""
        self.membership.state(sender).last_request_at = now
        self.agreements.note_reachable(now, sender)

    def follows(self, sender: int, incarnation: int) -> bool:
        """Returns whether this process follows that incarnation of a member."""
        return self.election.followed.is_incarnation(sender, incarnation)

    def follows_leader(self, sender: int, incarnation: int) -> bool:
        """Returns whether this process follows that incarnation of a member, and it is the elected leader."""
        return self.follows(sender, incarnation) and self.election.followed.is_elected

    def receive_heartbeat(self, now: float, sender: int, heartbeat: messages.Heartbeat) -> None:
        """Handles a heartbeat, which may change the member that this process follows."""
        leader_before = self.election.leader
        if self.election.receive_heartbeat(now, sender, heartbeat):
            self.send(self.lease_client.pre_vote(now, heartbeat), sender)
        if self.election.leader not in (leader_before, None):
            self.lease_client.expedite(now)  # the new candidate needs this support to be elected
        if heartbeat.is_leader and self.follows(sender, heartbeat.incarnation):
            self.membership.receive_coverage(now, heartbeat.reachable, heartbeat.oldest / MS_PER_SECOND)

    def receive_lease_request(self, now: float, sender: int, request: messages.LeaseRequest) -> None:
        """Records the support and pre-vote in a lease request; as the leader, replies with a grant."""
        is_own = sender == self.identity.number
        if request.recipient != self.identity.incarnation:
            return
        earlier: list[Borrower] = []
        if not is_own:
            member = self.membership.state(sender)
            if request.sequence <= member.last_request_sequence:
                return  # A late or duplicate request states outdated units.
            member.last_request_sequence = request.sequence
            earlier = [Borrower(sender, incarnation) for incarnation in member.earlier_incarnations]
        if request.supports:
            self.election.receive_support(now, sender, request.heartbeat, request.term)
        if not is_own:
            self.election.receive_pre_vote(sender, request.heartbeat)
        if not self.election.is_leader(now):
            return
        self.update_leadership(now)
        if not self.election.candidacy.sent_in_current_term(request.heartbeat):
            return  # Sent before this term: its units may have been leased to another since.
        self.grant_leases(now, sender, request, earlier)

    def grant_leases(
        self, now: float, sender: int, request: messages.LeaseRequest, earlier: list[Borrower]
    ) -> None:
        """Grants leases in reply to a request, as the leader."""
        borrower = Borrower(sender, request.incarnation)
        try:
            leases = self.lender.grant(now, borrower, request, earlier)
        except InvariantError as violation:
            self.recover(now, violation)
            return
        grant = messages.LeaseGrant(self.identity.incarnation, request.incarnation, request.sequence, leases)
        if sender == self.identity.number:
            self.lease_client.receive_grant(now, sender, grant)
        else:
            self.send(grant, sender)

    def receive_stale_incarnation(self, now: float, sender: int, message: messages.StaleIncarnation) -> None:
        """Starts a new incarnation if the followed member knows a newer one of this process.

        The reply to a late message of an earlier incarnation, or a forged one, must not restart this member.
        """
        if message.known > self.identity.incarnation and self.follows(sender, message.incarnation):
            self.start_new_incarnation(now, message.known)

    def receive_report(
        self, now: float, sender: int, message: messages.CountReport | messages.ServerObservations
    ) -> None:
        """Handles the counts or server observations of a member."""
        if isinstance(message, messages.CountReport):
            self.counts.receive_report(sender, message.incarnation, message.counts)
        else:
            observations = Observations(message.healthy, message.failing)
            self.server_observer.receive_observations(
                now, sender, observations, message.tried_total, message.failing_total
            )

    def receive_leader_results(
        self, now: float, sender: int, message: messages.Aggregates | messages.Ejections
    ) -> None:
        """Handles the aggregates or ejections that the leader publishes."""
        if not self.follows_leader(sender, message.incarnation):
            return
        if isinstance(message, messages.Aggregates):
            self.counts.receive_aggregates({count.key: count.totals for count in message.counts})
        else:
            self.server_observer.receive_ejections(now, message.servers)

    def start_new_incarnation(self, now: float, known: int) -> None:
        """Starts an incarnation newer than the known one; members have rejected all messages of this one."""
        self.identity.reset(now, known + 1)
        self.lease_client.reset(now)
        self.election.reset(now, self.identity.incarnation)
        self.counts.reset()
        self.log("fleet: taken for an older incarnation; starts a new one")
