"""Stores operator commands on servers in a file, for a process that gets no state from its predecessor."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from contextlib import suppress

from brambleplank.checks import InvalidConfigurationError, check_value
from brambleplank.decisions.rotation import Rotation
from brambleplank.platform import stored_values


class RotationFile:
    """The file with the servers that operators took out of rotation, and past outages."""

    def __init__(self, path: str, log: Callable[[str], None]) -> None:
        self.path = path
        self.log = log
        self.failing = False  # whether the last write failed

    def read(self, rotation: Rotation, now: float) -> None:
        """Restores the rotation from the file; an unreadable or truncated file must not prevent a start.

        The times come from the clock of another process; those in the future of this one are set to now.
        """
        try:
            with open(self.path, encoding="utf-8") as file:
                content = json.load(file)
            check_value(content, "words", dict)
            out = stored_values.decode_mapping(content.get("out"), "words.out", stored_values.decode_number)
            back = stored_values.decode_mapping(
                content.get("back"), "words.back", stored_values.decode_number_pair
            )
        except FileNotFoundError:
            return
        except (OSError, ValueError, RecursionError, InvalidConfigurationError) as error:
            self.log(f"upgrade: {self.path}: ignored: {error}; starting with all servers in rotation")
            return
        rotation.out_since = {server_id: min(now, since) for server_id, since in out.items()}
        rotation.previous_outages = {
            server_id: (min(now, since), min(now, until)) for server_id, (since, until) in back.items()
        }
        if out:
            self.log(f"operator: still out: {', '.join(out)}")

    def write(self, rotation: Rotation) -> bool:
        """Replaces the file atomically; returns whether it is on disk.

        The new file is synced before the rename: otherwise a crash of the machine could leave an empty file.
        """
        temporary_path = f"{self.path}.{os.getpid()}.new"  # unique to this process: two may write at once
        try:
            with open(temporary_path, "w", encoding="utf-8") as file:
                json.dump({"out": rotation.out_since, "back": rotation.previous_outages}, file)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary_path, self.path)
            sync_directory(os.path.dirname(self.path))
        except OSError as error:
            if not self.failing:
                self.log(f"operator: {self.path}: not written: {error.strerror}; tried again until it is")
            self.failing = True
            with suppress(OSError):
                os.unlink(temporary_path)
            return False
        if self.failing:
            self.log(f"operator: written: {self.path}")
        self.failing = False
        return True


def sync_directory(path: str) -> None:
    """Makes renames in the directory durable. Raises OSError."""
    directory = os.open(path or ".", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)
