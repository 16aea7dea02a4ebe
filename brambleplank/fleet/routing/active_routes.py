"""The route table in force at one process, and publication of a changed file to the fleet. Free of I/O.

Reading a table of thousands of rules takes a second. `run_in_background` runs such a function and calls back
with its result; the host does so in a thread.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from brambleplank.fleet.errors import FleetError
from brambleplank.fleet.leases.counts import CountKind
from brambleplank.fleet.leases.timing import HEARTBEAT_INTERVAL
from brambleplank.fleet.member import FleetMember
from brambleplank.fleet.routing import route_table
from brambleplank.fleet.routing.lint import Finding, LintContext, lint
from brambleplank.fleet.versions.agreement import VersionAgreement
from brambleplank.fleet.versions.identity import AgreementCallbacks
from brambleplank.fleet.versions.texts import digest_of

TEXT_KIND = 0  # of route tables, in messages of version agreements
STARTUP_WAIT = 3 * HEARTBEAT_INTERVAL  # seconds that a starting process waits for the version in force
MAX_STORED_TABLES = 4
MAX_LOGGED_LINES = 8  # faults and findings of one text

RunInBackground = Callable[[Callable[[], Any], Callable[[Any], None]], None]


@dataclass(frozen=True)
class LintedTable:
    """The result of reading and linting a text."""

    table: route_table.RouteTable | None  # None if the text has faults
    faults: list[str]
    findings: list[Finding]

    @property
    def objections(self) -> list[str]:
        """Faults, or else findings, that prevent publication of the table."""
        return self.faults or [str(finding) for finding in self.findings if finding.objects]


class RouteTableError(FleetError):
    """A route table that cannot be used."""

    ADVICE = "correct the named line and start the process again"


class ActiveRoutes:
    """The route table in force at this process."""

    def __init__(
        self,
        fleet: FleetMember,
        lint_context: Callable[[bool], LintContext],
        run_in_background: RunInBackground,
        text: bytes,
        log: Callable[[str], Any],
    ) -> None:
        """Reads the file of this process, given as `text`. Raises RouteTableError if it has a fault.

        `lint_context` returns the context for a lint; its argument says whether the table is new, so that its
        dates are checked against the clock.
        """
        self.fleet = fleet
        self.lint_context = lint_context
        self.run_in_background = run_in_background
        self.log = log
        table, faults = route_table.read(text.decode(errors="replace"))
        if table is None:
            more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
            raise RouteTableError(f"{faults[0]}{more}")
        self.table = table
        self.started_at = fleet.identity.started_at
        self.tables: dict[int, route_table.RouteTable] = {}  # prepared tables, by the digests of their texts
        self.uses_own_file = False  # whether it has stopped waiting for the version in force
        self.agreement = VersionAgreement(
            fleet.agreement_identity(TEXT_KIND, "routes"),
            AgreementCallbacks(fleet.send, self.review, self.apply, log),
            fleet.rng,
        )
        fleet.agreements.add(self.agreement)
        self.agreement.set_initial_text(text)
        run_in_background(lambda: lint(table, self.lint_context(False)), self.log_lines)

    def is_ready(self, now: float) -> bool:
        """Returns whether requests may be served.

        If no member reports the version in force in time, the process serves by its own file, as an outdated
        file does less harm than a process that never serves.
        """
        if self.agreement.version or self.uses_own_file:
            return True
        if now >= self.started_at + STARTUP_WAIT:
            self.uses_own_file = True
            self.log("routes: no member reported the version in force: starts with its own file")
        return self.uses_own_file

    def find(self, service_type: str, customer: str, version: str, key: int) -> route_table.Route | None:
        """Returns the rule that decides a request; None if no rule matches, and the request is served."""
        return self.table.find(service_type, customer, version, key)

    def log_lines(self, lines: Sequence[object]) -> None:
        """Logs the first faults and findings of a text."""
        for line in lines[:MAX_LOGGED_LINES]:
            self.log(f"routes: {line}")

    # Publishing.

    def publish(self, now: float, text: bytes) -> None:  # noqa: ARG002
        """Requests publication of a changed file, unless it has faults or objections."""
        digest = digest_of(text)
        if digest == self.agreement.digest:
            return
        self.log("routes: the file is read and linted")

        def done(linted: LintedTable) -> None:
            self.log_lines([*linted.faults, *linted.findings])
            if linted.table is None or linted.objections:
                self.log("routes: not published; the table in force stays")
            else:
                self.store_table(digest, linted.table)
                self.agreement.publish(text, self.fleet.election.leader)

        self.run_in_background(lambda: self.read_and_lint(text, True), done)

    def read_and_lint(self, text: bytes, first_check: bool) -> LintedTable:
        """Reads and lints a text."""
        table, faults = route_table.read(text.decode(errors="replace"))
        if table is None:
            return LintedTable(None, list(map(str, faults)), [])
        return LintedTable(table, [], lint(table, self.lint_context(first_check)))

    def store_table(self, digest: int, table: route_table.RouteTable) -> None:
        """Stores a prepared table, and drops the oldest ones beyond the limit."""
        self.tables[digest] = table
        while len(self.tables) > MAX_STORED_TABLES:
            del self.tables[next(old for old in self.tables if old not in (digest, self.agreement.digest))]

    # Called by the agreement.

    def review(self, digest: int, text: bytes, done: Callable[[str], None]) -> None:
        """Reads and lints a proposed text, and calls back with the first objection, or ""."""

        def finish(linted: LintedTable) -> None:
            if linted.table is not None:
                self.store_table(digest, linted.table)
            done(linted.objections[0] if linted.objections else "")

        self.run_in_background(lambda: self.read_and_lint(text, False), finish)

    def apply(self, version: int, digest: int) -> None:
        """Puts the table of a version in force, which the review has prepared."""
        table = self.tables.get(digest)
        if table is None:
            self.log(f"routes: version {version} cannot be read here; the previous table stays in use")
        else:
            self.table = table


def requests_counted(fleet: FleetMember) -> set[tuple[str, str, str]]:
    """Returns the combinations of service type, customer and version of which a member counted a request."""
    counts = {**fleet.counts.fleet, **fleet.counts.own}
    found = (key.split("/") for key, totals in counts.items() if totals[CountKind.OFFERED])
    return {(parts[0], parts[1], parts[2]) for parts in found if len(parts) == 3}
