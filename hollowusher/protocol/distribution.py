"""Distribution of published values from the controllers to every process."""

from __future__ import annotations

from typing import Any

from hollowusher.protocol.codec import message


@message(31)
class DistributedItem:
    """One distributed value.  Of two items with one key the one with the greater `version` counts."""

    key: str  # "configuration" | "placement" | "view" | "member/NAME" | "workers"
    version: list[int]
    origin: str  # "name/incarnation" of the controller that published it
    counter: int  # position among its origin's items
    value: Any


@message(32)
class PullUpdates:
    """Asks a controller for the items beyond the reader's version vector; it may wait for one to come."""

    reader: str
    have: dict[str, int]  # origin -> counter
    wait_ms: int


@message(33)
class UpdatesResponse:
    """Answer to `PullUpdates`.  `connected` is False where the controller has lost most of the others, so
    that what it gives may be old; `age_ms`: how long ago it had word from most of them."""

    items: list[DistributedItem]
    have: dict[str, int]
    connected: bool = True
    age_ms: int = 0


@message(46)
class ReadRepair:
    """One-way, from a reader to the controller it pulls from: items that the controller lacks, because the
    one that published them ended before any other had pulled them."""

    items: list[DistributedItem]
