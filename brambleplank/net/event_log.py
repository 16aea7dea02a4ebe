"""Log lines and counters for ended requests, failed attempts and changed servers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from brambleplank.interfaces import ClientConnection, UpstreamConnection
from brambleplank.model import AttemptOutcome, Endpoint, EndpointStatus
from brambleplank.net.log import LogWriter
from brambleplank.net.metrics import Metrics
from brambleplank.records import Server


class EventLog:
    """Writes one log line and increments one counter for each event."""

    def __init__(self, log: LogWriter) -> None:
        self._log = log
        self.metrics = Metrics()

    def client_ended(self, client: ClientConnection, age: float, turned_away: bool) -> None:
        """Records a client that has its final answer, or whose connection closed; `age` is in seconds."""
        server_name = client.upstreams[-1].endpoint.name if client.upstreams else "-"
        name = client.id or "-"
        attempts = len(client.upstreams)
        self.metrics.count("requests_ended", client.end_code)
        refusal = client.request.reject_reason if client.request else None
        if refusal:
            self.metrics.count("requests_refused", refusal.value)
        why = refusal.value if refusal else client.connection_error
        text = f"end {client.end_code} {name} server={server_name} connects={attempts} age={age:.3f}"
        self._log.write_line(
            f"{text} why={why}" if why else text,
            turned_away=turned_away,
            end=client.end_code,
            id=name,
            server=server_name,
            connects=attempts,
            age=round(age, 3),
            why=why,
        )

    def attempt_failed(self, upstream: UpstreamConnection, end: AttemptOutcome, delay: float) -> None:
        """Records an attempt that ended before it was established; `delay` is in seconds."""
        self.metrics.count("attempts_ended", end.value)
        name = upstream.client.id
        number = upstream.attempt_number
        server_name = upstream.endpoint.name
        self._log.write_line(
            f"attempt {name} number={number} server={server_name} result={end.value} delay={delay:.3f}",
            attempt=True,
            id=name,
            number=number,
            server=server_name,
            result=end.value,
            delay=round(delay, 3),
        )

    def endpoints_changed(
        self,
        now: float,
        endpoints: Iterable[Endpoint],
        known_servers: Mapping[str, Server],
        slow_start_time: float,
    ) -> None:
        """Records the servers that an endpoint list adds, removes, drains or reports as restarted."""
        for endpoint in endpoints:
            server = known_servers.get(endpoint.id)
            starts = endpoint.started > max(server.started if server else 0.0, now - slow_start_time)
            if server and server.status is endpoint.status and not starts:
                continue
            if server is None and endpoint.status is EndpointStatus.REMOVED:
                continue
            self.metrics.count("servers_changed", "started" if starts else endpoint.status.value)
            age = f", started {now - endpoint.started:.1f} s ago" if starts else ""
            self._log.write_line(f"server: {endpoint.id} {endpoint.status.value}{age}", server=endpoint.id)
