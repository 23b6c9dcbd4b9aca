"""Operations of the head of the control chain on lost partitions.

The head logs lost and restored partitions, reports the status of each partition, and executes an operator's
order to recover a lost partition.
"""

from __future__ import annotations

from hollowusher.coordination.placement.errors import OrderRejectedError
from hollowusher.coordination.placement.operator_answers import UNAVAILABLE, rejection_answer, state_answer
from hollowusher.coordination.placement.partition_health import (
    live_store_ids,
    lost_partitions,
    partition_statuses,
)
from hollowusher.coordination.placement.partition_recovery import plan_recovery
from hollowusher.coordination.placement.placement_context import PlacementContext
from hollowusher.log_events import PartitionLost, PartitionRecovered, PartitionRestored
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import PartitionStatus
from hollowusher.protocol.operator_orders import OperatorResponse, RecoverPartition
from hollowusher.protocol.placement import Placement

RECOVERED = "recovered"


class PartitionOperations:
    """Reports partition statuses, logs lost partitions and recovers them on an operator's order.

    It owns the set of partitions that it last logged as lost.
    """

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self._logged_lost: set[int] = set()

    def statuses(self) -> list[PartitionStatus]:
        """Return the status of each partition, based on the state and the members of this controller."""
        state = self._context.chain.state
        if state is None or state.placement is None:
            return []
        stores = self._context.store_conditions(state.placement)
        return partition_statuses(state.placement, stores, self._context.tolerance)

    def log_changes(self, placement: Placement) -> None:
        """Log the partitions that were lost or restored since the last call."""
        live = live_store_ids(self._context.store_conditions(placement))
        lost = lost_partitions(placement, live, self._context.tolerance)
        for partition in sorted(lost.keys() - self._logged_lost):
            entry = lost[partition]
            missing = [replica for replica in entry.replicas if replica not in live]
            self._context.log(PartitionLost(partition=partition, epoch=entry.epoch, missing_replicas=missing))
        for partition in sorted(self._logged_lost - lost.keys()):
            self._context.log(PartitionRestored(partition=partition))
        self._logged_lost = set(lost)

    async def recover(self, order: RecoverPartition) -> OperatorResponse:
        """Execute an operator's order to let the live replicas of a lost partition serve it.

        Return status 200 once the new placement is committed, 404 or 409 if the order is rejected, and 503 if
        this controller is not the head or could not confirm the commit.
        """
        chain = self._context.chain
        if chain.state is None or chain.state.placement is None or not chain.is_head:
            return UNAVAILABLE
        rejections: list[OrderRejectedError] = []
        recovered: list[Placement] = []

        def update(newest: ControlState) -> ControlState | None:
            assert newest.placement is not None  # a placement is never removed once it exists
            try:
                recovered.append(self._plan_recovery(newest.placement, order))
            except OrderRejectedError as error:
                rejections.append(error)
                return None
            return evolve(newest, placement=recovered[0])

        if not await chain.change(update):
            return UNAVAILABLE
        if rejections:
            return rejection_answer(rejections[0])
        if not recovered:
            return UNAVAILABLE
        self._context.log(
            PartitionRecovered(partition=order.partition, abandoned_replicas=order.accept_loss_of)
        )
        return state_answer(RECOVERED)

    def _plan_recovery(self, placement: Placement, order: RecoverPartition) -> Placement:
        stores = self._context.store_conditions(placement)
        return plan_recovery(placement, stores, self._context.tolerance, order)
