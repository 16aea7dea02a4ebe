"""Follows a file of servers: checked again and again, applied as a whole or not at all.

The file is compared by its inode, size and time of change, and read in a thread once these differ, so that
neither a slow disk nor a list of thousands holds up the reactor. What cannot be used is logged once, and the
list held stays in use.
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
SHARE_OF_DRAIN_GRACE = 1 / 4  # a drain counts from the file on, and has to be noticed within its grace
MAX_SIZE = 16 * 1024**2  # bytes; far more than the servers that a sidecar can hold


class FileStamp(NamedTuple):
    """What differs once a file has changed."""

    inode: int
    size: int  # bytes
    changed_at: int  # nanoseconds


class FileContent(NamedTuple):
    """What was read of a file; with faults, its servers are not to be used."""

    faults: list[str]
    servers: list[server_file.Server]


class FileSource:
    """A list of servers at a path. `servers` are those already read from it, at the start."""

    def __init__(self, proxy: Proxy, path: str, servers: list[server_file.Server] | None = None) -> None:
        self.proxy = proxy
        self.path = path
        self.interval = min(MAX_CHECK_INTERVAL, SHARE_OF_DRAIN_GRACE * proxy.settings.drain_grace)  # seconds
        self.servers = servers
        self.stamp: FileStamp | None = None  # of what was last read, usable or not
        self.last_complaint = ""
        self.reading = False
        self.stopped = False
        self.following = False
        self.lists_applied = 0

    def ensure_watching(self) -> None:
        """Begins to check. It never gives up, so there is no failure after which to begin again."""
        if not self.following and not self.stopped:
            self.following = True
            self.check()

    def stop(self) -> None:
        """Nothing more is applied."""
        self.stopped = True

    def apply_initial_list(self) -> None:
        """Applies the list as read at the start, ahead of the first check."""
        if self.servers is not None:
            self.apply(self.servers)

    def check(self) -> None:
        """Reads the file if it has changed, and checks again later."""
        if self.stopped:
            return
        self.proxy.clock.call_later(self.interval, self.check)
        if self.reading:
            return
        try:
            status = Path(self.path).stat()
        except OSError as error:
            # A file that is being replaced may be missing for a moment, and its servers are not gone.
            self.complain(f"{self.path}: {error.strerror}")
            self.stamp = None
            return
        stamp = FileStamp(status.st_ino, status.st_size, status.st_mtime_ns)
        if stamp == self.stamp:
            return
        if stamp.size > MAX_SIZE:
            self.stamp = stamp
            self.complain(f"{self.path}: {stamp.size} bytes, over {MAX_SIZE}")
            return
        self.reading = True
        content: Any = threads.deferToThreadPool(reactor, reactor.getThreadPool(), self.read)
        content.addCallbacks(self.content_read, self.read_failed, callbackArgs=(stamp,))

    def read(self) -> FileContent:
        """Reads the file, in a thread: nothing of the proxy is touched here."""
        with Path(self.path).open("rb") as file:
            data = file.read(MAX_SIZE + 1)
        try:
            text = data.decode()
        except UnicodeDecodeError as error:
            return FileContent([f"not UTF-8 at byte {error.start}"], [])
        document, servers = server_file.parse(text)
        return FileContent([str(fault) for fault in sorted(document.faults)], servers)

    def content_read(self, content: FileContent, stamp: FileStamp) -> None:
        """Applies what was read, if it is without fault and differs."""
        self.reading = False
        if self.stopped:
            return
        self.stamp = stamp
        if content.faults:
            others = len(content.faults) - 1
            more = f" (and {others} more)" if others else ""
            self.complain(f"{self.path}: {content.faults[0]}{more}")
            return
        if self.last_complaint:
            self.last_complaint = ""
            self.proxy.log(f"list: {self.path}: good again")
        if content.servers != self.servers:
            self.servers = content.servers
            self.apply(content.servers)

    def read_failed(self, reason: Failure) -> None:
        """The file could not be read."""
        self.reading = False
        self.complain(f"{self.path}: {type(reason.value).__name__}")

    def apply(self, servers: list[server_file.Server]) -> None:
        """Notifies the proxy of a list; logs any but the first."""
        self.lists_applied += 1
        endpoints, addresses = server_file.endpoints_of(servers)
        self.proxy.endpoints_received(endpoints, addresses, True)
        if self.lists_applied > 1:
            draining = sum(server.state == "draining" for server in servers)
            self.proxy.log(f"list: {self.path}: {len(servers)} servers, {draining} draining")

    def complain(self, why: str) -> None:
        """Logs what is wrong once: it is found anew at each check."""
        if why != self.last_complaint and not self.stopped:
            self.last_complaint = why
            self.proxy.log(f"list: kept as it was: {why}")
