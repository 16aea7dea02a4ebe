"""Polls a server file and applies each valid new version as a whole.

A change is detected by the file's inode, size and modification time. The file is read and parsed in a thread,
so that neither a slow disk nor thousands of servers block the reactor. A problem is logged once, and the last
valid list stays in use.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from twisted.internet import threads
from twisted.python.failure import Failure

from brambleplank.discovery.file import server_file
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy

MAX_CHECK_INTERVAL = 0.2  # seconds
# The drain grace counts from the change of the file, so a drain must be noticed well within it.
DRAIN_GRACE_SHARE = 1 / 4
MAX_SIZE = 16 * 1024**2  # bytes; far more than a sidecar's servers need


class FileStamp(NamedTuple):
    """File attributes that identify a version of a file."""

    inode: int
    size: int  # bytes
    changed_at: int  # nanoseconds


class FileContent(NamedTuple):
    """The faults and servers of a file; the servers must not be used if there are faults."""

    faults: list[str]
    servers: list[server_file.Server]


class FileSource:
    """Follows the server file at a path; `servers` are those that were read from it at startup, if any."""

    def __init__(self, proxy: Proxy, path: str, servers: list[server_file.Server] | None = None) -> None:
        self.proxy = proxy
        self.path = path
        self.interval = min(MAX_CHECK_INTERVAL, DRAIN_GRACE_SHARE * proxy.settings.drain_grace)  # seconds
        self.servers = servers
        self.stamp: FileStamp | None = None  # of the version read last, valid or not
        self.last_problem = ""
        self.reading = False
        self.stopped = False
        self.started = False
        self.lists_applied = 0

    def ensure_watching(self) -> None:
        """Starts polling, unless it runs already; polling never stops after a failure."""
        if not self.started and not self.stopped:
            self.started = True
            self.check()

    def stop(self) -> None:
        """Stops polling; a read in progress is not applied."""
        self.stopped = True

    def apply_initial_list(self) -> None:
        """Applies the list that was read at startup, if any."""
        if self.servers is not None:
            self.apply(self.servers)

    def check(self) -> None:
        """Starts reading the file if it has changed, and schedules the next check."""
        if self.stopped:
            return
        self.proxy.clock.call_later(self.interval, self.check)
        if self.reading:
            return
        try:
            status = Path(self.path).stat()
        except OSError as error:
            # A file that is being replaced may be missing for a moment; its servers stay in use.
            self.log_problem(f"{self.path}: {error.strerror}")
            self.stamp = None
            return
        stamp = FileStamp(status.st_ino, status.st_size, status.st_mtime_ns)
        if stamp == self.stamp:
            return
        if stamp.size > MAX_SIZE:
            self.stamp = stamp
            self.log_problem(f"{self.path}: {stamp.size} bytes, over {MAX_SIZE}")
            return
        self.reading = True
        content: Any = threads.deferToThreadPool(reactor, reactor.getThreadPool(), self.read)
        content.addCallbacks(self.content_read, self.read_failed, callbackArgs=(stamp,))

    def read(self) -> FileContent:
        """Reads and parses the file; runs in a thread, so it must not use the proxy."""
        with Path(self.path).open("rb") as file:
            data = file.read(MAX_SIZE + 1)
        try:
            text = data.decode()
        except UnicodeDecodeError as error:
            return FileContent([f"not UTF-8 at byte {error.start}"], [])
        document, servers = server_file.parse(text)
        return FileContent([str(fault) for fault in sorted(document.faults)], servers)

    def content_read(self, content: FileContent, stamp: FileStamp) -> None:
        """Applies the servers of the file if it is valid and they have changed."""
        self.reading = False
        if self.stopped:
            return
        self.stamp = stamp
        if content.faults:
            others = len(content.faults) - 1
            more = f" (and {others} more)" if others else ""
            self.log_problem(f"{self.path}: {content.faults[0]}{more}")
            return
        if self.last_problem:
            self.last_problem = ""
            self.proxy.log(f"list: {self.path}: good again")
        if content.servers != self.servers:
            self.servers = content.servers
            self.apply(content.servers)

    def read_failed(self, reason: Failure) -> None:
        """Logs a failure to read the file."""
        self.reading = False
        self.log_problem(f"{self.path}: {type(reason.value).__name__}")

    def apply(self, servers: list[server_file.Server]) -> None:
        """Passes a list to the proxy; logs it unless it is the first."""
        self.lists_applied += 1
        endpoints, addresses = server_file.endpoints_of(servers)
        self.proxy.endpoints_received(endpoints, addresses, True)
        if self.lists_applied > 1:
            draining = sum(server.state == "draining" for server in servers)
            self.proxy.log(f"list: {self.path}: {len(servers)} servers, {draining} draining")

    def log_problem(self, problem: str) -> None:
        """Logs a problem once, not at each check that finds it."""
        if problem != self.last_problem and not self.stopped:
            self.last_problem = problem
            self.proxy.log(f"list: kept as it was: {problem}")
