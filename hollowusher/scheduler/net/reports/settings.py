"""The [reports] section of the settings file."""

from __future__ import annotations

from hollowusher.scheduler.settings.model import Directive, Section, address
from hollowusher.scheduler.settings.reader import Sheet

REPORTS = Section(
    "reports",
    "Reports of a running scheduler (docs/membership.md). Off on the platform.",
    (
        Directive(
            "listen",
            address(),
            None,
            "loopback address that serves the reports, for `members` and other commands",
        ),
    ),
)


def read_reports(sheet: Sheet) -> tuple[str, int] | None:
    """Return the address, or None if unset; raises ConfigError if it is not on loopback."""
    own = sheet.one(REPORTS)
    where: tuple[str, int] | None = own["listen"]
    if where is not None and not where[0].startswith("127."):
        raise own.fault("listen", f"must be a loopback address, is {where[0]!r}")
    return where
