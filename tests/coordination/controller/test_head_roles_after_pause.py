"""Tests that a head ignores suspicions that it received before or during a pause of its process.

Otherwise a head that resumes after a pause would declare live members dead because of stale suspicions.
"""

from __future__ import annotations

import asyncio
from typing import Any

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.controller.head_context import HeadContext
from hollowusher.coordination.controller.head_roles import HeadRoles
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import Member, MemberSuspected
from hollowusher.protocol.view import View
from hollowusher.protocol.worker_list import PlatformWorkerList
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.transport.interface import PeerError

NAMES = ("a", "b", "c", "d")


class _Chain:
    """A control chain whose head is always this process."""

    is_head = True
    view: View | None = None
    state: ControlState | None = None

    async def change(self, update: Any) -> bool:
        return False


class _Reader:
    async def read(self) -> PlatformWorkerList | None:
        return None


class _Transport:
    """A transport on which every call times out."""

    address = "10.0.0.a:7780"

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        await asyncio.sleep(timeout)
        raise PeerError(type(message).__name__, address, "no answer in time")

    def send(self, address: str, message: Any) -> None:
        return None

    async def start(self, handler: Any) -> None:
        return None

    async def close(self) -> None:
        return None


class _Head:
    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.process = SimulatedProcess("a")
        self.feed = UpdateFeed("a/1")
        self.deaths: list[str] = []
        members = [Member(name, "edge", f"10.0.0.{name}:7780", "z", "r", 1) for name in NAMES]
        context = HeadContext(
            members[0], _Chain(), self.feed, MemberDirectory(loop.time()), _Transport(), loop.time
        )
        self.head_roles = HeadRoles(
            context,
            BootSettings(node_name="a", machine_class="edge", ip="10.0.0.1").fault_tolerance,
            _Reader(),
        )
        self.feed.add_listener(self._note)
        for member in members:
            self.feed.publish(f"member/{member.name}", [1, 0], member)

    def _note(self, item: DistributedItem) -> None:
        if isinstance(item.value, Member) and not item.value.alive:
            self.deaths.append(item.value.name)

    def deliver_suspicion(self, reporter: str) -> None:
        """Deliver a suspicion of member b; a frozen process handles it when it resumes."""
        self.process.run(self.head_roles.handle(MemberSuspected("b", 1, reporter)))

    async def freeze_for(self, seconds: float) -> None:
        self.loop.freeze(self.process)
        await asyncio.sleep(seconds)
        self.loop.thaw(self.process)


def play(work: Any) -> None:
    loop = VirtualTimeLoop()

    async def main() -> None:
        head = _Head(loop)
        head.process.run(head.head_roles.run())
        await asyncio.sleep(1.0)
        await work(head)

    try:
        loop.play(main())
        assert loop.failures == []
    finally:
        loop.shut()


def test_valid_suspicions_lead_to_a_death() -> None:
    async def work(head: _Head) -> None:
        for reporter in ("a", "c", "d"):
            head.deliver_suspicion(reporter)
        await asyncio.sleep(0.2)
        assert head.deaths == ["b"]

    play(work)


def test_suspicions_received_during_a_freeze_are_ignored() -> None:
    async def work(head: _Head) -> None:
        freezing = asyncio.create_task(head.freeze_for(1.0))
        await asyncio.sleep(0.1)
        for reporter in ("a", "c", "d"):
            head.deliver_suspicion(reporter)
        await freezing
        await asyncio.sleep(1.5)
        assert head.deaths == []
        for reporter in ("c", "d"):  # the monitors repeat suspicions that are still valid
            head.deliver_suspicion(reporter)
        await asyncio.sleep(0.2)
        assert head.deaths == ["b"]

    play(work)


def test_suspicions_from_before_a_freeze_are_dropped() -> None:
    async def work(head: _Head) -> None:
        head.deliver_suspicion("c")
        await head.freeze_for(1.0)
        await asyncio.sleep(0.2)
        head.deliver_suspicion("d")
        await asyncio.sleep(0.2)
        assert head.deaths == []

    play(work)


def test_a_health_check_that_timed_out_during_a_freeze_is_ignored() -> None:
    async def work(head: _Head) -> None:
        for _ in range(4):
            head.deliver_suspicion("c")
            await asyncio.sleep(0.3)
        assert head.head_roles._membership._members_being_checked == {"b"}
        await head.freeze_for(1.0)
        await asyncio.sleep(0.5)
        assert head.deaths == []

    play(work)
