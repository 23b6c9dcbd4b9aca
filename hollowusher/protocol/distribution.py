"""Distribution of published values from the controllers to every process.

Controllers publish items; every process pulls those beyond its version vector from one controller, by long
poll.  A version vector gives for each origin the greatest counter received.
"""

from __future__ import annotations

from typing import Any

from hollowusher.protocol.codec import message


@message(31)
class DistributedItem:
    """One distributed value; of two items with one key the one with the greater `version` is current."""

    key: str  # "configuration" | "placement" | "view" | "member/NAME" | "workers"
    version: list[int]
    origin: str  # "name/incarnation" of the controller that published it
    counter: int  # position among its origin's items
    value: Any


@message(32)
class PullUpdates:
    """Request for the items beyond the reader's version vector; it may wait up to `wait_ms` for one."""

    reader: str
    have: dict[str, int]  # origin -> counter
    wait_ms: int


@message(33)
class UpdatesResponse:
    """Response to `PullUpdates`.

    `connected` is false where the controller has lost most of the others, so that its items may be old.
    """

    items: list[DistributedItem]
    have: dict[str, int]
    connected: bool = True
    age_ms: int = 0


@message(46)
class ReadRepair:
    """One-way message of a reader to the controller that it pulls from, with items that this one lacks.

    That happens where the publisher of the items ended before any other controller had pulled them.
    """

    items: list[DistributedItem]
