"""What a controller does for the whole system besides keeping its control state.

Every controller takes registrations and suspicions and publishes decided views and committed states.  The
head of the control chain alone judges deaths, keeps the placement, empties machines and reads the platform's
list of workers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any, Protocol

import orjson

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import CONFIGURATION, MEMBER_PREFIX, PLACEMENT, VIEW, WORKERS
from hollowusher.coordination.directory import STORE, Directory, version_of
from hollowusher.coordination.placement import (
    CAUGHT_UP,
    PARTITIONS,
    enough_would_remain,
    initial_placement,
    is_named,
    replan,
    store_name,
)
from hollowusher.coordination.platform_list import PlatformError
from hollowusher.coordination.updates import Feed
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control import (
    ControlState,
    Done,
    Item,
    LearnerReady,
    Leaving,
    Member,
    OperatorAnswer,
    Placement,
    ReadView,
    Register,
    Registered,
    Retire,
    Suspicion,
    View,
    Worker,
    WorkerList,
)
from hollowusher.transport.interface import PeerError, Transport

TICK_S = 0.1
REPLAN_S = 1.0  # the placement is looked at this often even when no member has changed
MOVE_S = 1.0  # at most one primary is moved for balance in this time
STABLE_S = 1.0  # the first placement waits until no store has come for this long
FEW_STORES_S = 5.0  # ... and with fewer than 2f+1 stores, this long
READ_S = 1.0
FIRST_READ_S = 0.15
PROBE_TIMEOUT_S = 0.6
REPORT_COUNTS_S = 2.5  # a primary repeats its report about a learner more often than this
EMPTIED_S = 1.0  # a machine counts as emptied once no placement has named it for this long
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


class ListReader(Protocol):
    """What the duties need of the platform's list."""

    async def read(self) -> WorkerList | None:
        """The whole list; None where nothing new is to be believed yet, `PlatformError` after a failure."""


class HeadDuties:
    """The duties of one controller."""

    MESSAGES: tuple[type, ...] = (Register, Leaving, Suspicion, Retire, LearnerReady)

    def __init__(
        self,
        me: Member,
        controller: ControlChain,
        feed: Feed,
        directory: Directory,
        settings: BootSettings,
        reader: ListReader,
        transport: Transport,
        clock: Callable[[], float],
    ) -> None:
        self._me = me
        self._controller = controller
        self._feed = feed
        self._directory = directory
        self._tolerance = settings.fault_tolerance.machines
        self._reader = reader
        self._transport = transport
        self._clock = clock
        self._caught_up: dict[CAUGHT_UP, float] = {}  # report -> when it came last
        self._probing: set[str] = set()
        self._planned_for = (-1, -1)  # changes of the directory and sequence of the state at the last plan
        self._planned_at = 0.0
        self._moved_at = 0.0
        self._duty_since: float | None = None
        self._unnamed_since: dict[str, float] = {}
        feed.listen(self._on_item)

    # ---- publishing

    def publish_view(self, view: View) -> None:
        """Distribute a decided view."""
        self._feed.publish(VIEW, [view.epoch], view)

    def publish_state(self, state: ControlState) -> None:
        """Distribute a committed state."""
        if state.generation > 0:
            self._feed.publish(CONFIGURATION, [state.generation], state.document)
        if state.placement is not None:
            self._feed.publish(PLACEMENT, [state.placement.version], state.placement)

    def _publish_member(self, member: Member) -> None:
        self._feed.publish(MEMBER_PREFIX + member.name, version_of(member), member)

    def _on_item(self, item: Item) -> None:
        if item.key.startswith(MEMBER_PREFIX):
            self._directory.take(item.value, self._clock())

    # ---- messages

    async def handle(self, message: Any) -> Any:
        """Answer one of `MESSAGES`."""
        if isinstance(message, Register):
            self._publish_member(message.member)
            view = self._controller.view
            return Registered(0 if view is None else view.epoch)
        if isinstance(message, Leaving):
            dead = self._directory.left(message)
            if dead is not None:
                self._publish_member(dead)
            return Done()
        if isinstance(message, Suspicion):
            self._directory.suspect(message, self._clock())
            return None
        if isinstance(message, LearnerReady):
            self._caught_up[message.partition, message.epoch, message.store_id] = self._clock()
            self._planned_for = (-1, -1)
            return Done()
        if isinstance(message, Retire):
            return await self._retire(message)
        return None

    # ---- the loops

    async def run(self) -> None:
        """Do the duties whenever this process is the head; runs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_judgement(tasks))
            tasks.create_task(self._run_placement())
            tasks.create_task(self._run_readings())

    async def _run_judgement(self, tasks: asyncio.TaskGroup) -> None:
        while True:
            if self._controller.is_head:
                self._judge(tasks)
            await asyncio.sleep(TICK_S)

    async def _run_placement(self) -> None:
        while True:
            if not self._controller.is_head:
                self._duty_since = None
                self._caught_up.clear()
            else:
                if self._duty_since is None:
                    self._duty_since = self._clock()
                await self._keep_placement()
            await asyncio.sleep(TICK_S)

    def _judge(self, tasks: asyncio.TaskGroup) -> None:
        """Publish the deaths that the monitors agree on, and try those that they do not agree on."""
        now = self._clock()
        for dead in self._directory.condemned(now):
            self._publish_member(dead)
        for member in self._directory.doubtful(now):
            if member.name not in self._probing and member.name != self._me.name:
                self._probing.add(member.name)
                tasks.create_task(self._probe(member))

    async def _probe(self, member: Member) -> None:
        try:
            await self._transport.call(member.address, ReadView(), PROBE_TIMEOUT_S)
            self._directory.reached(member)
        except PeerError:
            dead = self._directory.unreachable(member, self._clock())
            if dead is not None and self._controller.is_head:
                self._publish_member(dead)
        finally:
            self._probing.discard(member.name)

    # ---- placement

    async def _keep_placement(self) -> None:
        state = self._controller.state
        now = self._clock()
        if state is None:
            return
        seen = (self._directory.changes, state.sequence)
        if seen == self._planned_for and now - self._planned_at < REPLAN_S:
            return
        self._planned_at = now
        self._forget_old_reports()
        may_move = now - self._moved_at >= MOVE_S
        if self._replanned(state, may_move) is None:
            self._planned_for = seen
            return
        if may_move:
            self._moved_at = now
        await self._controller.change(lambda newest: self._replanned(newest, may_move))

    def _forget_old_reports(self) -> None:
        """Drop reports that are no longer repeated: their primary has lost the learner or the partition."""
        now = self._clock()
        self._caught_up = {
            report: came for report, came in self._caught_up.items() if now - came <= REPORT_COUNTS_S
        }

    def _replanned(self, state: ControlState, may_move: bool) -> ControlState | None:
        """The state with the placement and the emptied machines as they should be; None where they are."""
        if state.placement is None:
            stores = self._first_stores()
            if not stores:
                return None
            placement = initial_placement(stores, self._tolerance, PARTITIONS)
            return evolve(state, placement=placement)
        named = {
            store_name(store_id)
            for entry in state.placement.partitions
            for store_id in (entry.primary, *entry.replicas, *entry.learners)
        }
        conditions = self._directory.stores(named, self._clock())
        changed = replan(
            state.placement, conditions, self._tolerance, state.retiring, self._caught_up, may_move
        )
        placement = changed or state.placement
        retiring = self._progress(state, placement)
        if changed is None and retiring == state.retiring:
            return None
        return evolve(state, placement=placement, retiring=retiring)

    def _first_stores(self) -> list[Member]:
        """The stores for the first placement, none while more may come."""
        now = self._clock()
        stores = self._directory.alive(STORE)
        if not stores or self._duty_since is None:
            return []
        newest = max(self._directory.since(store.name) for store in stores)
        enough = len(stores) >= 2 * self._tolerance + 1 or now - self._duty_since >= FEW_STORES_S
        return stores if enough and now - newest >= STABLE_S else []

    # ---- emptying machines

    def _progress(self, state: ControlState, planned: Placement) -> dict[str, str]:
        """The machines being emptied, those completed that no placement has named for a while."""
        now = self._clock()
        retiring = dict(state.retiring)
        for name, progress in state.retiring.items():
            named = planned is not state.placement or is_named(planned, name)
            if progress != RUNNING or named:
                self._unnamed_since.pop(name, None)
            elif now - self._unnamed_since.setdefault(name, now) >= EMPTIED_S:
                retiring[name] = COMPLETED
        return retiring

    async def _retire(self, order: Retire) -> OperatorAnswer:
        state = self._controller.state
        if state is None or not self._controller.is_head:
            return OperatorAnswer(503)
        if order.duration_s is None or order.name in state.retiring:
            return _progress_answer(state, order.name)
        refusal = self._refusal(state, order.name)
        if refusal is not None:
            return refusal

        def update(newest: ControlState) -> ControlState | None:
            if order.name in newest.retiring or self._refusal(newest, order.name) is not None:
                return None
            return evolve(newest, retiring={**newest.retiring, order.name: RUNNING})

        await self._controller.change(update)
        newest = self._controller.state
        if newest is not None and order.name in newest.retiring:
            return _progress_answer(newest, order.name)
        return OperatorAnswer(503)

    def _refusal(self, state: ControlState, name: str) -> OperatorAnswer | None:
        conditions = self._directory.stores((), self._clock())
        if name not in conditions:
            return OperatorAnswer(404, b'{"error":"no storage machine has this name"}')
        if not enough_would_remain(name, conditions, state.retiring, self._tolerance):
            return OperatorAnswer(409, b'{"error":"too few storage machines would remain"}')
        return None

    # ---- the platform's list

    async def _run_readings(self) -> None:
        was_head = False
        while True:
            is_head = self._controller.is_head
            if not is_head:
                await asyncio.sleep(TICK_S)
            elif not was_head:
                await asyncio.sleep(FIRST_READ_S)
            else:
                started = self._clock()
                await self._read_list()
                await asyncio.sleep(max(TICK_S, started + READ_S - self._clock()))
            was_head = is_head

    async def _read_list(self) -> None:
        with suppress(PlatformError):
            listed = await self._reader.read()
            view = self._controller.view
            if listed is not None and view is not None and self._controller.is_head:
                self._publish_workers(listed, view)

    def _publish_workers(self, listed: WorkerList, view: View) -> None:
        """Distribute a list that says something new.  Its version is [epoch, incarnation, counter], which
        grows over changes of the head and over restarts of one."""
        known = self._feed.item(WORKERS)
        if known is not None and _same_workers(known.value.workers, listed.workers):
            return
        prefix = [view.epoch, self._me.incarnation]
        counter = known.version[2] + 1 if known is not None and list(known.version[:2]) == prefix else 1
        self._feed.publish(WORKERS, [*prefix, counter], listed)


def _progress_answer(state: ControlState, name: str) -> OperatorAnswer:
    progress = state.retiring.get(name)
    if progress is None:
        return OperatorAnswer(404, b'{"error":"no order to empty this machine"}')
    return OperatorAnswer(200, orjson.dumps({"state": progress}))


def _same_workers(known: Iterable[Worker], read: Iterable[Worker]) -> bool:
    """Whether two lists say the same; the time left to warm up counts only as some or none."""
    return [_lasting(worker) for worker in known] == [_lasting(worker) for worker in read]


def _lasting(worker: Worker) -> Worker:
    return evolve(worker, warm_in_ms=min(1, worker.warm_in_ms))
