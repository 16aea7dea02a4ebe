"""The table `fleet` of a configuration file: the members and the budgets that they share. Performs no I/O.

The sidecar's TOML and the platform's JSON have the same keys; on the platform, the members are its `peers`.
"""

from __future__ import annotations

import os.path
from collections.abc import Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec

from brambleplank import addresses
from brambleplank.model import Address
from brambleplank.tables import DocumentReader, KeyPath, Seconds, apply_rules, key_note

if TYPE_CHECKING:
    from brambleplank.fleet.leases.budgets import Budget

REQUEST_BUDGETS = ("flows", "connections")  # kinds of budgets that each request needs units of
MAX_BUDGETS = 10  # as one lease request holds all of them


class BudgetTable(msgspec.Struct, forbid_unknown_fields=True):
    """What all processes together may use."""

    name: Annotated[str, key_note("its name, in the log and in rules", '"acme flows"')]
    of: Annotated[
        Literal["flows", "further", "connections", "away", "moves"],
        key_note(
            "new flows, connects beyond a flow's first, flows turned away by retirements, or moves, each in "
            "a window; or connections that stand",
            '"flows"',
        ),
    ]
    limit: Annotated[int, key_note("units over the whole fleet", "600", "", 1, 1_000_000_000)]
    window: Annotated[
        Seconds | None,
        key_note(
            "the time in which no more are used, whenever it begins; none for connections",
            '"10s"',
            "",
            0.5,
            600,
        ),
    ] = None
    reserve: Annotated[
        float,
        key_note(
            "share of the limit that processes may use by right, in the dark too, dealt evenly",
            "0.03",
            "",
            0,
            1,
        ),
    ] = 0.03
    service_type: Annotated[str, key_note("only flows of this service type; empty: of all", '"warnings"')] = (
        ""
    )
    customer: Annotated[str, key_note("only flows of this customer; empty: of all", '"acme"')] = ""

    def covers(self, service_type: str, customer: str) -> bool:
        """Returns whether requests of that service type and customer use this budget."""
        return self.service_type in ("", service_type) and self.customer in ("", customer)


class Fleet(msgspec.Struct, forbid_unknown_fields=True):
    """The processes that share budgets, counts and judgements."""

    listen: Annotated[str, key_note("address on which this process hears the others", '"127.0.0.1:7500"')] = (
        ""
    )
    members: Annotated[
        list[str],
        key_note(
            "addresses of all, in the order of their numbers, this one among them",
            '["127.0.0.1:7500"]',
        ),
    ] = msgspec.field(default_factory=list)
    check: Annotated[
        bool,
        key_note(
            "whether what must always hold is checked while it serves; a fault goes to the log",
            "false",
        ),
    ] = False
    routes: Annotated[
        str,
        key_note(
            "a file of rules, published to all by SIGHUP; empty: none",
            '"maps.routes.toml"',
        ),
    ] = ""
    budget: list[BudgetTable] = msgspec.field(default_factory=list)


@dataclass(frozen=True)
class FleetSettings:
    """The fleet settings of one process."""

    number: int  # of this process
    members: int
    table: Fleet
    addresses: tuple[Address, ...] = ()  # of all members, if the table lists them
    listen: Address | None = None
    routes: str = ""  # path of the rules file, if there is one

    def budgets(self) -> list[Budget]:
        """Returns the budgets of the table. Imports the class here, as only processes in a fleet need it."""
        from brambleplank.fleet.leases.budgets import Budget

        return [
            Budget(table.name, table.limit, float(table.window or 0.0), self.members, table.reserve)
            for table in self.table.budget
        ]


def check_budgets(
    reading: DocumentReader,
    table: Fleet,
    service_types: Collection[str],
    customers: Collection[str],
    at: KeyPath,
) -> None:
    """Reports all faults of the budgets. Customers are checked only if any are configured."""
    if len(table.budget) > MAX_BUDGETS:
        reading.add_fault((*at, "budget"), f"{len(table.budget)} budgets", f"keep {MAX_BUDGETS} at most")
    for n, budget in enumerate(table.budget):
        where = (*at, "budget", n)
        earlier = table.budget[:n]
        apply_rules(
            [
                lambda budget=budget, where=where, earlier=earlier: check_names(  # type: ignore[misc]
                    reading, budget, earlier, service_types, customers, where
                ),
                lambda budget=budget, where=where: check_window(reading, budget, where),  # type: ignore[misc]
                lambda budget=budget, where=where: check_scope(reading, budget, where),  # type: ignore[misc]
            ]
        )


def check_names(
    reading: DocumentReader,
    budget: BudgetTable,
    earlier: list[BudgetTable],
    service_types: Collection[str],
    customers: Collection[str],
    where: KeyPath,
) -> None:
    """Reports a budget name that is empty or a duplicate, and an unknown service type or customer."""
    if not budget.name or any(budget.name == other.name for other in earlier):
        reading.add_fault(
            (*where, "name"), f'"{budget.name}" is empty or used twice', "give each budget its own name"
        )
    if budget.service_type and budget.service_type not in service_types:
        reading.add_fault(
            (*where, "service_type"),
            f'no service type "{budget.service_type}"',
            f"write one of {', '.join(service_types)}",
        )
    if budget.customer and customers and budget.customer not in customers:
        reading.add_fault(
            (*where, "customer"), f'no customer "{budget.customer}"', f"write one of {', '.join(customers)}"
        )


def check_scope(reading: DocumentReader, budget: BudgetTable, where: KeyPath) -> None:
    """Reports a service type or customer in a budget that covers all requests."""
    for key in ("service_type", "customer"):
        if getattr(budget, key) and budget.of in ("away", "moves"):
            reading.add_fault((*where, key), f"a budget of {budget.of} has none", "leave it out")


def check_window(reading: DocumentReader, budget: BudgetTable, where: KeyPath) -> None:
    """Reports a window that is missing, or that a budget of open connections has."""
    at = (*where, "window")
    if budget.of == "connections" and budget.window is not None:
        reading.add_fault(at, "connections that stand have no window", "leave it out")
    if budget.of != "connections" and budget.window is None:
        reading.add_fault(at, "missing", 'write window = "10s"')


def check_members(reading: DocumentReader, table: Fleet, sidecars: int, at: KeyPath) -> None:
    """Reports all faults of the members and the listen address in the table itself."""
    if len(table.members) != sidecars:
        reading.add_fault(
            (*at, "members"),
            f"{len(table.members)} members, but sidecars = {sidecars}",
            "list every sidecar, in the order of their numbers",
        )
    parsed = [addresses.parse(text) for text in table.members]
    for n, (text, address) in enumerate(zip(table.members, parsed, strict=True)):
        if address is None or address in parsed[:n]:
            reading.add_fault(
                (*at, "members", n), f'"{text}" is not an address or is a duplicate', "list each once"
            )
    if addresses.parse(table.listen) is None:
        reading.add_fault(
            (*at, "listen"), f'"{table.listen}" is not an address', 'write one like "127.0.0.1:7500"'
        )


def decode_fleet_settings(table: Fleet, number: int, members: int, folder: str) -> FleetSettings:
    """Returns the settings in a valid table. `folder` is that of its file."""
    # pathlib would normalise the path, and so change log lines that contain it.
    routes = os.path.join(folder, table.routes) if table.routes else ""  # noqa: PTH118
    parsed = tuple(address for text in table.members if (address := addresses.parse(text)))
    listen = addresses.parse(table.listen) if table.listen else None
    return FleetSettings(number, members, table, parsed, listen, routes)
