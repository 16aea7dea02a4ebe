"""Runs a sidecar: starts its proxy and its application, handles reloads, and shuts both down."""

from __future__ import annotations

import os
import resource
import secrets
import shutil
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from twisted.internet import error, threads
from twisted.python.failure import Failure

from brambleplank import addresses
from brambleplank.errors import BrambleplankError
from brambleplank.frontends.line.client_connections import LineFrontend
from brambleplank.frontends.line.ping_probe import PingProbe
from brambleplank.net.buffers import BACKLOG, ClientListener
from brambleplank.net.clock import Clock
from brambleplank.net.descriptors import raise_descriptor_limit
from brambleplank.net.faults import log_unhandled_exceptions
from brambleplank.net.log import LogWriter, format_plain_line
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy
from brambleplank.net.signals import EarlyReload, block_exit_signals
from brambleplank.net.unix import SocketPathError, SocketPathLock, create_unix_listener
from brambleplank.sidecar import file_changes
from brambleplank.sidecar.application import Application, notify
from brambleplank.sidecar.endpoint_sources import StaticEndpoints, endpoint_source
from brambleplank.sidecar.reader import LoadedFile, read

MEMORY_CHECK_INTERVAL = 0.5  # seconds
READY_CHECK_INTERVAL = 0.02  # seconds
APPLICATION_STOP_TIME = 10.0  # seconds between SIGTERM and SIGKILL for the application
APPLICATION_END_DELAY = 0.5  # seconds for the application's connections to close after its process has ended


class FileReader:
    """Reads a sidecar's file in a thread: thousands of servers would block the event loop noticeably."""

    def __init__(
        self, path: str, loaded: Callable[[LoadedFile], None], failed: Callable[[str], None]
    ) -> None:
        self.path = path
        self.loaded = loaded
        self.failed = failed
        self.is_reading = False
        self.is_requested_again = False

    def request(self) -> None:
        """Reads the file. During a read, schedules another one, as the file may have been replaced since."""
        if self.is_reading:
            self.is_requested_again = True
            return
        self.is_reading = True
        reading: Any = threads.deferToThreadPool(reactor, reactor.getThreadPool(), read, self.path)
        reading.addCallbacks(self._loaded, self._failed)

    def _loaded(self, loaded: LoadedFile) -> None:
        self._finish()
        self.loaded(loaded)

    def _failed(self, failure: Failure) -> None:
        self._finish()
        self.failed(type(failure.value).__name__)

    def _finish(self) -> None:
        is_requested_again = self.is_requested_again
        self.is_reading = False
        self.is_requested_again = False
        if is_requested_again:
            self.request()


class Sidecar:
    """Owns a proxy, its endpoint source, listener and application; starts and stops them in order."""

    def __init__(self, loaded: LoadedFile, command: list[str]) -> None:
        assert loaded.file and loaded.settings
        self.loaded = loaded
        self.file = loaded.file
        self.command = command
        clock = Clock()
        self.proxy = Proxy(
            clock,
            LogWriter(clock.now, json_line_format() if self.file.log.form == "json" else format_plain_line),
            loaded.settings,
            secrets.randbits(64),
            self.file.limits.descriptors,
            PingProbe,
        )
        self.proxy.set_drained_callback(self.drained)
        self.application: Application | None = None
        self.is_ready = False
        self.is_stopping = False
        self.is_drained = False
        self.exit_code = 0
        self.source = endpoint_source(self.proxy, loaded)
        self.proxy.set_endpoint_source(self.source)
        self.reader = FileReader(loaded.path, self.apply_file, self.reload_failed)
        self.fleet_datagrams: Any = None

    # Start.

    def join_fleet(self) -> None:
        """Joins the fleet, if the file has a table for one.

        Raises Twisted's CannotListenError; RouteTableError or OSError if the route table can't be read.
        """
        if self.file.fleet is None:
            return
        from brambleplank.fleet.shapes import decode_fleet_settings
        from brambleplank.net.fleet_link import FleetDatagramProtocol, FleetLink

        folder = str(Path(self.loaded.path).parent)
        settings = decode_fleet_settings(self.file.fleet, self.file.number, self.file.sidecars, folder)
        assert settings.listen is not None
        proxy = self.proxy
        datagrams = FleetDatagramProtocol(
            settings.addresses, settings.number, lambda number: proxy.local_faults.record("sendto", number)
        )
        self.fleet_datagrams = datagrams
        host, port = settings.listen
        reactor.listenUDP(port, datagrams, interface=host)
        link = FleetLink(
            proxy,
            settings,
            secrets.randbits(64),
            datagrams.send,
            True,
        )
        proxy.requests.set_fleet_admission(link)
        datagrams.set_receiver(link.datagram_received)

    def listen(self) -> None:
        """Opens the listener for the application. Raises SocketPathError, or Twisted's CannotListenError."""
        clients: Any = LineFrontend(self.proxy)
        listen = self.file.listen
        listener: Any
        if listen.socket is not None:
            path_lock = SocketPathLock(listen.socket)
            listener = create_unix_listener(path_lock, clients, BACKLOG, int(listen.mode, 8), reactor)
        else:
            host, port = addresses.parse(listen.address or "") or ("", 0)
            listener = ClientListener(port, clients, BACKLOG, host, reactor)
        self.proxy.admission.add_listener(listener)
        listener.startListening()

    def begin(self) -> None:
        """Installs the handlers for stop signals and starts discovery; called once the reactor runs."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: reactor.callFromThread(self.stop))
        self.source.apply_initial_list()
        self.check_memory()
        self.check_ready()

    def check_memory(self) -> None:
        """Updates the proxy's free memory, periodically.

        Admission rejects requests near the limit: beyond it the process would be killed, with all sessions.
        """
        with suppress(OSError, ValueError, IndexError):
            pages = int(Path("/proc/self/statm").read_bytes().split()[1])
            held = pages * resource.getpagesize()
            self.proxy.admission.set_free_memory_share(1 - held / self.file.limits.memory)
        self.proxy.clock.call_later(MEMORY_CHECK_INTERVAL, self.check_memory)

    def check_ready(self) -> None:
        """Reports readiness and starts the application once the proxy accepts requests; polls until then."""
        if not self.proxy.accepts_requests():
            if not self.is_stopping:
                self.proxy.clock.call_later(READY_CHECK_INTERVAL, self.check_ready)
            return
        self.is_ready = True
        where = self.file.listen.socket or self.file.listen.address
        self.proxy.log(f"ready: {self.file.application} connects at {where}")
        self.write_ready_file()
        notify("READY=1")
        if self.command:
            self.application = Application(self.application_ended)
            self.application.start(self.command)

    def write_ready_file(self) -> None:
        """Writes the ready file, if configured; it exists while requests are accepted."""
        path = self.file.ready.file
        if not path:
            return
        try:
            Path(path).write_text(f"{os.getpid()}\n", encoding="ascii")
        except OSError as error:
            self.proxy.log(f"ready: {path}: {error.strerror}")

    # Stop.

    def stop(self) -> None:
        """Starts the shutdown: drains the proxy, then stops the application, then exits."""
        if self.is_stopping:
            return
        self.is_stopping = True
        if self.is_ready and self.file.ready.file:
            with suppress(OSError):
                Path(self.file.ready.file).unlink()
        notify("STOPPING=1")
        self.proxy.stop()

    def drained(self) -> None:
        """Called when no client is served: asks the application to stop, or exits if there is none."""
        self.is_drained = True
        if self.application is None:
            self.end()
            return
        self.proxy.log("shutdown: application asked to stop")
        self.application.signal("TERM")
        self.proxy.clock.call_later(APPLICATION_STOP_TIME, self.kill_application)

    def kill_application(self) -> None:
        """Kills an application that ignores SIGTERM; otherwise this process would never exit."""
        if self.application is not None:
            self.application.signal("KILL")

    def application_ended(self, code: int) -> None:
        """Called when the application has ended: lets its connections close, then shuts down or exits."""
        self.application = None
        self.exit_code = code
        self.proxy.log(f"application ended with {code}")
        if not self.is_stopping:
            self.proxy.clock.call_later(APPLICATION_END_DELAY, self.stop)
        elif self.is_drained:
            self.end()

    def end(self) -> None:
        """Stops the endpoint source and the reactor, which ends the process."""
        self.source.stop()
        if reactor.running:
            reactor.stop()

    # Reload.

    def reload(self) -> None:
        """Handles SIGHUP: applies keys that can change at runtime; a file with a fault changes nothing."""
        self.reader.request()

    def reload_failed(self, reason: str) -> None:
        """Called when reading the file raised an exception; logs its type."""
        self.proxy.log(f"reload: kept as it was: {reason}")

    def apply_file(self, loaded: LoadedFile) -> None:
        """Applies a file that was read, unless it has a fault or another kind of discovery."""
        if loaded.faults or loaded.file is None:
            others = len(loaded.faults) - 1
            more = f" (and {others} more)" if others > 0 else ""
            self.proxy.log(f"reload: kept as it was: {loaded.fault_lines()[0]}{more}")
            return
        if file_changes.has_different_discovery(self.loaded, loaded):
            # The new source has no list yet, so replacing the old one would remove every server.
            self.proxy.log("reload: kept as it was: the kind of discovery differs, which needs a restart")
            return
        self.log_changes(file_changes.compare(self.loaded, loaded))
        path_before = self.loaded.servers_path()
        self.loaded = loaded
        limits = loaded.file.limits
        self.file.limits = limits
        if self.proxy.requests.fleet_admission:
            self.proxy.requests.fleet_admission.reload()
        self.proxy.admission.set_descriptor_limit(limits.descriptors)
        raise_descriptor_limit(limits.descriptors)
        if loaded.servers_path() != path_before:
            self.replace_source()
        elif isinstance(self.source, StaticEndpoints):
            self.source.update(loaded.servers)

    def log_changes(self, changes: list[file_changes.Change]) -> None:
        """Logs which keys are applied, and which need a restart."""
        live = [change.key for change in changes if change.live]
        waiting = [change.key for change in changes if not change.live]
        self.proxy.log(
            f"reload: taken up: {', '.join(live) or 'nothing'}"
            + (f"; wait for a restart: {', '.join(waiting)}" if waiting else "")
        )

    def replace_source(self) -> None:
        """Replaces the endpoint source by the one that the new file configures."""
        self.source.stop()
        self.source = endpoint_source(self.proxy, self.loaded)
        self.proxy.set_endpoint_source(self.source)
        self.source.apply_initial_list()
        self.source.ensure_watching()


def json_line_format() -> Callable[[float, str, dict[str, Any]], str]:
    """Returns a formatter of log lines that writes each as a JSON object."""
    from structlog.processors import JSONRenderer

    render = JSONRenderer()

    def form(now: float, text: str, fields: dict[str, Any]) -> str:
        return str(render(None, "", {"time": round(now, 3), "event": text, **fields}))

    return form


def main(path: str, command: list[str]) -> int:
    """Runs until a signal or the application's end stops it; returns the exit code, 2 for a failed start."""
    early_reload = EarlyReload()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    loaded = read(path)
    if loaded.faults:
        print("\n".join(loaded.fault_lines()), file=sys.stderr)
        return 2
    if command and shutil.which(command[0]) is None:
        print(f"{command[0]}: command of the application not found", file=sys.stderr)
        return 2
    raise_descriptor_limit(loaded.file.limits.descriptors if loaded.file else 0)
    sidecar = Sidecar(loaded, command)
    # Clients may be in the accept queue from here on, so SIGTERM has to drain instead of exiting at once: the
    # reactor calls `stop` as soon as it runs.
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(sidecar.stop))
    problem = open_listeners(sidecar)
    if problem:
        print(f"{path}: {problem}", file=sys.stderr)
        return 2
    log_unhandled_exceptions(sidecar.proxy)
    reactor.callWhenRunning(sidecar.begin)
    reactor.callWhenRunning(early_reload.install, sidecar.reload)
    reactor.run()  # its SIGCHLD handler reports the application's end; `begin` replaces the others
    block_exit_signals()
    return sidecar.exit_code


def open_listeners(sidecar: Sidecar) -> str:
    """Joins the fleet and opens the listener; returns the key and error of a failure, empty on success."""
    try:
        sidecar.join_fleet()
        sidecar.listen()
    except SocketPathError as problem:
        return f"listen.socket: {problem}"
    except (BrambleplankError, OSError) as problem:
        return f"fleet.routes: {problem}"
    except error.CannotListenError as problem:
        file = sidecar.file
        if file.fleet is not None and sidecar.fleet_datagrams.transport is None:
            return f"fleet.listen: {file.fleet.listen}: {problem.socketError}"
        return f"listen: {file.listen.address or file.listen.socket}: {problem.socketError}"
    return ""
