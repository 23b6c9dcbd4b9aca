"""The STOMP front's sections of the settings file."""

from __future__ import annotations

from dataclasses import dataclass

from hollowusher.scheduler.settings.model import (
    Directive,
    Section,
    address,
    count,
    number,
    size,
    span,
    switch,
    word,
)
from hollowusher.scheduler.settings.reader import Sheet


@dataclass(frozen=True, slots=True)
class StompNode:
    """A route node that speaks STOMP, as the settings file defines it."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    size: float


@dataclass(frozen=True, slots=True)
class StompConfig:
    """The settings of the STOMP front: address, limits and route nodes."""

    enabled: bool = False
    listen: tuple[str, int] = ("127.0.0.1", 61613)
    heart_beat_ms: int = 10_000
    most_clients: int = 200
    ledger_jobs: int = 4_096
    ledger_bytes: int = 16 * 1024 * 1024
    unsafe_window_s: float = 3_600.0
    keep_s: float = 120.0
    nodes: tuple[StompNode, ...] = ()


_BASE = StompConfig()
STOMP = Section(
    "stomp",
    "The STOMP front (docs/stomp.md). Off on the platform.",
    (
        Directive("enabled", switch(), _BASE.enabled, "whether the front runs"),
        Directive("listen", address(), _BASE.listen, "address on which clients connect"),
        Directive(
            "heart-beat",
            span(0, 600),
            _BASE.heart_beat_ms / 1000,
            "heart-beat interval of both directions; 0 disables heart-beats",
        ),
        Directive("most-clients", count(1, 400), _BASE.most_clients, "maximum number of connected clients"),
        Directive(
            "ledger-jobs",
            count(1, 100_000),
            _BASE.ledger_jobs,
            "maximum number of jobs in the ledger; a full ledger rejects new jobs",
        ),
        Directive(
            "ledger-bytes",
            size(1 << 17, 64 << 20),
            _BASE.ledger_bytes,
            "maximum size of the ledger: answers, open jobs and the overhead of each entry",
        ),
        Directive(
            "unsafe-window",
            span(1, 86_400),
            _BASE.unsafe_window_s,
            "how long the ledger keeps a job that must not run twice after its answer",
        ),
        Directive(
            "keep", span(1, 86_400), _BASE.keep_s, "how long the ledger keeps any other job after its answer"
        ),
    ),
)
STOMP_NODE = Section(
    "stomp-node",
    "A route node that speaks STOMP; the title is its name.",
    (
        Directive("address", address(), None, "address on which the node listens", needed=True),
        Directive("zone", word(), "", "the node's zone"),
        Directive("kind", word(), "", "its machine kind"),
        Directive("cell", count(0, 1_000_000), 0, "its rack"),
        Directive("size", number(0.001, 1_000_000), 1.0, "its size relative to the other nodes"),
    ),
    titled=True,
)


def read_stomp(sheet: Sheet) -> StompConfig:
    """Return the settings of the STOMP front from the settings file."""
    own = sheet.one(STOMP)
    return StompConfig(
        enabled=own["enabled"],
        listen=own["listen"],
        heart_beat_ms=round(own["heart-beat"] * 1000),
        most_clients=own["most-clients"],
        ledger_jobs=own["ledger-jobs"],
        ledger_bytes=own["ledger-bytes"],
        unsafe_window_s=own["unsafe-window"],
        keep_s=own["keep"],
        nodes=tuple(
            StompNode(b.title, b["address"], b["zone"], b["kind"], b["cell"], b["size"])
            for b in sheet.all(STOMP_NODE)
        ),
    )
