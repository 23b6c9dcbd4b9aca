"""The [copies] and [copy] sections of the settings file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from hollowusher.scheduler.settings.model import Directive, Section, address, count, span, switch, word, words
from hollowusher.scheduler.settings.reader import Sheet

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class CopiesConfig:
    """Configuration of the log replication between schedulers."""

    listen: Address | None = None  # None: replication is disabled
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
    "Replication of accepted jobs (docs/copies.md). Off on the platform.",
    (
        Directive(
            "enabled", switch(), False, "whether jobs of `classes` are replicated before they are accepted"
        ),
        Directive("listen", address(), None, "TCP address that accepts connections of the other schedulers"),
        Directive("group", count(1, 5), _BASE.group, "replicas of each log, including its owner"),
        Directive("classes", words(), (), "the replicated job classes"),
        Directive("folder", word(), None, "folder that stores the logs; without it, logs are in memory only"),
        Directive(
            "lease",
            span(0.2, 30.0),
            _BASE.lease_s,
            "how long an unresponsive owner keeps its log before another one takes it over",
        ),
        Directive(
            "keep",
            span(1.0, 86_400.0),
            _BASE.keep_s,
            "how long an answer is kept for clients that repeat their request",
        ),
        Directive(
            "seek-once",
            switch(),
            _BASE.seek_once,
            "whether a job that must not run twice is looked up at all others before it is accepted",
        ),
        Directive(
            "most-jobs",
            count(1, 1_000_000),
            _BASE.most_jobs,
            "most jobs in the scheduler's own log; when it is full, new jobs are rejected",
        ),
    ),
)
COPY = Section(
    "copy",
    "One scheduler that replicates logs, including this one; the title is its name.",
    (Directive("address", address(), None, "its TCP address", needed=True),),
    titled=True,
)


def read_copies(sheet: Sheet, name: str = "scheduler", known: frozenset[str] | None = None) -> CopiesConfig:
    """Read the sections for the scheduler called `name`.

    `known` lists all job classes; None skips the check of the class names.
    Raises ConfigError if the values are inconsistent."""
    own = sheet.one(COPIES)
    if not own["enabled"]:
        return _BASE
    others = {block.title: block["address"] for block in sheet.all(COPY)}
    if own["listen"] is None:
        raise own.fault("enabled", "has no place where the others reach it: set `listen` as well")
    if name not in others:
        raise own.fault("enabled", f"our own name, {name!r}, is none of the [copy NAME] sections")
    if own["group"] not in (1, 3, 5) or own["group"] > len(others):
        raise own.fault(
            "group", f"must be 1, 3 or 5, and at most the {len(others)} schedulers with a [copy NAME] section"
        )
    if not own["classes"]:
        raise own.fault("classes", "names none of the job classes")
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
