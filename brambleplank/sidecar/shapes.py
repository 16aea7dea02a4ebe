"""The structs of a sidecar's file: every key with its type, range, default and description.

Durations are written like "300ms" or "3s", sizes like "64MiB". Within these ranges the proxy can keep its
rules; checks that involve several keys are in `rules.py`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from brambleplank.discovery.file.server_file import End, Server
from brambleplank.fleet.shapes import Fleet
from brambleplank.tables import Seconds, Size, default_value, key_note

OUTSIDE_LOOPBACK_CONSENT = "any machine may connect"  # a phrase, so that nobody sets it by accident


class Listen(msgspec.Struct, forbid_unknown_fields=True):
    """Where the application connects: an address or a Unix socket."""

    address: Annotated[str | None, key_note("address on loopback", '"127.0.0.1:7400"')] = None
    socket: Annotated[
        str | None,
        key_note(
            "path of a Unix socket",
            '"/run/maps/brambleplank.sock"',
        ),
    ] = None
    mode: Annotated[str, key_note("rights of the Unix socket, in octal", '"0660"')] = "0660"
    outside_loopback: Annotated[
        str,
        key_note(
            "lets `address` lie outside loopback, if asked for in these words",
            f'"{OUTSIDE_LOOPBACK_CONSENT}"',
        ),
    ] = ""


class Limits(msgspec.Struct, forbid_unknown_fields=True):
    """What the sidecar may hold."""

    connections: Annotated[
        int,
        key_note(
            "standing connections that the application keeps at most",
            "200",
            "no flow lost",
            1,
            100_000,
        ),
    ] = 200
    descriptors: Annotated[
        int,
        key_note(
            "file descriptors it may hold; near the end flows are rejected at once",
            "1024",
            "no flow lost",
            64,
            1_048_576,
        ),
    ] = 1024
    memory: Annotated[
        Size,
        key_note(
            "memory it may hold; near the end flows are rejected at once",
            '"128MiB"',
            "no flow lost",
            64 * 1024**2,
            64 * 1024**3,
        ),
    ] = default_value(Size(128 * 1024**2))


class Connects(msgspec.Struct, forbid_unknown_fields=True):
    """How a flow is connected."""

    most: Annotated[
        int,
        key_note(
            "connects a flow may have, the first included",
            "3",
            "no effect twice",
            1,
            4,
        ),
    ] = 3
    up_within: Annotated[
        Seconds,
        key_note(
            "a connection that is not up by then never comes up",
            '"150ms"',
            "no flow lost",
            0.001,
            10,
        ),
    ] = default_value(Seconds(0.15))
    withdraw: Annotated[
        bool,
        key_note(
            "whether a connect that takes too long may be called off",
            "true",
            "no flow lost",
        ),
    ] = True
    come_back_within: Annotated[
        Seconds,
        key_note(
            'longest pause told with a reject; "0s": no advice',
            '"2s"',
            "given up on, answered at once",
            0,
            600,
        ),
    ] = default_value(Seconds(2.0))


class Drain(msgspec.Struct, forbid_unknown_fields=True):
    """What a server that drains may still get."""

    window: Annotated[
        Seconds,
        key_note(
            "nothing new reaches a server later than this after the list told that it drains",
            '"1s"',
            "drains kept",
            0.25,
            3,
        ),
    ] = default_value(Seconds(1.0))


class Cold(msgspec.Struct, forbid_unknown_fields=True):
    """Servers that have just started."""

    able: Annotated[
        float,
        key_note(
            "share of its usual work that a server can do as it starts",
            "0.2",
            "a cold server is not pushed over",
            0.01,
            1,
        ),
    ] = 0.2
    warm_within: Annotated[
        Seconds,
        key_note(
            "time from its start to its usual work",
            '"20s"',
            "a cold server is not pushed over",
            0.1,
            3600,
        ),
    ] = default_value(Seconds(20.0))
    falls_over_at: Annotated[
        float,
        key_note(
            "times what it can do at which a server is pushed over",
            "3.0",
            "a cold server is not pushed over",
            1,
            100,
        ),
    ] = 3.0
    falls_within: Annotated[
        Seconds,
        key_note(
            "time over which that is counted",
            '"2s"',
            "a cold server is not pushed over",
            0.01,
            600,
        ),
    ] = default_value(Seconds(2.0))


class ServiceType(msgspec.Struct, forbid_unknown_fields=True):
    """One service type of the application."""

    name: Annotated[str, key_note("as OPEN names it, c=NAME", '"warnings"')]
    effect: Annotated[
        Literal["repeatable", "referenced", "once-only"],
        key_note(
            "what happens when a flow runs twice",
            '"repeatable"',
            "no effect twice",
        ),
    ]
    setup_target: Annotated[Seconds, key_note("how soon a flow should stand", '"300ms"', "", 0.001, 60)]
    connect_timeout: Annotated[
        Seconds,
        key_note(
            "the longest that a client waits for its answer",
            '"1800ms"',
            "no flow lost",
            0.01,
            60,
        ),
    ]
    message_target: Annotated[
        Seconds | None,
        key_note(
            "how soon a line should come back; as the setup target if left out",
            '"100ms"',
            "",
            0.001,
            60,
        ),
    ] = None
    group: Annotated[
        Literal["all", "zone", "cell"] | None,
        key_note(
            "referenced: the servers that drop repeats of a flow",
            '"zone"',
            "no effect twice",
        ),
    ] = None
    window: Annotated[
        Seconds | None,
        key_note(
            "referenced: for how long they do",
            '"5s"',
            "no effect twice",
            0.001,
            86400,
        ),
    ] = None


class Servers(msgspec.Struct, forbid_unknown_fields=True):
    """Where the list of servers comes from, unless this file lists them itself."""

    file: Annotated[
        str, key_note("a file of [[server]] tables, looked at again and again", '"maps.servers.toml"')
    ]


class Consul(msgspec.Struct, forbid_unknown_fields=True):
    """Servers from Consul's catalogue and health, instead of a file."""

    agents: Annotated[list[str], key_note("addresses of agents, asked in this order", '["127.0.0.1:8500"]')]
    services: Annotated[list[str], key_note("the services whose servers are used", '["feeds"]')]
    datacenter: Annotated[str, key_note("the datacenter asked for; empty: the agent's own", '"edin"')] = ""
    tag: Annotated[str, key_note("only servers with this tag", '"live"')] = ""
    reads: Annotated[
        Literal["default", "stale", "consistent"],
        key_note(
            "how fresh an answer has to be",
            '"default"',
        ),
    ] = "default"
    wait: Annotated[
        Seconds,
        key_note(
            "how long a query may wait for a change",
            '"30s"',
            "",
            1,
            600,
        ),
    ] = default_value(Seconds(30))
    token_file: Annotated[
        str, key_note("a file with the token; read again when refused", '"/run/maps/token"')
    ] = ""
    zone_key: Annotated[str, key_note("the key of Meta with a server's zone", '"zone"')] = "zone"
    cell_key: Annotated[str, key_note("the key of Meta with its cell", '"cell"')] = "cell"
    size_key: Annotated[str, key_note("the key of Meta with its size; weights count beside it", '"size"')] = (
        "size"
    )
    started_key: Annotated[str, key_note("the key of Meta with its start, Unix seconds", '"started"')] = (
        "started"
    )
    state_key: Annotated[str, key_note('the key of Meta that drains it, as "draining"', '"state"')] = "state"
    settle: Annotated[
        Seconds,
        key_note(
            "critical must last so long before nothing new goes there",
            '"1s"',
            "",
            0,
            60,
        ),
    ] = default_value(Seconds(1))
    steady: Annotated[
        Seconds,
        key_note(
            "passing must last so long after that, doubled at each further flap",
            '"1s"',
            "",
            0,
            60,
        ),
    ] = default_value(Seconds(1))
    steadiest: Annotated[Seconds, key_note("the longest of these", '"30s"', "", 0, 3600)] = default_value(
        Seconds(30)
    )
    forget: Annotated[
        Seconds,
        key_note(
            "a flap is forgotten after so long",
            '"60s"',
            "",
            1,
            86400,
        ),
    ] = default_value(Seconds(60))
    healthy: Annotated[
        float,
        key_note(
            "share of healthy servers, in a zone and over all, below which the last good set stays in use",
            "0.5",
            "",
            0,
            1,
        ),
    ] = 0.5
    stalest: Annotated[
        Seconds,
        key_note(
            "an answer longer without contact to the leader may only add drains",
            '"5s"',
            "drains kept",
            0,
            3600,
        ),
    ] = default_value(Seconds(5))


class Log(msgspec.Struct, forbid_unknown_fields=True):
    """What it writes to standard error."""

    form: Annotated[
        Literal["lines", "json"],
        key_note(
            "lines for people, or one JSON object a line",
            '"lines"',
        ),
    ] = "lines"


class Ready(msgspec.Struct, forbid_unknown_fields=True):
    """How it says that it takes flows, for the application's start order."""

    file: Annotated[str | None, key_note("a file that exists while it takes flows", '"/run/maps/ready"')] = (
        None
    )


class File(msgspec.Struct, forbid_unknown_fields=True):
    """A sidecar's file."""

    application: Annotated[str, key_note("the application it stands beside", '"maps"')]
    listen: Listen
    service_type: Annotated[list[ServiceType], key_note("one table a service type", "[[service_type]]")]
    zone: Annotated[str, key_note("its own zone: probes keep to servers there", '"a"')] = ""
    customers: Annotated[
        list[str],
        key_note(
            "customers that OPEN may name, t=NAME; empty: any",
            '["acme"]',
        ),
    ] = msgspec.field(default_factory=list)
    groups: Annotated[bool, key_note("whether flows of one g= share work, and go together", "true")] = False
    probes: Annotated[
        bool,
        key_note(
            "whether servers answer PING, so that slow ones are seen early",
            "true",
        ),
    ] = False
    sidecars: Annotated[
        int,
        key_note(
            "sidecars that send to the same servers, this one included; they share what cold ones may get",
            "1",
            "a cold server is not pushed over",
            1,
            10_000,
        ),
    ] = 1
    number: Annotated[
        int,
        key_note(
            "its own number among them, from 0, another one for each",
            "0",
            "a cold server is not pushed over",
            0,
            9999,
        ),
    ] = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    connects: Connects = msgspec.field(default_factory=Connects)
    drain: Drain = msgspec.field(default_factory=Drain)
    cold: Cold = msgspec.field(default_factory=Cold)
    servers: Servers | None = None
    consul: Consul | None = None
    server: list[Server] = msgspec.field(default_factory=list)
    fleet: Fleet | None = None
    log: Log = msgspec.field(default_factory=Log)
    ready: Ready = msgspec.field(default_factory=Ready)
    end: End | None = None
