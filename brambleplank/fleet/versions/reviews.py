"""This process's reviews of proposed texts."""

from __future__ import annotations

from collections.abc import Callable

from brambleplank.fleet.versions.identity import Reviewer


class TextReviews:
    """Reviews each text once, and stores the objection until it is discarded."""

    def __init__(self, review: Reviewer, text: Callable[[int], bytes]) -> None:
        self.review = review
        self.text = text
        self.objections: dict[int, str] = {}  # by digest; "": none
        self.in_progress: set[int] = set()

    def ensure_reviewed(self, digest: int) -> bool:
        """Returns whether a stored text has been prepared and reviewed; if not, starts that."""
        if digest not in self.objections and digest not in self.in_progress:
            self.in_progress.add(digest)

            def reviewed(objection: str) -> None:
                self.in_progress.discard(digest)
                self.objections[digest] = objection

            self.review(digest, self.text(digest), reviewed)
        return digest in self.objections

    def objection(self, digest: int) -> str:
        """Returns the objection to a reviewed text; "" if there is none."""
        return self.objections[digest]

    def forget_others(self, digest: int) -> None:
        """Discards the reviews of all texts but one."""
        self.objections = {old: reason for old, reason in self.objections.items() if old == digest}
