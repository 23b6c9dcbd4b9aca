"""The dependencies that the placement tasks of the head of the control chain share."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.control_chain import ControlChain
from hollowusher.coordination.placement.placed_stores import placed_store_names
from hollowusher.log_events import LogFunction
from hollowusher.protocol.placement import Placement


@attrs.frozen
class PlacementContext:
    """The shared dependencies of the placement tasks, none of which owns them.

    `tolerance` is the number of simultaneous machine losses that the deployment tolerates (f); `clock`
    returns seconds of a monotonic clock.
    """

    chain: ControlChain
    directory: MemberDirectory
    tolerance: int
    clock: Callable[[], float]
    log: LogFunction

    def store_conditions(self, placement: Placement | None) -> Mapping[str, StoreCondition]:
        """Return the condition of each store in the directory or in `placement`, by store name."""
        placed = placed_store_names(placement) if placement is not None else set()
        return self.directory.store_conditions(placed, self.clock())
