"""The section of the settings file about what is shared."""

from __future__ import annotations

from dataclasses import dataclass

from hollowusher.scheduler.settings.model import Directive, Section, count, span, switch
from hollowusher.scheduler.settings.reader import Sheet


@dataclass(frozen=True, slots=True)
class SharedConfig:
    """What this scheduler tells the others, and heeds of them."""

    counts: bool = False
    judgements: bool = False
    window_s: float = 4.0
    most_messages: int = 40

    @property
    def enabled(self) -> bool:
        """Whether anything is shared."""
        return self.counts or self.judgements


_BASE = SharedConfig()
SHARED = Section(
    "shared",
    "What schedulers share over [peers] (docs/shared.md). Off on the platform.",
    (
        Directive(
            "counts", switch(), _BASE.counts, "whether traffic by class and tenant is counted over all"
        ),
        Directive(
            "judgements", switch(), _BASE.judgements, "whether each tells what it has seen of the nodes"
        ),
        Directive("window", span(0.5, 60.0), _BASE.window_s, "over which counts run"),
        Directive(
            "most-messages", count(4, 10_000), _BASE.most_messages, "datagrams a second that it may send"
        ),
    ),
)


def read_shared(sheet: Sheet, peers: bool) -> SharedConfig:
    """The section's values; SettingsError where there is nobody to share with."""
    own = sheet.one(SHARED)
    config = SharedConfig(own["counts"], own["judgements"], own["window"], own["most-messages"])
    if config.enabled and not peers:
        raise own.fault("counts" if own["counts"] else "judgements", "needs [peers] to be enabled")
    return config
