"""The route table in force at one process: its file, its lint, its versions. Free of I/O.

`work` runs a function that takes long (a table of thousands is read in a second) and calls back with its
result; the carrier does so in a thread.
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

KIND = 0  # of text, in messages
STARTUP_WAIT = 3 * HEARTBEAT_INTERVAL  # seconds that a start asks the others which version is in force
TABLES_KEPT = 4
MAX_LINES = 8  # findings that are logged one by one

Work = Callable[[Callable[[], Any], Callable[[Any], None]], None]


@dataclass(frozen=True)
class ReadTable:
    """What reading and linting a text came to."""

    table: route_table.RouteTable | None  # None: the text has faults
    faults: list[str]
    findings: list[Finding]

    @property
    def objections(self) -> list[str]:
        """What keeps the table from being published."""
        return self.faults or [str(finding) for finding in self.findings if finding.objects]


class RouteTableError(FleetError):
    """A route table that cannot be used."""

    ADVICE = "mend the line that is named; the table in force stays"


class ActiveRoutes:
    """`known` gives what this process knows, when asked; whether for a table that it has not seen."""

    def __init__(
        self,
        fleet: FleetMember,
        known: Callable[[bool], LintContext],
        work: Work,
        text: bytes,
        log: Callable[[str], Any],
    ) -> None:
        """`text` is this process's file. Raises RouteTableError if it has a fault."""
        self.fleet = fleet
        self.known = known
        self.work = work
        self.log = log
        table, faults = route_table.read(text.decode(errors="replace"))
        if table is None:
            more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
            raise RouteTableError(f"{faults[0]}{more}")
        self.table = table
        self.began = fleet.identity.started_at
        self.tables: dict[int, route_table.RouteTable] = {}  # prepared, by the digests of their texts
        self.by_file = False  # whether no member said which version is in force
        self.agreement = VersionAgreement(
            fleet.agreement_identity(KIND, "routes"),
            AgreementCallbacks(fleet.send, self.judge, self.apply, log),
            fleet.rng,
        )
        fleet.agreements.add(self.agreement)
        self.agreement.begin_with(text)
        work(lambda: lint(table, self.known(False)), self.log_lines)

    def is_ready(self, now: float) -> bool:
        """Returns whether requests may be taken. To wait for ever would cost more than an old file does."""
        if self.agreement.version or self.by_file:
            return True
        if now >= self.began + STARTUP_WAIT:
            self.by_file = True
            self.log("routes: no member reported the version in force: starts with its own file")
        return self.by_file

    def find(self, service_type: str, customer: str, version: str, key: int) -> route_table.Route | None:
        """Returns the rule that decides; None: the request is served as if there were no table."""
        return self.table.find(service_type, customer, version, key)

    def log_lines(self, lines: Sequence[object]) -> None:
        """Logs the first of these faults and findings."""
        for line in lines[:MAX_LINES]:
            self.log(f"routes: {line}")

    # Publishing.

    def publish(self, now: float, text: bytes) -> None:  # noqa: ARG002
        """Offers a changed file to the fleet, unless something is wrong with it."""
        digest = digest_of(text)
        if digest == self.agreement.digest:
            return
        self.log("routes: the file is read and linted")

        def done(read: ReadTable) -> None:
            self.log_lines([*read.faults, *read.findings])
            if read.table is None or read.objections:
                self.log("routes: not published; the table in force stays")
            else:
                self.keep(digest, read.table)
                self.agreement.publish(text, self.fleet.election.leader)

        self.work(lambda: self.read(text, True), done)

    def read(self, text: bytes, first_check: bool) -> ReadTable:
        """Reads and lints a text."""
        table, faults = route_table.read(text.decode(errors="replace"))
        if table is None:
            return ReadTable(None, list(map(str, faults)), [])
        return ReadTable(table, [], lint(table, self.known(first_check)))

    def keep(self, digest: int, table: route_table.RouteTable) -> None:
        """Stores a prepared table, and drops the oldest beyond the limit."""
        self.tables[digest] = table
        while len(self.tables) > TABLES_KEPT:
            del self.tables[next(old for old in self.tables if old not in (digest, self.agreement.digest))]

    # Called by the agreement.

    def judge(self, digest: int, text: bytes, done: Callable[[str], None]) -> None:
        """Reads and lints a proposed text, and calls back with the first objection."""

        def finish(read: ReadTable) -> None:
            if read.table is not None:
                self.keep(digest, read.table)
            done(read.objections[0] if read.objections else "")

        self.work(lambda: self.read(text, False), finish)

    def apply(self, number: int, digest: int) -> None:
        """Puts the prepared table of a version in force."""
        table = self.tables.get(digest)
        if table is None:
            self.log(f"routes: version {number} cannot be read here; the table before stays in use")
        else:
            self.table = table


def requests_counted(fleet: FleetMember) -> set[tuple[str, str, str]]:
    """Returns the service types, customers and versions of requests that any process has counted."""
    counts = {**fleet.counts.fleet, **fleet.counts.own}
    found = (key.split("/") for key, totals in counts.items() if totals[CountKind.OFFERED])
    return {(parts[0], parts[1], parts[2]) for parts in found if len(parts) == 3}
