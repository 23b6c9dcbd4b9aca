"""The cluster-wide roles of a controller.

Every controller accepts registrations and suspicions and publishes decided views and committed states.  Only
the head of the control chain performs the singleton roles: it declares members dead (`MembershipService`),
reads the platform's worker list (`WorkerListPublisher`) and maintains the placement (`PlacementManager`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hollowusher.configuration.boot import FaultTolerance
from hollowusher.coordination.cluster_state import CONFIGURATION, PLACEMENT, VIEW
from hollowusher.coordination.controller.head_context import HeadContext
from hollowusher.coordination.controller.membership_service import MembershipService
from hollowusher.coordination.controller.worker_list_publisher import WorkerListPublisher, WorkerListSource
from hollowusher.coordination.placement.placement_manager import PlacementManager
from hollowusher.log_events import LogFunction, no_log
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import PartitionStatus
from hollowusher.protocol.handlers import HandlerTable
from hollowusher.protocol.membership import MemberDeparting, MemberSuspected, RegisterMember
from hollowusher.protocol.operator_orders import OperatorResponse
from hollowusher.protocol.view import View

REJECTION_STATUSES = (404, 409)
UNAVAILABLE = OperatorResponse(503, b'{"error":"no majority of the controllers can be reached"}')


async def _assume_newest() -> bool:
    return True


class HeadRoles:
    """The cluster-wide roles of one controller, including the singleton roles of the chain's head.

    `has_newest_view` returns whether a quorum confirms that this controller uses the newest view.
    """

    MESSAGES: tuple[type, ...] = (
        RegisterMember,
        MemberDeparting,
        MemberSuspected,
        *PlacementManager.MESSAGES,
    )

    def __init__(
        self,
        context: HeadContext,
        tolerance: FaultTolerance,
        worker_list_source: WorkerListSource,
        log: LogFunction = no_log,
        has_newest_view: Callable[[], Awaitable[bool]] = _assume_newest,
    ) -> None:
        self._feed = context.feed
        self._has_newest_view = has_newest_view
        self._placement = PlacementManager(context.chain, context.directory, tolerance, context.clock, log)
        self._membership = MembershipService(context)
        self._worker_list = WorkerListPublisher(context, worker_list_source)
        self._handlers = HandlerTable()
        self._handlers.add(RegisterMember, self._membership.register)
        self._handlers.add(MemberDeparting, self._membership.deregister)
        self._handlers.add(MemberSuspected, self._membership.record_suspicion)
        for message_type in PlacementManager.MESSAGES:
            self._handlers.add(message_type, self._handle_placement_message)

    # -- publishing ------------------------------------------------------------------------------------

    def publish_view(self, view: View) -> None:
        """Publish a decided view in the feed."""
        self._feed.publish(VIEW, [view.epoch], view)

    def publish_state(self, state: ControlState) -> None:
        """Publish the configuration and the placement of a committed control state in the feed."""
        if state.generation > 0:
            self._feed.publish(CONFIGURATION, [state.generation], state.document)
        if state.placement is not None:
            self._feed.publish(PLACEMENT, [state.placement.version], state.placement)

    # -- status for operators --------------------------------------------------------------------------

    def partition_statuses(self) -> list[PartitionStatus]:
        """Return the status of each partition according to this controller's state."""
        return self._placement.partition_statuses()

    def living_controllers(self) -> list[str]:
        """Return the names of the live controllers, including those that are not voters."""
        return self._membership.living_controllers()

    def worker_list_age_s(self) -> float:
        """Return how many seconds ago this process last read the worker list; -1 if it is not the head."""
        return self._worker_list.age_s()

    # -- messages --------------------------------------------------------------------------------------

    async def handle(self, message: object) -> object:
        """Return the response to one of `MESSAGES`; None for a one-way message."""
        return await self._handlers.handle(message)

    async def _handle_placement_message(self, message: object) -> object:
        """Return the placement manager's response to a message.

        A rejection is returned only if a quorum confirms that this controller has the newest view.  The
        manager rejects a message based on local state only, and a newer head may hold a newer state.
        """
        answer = await self._placement.handle(message)
        is_rejection = isinstance(answer, OperatorResponse) and answer.status in REJECTION_STATUSES
        return UNAVAILABLE if is_rejection and not await self._has_newest_view() else answer

    # -- background tasks ------------------------------------------------------------------------------

    async def run(self) -> None:
        """Perform the singleton roles while this process is the head; run until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._membership.run(tasks))
            tasks.create_task(self._placement.run())
            tasks.create_task(self._worker_list.run())
