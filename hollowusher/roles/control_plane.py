"""The controller components of an edge process; only edge processes with a disk import this module."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from hollowusher.coordination.chain.state_store import StateStore
from hollowusher.coordination.controller.control_status import build_control_status
from hollowusher.coordination.controller.controller import (
    Controller,
    ControllerCallbacks,
    ControllerResources,
)
from hollowusher.coordination.controller.head_context import HeadContext
from hollowusher.coordination.controller.head_roles import HeadRoles
from hollowusher.coordination.controller.worker_list_reader import WorkerListReader
from hollowusher.coordination.controller.worker_list_timing import WorkerListTiming
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import ControlStatus, ReadControlStatus
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import View
from hollowusher.roles.cluster_change_log import ClusterChangeLog
from hollowusher.roles.fault_tolerance_log import FaultToleranceLog
from hollowusher.roles.logs import log
from hollowusher.roles.process import Process
from hollowusher.storage.slots import SlotFile

VIEW_SLOT = "view"
STATE_SLOT = "control-state"
RECORD_SLOTS = ("control-record-a", "control-record-b")
HANDLED_MESSAGES = (ReadControlStatus, *HeadRoles.MESSAGES, *Controller.MESSAGES)
FAULT_TOLERANCE_CHECK_S = 0.5  # interval between computations of the number of tolerated failures


class ControlPlane:
    """The controller of a process, its update feed, and the components that run on the chain's head."""

    def __init__(self, process: Process, me: Member, data_dir: Path) -> None:
        settings = process.settings
        clock = asyncio.get_running_loop().time
        self._process = process
        self.feed = UpdateFeed(f"{me.name}/{me.incarnation}")
        resources = ControllerResources(
            process.transport,
            SlotFile(data_dir / VIEW_SLOT),
            StateStore(SlotFile(data_dir / STATE_SLOT), [SlotFile(data_dir / name) for name in RECORD_SLOTS]),
            process.random_source,
        )
        callbacks = ControllerCallbacks(self._publish_view, self._publish_state)
        self.controller = Controller(
            me, settings, resources, callbacks, lambda: process.settings.seed_addresses()
        )
        timing = WorkerListTiming.from_settings(settings)
        self.reader = WorkerListReader(settings.cloud_api.address, timing)
        self._tolerance = settings.fault_tolerance.machines
        context = HeadContext(
            me,
            self.controller,
            self.feed,
            MemberDirectory(clock()),
            process.transport,
            clock,
            timing.read_interval_s,
        )
        self.head_roles = HeadRoles(
            context,
            settings.fault_tolerance,
            self.reader,
            log,
            self.controller.has_newest_view,
        )
        self._fault_tolerance_log = FaultToleranceLog(log)
        ClusterChangeLog(process.state, "", lambda: self.controller.is_head)

    async def start(self) -> None:
        """Start the controller and the tasks of the chain's head."""
        await self.controller.start()
        self._process.spawn(self.head_roles.run())
        self._process.spawn(self._watch_fault_tolerance())

    async def stop(self) -> None:
        """Leave the control chain and close the connection to the platform's API."""
        await self.controller.stop()
        await self.reader.close()

    def learn(self, view: View) -> None:
        """Pass a decided view to the controller, which adopts it if it is newer."""
        self._process.spawn(self.controller.learn(view))

    def handles(self, message: Any) -> bool:
        """Return whether the control plane handles this type of message."""
        return isinstance(message, HANDLED_MESSAGES)

    async def handle(self, message: Any) -> Any:
        """Handle a message and return the response."""
        if isinstance(message, ReadControlStatus):
            return self.status()
        if isinstance(message, HeadRoles.MESSAGES):
            return await self.head_roles.handle(message)
        return await self.controller.handle(message)

    def status(self) -> ControlStatus:
        """Return the state of the controllers and of the placement as this controller knows it."""
        snapshot = self.controller.snapshot(self.head_roles.living_controllers())
        status = build_control_status(snapshot, self.head_roles.partition_statuses(), self._tolerance)
        return evolve(status, worker_list_age_s=self.head_roles.worker_list_age_s())

    async def _watch_fault_tolerance(self) -> None:
        while True:
            self._fault_tolerance_log.update(self.status())
            await asyncio.sleep(FAULT_TOLERANCE_CHECK_S)

    def _publish_view(self, view: View) -> None:
        self.head_roles.publish_view(view)

    def _publish_state(self, state: ControlState) -> None:
        self.head_roles.publish_state(state)
