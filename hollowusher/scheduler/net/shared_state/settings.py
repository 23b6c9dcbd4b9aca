"""The [shared] section of the settings file."""

from __future__ import annotations

from dataclasses import dataclass

from hollowusher.scheduler.settings.model import Directive, Section, count, span, switch
from hollowusher.scheduler.settings.reader import Sheet


@dataclass(frozen=True, slots=True)
class SharedConfig:
    """Which state this scheduler shares with the others, and with which limits."""

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
            "counts",
            switch(),
            _BASE.counts,
            "whether traffic is counted by class and tenant over all schedulers",
        ),
        Directive(
            "judgements", switch(), _BASE.judgements, "whether schedulers share evidence about the nodes"
        ),
        Directive("window", span(0.5, 60.0), _BASE.window_s, "time window of the counts"),
        Directive("most-messages", count(4, 10_000), _BASE.most_messages, "most datagrams sent per second"),
    ),
)


def read_shared(sheet: Sheet, peers: bool) -> SharedConfig:
    """Read the section; raises ConfigError if it is enabled without [peers]."""
    own = sheet.one(SHARED)
    config = SharedConfig(own["counts"], own["judgements"], own["window"], own["most-messages"])
    if config.enabled and not peers:
        raise own.fault("counts" if own["counts"] else "judgements", "needs [peers] to be enabled")
    return config
