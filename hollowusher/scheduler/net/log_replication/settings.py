"""The sections of the settings file about copies."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from hollowusher.scheduler.settings.model import Directive, Section, address, count, span, switch, word, words
from hollowusher.scheduler.settings.reader import Sheet

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class CopiesConfig:
    """What is copied, to whom, and where it is kept."""

    listen: Address | None = None  # None: it is off
    name: str = ""
    group: int = 3
    classes: frozenset[str] = frozenset()
    folder: Path | None = None
    lease_s: float = 1.0
    keep_s: float = 120.0
    most_jobs: int = 20_000
    seek_once: bool = True
    others: dict[str, Address] = field(default_factory=dict)


_BASE = CopiesConfig()
COPIES = Section(
    "copies",
    "Copies of what is promised (docs/copies.md). Off on the platform.",
    (
        Directive(
            "enabled", switch(), False, "whether jobs of `classes` are copied before they are promised"
        ),
        Directive("listen", address(), None, "where the other schedulers reach it, by TCP"),
        Directive("group", count(1, 5), _BASE.group, "schedulers that keep each log, its owner among them"),
        Directive("classes", words(), (), "the classes that are copied"),
        Directive("folder", word(), None, "where logs are kept over restarts; without it, in memory only"),
        Directive(
            "lease",
            span(0.2, 30.0),
            _BASE.lease_s,
            "how long a silent owner keeps its log before another takes it over",
        ),
        Directive(
            "keep", span(1.0, 86_400.0), _BASE.keep_s, "how long an answer is kept for those who come back"
        ),
        Directive(
            "seek-once",
            switch(),
            _BASE.seek_once,
            "whether a job that must not run twice is looked for at all others before it is taken",
        ),
        Directive(
            "most-jobs",
            count(1, 1_000_000),
            _BASE.most_jobs,
            "jobs that the own log holds; when it is full, new ones are refused",
        ),
    ),
)
COPY = Section(
    "copy",
    "One of the schedulers that copy, our own among them; the title is its name.",
    (Directive("address", address(), None, "where it is reached by TCP", needed=True),),
    titled=True,
)


def read_copies(sheet: Sheet, name: str = "scheduler", known: frozenset[str] | None = None) -> CopiesConfig:
    """The sections' values; SettingsError where they do not fit together.  `known`: the classes there are."""
    own = sheet.one(COPIES)
    if not own["enabled"]:
        return _BASE
    others = {block.title: block["address"] for block in sheet.all(COPY)}
    if own["listen"] is None:
        raise own.fault("enabled", "has no place where the others reach it: give `listen` as well")
    if name not in others:
        raise own.fault("enabled", f"our own name, {name!r}, is none of the [copy NAME] sections")
    if own["group"] not in (1, 3, 5) or own["group"] > len(others):
        raise own.fault("group", f"must be 1, 3 or 5, and at most the {len(others)} that there are")
    if not own["classes"]:
        raise own.fault("classes", "names none")
    unknown = set(own["classes"]) - known if known is not None else set()
    if unknown:
        raise own.fault("classes", f"{', '.join(sorted(unknown))}: no such class here")
    return CopiesConfig(
        own["listen"],
        name,
        own["group"],
        frozenset(own["classes"]),
        Path(own["folder"]) if own["folder"] else None,
        own["lease"],
        own["keep"],
        own["most-jobs"],
        own["seek-once"],
        others,
    )
