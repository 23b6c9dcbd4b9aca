"""Registry of spare controllers, which have no vote and announce themselves.  No I/O, no clock."""

from __future__ import annotations

import attrs

from hollowusher.protocol.view import Voter

ANNOUNCEMENT_TTL_S = 2.5  # a spare announces itself every second


@attrs.frozen
class _Announcement:
    """A spare controller and when it last announced itself."""

    controller: Voter
    announced_at_s: float


class SpareControllers:
    """The controllers that a voter may propose as new voters.

    Times are seconds of the owner's monotonic clock.
    """

    def __init__(self) -> None:
        self._announcements: dict[str, _Announcement] = {}

    def on_announced(self, controller: Voter, now_s: float) -> None:
        """Record that a controller has announced itself."""
        self._announcements[controller.name] = _Announcement(controller, now_s)

    def discard(self, name: str) -> None:
        """Remove a controller that is unreachable or departing, until it announces itself again."""
        self._announcements.pop(name, None)

    def recent(self, now_s: float) -> list[Voter]:
        """Return the controllers with an unexpired announcement, sorted by name; drop the expired ones."""
        self._announcements = {
            name: announcement
            for name, announcement in self._announcements.items()
            if now_s - announcement.announced_at_s < ANNOUNCEMENT_TTL_S
        }
        return [self._announcements[name].controller for name in sorted(self._announcements)]
