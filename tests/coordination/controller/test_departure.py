"""Tests of the graceful departure of a controller.

A controller that receives a stop request keeps running until the other controllers hold its state and no
longer need it.
"""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.protocol.view import View
from tests.support.controller_cluster import ControllerCluster, ControllerNode, run_virtual


def view_of(node: ControllerNode) -> View:
    view = node.running.view
    assert view is not None
    return view


def voter_names(node: ControllerNode) -> str:
    return "".join(sorted(voter.name for voter in view_of(node).voters))


@pytest.mark.parametrize("leaver", "abc")
@pytest.mark.parametrize("next_victim", "abcs")
def test_with_a_spare_the_next_failure_is_tolerated_after_the_departure(
    leaver: str, next_victim: str
) -> None:
    async def play() -> None:
        if next_victim == leaver:
            return
        cluster = ControllerCluster("abcs", tolerated=1)
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        await asyncio.sleep(1.5)
        started = asyncio.get_running_loop().time()
        await cluster[leaver].stop()
        assert asyncio.get_running_loop().time() - started < 2.5
        cluster.remove(leaver)
        await cluster[next_victim].kill()
        assert await cluster.put_at_any_node(2, 1) < 2.5
        left = next(node for node in cluster.nodes.values() if node.controller is not None)
        assert leaver not in voter_names(left)
        assert len(view_of(left).voters) == 3
        assert await left.read() == (200, 2)

    run_virtual(play())


@pytest.mark.parametrize("leaver", "abc")
def test_without_a_spare_the_others_hold_the_state_before_the_departure(leaver: str) -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        started = asyncio.get_running_loop().time()
        await cluster[leaver].stop()
        assert asyncio.get_running_loop().time() - started < 0.8
        others = [node for node in cluster.nodes.values() if node.controller is not None]
        for node in others:
            assert leaver not in view_of(node).chain
            assert voter_names(node) == "abc"
            held = node.running._chain_member
            assert (held.state_epoch, held.state.generation) == (view_of(node).epoch, 1)
        await cluster[leaver].start()
        await cluster.until(lambda: leaver in view_of(others[0]).chain, 3.0)

    run_virtual(play())


def test_the_second_replica_stays_until_a_third_machine_returns() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster["c"].kill()
        await cluster.put_at_any_node(1, 0)
        stopping = asyncio.get_running_loop().create_task(cluster["a"].stop())
        await asyncio.sleep(0.3)
        assert not stopping.done()  # no majority would remain without this controller
        await cluster["c"].start()
        await stopping
        await cluster.until(lambda: cluster["b"].running.is_head, 1.0)
        assert view_of(cluster["b"]).chain == ["b", "c"]
        assert await cluster.put_at_any_node(2, 1) < 1.5

    run_virtual(play())


def test_rolling_restart_while_orders_are_accepted() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abcs", tolerated=1)
        await cluster.bootstrap_all()
        generation = 0
        for name in "abcsabcs":
            await cluster[name].stop()
            await cluster.put_at_any_node(generation + 1, generation, 2.0)
            generation += 1
            await asyncio.sleep(0.5)
            await cluster[name].start()
            await asyncio.sleep(2.0)
            await cluster.put_at_any_node(generation + 1, generation, 1.5)
            generation += 1
        await asyncio.sleep(2.0)
        for node in cluster.nodes.values():
            assert await node.read() == (200, generation)
            assert len(view_of(node).chain) == 3

    run_virtual(play())


def test_a_departing_spare_stops_at_once_and_does_not_become_a_voter() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abcs", tolerated=1)
        await cluster.bootstrap_all()
        await asyncio.sleep(1.0)
        started = asyncio.get_running_loop().time()
        await cluster["s"].stop()
        assert asyncio.get_running_loop().time() - started < 0.3
        await cluster["b"].kill()
        await asyncio.sleep(4.0)
        assert voter_names(cluster["a"]) == "abc"

    run_virtual(play())
