"""Storage of the texts of an agreement by digest, and their transfer between members in chunks."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from brambleplank.fleet import messages
from brambleplank.fleet.leases.timing import HEARTBEAT_INTERVAL
from brambleplank.fleet.versions.identity import AgreementIdentity, SendMessage

MAX_TEXT_SIZE = 1024 * 1024  # bytes
CHUNKS_PER_REQUEST = 24  # sent in response to one request
CHUNK_RETRY_INTERVAL = HEARTBEAT_INTERVAL / 4  # seconds until missing chunks are requested again
MAX_STORED_TEXTS = 4
DIGEST_SIZE = 6  # bytes
COMPRESSION_LEVEL = 9  # of zlib


def digest_of(text: bytes) -> int:
    """Returns the digest that identifies a text in messages."""
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_SIZE).digest(), "big")


@dataclass
class Download:
    """A text that is being downloaded in chunks."""

    digest: int
    source: int  # the member that sends the chunks
    chunk_count: int = 0  # as stated by the newest chunk
    chunks: dict[int, bytes] = field(default_factory=dict)
    requested_at: float = float("-inf")

    def first_missing(self) -> int:
        """Returns the index of the first missing chunk."""
        return next(n for n in range(len(self.chunks) + 1) if n not in self.chunks)


class TextStore:
    """Stores compressed texts, and downloads one text at a time.

    `in_use` returns the digests of the texts that must stay stored.
    """

    def __init__(
        self, identity: AgreementIdentity, send: SendMessage, in_use: Callable[[], set[int | None]]
    ) -> None:
        self.identity = identity
        self.send = send
        self.in_use = in_use
        self.compressed: dict[int, bytes] = {}  # by digest, oldest first
        self.download: Download | None = None

    def __contains__(self, digest: int) -> bool:
        """Returns whether a text is stored."""
        return digest in self.compressed

    def store(self, text: bytes) -> int:
        """Stores a text and returns its digest.

        Unused texts beyond the limit are dropped, the oldest first, so that published texts do not fill the
        memory.
        """
        digest = digest_of(text)
        self.compressed.pop(digest, None)
        self.compressed[digest] = zlib.compress(text, COMPRESSION_LEVEL)
        used = {*self.in_use(), digest}
        idle = [old for old in self.compressed if old not in used]
        for old in idle[: max(0, len(self.compressed) - MAX_STORED_TEXTS)]:
            del self.compressed[old]
        return digest

    def text(self, digest: int) -> bytes:
        """Returns a stored text. Raises KeyError if it is not stored."""
        return zlib.decompress(self.compressed[digest])

    def fetch(self, digest: int, source: int) -> bool:
        """Returns whether a text is stored; if not, starts its download from another member."""
        if digest in self.compressed:
            return True
        if source == self.identity.number:
            return False
        if self.download is None or self.download.digest != digest:
            self.download = Download(digest, source)
        else:
            self.download.source = source
        return False

    def request_chunks(self, now: float) -> None:
        """Requests chunks from the first missing one on, unless the last request was too recent."""
        download = self.download
        if download is None or now < download.requested_at + CHUNK_RETRY_INTERVAL:
            return
        download.requested_at = now
        request = messages.ChunkRequest(self.identity.incarnation, download.digest, download.first_missing())
        self.send(request, download.source)

    def send_chunks(self, member: int, request: messages.ChunkRequest) -> None:
        """Sends the requested chunks to a member, if the text is stored here."""
        data = self.compressed.get(request.digest)
        if data is None:
            return
        total = -(-len(data) // messages.CHUNK_SIZE)
        for index in range(request.first, min(total, request.first + CHUNKS_PER_REQUEST)):
            part = data[index * messages.CHUNK_SIZE : (index + 1) * messages.CHUNK_SIZE]
            chunk = messages.Chunk(self.identity.incarnation, request.digest, index, total, part)
            self.send(chunk, member)

    def receive_chunk(self, now: float, chunk: messages.Chunk) -> None:
        """Adds a chunk to the current download; the last one completes it."""
        download = self.download
        if download is None or chunk.digest != download.digest:
            return
        if chunk.total * messages.CHUNK_SIZE > MAX_TEXT_SIZE:
            return
        download.chunk_count = chunk.total
        if chunk.index < chunk.total:
            download.chunks[chunk.index] = chunk.data
        if len(download.chunks) >= download.chunk_count:
            self.download = None
            self.complete(download)
        elif download.first_missing() % CHUNKS_PER_REQUEST == 0:
            download.requested_at = float("-inf")
            self.request_chunks(now)

    def complete(self, download: Download) -> None:
        """Stores a downloaded text, if its digest is the expected one."""
        try:
            data = b"".join(download.chunks[n] for n in range(download.chunk_count))
            # Without the limit, a small download could decompress to any size.
            text = zlib.decompressobj().decompress(data, MAX_TEXT_SIZE)
        except (zlib.error, KeyError):
            return
        if digest_of(text) == download.digest:
            self.store(text)
