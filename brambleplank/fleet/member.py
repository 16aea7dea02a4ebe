"""One process's part in its fleet: what it sends, what it makes of what it receives, what it may spend.

A carrier (`net/fleet_link.py`, or the tests' virtual links) calls `tick` about ten times a second and
`receive_datagram` for each datagram, and sends what `say` is given. Nothing here waits for an answer: whether
a unit of a budget may be used is known at once.
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

MS_PER_SECOND = 1000  # in a second


class FleetMember:
    """`servers` gives the tags of the ready servers; `log` takes a line for operators."""

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
        """`say` sends a datagram to one member by its number, or to all others."""
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
        self.leading = False  # as of the last turn
        self.reports = Reports(self.identity, self.election, self.send, servers, now, self.rng)
        self.membership = Membership(self.identity, now, log)
        self.agreements = Agreements(self.election)
        self.monotonic = invariants.MonotonicValues([self.monotonic_values])

    def agreement_identity(self, kind: int, name: str) -> AgreementIdentity:
        """Returns this process's place in the agreement on a kind of text."""
        identity = self.identity
        return AgreementIdentity(kind, name, identity.number, identity.members, identity.incarnation)

    # What the proxy asks.

    @property
    def counts(self) -> Counts:
        """Counts of requests, this process's own and the fleet's."""
        return self.reports.counts

    @property
    def server_observer(self) -> ServerObserver:
        """What this process and the others found of servers."""
        return self.reports.server_observer

    @property
    def partitioned(self) -> bool:
        """Whether no leader has answered for the length of a lease."""
        return self.membership.partitioned

    def account(self, name: str) -> Account:
        """Returns this process's part of a budget. Raises UnknownBudgetError for a name that is not known."""
        try:
            return self.accounts[name]
        except KeyError:
            raise UnknownBudgetError(f"no budget of the name {name!r:.40}", "fleet") from None

    def try_acquire(self, now: float, name: str) -> bool:
        """Takes one unit of a budget, if this process may use one more. Raises UnknownBudgetError."""
        acquired = self.account(name).try_acquire(now)
        if not acquired:
            self.lease_client.record_refusal()
        if self.check:
            self.check_invariants(now)
        return acquired

    def record_refusal(self, now: float, account: Account) -> None:
        """A unit was wanted, and there was none; a lease is requested soon."""
        account.record_refusal(now)
        self.lease_client.record_refusal()

    def has_lease(self, now: float) -> bool:
        """Returns whether the leader has answered within the length of a lease."""
        return self.lease_client.has_lease(now)

    def coverage(self, now: float) -> Coverage:
        """Returns how much of the fleet is reachable, by this process if it leads or else by the leader."""
        return self.membership.coverage(now, self.election.is_leader(now))

    # Turns.

    def tick(self, now: float) -> None:
        """Takes a turn, about every tenth of a second."""
        try:
            self.run_due_tasks(now)
        except InvariantError as violation:
            self.recover(now, violation)

    def run_due_tasks(self, now: float) -> None:
        """Sends what is due."""
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
        """Begins or ends a term, where the election says so."""
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
        """Requests leases of the process that this one follows, which may be itself."""
        leader = self.election.leader
        if leader is None:
            return
        request = self.lease_client.next_request(now)
        if leader == self.identity.number:
            self.receive_lease_request(now, leader, request)
        else:
            self.send(request, leader)

    def report(self, now: float) -> None:
        """Reports to the leader, or as the leader to all."""
        leading = self.election.is_leader(now)
        leader = self.election.leader
        self.agreements.report(now, leader)
        self.reports.report(now, leader, leading)

    def log_reachability(self, now: float) -> None:
        """Logs when a partition begins and ends; as the leader, which members are unreachable."""
        if self.leading:
            self.membership.log_unreachable(now)
        if not self.membership.update_partition(now, self.lease_client.granted_at):
            return
        if self.partitioned:
            reserves = ", ".join(f"{name} {a.allowance(now)}" for name, a in self.accounts.items())
            self.log(
                f"fleet: partitioned (in the dark): no leases; "
                f"reserves: {reserves or 'none'}; counts are local"
            )
        else:
            self.log(f"fleet: partition over (out of the dark): {self.coverage(now)}")

    # Invariants.

    def check_invariants(self, now: float) -> None:
        """Checks what must hold. A state that cannot be is logged and not spent from."""
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
        """Returns what never falls while this process runs."""
        values = self.agreements.versions()
        values["counts"] = sum(map(sum, self.counts.fleet.values()))
        return values

    def recover(self, now: float, violation: InvariantError) -> None:
        """Logs a broken invariant, and goes on with the reserve alone."""
        self.log(f"fleet: {violation.with_advice()}")
        self.monotonic.accept()  # once logged is enough
        for account in self.accounts.values():
            account.drop_lease()
        self.lender.begin_term(now)

    # Messages.

    def send(self, message: messages.Message, to: int | None = None) -> None:
        """Sends a message to one member, or to all others."""
        self.send_datagram(messages.encode(message), to)

    def receive_datagram(self, now: float, sender: int, data: bytes) -> None:
        """Takes a datagram. Raises DatagramError for what is no message, or comes from no member."""
        try:
            self.receive(now, sender, messages.decode(data))
        except InvariantError as violation:
            self.recover(now, violation)

    def receive(self, now: float, sender: int, message: messages.AnyMessage) -> None:
        """Takes a message of another member, unless an older start of it has sent it."""
        if not self.membership.is_other(sender):
            raise DatagramError(f"from no other member: {sender}", "fleet")
        member = self.membership.state(sender)
        if message.incarnation < member.incarnation:
            # Late, by a start that is over; or its clock was set back.
            self.send(messages.StaleIncarnation(self.identity.incarnation, member.incarnation), sender)
            return
        if message.incarnation > member.incarnation:
            member.begin_incarnation(message.incarnation)
        self.dispatch(now, sender, message)

    def dispatch(self, now: float, sender: int, message: messages.AnyMessage) -> None:
        """Hands a message to what it concerns."""
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
                self.receive_published(now, sender, message)
            case _:
                self.agreements.receive(now, sender, message)

    def note_reachable(self, now: float, sender: int) -> None:
        """Notes that a member was heard."""
        self.membership.state(sender).last_request_at = now
        self.agreements.note_reachable(now, sender)

    def follows(self, sender: int, incarnation: int) -> bool:
        """Returns whether this process follows that start of a member."""
        return self.election.followed.is_incarnation(sender, incarnation)

    def follows_leader(self, sender: int, incarnation: int) -> bool:
        """Returns whether this process follows that start of a member, and it leads."""
        return self.follows(sender, incarnation) and self.election.followed.is_elected

    def receive_heartbeat(self, now: float, sender: int, heartbeat: messages.Heartbeat) -> None:
        """Takes a heartbeat; it may change whom this process follows."""
        leader_before = self.election.leader
        if self.election.receive_heartbeat(now, sender, heartbeat):
            self.send(self.lease_client.pre_vote(now, heartbeat), sender)
        if self.election.leader not in (leader_before, None):
            self.lease_client.expedite(now)  # a candidate waits for its supporters
        if heartbeat.is_leader and self.follows(sender, heartbeat.incarnation):
            self.membership.receive_coverage(now, heartbeat.reachable, heartbeat.oldest / MS_PER_SECOND)

    def receive_lease_request(self, now: float, sender: int, request: messages.LeaseRequest) -> None:
        """Takes a member's support and pre-vote; as the leader, answers by a grant."""
        own = sender == self.identity.number
        if request.recipient != self.identity.incarnation:
            return
        earlier: list[Borrower] = []
        if not own:
            member = self.membership.state(sender)
            if request.sequence <= member.last_request_sequence:
                return  # A late or repeated one says what its process had, not what it has.
            member.last_request_sequence = request.sequence
            earlier = [Borrower(sender, incarnation) for incarnation in member.earlier_incarnations]
        if request.supports:
            self.election.receive_support(now, sender, request.heartbeat, request.term)
        if not own:
            self.election.receive_pre_vote(sender, request.heartbeat)
        if not self.election.is_leader(now):
            return
        self.update_leadership(now)
        if not self.election.candidacy.sent_in_current_term(request.heartbeat):
            return  # Sent before this term, it may claim a lease that was granted to another since.
        self.grant_leases(now, sender, request, earlier)

    def grant_leases(
        self, now: float, sender: int, request: messages.LeaseRequest, earlier: list[Borrower]
    ) -> None:
        """Answers a lease request as the leader."""
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
        """Begins anew if the leader knows a newer start of this process.

        An answer to a late message of an earlier start, or a forged one, must not restart this member.
        """
        if message.known > self.identity.incarnation and self.follows(sender, message.incarnation):
            self.start_new_incarnation(now, message.known)

    def receive_report(
        self, now: float, sender: int, message: messages.CountReport | messages.ServerObservations
    ) -> None:
        """Takes what a member counted, or found of servers."""
        if isinstance(message, messages.CountReport):
            self.counts.receive_report(sender, message.incarnation, message.counts)
        else:
            observations = Observations(message.healthy, message.failing)
            self.server_observer.receive_observations(
                now, sender, observations, message.tried_total, message.failing_total
            )

    def receive_published(
        self, now: float, sender: int, message: messages.Aggregates | messages.Ejections
    ) -> None:
        """Takes what the leader makes of the reports."""
        if not self.follows_leader(sender, message.incarnation):
            return
        if isinstance(message, messages.Aggregates):
            self.counts.receive_aggregates({count.key: count.totals for count in message.counts})
        else:
            self.server_observer.receive_ejections(now, message.servers)

    def start_new_incarnation(self, now: float, known: int) -> None:
        """A start of this process with a higher number is known: nothing that this one sent was taken."""
        self.identity.reset(now, known + 1)
        self.lease_client.reset(now)
        self.election.reset(now, self.identity.incarnation)
        self.counts.reset()
        self.log("fleet: taken for an older incarnation; starts a new one")
