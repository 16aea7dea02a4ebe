"""The operators' calls on servers in a file, for a process whose predecessor cannot be asked."""

from __future__ import annotations

import json
import os
from collections.abc import Callable

from brambleplank.checks import UnfitError, need
from brambleplank.platform import estate
from brambleplank.rotation import Rotation


class RotationFile:
    """Servers that operators took out of rotation or called back."""

    def __init__(self, path: str, log: Callable[[str], None]) -> None:
        self.path, self.log = path, log

    def read(self, rotation: Rotation) -> None:
        """Takes up what the file holds. A file torn by the end of a process must not prevent a start."""
        try:
            with open(self.path, encoding="utf-8") as file:
                content = json.load(file)
            need(content, "words", dict)
            out = estate.each(content.get("out"), "words.out", estate.number)
            back = estate.each(content.get("back"), "words.back", estate.two)
        except FileNotFoundError:
            return
        except (OSError, ValueError, RecursionError, UnfitError) as error:
            self.log(f"upgrade: {self.path}: passed over: {error}")
            return
        rotation.out, rotation.back = out, back
        if out:
            self.log(f"operator: still out: {', '.join(out)}")

    def write(self, rotation: Rotation) -> None:
        """Replaces the file as a whole, or not at all."""
        try:
            with open(f"{self.path}.new", "w", encoding="utf-8") as file:
                json.dump({"out": rotation.out, "back": rotation.back}, file)
            os.replace(f"{self.path}.new", self.path)
        except OSError as error:
            self.log(f"operator: {self.path}: not written: {error.strerror}")
