"""Retirement of stores on an operator's order: acceptance, checks and progress.

A retiring store keeps its replicas, from which learners copy, until other stores hold them.  The retirement
is `completed` when the committed placement has not named the store for `RETIRED_AFTER_S` seconds.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from enum import StrEnum

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.errors import (
    OrderConflictError,
    OrderRejectedError,
    UnknownTargetError,
)
from hollowusher.coordination.placement.operator_answers import UNAVAILABLE, rejection_answer, state_answer
from hollowusher.coordination.placement.placed_stores import is_store_placed
from hollowusher.coordination.placement.placement_context import PlacementContext
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.operator_orders import OperatorResponse, RetireStore
from hollowusher.protocol.placement import Placement

RETIRED_AFTER_S = 1.0


class RetirementState(StrEnum):
    """The state of an order to retire a store, with the values used in `ControlState.retiring`."""

    RUNNING = "running"
    COMPLETED = "completed"


class StoreRetirement:
    """Accepts orders to retire a store and detects their completion.

    For each retiring store that the placement no longer names, it owns the time at which it first observed
    this.
    """

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self._unplaced_since: dict[str, float] = {}

    async def retire(self, order: RetireStore) -> OperatorResponse:
        """Start to retire a store, or return the progress of an order that was accepted before.

        An order with `duration_s` None only requests the progress.  Return status 404 or 409 if the order is
        rejected, and 503 if this controller is not the head or the order was not committed.
        """
        chain = self._context.chain
        state = chain.state
        if state is None or not chain.is_head:
            return UNAVAILABLE
        if order.duration_s is None or order.name in state.retiring:
            return progress_answer(state, order.name)
        try:
            self._check_order(state, order.name)
        except OrderRejectedError as error:
            return rejection_answer(error)
        await chain.change(lambda newest: self._with_order(newest, order.name))
        newest = chain.state
        if newest is None or order.name not in newest.retiring:
            return UNAVAILABLE
        return progress_answer(newest, order.name)

    def _with_order(self, state: ControlState, name: str) -> ControlState | None:
        """Return the state with the order added; None if it is already there or no longer possible."""
        if name in state.retiring:
            return None
        try:
            self._check_order(state, name)
        except OrderRejectedError:
            return None
        return evolve(state, retiring={**state.retiring, name: RetirementState.RUNNING.value})

    def _check_order(self, state: ControlState, name: str) -> None:
        """Raise an `OrderRejectedError` if the store does not exist or cannot be retired now."""
        stores = self._context.store_conditions(None)
        if name not in stores:
            raise UnknownTargetError("no storage machine has this name")
        if not can_retire(name, stores, state.retiring, self._context.tolerance):
            raise OrderConflictError("too few storage machines would remain")

    def updated_orders(self, state: ControlState, planned: Placement) -> dict[str, str]:
        """Return the states of the orders by store name, after marking the completed orders.

        `planned` is the next placement to commit; it is `state.placement` itself if nothing changes.
        """
        now = self._context.clock()
        retiring = dict(state.retiring)
        for name, progress in state.retiring.items():
            is_placed = planned is not state.placement or is_store_placed(planned, name)
            if progress != RetirementState.RUNNING or is_placed:
                self._unplaced_since.pop(name, None)
            elif now - self._unplaced_since.setdefault(name, now) >= RETIRED_AFTER_S:
                retiring[name] = RetirementState.COMPLETED.value
        return retiring


def can_retire(
    name: str, stores: Mapping[str, StoreCondition], retiring: Collection[str], tolerance: int
) -> bool:
    """Return whether at least 2f+1 live stores that are not retiring remain without the store `name`.

    With only f+1 remaining stores, every record would still be on f+1 disks and none would be lost.  But a
    commit needs f+1 replicas, so with fewer than 2f+1 stores the loss of f stores, which the deployment has
    to tolerate, would stop all writes.  The retired store does not count as one of these f losses.
    """
    remaining = [
        other
        for other, condition in stores.items()
        if other != name and condition.is_alive and other not in retiring
    ]
    return len(remaining) >= 2 * tolerance + 1


def is_any_store_retiring(state: ControlState) -> bool:
    """Return whether an order to retire a store is running."""
    return RetirementState.RUNNING in state.retiring.values()


def progress_answer(state: ControlState, name: str) -> OperatorResponse:
    """Return the response with the progress of an order, or status 404 if there is no such order."""
    progress = state.retiring.get(name)
    if progress is None:
        return rejection_answer(UnknownTargetError("no order to empty this machine"))
    return state_answer(progress)
