"""Follows a sidecar's endpoint source without accepting requests; prints each change with its time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brambleplank.model import Address, Endpoint, Settings
from brambleplank.net.clock import Clock
from brambleplank.net.loop import reactor
from brambleplank.sidecar.endpoint_sources import endpoint_source
from brambleplank.sidecar.reader import read


class EndpointPrinter:
    """Stands in for the proxy of an endpoint source, and prints what the source reports."""

    def __init__(self, settings: Settings | None, write_line: Callable[[str], object]) -> None:
        self.settings = settings
        self.write_line = write_line
        self.clock = Clock()
        self.known: dict[str, tuple[Endpoint, Address]] = {}

    def log(self, text: str) -> None:
        """Prints a line with its time."""
        self.write_line(f"{self.clock.now():.3f} {text}")

    def report_exception(self, error: BaseException, _trace: object) -> None:
        """Prints an exception that the source reports."""
        self.log(f"fault {type(error).__name__}: {error}")

    def endpoints_received(
        self, endpoints: list[Endpoint], addresses: dict[str, Address], whole: bool
    ) -> None:
        """Prints each endpoint that is added, changed or, in a complete list, removed."""
        listed = {endpoint.id for endpoint in endpoints}
        for server in [server for server in self.known if whole and server not in listed]:
            del self.known[server]
            self.log(f"{server} gone")
        for endpoint in endpoints:
            address = addresses[endpoint.id]
            if self.known.get(endpoint.id) != (endpoint, address):
                host, port = address
                place = f"zone={endpoint.zone or '-'} cell={endpoint.cell} size={endpoint.size:g}"
                self.log(f"{endpoint.id} {endpoint.status.value} at {host}:{port} {place}")
            self.known[endpoint.id] = (endpoint, address)


def main(path: str, seconds: float, write_line: Callable[[str], object]) -> int:
    """Runs for the given seconds, or until interrupted if 0; returns 2 if the file has a fault, else 0."""
    loaded = read(path)
    if loaded.faults:
        write_line("\n".join(loaded.fault_lines()))
        return 2
    printer: Any = EndpointPrinter(loaded.settings, write_line)
    source = endpoint_source(printer, loaded)

    def begin() -> None:
        source.apply_initial_list()
        source.ensure_watching()
        if seconds:
            printer.clock.call_later(seconds, reactor.stop)

    reactor.callWhenRunning(begin)
    reactor.run()
    return 0
