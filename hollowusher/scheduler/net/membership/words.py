"""Log lines of the view's changes."""

from __future__ import annotations

from hollowusher.scheduler.log import Log
from hollowusher.scheduler.rules.membership.events import Change, Told

_GRAVE = {Change.DIED, Change.TWIN, Change.DEAF, Change.MINORITY, Change.PAUSED}


def tell(log: Log, told: Told) -> None:
    """One line for one change: `member-died` and so on; docs/membership.md lists them."""
    say = log.warning if told.change in _GRAVE else log.notice
    say(f"member-{told.change.value}", told.why or told.change.value, member=told.name, view=told.number)
