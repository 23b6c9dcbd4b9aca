"""Tests that an isolated or frozen controller neither serves stale state nor acts as head."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from hollowusher.coordination.cluster_state import WORKERS
from hollowusher.protocol.operator_orders import OperatorResponse, RetireStore
from tests.support.simulated_controllers import (
    SimulatedController,
    SimulatedControllers,
    run_simulated_controllers,
)

SHAPES = ("all", "in", "out", "one")
CUT_S = 20.0
FROZEN_S = (0.5, 0.9, 1.1, 1.3, 2.0, 5.0, 20.0)


async def with_fault(controllers: SimulatedControllers, fault: str, victim: str, seconds: float) -> None:
    """Inject a fault for `seconds` while operators send orders and reads, and require recovery afterwards."""
    loop = asyncio.get_running_loop()
    operators = [loop.create_task(controllers.change_continuously())]
    operators += [loop.create_task(controllers.read_continuously(name)) for name in controllers.nodes]
    await asyncio.sleep(0.5)
    if fault == "freeze":
        controllers.loop.freeze(controllers[victim].process)
        await asyncio.sleep(seconds)
        controllers.loop.thaw(controllers[victim].process)
    else:
        controllers.cut(victim, fault)
        await asyncio.sleep(seconds)
        controllers.network.heal_all()
    before = controllers.acknowledged
    await asyncio.sleep(8.0)
    assert controllers.acknowledged > before, "no order was acknowledged within 8 s after the fault"
    for operator in operators:
        if operator.done():
            operator.result()
        operator.cancel()


def victim_of(controllers: SimulatedControllers, place: str) -> str:
    view = controllers.require_head().controller.view
    assert view is not None
    return {"head": view.head, "tail": view.tail, "middle": view.chain[1]}[place]


class TestConfiguration:
    """Orders and reads are linearizable even while a deposed controller still acts as head or tail."""

    @pytest.mark.parametrize("names", ["abc", "abcd"])
    @pytest.mark.parametrize(("shape", "place"), list(itertools.product(SHAPES, ("head", "middle", "tail"))))
    def test_isolated_for_twenty_seconds(self, shape: str, place: str, names: str) -> None:
        async def work(controllers: SimulatedControllers) -> None:
            await controllers.start()
            await with_fault(controllers, shape, victim_of(controllers, place), CUT_S)

        run_simulated_controllers(work, names)

    @pytest.mark.parametrize("frozen_s", FROZEN_S)
    @pytest.mark.parametrize("place", ["head", "tail"])
    def test_frozen_and_resumed_with_queued_messages(self, place: str, frozen_s: float) -> None:
        async def work(controllers: SimulatedControllers) -> None:
            await controllers.start()
            await with_fault(controllers, "freeze", victim_of(controllers, place), frozen_s)

        run_simulated_controllers(work)

    @pytest.mark.parametrize("shape", ["all", "in", "out"])
    def test_an_isolated_controller_answers_503_at_once(self, shape: str) -> None:
        async def work(controllers: SimulatedControllers) -> None:
            await controllers.start()
            assert await controllers.require_head().put(2, 0) == 200
            await asyncio.sleep(1.0)
            for name in controllers.nodes:
                controllers.cut(name, shape)
                until = controllers.loop.time() + 3.0
                while controllers.loop.time() < until:
                    assert (await controllers[name].read())[0] == 503
                    await asyncio.sleep(0.02)
                controllers.network.heal_all()
                await asyncio.sleep(6.0)
                assert await controllers[name].read() == (200, 2)

        run_simulated_controllers(work)


async def retire_status(head: SimulatedController, message: RetireStore) -> int:
    """Return the status of the response to an order to retire a store, or to a query of its retirement."""
    answer = await head.process.run(head.head_roles.handle(message))
    assert isinstance(answer, OperatorResponse)
    return answer.status


class TestRetire:
    def test_an_isolated_head_rejects_no_order(self) -> None:
        """An isolated head still considers itself head while its successor may already accept orders."""

        async def work(controllers: SimulatedControllers) -> None:
            await controllers.start()
            head = controllers.require_head()
            order, question = RetireStore("store-nowhere", 10.0), RetireStore("store-nowhere", None)
            for message in (order, question):
                assert await retire_status(head, message) == 404
            controllers.cut(head.name, "all")
            await asyncio.sleep(0.3)
            assert head.controller.is_head
            for message in (order, question):
                assert await retire_status(head, message) == 503

        run_simulated_controllers(work)


class TestHead:
    """Two heads overlap only briefly, because the older head steps down by its own clock."""

    @pytest.mark.parametrize("shape", SHAPES)
    def test_an_isolated_head_steps_down(self, shape: str) -> None:
        async def work(controllers: SimulatedControllers) -> None:
            await controllers.start()
            await with_fault(controllers, shape, controllers.require_head().name, CUT_S)

        assert run_simulated_controllers(work).overlap_s() <= 0.5

    @pytest.mark.parametrize("frozen_s", FROZEN_S)
    def test_a_resumed_head_acts_only_after_a_quorum_confirmed_its_view(self, frozen_s: float) -> None:
        """Immediately after a pause, a deposed head must not publish a worker list in its old epoch."""

        async def work(controllers: SimulatedControllers) -> None:
            await controllers.start()
            victim = controllers.require_head()
            await asyncio.sleep(2.0)
            controllers.loop.freeze(victim.process)
            await asyncio.sleep(frozen_s)
            published = len(victim.published)
            controllers.loop.thaw(victim.process)
            woken_at = controllers.loop.time()
            while controllers.loop.time() < woken_at + 3.0:
                await asyncio.sleep(0.002)
                others = [node for node in controllers.nodes.values() if node is not victim]
                newest = max(node.controller.view.epoch for node in others if node.controller.view)
                for item in victim.published[published:]:
                    if item.key == WORKERS:
                        assert item.version[0] >= newest, "a list was published in an old epoch"

        assert run_simulated_controllers(work).overlap_s() == 0.0

    def test_a_list_requested_before_a_freeze_is_not_published(self) -> None:
        async def work(controllers: SimulatedControllers) -> None:
            await controllers.start()
            victim = controllers.require_head()
            await asyncio.sleep(2.0)
            victim.worker_list_source.read_duration_s = 0.3
            reads_begun = victim.worker_list_source.reads_begun
            await controllers.until(lambda: victim.worker_list_source.reads_begun > reads_begun, 3.0)
            asked_before = victim.worker_list_source.reads_begun
            controllers.loop.freeze(victim.process)
            await asyncio.sleep(1.0)
            published = len(victim.published)
            controllers.loop.thaw(victim.process)
            await asyncio.sleep(3.0)
            lists = [item.value for item in victim.published[published:] if item.key == WORKERS]
            assert all(listed.workers[0].id != f"i-{asked_before}" for listed in lists)

        run_simulated_controllers(work)

    def test_a_list_in_transit_when_its_head_was_deposed_does_not_replace_newer_lists(self) -> None:
        async def work(controllers: SimulatedControllers) -> None:
            await controllers.start()
            old = controllers.require_head()
            await asyncio.sleep(2.0)
            old.worker_list_source.read_duration_s = (
                1.1  # the response arrives while the others are about to replace this head
            )
            reads_begun = old.worker_list_source.reads_begun
            await controllers.until(lambda: old.worker_list_source.reads_begun > reads_begun, 3.0)
            controllers.cut(old.name, "all")
            await controllers.until(
                lambda: any(n.controller.is_head for n in controllers.nodes.values() if n is not old), 6.0
            )
            new = controllers.require_head()
            await controllers.until(lambda: any(item.key == WORKERS for item in new.published), 3.0)
            controllers.network.heal_all()
            await asyncio.sleep(3.0)
            assert new.controller.view is not None
            for node in controllers.nodes.values():
                assert node.state.versions[WORKERS][0] >= new.controller.view.epoch

        run_simulated_controllers(work)
