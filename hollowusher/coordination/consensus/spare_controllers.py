"""The controllers that are no voters and have made themselves known lately.  No I/O, no clock."""

from __future__ import annotations

import attrs

from hollowusher.protocol.view import Voter

SPARE_LIFE_S = 2.5  # an announcement counts for so long; spares announce themselves every second


@attrs.frozen
class _Heard:
    """A spare and when it last announced itself."""

    controller: Voter
    at: float


class Spares:
    """Whom a voter may propose as a further voter."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def note(self, controller: Voter, now: float) -> None:
        """A controller has announced itself."""
        self._heard[controller.name] = _Heard(controller, now)

    def drop(self, name: str) -> None:
        """A controller did not answer, or leaves: it is none until it announces itself again."""
        self._heard.pop(name, None)

    def recent(self, now: float) -> list[Voter]:
        """Those that announced themselves lately, by name; the others are forgotten."""
        self._heard = {name: heard for name, heard in self._heard.items() if now - heard.at < SPARE_LIFE_S}
        return [self._heard[name].controller for name in sorted(self._heard)]
