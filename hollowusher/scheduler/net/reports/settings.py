"""The section of the settings file about reports."""

from __future__ import annotations

from hollowusher.scheduler.settings.model import Directive, Section, address
from hollowusher.scheduler.settings.reader import Sheet

REPORTS = Section(
    "reports",
    "Reports of a running scheduler (docs/membership.md). Off on the platform.",
    (
        Directive(
            "listen", address(), None, "where they are asked for, by `members` and others; loopback only"
        ),
    ),
)


def read_reports(sheet: Sheet) -> tuple[str, int] | None:
    """The address, if any; SettingsError where it is not on loopback."""
    own = sheet.one(REPORTS)
    where: tuple[str, int] | None = own["listen"]
    if where is not None and not where[0].startswith("127."):
        raise own.fault("listen", f"must be a loopback address, is {where[0]!r}")
    return where
