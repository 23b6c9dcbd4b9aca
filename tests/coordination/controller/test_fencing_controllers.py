"""A controller that is cut off or frozen: what it still says, hands out and does."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from hollowusher.coordination.cluster_state import WORKERS
from hollowusher.protocol.operator_orders import RetireStore
from tests.support.controllers import Core, play

SHAPES = ("all", "in", "out", "one")
CUT_S = 20.0
FROZEN_S = (0.5, 0.9, 1.1, 1.3, 2.0, 5.0, 20.0)


async def in_trouble(core: Core, trouble: str, victim: str, seconds: float) -> None:
    """Bring a trouble about and end it, with orders and reads all the while."""
    loop = asyncio.get_running_loop()
    operators = [loop.create_task(core.change_all_the_time())]
    operators += [loop.create_task(core.read_all_the_time(name)) for name in core.nodes]
    await asyncio.sleep(0.5)
    if trouble == "freeze":
        core.loop.freeze(core[victim].process)
        await asyncio.sleep(seconds)
        core.loop.thaw(core[victim].process)
    else:
        core.cut(victim, trouble)
        await asyncio.sleep(seconds)
        core.network.heal_all()
    before = core.acknowledged
    await asyncio.sleep(8.0)
    assert core.acknowledged > before, "no order was taken for 8 s after all was calm"
    for operator in operators:
        if operator.done():
            operator.result()
        operator.cancel()


def victim_of(core: Core, place: str) -> str:
    view = core.leader().controller.view
    assert view is not None
    return {"head": view.head, "tail": view.tail, "middle": view.chain[1]}[place]


class TestConfiguration:
    """Orders and reads are linearizable whatever a controller takes itself for."""

    @pytest.mark.parametrize("names", ["abc", "abcd"])
    @pytest.mark.parametrize("shape, place", list(itertools.product(SHAPES, ("head", "middle", "tail"))))
    def test_cut_off_for_twenty_seconds(self, shape: str, place: str, names: str) -> None:
        async def work(core: Core) -> None:
            await core.start()
            await in_trouble(core, shape, victim_of(core, place), CUT_S)

        play(work, names)

    @pytest.mark.parametrize("frozen_s", FROZEN_S)
    @pytest.mark.parametrize("place", ["head", "tail"])
    def test_frozen_and_woken_with_messages_queued(self, place: str, frozen_s: float) -> None:
        async def work(core: Core) -> None:
            await core.start()
            await in_trouble(core, "freeze", victim_of(core, place), frozen_s)

        play(work)

    @pytest.mark.parametrize("shape", ["all", "in", "out"])
    def test_a_cut_off_controller_says_503_from_the_first_moment(self, shape: str) -> None:
        async def work(core: Core) -> None:
            await core.start()
            assert await core.leader().put(2, 0) == 200
            await asyncio.sleep(1.0)
            for name in core.nodes:
                core.cut(name, shape)
                until = core.loop.time() + 3.0
                while core.loop.time() < until:
                    assert (await core[name].read())[0] == 503
                    await asyncio.sleep(0.02)
                core.network.heal_all()
                await asyncio.sleep(6.0)
                assert await core[name].read() == (200, 2)

        play(work)


class TestRetire:
    def test_a_head_that_was_cut_off_refuses_no_order(self) -> None:
        """It takes itself for the head for a second more, and cannot know what its successor has taken."""

        async def work(core: Core) -> None:
            await core.start()
            head = core.leader()
            order, question = RetireStore("store-nowhere", 10.0), RetireStore("store-nowhere", None)
            for message in (order, question):
                assert (await head.process.run(head.duties.handle(message))).status == 404
            core.cut(head.name, "all")
            await asyncio.sleep(0.3)
            assert head.controller.is_head
            for message in (order, question):
                assert (await head.process.run(head.duties.handle(message))).status == 503

        play(work)


class TestHead:
    """Only one head at a time acts for long: the older stops by its own clock."""

    @pytest.mark.parametrize("shape", SHAPES)
    def test_a_cut_off_head_stops(self, shape: str) -> None:
        async def work(core: Core) -> None:
            await core.start()
            await in_trouble(core, shape, core.leader().name, CUT_S)

        assert play(work).overlap_s() <= 0.5

    @pytest.mark.parametrize("frozen_s", FROZEN_S)
    def test_a_woken_head_acts_only_after_it_has_asked(self, frozen_s: float) -> None:
        """Whatever it says of itself in the first moment after the wake: nothing of that is in an old epoch
        while a later head acts."""

        async def work(core: Core) -> None:
            await core.start()
            victim = core.leader()
            await asyncio.sleep(2.0)
            core.loop.freeze(victim.process)
            await asyncio.sleep(frozen_s)
            published = len(victim.published)
            core.loop.thaw(victim.process)
            woken_at = core.loop.time()
            while core.loop.time() < woken_at + 3.0:
                await asyncio.sleep(0.002)
                others = [node for node in core.nodes.values() if node is not victim]
                newest = max(node.controller.view.epoch for node in others if node.controller.view)
                for item in victim.published[published:]:
                    if item.key == WORKERS:
                        assert item.version[0] >= newest, "a list was published in a past epoch"

        assert play(work).overlap_s() == 0.0

    def test_a_list_that_was_asked_for_before_a_freeze_is_not_handed_out(self) -> None:
        async def work(core: Core) -> None:
            await core.start()
            victim = core.leader()
            await asyncio.sleep(2.0)
            victim.platform.answers_after_s = 0.3
            readings = victim.platform.readings
            await core.until(lambda: victim.platform.readings > readings, 3.0)
            asked_before = victim.platform.readings
            core.loop.freeze(victim.process)
            await asyncio.sleep(1.0)
            published = len(victim.published)
            core.loop.thaw(victim.process)
            await asyncio.sleep(3.0)
            lists = [item.value for item in victim.published[published:] if item.key == WORKERS]
            assert all(listed.workers[0].id != f"i-{asked_before}" for listed in lists)

        play(work)

    def test_a_list_whose_answer_was_on_its_way_when_its_head_was_deposed_is_not_believed(self) -> None:
        async def work(core: Core) -> None:
            await core.start()
            old = core.leader()
            await asyncio.sleep(2.0)
            old.platform.answers_after_s = 1.1  # the answer comes while the others are about to replace it
            readings = old.platform.readings
            await core.until(lambda: old.platform.readings > readings, 3.0)
            core.cut(old.name, "all")
            await core.until(
                lambda: any(n.controller.is_head for n in core.nodes.values() if n is not old), 6.0
            )
            new = core.leader()
            await core.until(lambda: any(item.key == WORKERS for item in new.published), 3.0)
            core.network.heal_all()
            await asyncio.sleep(3.0)
            assert new.controller.view is not None
            for node in core.nodes.values():
                assert node.state.versions[WORKERS][0] >= new.controller.view.epoch

        play(work)
