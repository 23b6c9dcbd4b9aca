"""The head's duty to keep the placement: primaries, replicas and learners follow the stores; machines are
emptied, and partitions without a majority are shown and recovered, by an operator's order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import orjson

from hollowusher.coordination.member_role import MemberRole
from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.initial_placement import PARTITION_COUNT, plan_initial_placement
from hollowusher.coordination.placement.partition_recovery import (
    RecoveryRejected,
    is_lost,
    live_store_ids,
    partition_statuses,
    plan_recovery,
)
from hollowusher.coordination.placement.planner import (
    LearnerReport,
    can_retire,
    is_store_placed,
    plan_placement,
)
from hollowusher.coordination.placement.replica_states import store_name
from hollowusher.log_events import LogFunction, PartitionLost, PartitionRecovered, PartitionRestored, no_log
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import PartitionStatus
from hollowusher.protocol.membership import Member
from hollowusher.protocol.operator_orders import OperatorResponse, RecoverPartition, RetireStore
from hollowusher.protocol.placement import LearnerLost, LearnerReady, Placement
from hollowusher.protocol.view import View

POLL_INTERVAL_S = 0.1
REPLAN_INTERVAL_S = 0.5  # the placement is looked at this often even when no member has changed
BALANCING_MOVE_INTERVAL_S = 1.0  # at most one primary and one replica are moved for balance in this time
RETIRING_MOVE_INTERVAL_S = 0.2  # ... and one primary leaves a machine that is being emptied in this time
STORES_STABLE_AFTER_S = 1.0  # the first placement waits until no store has come for this long
FEW_STORES_WAIT_S = 5.0  # ... and with fewer than 2f+1 stores, this long
REPORT_VALIDITY_S = 2.5  # a primary repeats its report about a learner more often than this
RETIRED_AFTER_S = 1.0  # a machine counts as emptied once no placement has named it for this long
RUNNING = "running"
COMPLETED = "completed"
Update = Callable[[ControlState], ControlState | None]


class ControlChain(Protocol):
    """What the duties need of this process's controller."""

    @property
    def is_head(self) -> bool:
        """Whether this process is the chain's head and may write."""

    @property
    def view(self) -> View | None:
        """The newest decided view."""

    @property
    def state(self) -> ControlState | None:
        """The newest committed state."""

    async def change(self, update: Update) -> bool:
        """Commit what `update` makes of the newest state (None: leave it); True once that is committed."""


class PlacementManager:
    """The placement's part of one controller's duties; it acts while its process is the chain's head."""

    MESSAGES: tuple[type, ...] = (RetireStore, LearnerReady, LearnerLost, RecoverPartition)

    def __init__(
        self,
        controller: ControlChain,
        directory: MemberDirectory,
        tolerance: int,
        clock: Callable[[], float],
        log: LogFunction = no_log,
    ) -> None:
        self._controller = controller
        self._directory = directory
        self._tolerance = tolerance
        self._clock = clock
        self._log = log
        self._ready_learners: dict[LearnerReport, float] = {}  # report -> when it came last
        self._lost_learners: dict[LearnerReport, float] = {}
        self._planned_for = (-1, -1)  # changes of the directory and sequence of the state at the last plan
        self._planned_at = 0.0
        self._moved_at = 0.0
        self._head_since: float | None = None
        self._unplaced_since: dict[str, float] = {}
        self._logged_lost: set[int] = set()

    # ---- messages

    async def handle(self, message: Any) -> Any:
        """Answer one of `MESSAGES`."""
        if isinstance(message, LearnerReady | LearnerLost):
            self._record_report(message)
            return Acknowledgement()
        if isinstance(message, RetireStore):
            return await self._retire_store(message)
        if isinstance(message, RecoverPartition):
            return await self._recover_partition(message)
        return None

    def _record_report(self, report: LearnerReady | LearnerLost) -> None:
        key = (report.partition, report.epoch, report.store_id)
        ready = isinstance(report, LearnerReady)
        taken, other = (
            (self._ready_learners, self._lost_learners)
            if ready
            else (self._lost_learners, self._ready_learners)
        )
        other.pop(key, None)
        taken[key] = self._clock()
        self._planned_for = (-1, -1)

    # ---- the loop

    async def run(self) -> None:
        """Keep the placement whenever this process is the head; runs until cancelled."""
        while True:
            if not self._controller.is_head:
                self._head_since = None
                self._ready_learners.clear()
                self._lost_learners.clear()
            else:
                if self._head_since is None:
                    self._head_since = self._clock()
                await self._update_placement()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _update_placement(self) -> None:
        state = self._controller.state
        now = self._clock()
        if state is None:
            return
        seen = (self._directory.change_count, state.sequence)
        if seen == self._planned_for and now - self._planned_at < REPLAN_INTERVAL_S:
            return
        self._planned_at = now
        self._expire_reports()
        self._log_lost_partitions(state)
        allow_moves = now - self._moved_at >= (
            RETIRING_MOVE_INTERVAL_S if _is_any_store_retiring(state) else BALANCING_MOVE_INTERVAL_S
        )
        if self._next_state(state, allow_moves) is None:
            self._planned_for = seen
            return
        if allow_moves:
            self._moved_at = now
        await self._controller.change(lambda newest: self._next_state(newest, allow_moves))

    def _expire_reports(self) -> None:
        """Drop reports that are no longer repeated: their primary has lost the learner or the partition."""
        oldest = self._clock() - REPORT_VALIDITY_S
        self._ready_learners = {
            report: came for report, came in self._ready_learners.items() if came >= oldest
        }
        self._lost_learners = {report: came for report, came in self._lost_learners.items() if came >= oldest}

    def _next_state(self, state: ControlState, allow_moves: bool) -> ControlState | None:
        """The state with the placement and the emptied machines as they should be; None where they are."""
        if state.placement is None:
            stores = self._initial_stores()
            if not stores:
                return None
            placement = plan_initial_placement(stores, self._tolerance, PARTITION_COUNT)
            return evolve(state, placement=placement)
        changed = plan_placement(
            state.placement,
            self._conditions(state.placement),
            self._tolerance,
            state.retiring,
            self._ready_learners,
            allow_moves,
            self._lost_learners,
        )
        placement = changed or state.placement
        retiring = self._retirement_progress(state, placement)
        if changed is None and retiring == state.retiring:
            return None
        return evolve(state, placement=placement, retiring=retiring)

    def _conditions(self, placement: Placement | None) -> Mapping[str, StoreCondition]:
        """The conditions of all stores known, and of those that the placement names."""
        entries = placement.partitions if placement is not None else []
        named = {
            store_name(store_id)
            for entry in entries
            for store_id in (entry.primary, *entry.replicas, *entry.learners)
        }
        return self._directory.store_conditions(named, self._clock())

    def _initial_stores(self) -> list[Member]:
        """The stores for the first placement, none while more may come."""
        now = self._clock()
        stores = self._directory.live_members(MemberRole.STORE)
        if not stores or self._head_since is None:
            return []
        newest = max(self._directory.state_since(store.name) for store in stores)
        enough = len(stores) >= 2 * self._tolerance + 1 or now - self._head_since >= FEW_STORES_WAIT_S
        return stores if enough and now - newest >= STORES_STABLE_AFTER_S else []

    # ---- partitions without enough replicas

    def partition_statuses(self) -> list[PartitionStatus]:
        """How each partition stands, as this controller knows it."""
        state = self._controller.state
        if state is None or state.placement is None:
            return []
        return partition_statuses(state.placement, self._conditions(state.placement), self._tolerance)

    def _log_lost_partitions(self, state: ControlState) -> None:
        """Log partitions that can no longer be served, and those that can again."""
        if state.placement is None:
            return
        living = live_store_ids(self._conditions(state.placement))
        lost = {
            entry.partition: entry
            for entry in state.placement.partitions
            if is_lost(entry, living, self._tolerance)
        }
        for number in sorted(lost.keys() - self._logged_lost):
            missing = [replica for replica in lost[number].replicas if replica not in living]
            self._log(PartitionLost(partition=number, epoch=lost[number].epoch, missing_replicas=missing))
        for number in sorted(self._logged_lost - lost.keys()):
            self._log(PartitionRestored(partition=number))
        self._logged_lost = set(lost)

    async def _recover_partition(self, order: RecoverPartition) -> OperatorResponse:
        """Go on with what is left of a partition, as the operator has ordered it."""
        state = self._controller.state
        if state is None or state.placement is None or not self._controller.is_head:
            return OperatorResponse(503)
        answers: list[OperatorResponse] = []

        def update(newest: ControlState) -> ControlState | None:
            assert newest.placement is not None
            found = plan_recovery(
                newest.placement,
                self._conditions(newest.placement),
                self._tolerance,
                order.partition,
                order.accept_loss_of,
            )
            if isinstance(found, RecoveryRejected):
                answers.append(OperatorResponse(found.status, orjson.dumps({"error": found.reason})))
                return None
            answers.append(OperatorResponse(200, orjson.dumps({"state": "recovered"})))
            return evolve(newest, placement=found)

        if not await self._controller.change(update) or not answers:
            return OperatorResponse(503)
        if answers[0].status == 200:
            self._log(PartitionRecovered(partition=order.partition, abandoned_replicas=order.accept_loss_of))
        return answers[0]

    # ---- emptying machines

    def _retirement_progress(self, state: ControlState, planned: Placement) -> dict[str, str]:
        """The machines being emptied, those completed that no placement has named for a while."""
        now = self._clock()
        retiring = dict(state.retiring)
        for name, progress in state.retiring.items():
            named = planned is not state.placement or is_store_placed(planned, name)
            if progress != RUNNING or named:
                self._unplaced_since.pop(name, None)
            elif now - self._unplaced_since.setdefault(name, now) >= RETIRED_AFTER_S:
                retiring[name] = COMPLETED
        return retiring

    async def _retire_store(self, order: RetireStore) -> OperatorResponse:
        state = self._controller.state
        if state is None or not self._controller.is_head:
            return OperatorResponse(503)
        if order.duration_s is None or order.name in state.retiring:
            return _retirement_answer(state, order.name)
        rejection = self._retirement_rejection(state, order.name)
        if rejection is not None:
            return rejection

        def update(newest: ControlState) -> ControlState | None:
            if order.name in newest.retiring or self._retirement_rejection(newest, order.name) is not None:
                return None
            return evolve(newest, retiring={**newest.retiring, order.name: RUNNING})

        await self._controller.change(update)
        newest = self._controller.state
        if newest is not None and order.name in newest.retiring:
            return _retirement_answer(newest, order.name)
        return OperatorResponse(503)

    def _retirement_rejection(self, state: ControlState, name: str) -> OperatorResponse | None:
        conditions = self._directory.store_conditions((), self._clock())
        if name not in conditions:
            return OperatorResponse(404, b'{"error":"no storage machine has this name"}')
        if not can_retire(name, conditions, state.retiring, self._tolerance):
            return OperatorResponse(409, b'{"error":"too few storage machines would remain"}')
        return None


def _is_any_store_retiring(state: ControlState) -> bool:
    return RUNNING in state.retiring.values()


def _retirement_answer(state: ControlState, name: str) -> OperatorResponse:
    progress = state.retiring.get(name)
    if progress is None:
        return OperatorResponse(404, b'{"error":"no order to empty this machine"}')
    return OperatorResponse(200, orjson.dumps({"state": progress}))
