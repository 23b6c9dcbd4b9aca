"""Log lines of the view's changes."""

from __future__ import annotations

from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.rules.membership.events import Change, MembershipEvent

_GRAVE = {Change.DIED, Change.TWIN, Change.DEAF, Change.MINORITY, Change.PAUSED}


def tell(log: LogWriter, reported: MembershipEvent) -> None:
    """One line for one change: `member-died` and so on; docs/membership.md lists them."""
    say = log.warning if reported.change in _GRAVE else log.notice
    say(
        f"member-{reported.change.value}",
        reported.why or reported.change.value,
        member=reported.name,
        view=reported.number,
    )
