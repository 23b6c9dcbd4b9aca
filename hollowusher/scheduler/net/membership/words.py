"""Log lines for changes of the membership view."""

from __future__ import annotations

from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.rules.membership.events import Change, MembershipEvent

_WARNINGS = {Change.DIED, Change.TWIN, Change.DEAF, Change.MINORITY, Change.PAUSED}


def log_membership_event(log: LogWriter, reported: MembershipEvent) -> None:
    """Write one log line for a membership event, such as `member-died`; docs/membership.md lists them."""
    write = log.warning if reported.change in _WARNINGS else log.notice
    write(
        f"member-{reported.change.value}",
        reported.why or reported.change.value,
        member=reported.name,
        view=reported.number,
    )
