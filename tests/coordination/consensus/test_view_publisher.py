"""A stopped process cancels its calls to the seeds and leaves no task running."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from hollowusher.coordination.consensus.paxos import first_view
from hollowusher.coordination.consensus.view_publisher import ViewAccess, ViewPublisher
from hollowusher.protocol.view import View, ViewResponse, Voter
from tests.support.controller_cluster import ControllerCluster, run_virtual

VIEW = first_view([Voter("a", "disk-a", "10.0.0.1:1")], "cluster")


class SlowTransport:
    """A transport on which each call returns a newer view after a delay."""

    address = "10.0.0.9:1"

    def __init__(self) -> None:
        self.calls = 0

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        self.calls += 1
        await asyncio.sleep(0.5)
        return ViewResponse(View(2, VIEW.voters, VIEW.chain, VIEW.since, VIEW.cluster))


def test_a_stopped_publisher_learns_nothing_from_a_call_in_progress() -> None:
    async def play() -> tuple[int, list[View]]:
        learned: list[View] = []

        async def learn(view: View) -> None:
            learned.append(view)

        transport = SlowTransport()
        access = ViewAccess(lambda: VIEW, learn)
        publisher = ViewPublisher(transport, lambda: ["10.0.0.2:1"], access, random.Random(1))  # type: ignore[arg-type]
        running = asyncio.ensure_future(publisher.run())
        await asyncio.sleep(0.2)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await asyncio.sleep(2.0)
        return transport.calls, learned

    assert run_virtual(play()) == (1, [])


def test_a_stopped_controller_leaves_no_task_behind() -> None:
    async def play() -> list[str]:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        cluster.network.slowest_s = 0.5
        for name in "abc":
            cluster.isolate(name)
        await asyncio.sleep(1.0)
        for node in cluster.nodes.values():
            controller, transport = node.running, node.transport
            await node.stop()
            assert not controller._tasks
            assert not controller._consensus._tasks
            assert transport is not None
        await asyncio.sleep(0)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        return sorted(str(task.get_coro().__qualname__) for task in others if not task.cancelling())  # type: ignore[union-attr]

    assert run_virtual(play()) == []
