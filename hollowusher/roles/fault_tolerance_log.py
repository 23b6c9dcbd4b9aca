"""Log lines for the moments in which no further loss is borne any more, and in which one is again.

The head of the control chain alone tells: it knows most, and every incident then stands once in the logs.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from hollowusher.protocol.control_status import ControlStatus, PartitionStatus

CONTROLLERS = "controllers"
STORES = "stores"
EVENTS = ("margin_broken", "margin_none", "margin_back")  # by the margin: -1, 0, more

LogLine = Callable[..., None]


class MarginLog:
    """Follows the margins of one system as its head reports them."""

    def __init__(self, log: LogLine) -> None:
        self._log = log
        self._told: dict[str, str] = {}  # what -> the event told last

    def take(self, status: ControlStatus) -> None:
        """A newer status.  That of a controller which does not lead says nothing: the next head tells."""
        if not status.leads:
            self._told.clear()
            return
        unheard = [voter.name for voter in status.voters if not voter.heard]
        self._tell(CONTROLLERS, status.controller_losses_borne, {"epoch": status.epoch, "unheard": unheard})
        if status.partitions:
            self._tell(STORES, status.store_losses_borne, _worst(status.partitions))

    def _tell(self, what: str, borne: int, fields: Mapping[str, Any]) -> None:
        event = EVENTS[min(max(borne, -1), 1) + 1]
        before = self._told.get(what, EVENTS[-1])  # a system that is whole from the start needs no line
        self._told[what] = event
        if event != before:
            self._log(event, of=what, losses_borne=borne, **fields)


def _worst(partitions: list[PartitionStatus]) -> dict[str, Any]:
    """The partitions that lack replicas, and how many are catching up."""
    return {
        "lost": [status.partition for status in partitions if status.lost],
        "lacking": sum(status.living < status.replicas for status in partitions),
        "learning": sum(bool(status.learners) for status in partitions),
    }
