"""The controllers that are no voters and have made themselves known lately.  No I/O, no clock."""

from __future__ import annotations

import attrs

from hollowusher.protocol.view import Voter

ANNOUNCEMENT_TTL_S = 2.5  # an announcement counts for so long; spares announce themselves every second


@attrs.frozen
class _Announcement:
    """A spare and when it last announced itself."""

    controller: Voter
    at: float


class SpareControllers:
    """Whom a voter may propose as a further voter."""

    def __init__(self) -> None:
        self._announcements: dict[str, _Announcement] = {}

    def note(self, controller: Voter, now: float) -> None:
        """A controller has announced itself."""
        self._announcements[controller.name] = _Announcement(controller, now)

    def discard(self, name: str) -> None:
        """A controller did not answer, or leaves: it is none until it announces itself again."""
        self._announcements.pop(name, None)

    def recent(self, now: float) -> list[Voter]:
        """Those that announced themselves lately, by name; the others are forgotten."""
        self._announcements = {
            name: heard for name, heard in self._announcements.items() if now - heard.at < ANNOUNCEMENT_TTL_S
        }
        return [self._announcements[name].controller for name in sorted(self._announcements)]
