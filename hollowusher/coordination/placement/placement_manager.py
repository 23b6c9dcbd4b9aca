"""The placement task of the head of the control chain.

The task adapts the primaries, replicas and learners of all partitions to the state of the stores.

`PlacementManager` decides when to plan a placement, and commits the result to the control chain.  `planner`
computes the placement.  `StoreRetirement` and `PartitionOperations` execute operators' orders.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from hollowusher.configuration.boot import FaultTolerance
from hollowusher.coordination.member_role import MemberRole
from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.coordination.placement.control_chain import ControlChain
from hollowusher.coordination.placement.initial_placement import PARTITION_COUNT, plan_initial_placement
from hollowusher.coordination.placement.learner_reports import LearnerReport, LearnerReports
from hollowusher.coordination.placement.partition_operations import PartitionOperations
from hollowusher.coordination.placement.placement_context import PlacementContext
from hollowusher.coordination.placement.planner import PlanningInput, plan_placement
from hollowusher.coordination.placement.store_retirement import StoreRetirement, is_any_store_retiring
from hollowusher.coordination.placement.zone_policy import zone_policy
from hollowusher.log_events import LogFunction, no_log
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import PartitionStatus
from hollowusher.protocol.handlers import HandlerTable
from hollowusher.protocol.membership import Member
from hollowusher.protocol.operator_orders import RecoverPartition, RetireStore
from hollowusher.protocol.placement import LearnerLost, LearnerReady, Placement

POLL_INTERVAL_S = 0.1
REPLAN_INTERVAL_S = 0.5  # interval between plans while nothing changes
# Minimum time between two rounds of moves; each round moves at most one primary and one replica.
BALANCING_MOVE_INTERVAL_S = 1.0
RETIRING_MOVE_INTERVAL_S = 0.2  # the same while a store is retiring
# The initial placement is planned when no store has registered for this long.
STORES_STABLE_AFTER_S = 1.0
# With fewer than 2f+1 stores, this process must also have been the head for this long.
FEW_STORES_WAIT_S = 5.0


@attrs.frozen
class _Observation:
    """The versions of the member directory and of the control state that a plan was based on.

    While both are unchanged, the manager plans again only after `REPLAN_INTERVAL_S`.
    """

    directory_changes: int
    state_sequence: int


class PlacementManager:
    """Adapts the placement to the stores while its process is the head of the control chain.

    It owns the reports about learners.  The placement itself is part of the control state.
    """

    MESSAGES: tuple[type, ...] = (RetireStore, LearnerReady, LearnerLost, RecoverPartition)

    def __init__(
        self,
        chain: ControlChain,
        directory: MemberDirectory,
        tolerance: FaultTolerance,
        clock: Callable[[], float],
        log: LogFunction = no_log,
    ) -> None:
        self._chain = chain
        self._directory = directory
        self._tolerance = tolerance.machines
        self._clock = clock
        self._policy = zone_policy(tolerance.zones, tolerance.regions)
        self._context = PlacementContext(chain, directory, tolerance.machines, clock, log)
        self._retirement = StoreRetirement(self._context)
        self._partitions = PartitionOperations(self._context)
        self._reports = LearnerReports()
        self._planned_for: _Observation | None = None  # None: plan at the next poll
        self._planned_at = 0.0
        self._moved_at = 0.0
        self._head_since: float | None = None
        self._handlers = HandlerTable()
        self._handlers.add(LearnerReady, self._handle_learner_ready)
        self._handlers.add(LearnerLost, self._handle_learner_lost)
        self._handlers.add(RetireStore, self._retirement.retire)
        self._handlers.add(RecoverPartition, self._partitions.recover)

    # ---- messages

    async def handle(self, message: object) -> object:
        """Handle a message of one of the types in `MESSAGES` and return the response."""
        return await self._handlers.handle(message)

    async def _handle_learner_ready(self, message: LearnerReady) -> Acknowledgement:
        report = LearnerReport(message.partition, message.epoch, message.store_id)
        self._reports.record_ready(report, self._clock())
        self._planned_for = None
        return Acknowledgement()

    async def _handle_learner_lost(self, message: LearnerLost) -> Acknowledgement:
        report = LearnerReport(message.partition, message.epoch, message.store_id)
        self._reports.record_lost(report, self._clock())
        self._planned_for = None
        return Acknowledgement()

    def partition_statuses(self) -> list[PartitionStatus]:
        """Return the status of each partition, based on the state and the members of this controller."""
        return self._partitions.statuses()

    # ---- the polling loop

    async def run(self) -> None:
        """Update the placement while this process is the head; run until cancelled."""
        while True:
            if self._chain.is_head:
                if self._head_since is None:
                    self._head_since = self._clock()
                await self._update_placement()
            else:
                self._head_since = None
                self._reports.clear()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _update_placement(self) -> None:
        state = self._chain.state
        now = self._clock()
        if state is None:
            return
        observed = _Observation(self._directory.change_count, state.sequence)
        if observed == self._planned_for and now - self._planned_at < REPLAN_INTERVAL_S:
            return
        self._planned_at = now
        self._reports.remove_expired(now)
        if state.placement is not None:
            self._partitions.log_changes(state.placement)
        allow_moves = now - self._moved_at >= _move_interval_s(state)
        if self._next_state(state, allow_moves=allow_moves) is None:
            self._planned_for = observed
            return
        if allow_moves:
            self._moved_at = now
        await self._chain.change(lambda newest: self._next_state(newest, allow_moves=allow_moves))

    def _next_state(self, state: ControlState, *, allow_moves: bool) -> ControlState | None:
        """Return the state with updated placement and retirements; None if neither has to change."""
        if state.placement is None:
            return self._with_initial_placement(state)
        planned = self._plan(state, state.placement, allow_moves=allow_moves)
        placement = planned or state.placement
        retiring = self._retirement.updated_orders(state, placement)
        if planned is None and retiring == state.retiring:
            return None
        return evolve(state, placement=placement, retiring=retiring)

    def _plan(self, state: ControlState, placement: Placement, *, allow_moves: bool) -> Placement | None:
        planning_input = PlanningInput(
            stores=self._context.store_conditions(placement),
            tolerance=self._tolerance,
            retiring=state.retiring,
            ready_learners=self._reports.ready,
            lost_learners=self._reports.lost,
            allow_moves=allow_moves,
            policy=self._policy,
        )
        return plan_placement(placement, planning_input)

    # ---- the initial placement

    def _with_initial_placement(self, state: ControlState) -> ControlState | None:
        stores = self._initial_stores()
        if not stores:
            return None
        placement = plan_initial_placement(stores, self._tolerance, PARTITION_COUNT, self._policy)
        return evolve(state, placement=placement)

    def _initial_stores(self) -> list[Member]:
        """Return the stores for the initial placement; empty while more stores are expected to register."""
        now = self._clock()
        stores = self._directory.live_members(MemberRole.STORE)
        if not stores or self._head_since is None:
            return []
        newest = max(self._directory.state_since(store.name) for store in stores)
        is_stable = now - newest >= STORES_STABLE_AFTER_S
        is_enough = len(stores) >= 2 * self._tolerance + 1 or now - self._head_since >= FEW_STORES_WAIT_S
        return stores if is_enough and is_stable else []


def _move_interval_s(state: ControlState) -> float:
    return RETIRING_MOVE_INTERVAL_S if is_any_store_retiring(state) else BALANCING_MOVE_INTERVAL_S
