"""Paths of the files and Unix sockets that two processes of one proxy share in $TMPDIR."""

from __future__ import annotations

import os

from brambleplank.model import Address


def runtime_file_path(tmp: str, listen: Address, kind: str) -> str:
    """The path of one kind of file, for the proxy that listens at an address."""
    return os.path.join(tmp, f"brambleplank-{listen[0]}-{listen[1]}.{kind}")


class ShortSocketPath:
    """A path for a Unix socket of any length: the kernel accepts no more than 107 bytes of one."""

    def __init__(self, path: str) -> None:
        self.directory = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.path = f"/proc/self/fd/{self.directory}/{os.path.basename(path)}"

    def __enter__(self) -> str:
        return self.path

    def __exit__(self, *_: object) -> None:
        os.close(self.directory)
