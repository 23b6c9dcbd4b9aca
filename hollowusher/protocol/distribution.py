"""Distribution of published values from the controllers to every process.

Controllers publish items.  Every process pulls the items beyond its version vector from one controller by
long polling.  A version vector holds the greatest received counter of each origin.
"""

from __future__ import annotations

from typing import Any

from hollowusher.protocol.codec import message


@message(31)
class DistributedItem:
    """One distributed value; of two items with the same key the one with the greater `version` is current."""

    key: str  # "configuration" | "placement" | "view" | "member/NAME" | "workers"
    version: list[int]
    origin: str  # "name/incarnation" of the controller that published it
    counter: int  # sequence number among the items of its origin
    value: Any


@message(32)
class PullUpdates:
    """Request for the items beyond the reader's version vector `have`.

    The controller may delay the response for up to `wait_ms` until there is such an item.
    """

    reader: str
    have: dict[str, int]  # origin -> counter
    wait_ms: int


@message(33)
class UpdatesResponse:
    """Response to `PullUpdates`.

    If `connected` is false, the controller has lost contact with most other controllers, so its items may be
    stale.
    """

    items: list[DistributedItem]
    have: dict[str, int]
    connected: bool = True
    age_ms: int = 0


@message(46)
class ReadRepair:
    """One-way message of a reader to the controller that it pulls from, with items that the controller lacks.

    A controller lacks items if their publisher stopped before any other controller had pulled them.
    """

    items: list[DistributedItem]
