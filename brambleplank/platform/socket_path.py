"""Paths of files and Unix sockets in $TMPDIR that the processes of one proxy share."""

from __future__ import annotations

import os

from brambleplank.model import Address


def runtime_file_path(tmp: str, listen: Address, kind: str) -> str:
    """Returns the path of a file for the proxy that listens at an address; `kind` is its extension."""
    return os.path.join(tmp, f"brambleplank-{listen[0]}-{listen[1]}.{kind}")


class ShortSocketPath:
    """A short alias for the path of a Unix socket, as the kernel accepts 107 bytes at most."""

    def __init__(self, path: str) -> None:
        self.directory = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.path = f"/proc/self/fd/{self.directory}/{os.path.basename(path)}"

    def __enter__(self) -> str:
        return self.path

    def __exit__(self, *_: object) -> None:
        os.close(self.directory)
