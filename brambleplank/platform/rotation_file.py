"""The operators' calls on servers in a file, for a process whose predecessor cannot be asked."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from contextlib import suppress

from brambleplank.checks import InvalidConfigurationError, check_value
from brambleplank.decisions.rotation import Rotation
from brambleplank.platform import stored_values


class RotationFile:
    """Servers that operators took out of rotation or called back."""

    def __init__(self, path: str, log: Callable[[str], None]) -> None:
        self.path = path
        self.log = log
        self.failing = False  # whether the last write failed

    def read(self, rotation: Rotation, now: float) -> None:
        """Takes up what the file holds. A file torn by the end of a process must not prevent a start.

        Its times are of another process's clock; one that lies ahead of this one's is taken as now.
        """
        try:
            with open(self.path, encoding="utf-8") as file:
                content = json.load(file)
            check_value(content, "words", dict)
            out = stored_values.each(content.get("out"), "words.out", stored_values.number)
            back = stored_values.each(content.get("back"), "words.back", stored_values.two)
        except FileNotFoundError:
            return
        except (OSError, ValueError, RecursionError, InvalidConfigurationError) as error:
            self.log(f"upgrade: {self.path}: ignored: {error}")
            return
        rotation.out_since = {server_id: min(now, since) for server_id, since in out.items()}
        rotation.previous_outages = {
            server_id: (min(now, since), min(now, until)) for server_id, (since, until) in back.items()
        }
        if out:
            self.log(f"operator: still out: {', '.join(out)}")

    def write(self, rotation: Rotation) -> bool:
        """Replaces the file as a whole, or not at all; whether it is on the disk.

        Synced before it is renamed: a kill of the machine would otherwise leave an empty file in its place.
        """
        new = f"{self.path}.{os.getpid()}.new"  # of this process alone, as two may write at once
        try:
            with open(new, "w", encoding="utf-8") as file:
                json.dump({"out": rotation.out_since, "back": rotation.previous_outages}, file)
                file.flush()
                os.fsync(file.fileno())
            os.replace(new, self.path)
            sync_folder(os.path.dirname(self.path))
        except OSError as error:
            if not self.failing:
                self.log(f"operator: {self.path}: not written: {error.strerror}; tried again until it is")
            self.failing = True
            with suppress(OSError):
                os.unlink(new)
            return False
        if self.failing:
            self.log(f"operator: written: {self.path}")
        self.failing = False
        return True


def sync_folder(path: str) -> None:
    """Makes a rename in this folder last. Raises OSError."""
    folder = os.open(path or ".", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
