"""Tests of voter replacement: after each replacement the voters tolerate the next failure."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.protocol.consensus import Ping, Pong, Prepare, Promise
from hollowusher.protocol.view import AnnounceController, View, Voter
from tests.coordination.controller.voter_fault_search import CATCH_UP_S, run_search
from tests.support.controller_cluster import STALLED, ControllerCluster, ControllerNode, run_virtual

NEXT_LOSS_S = 5.0


def view_of(node: ControllerNode) -> View:
    view = node.running.view
    assert view is not None
    return view


def voter_names(node: ControllerNode) -> str:
    return "".join(sorted(voter.name for voter in view_of(node).voters))


async def remove_for_good(cluster: ControllerCluster, name: str) -> None:
    await cluster[name].kill()
    cluster.remove(name)


async def replace(cluster: ControllerCluster, old: str, new: str, new_first: bool) -> None:
    if new_first:
        await cluster.add(new).start()
        await asyncio.sleep(1.0)
        await remove_for_good(cluster, old)
    else:
        await remove_for_good(cluster, old)
        await cluster.add(new).start()


@pytest.mark.parametrize("new_first", [True, False])
@pytest.mark.parametrize("next_victim", "acn")
def test_after_a_replacement_any_further_failure_is_tolerated(new_first: bool, next_victim: str) -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        await replace(cluster, "b", "n", new_first)
        await asyncio.sleep(NEXT_LOSS_S)
        assert voter_names(cluster["a"]) == "acn"
        await remove_for_good(cluster, next_victim)
        assert await cluster.put_at_any_node(2, 1) < 2.5

    run_virtual(play())


@pytest.mark.parametrize("old", "abc")
@pytest.mark.parametrize("new_first", [True, False])
def test_a_replacement_is_complete_well_before_the_next_loss(old: str, new_first: bool) -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        await replace(cluster, old, "n", new_first)
        left = next(node for name, node in cluster.nodes.items() if name != "n")
        await cluster.until(lambda: "n" in view_of(left).chain and old not in voter_names(left), 3.2)
        await cluster.until(lambda: bool(cluster["n"].states), 0.5)

    run_virtual(play())


@pytest.mark.parametrize("wiped", "abc")
def test_a_lost_disk_is_replaced_at_once_and_the_next_loss_tolerated(wiped: str) -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        await cluster[wiped].kill()
        cluster[wiped].wipe()
        await cluster[wiped].start()
        other = cluster[next(name for name in "abc" if name != wiped)]
        disk = cluster[wiped].disk_id
        await cluster.until(lambda: disk in {voter.disk_id for voter in view_of(other).voters}, 2.6)
        await asyncio.sleep(0.5)
        victim = cluster[next(name for name in "cab" if name != wiped)]
        await victim.kill()
        victim.wipe()
        assert await cluster.put_at_any_node(2, 1) < 2.5
        await victim.start()
        await cluster.until(
            lambda: len(view_of(other if other is not victim else cluster[wiped]).chain) == 3, 4.0
        )

    run_virtual(play())


def test_twenty_replacements_in_a_row_keep_the_number_of_voters_and_every_change() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        for number in range(20):
            old = sorted(cluster.nodes)[number % 3]
            await replace(cluster, old, f"n{number:02}", number % 2 == 0)
            cluster.use_seeds(cluster.nodes)
            await asyncio.sleep(CATCH_UP_S)
            await cluster.put_at_any_node(number + 2, number + 1)
            assert {len(view_of(node).voters) for node in cluster.nodes.values()} == {3}
        for node in cluster.nodes.values():
            assert await node.read() == (200, 21)

    run_virtual(play())


def test_a_replaced_voter_that_returns_is_a_spare_without_a_vote() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abcs", tolerated=1)
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        base = view_of(cluster["a"])
        assert voter_names(cluster["a"]) == "abc"
        await cluster["b"].kill()
        await cluster.until(lambda: voter_names(cluster["a"]) == "acs", 4.0)
        await cluster["b"].start()
        await cluster.until(lambda: view_of(cluster["b"]) == view_of(cluster["a"]), 2.0)
        prepare = Prepare(view_of(cluster["b"]).epoch + 1, [9, "x"], base)
        answer = await cluster["b"].running.handle(prepare)
        assert isinstance(answer, Promise)
        assert not answer.granted
        await cluster["c"].kill()  # the spare becomes a voter again
        await cluster.until(lambda: voter_names(cluster["a"]) == "abs", 4.0)
        assert await cluster.put_at_any_node(2, 1) < 1.0

    run_virtual(play())


def test_a_failed_voter_stays_in_the_voter_set_until_a_spare_arrives() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await remove_for_good(cluster, "c")
        await asyncio.sleep(10.0)
        assert voter_names(cluster["a"]) == "abc"
        assert await cluster.put_at_any_node(1, 0) < 1.0
        await cluster.add("n").start()
        await cluster.until(lambda: voter_names(cluster["a"]) == "abn", 1.5)

    run_virtual(play())


def test_a_spare_that_does_not_answer_is_not_made_a_voter() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster["b"].kill()
        ghost = Voter("ghost", "disk-ghost", "10.0.0.99:7780", "z9")
        for _ in range(40):
            await cluster["a"].running.handle(AnnounceController(ghost))
            await asyncio.sleep(0.2)
        assert voter_names(cluster["a"]) == "abc"
        assert await cluster.put_at_any_node(1, 0) < 1.0

    run_virtual(play())


def test_a_view_not_yet_saved_to_a_stalled_disk_is_not_used() -> None:
    """A head whose disk is stalled receives the view of the next epoch but cannot use it yet.

    It must not report or use the state of its current epoch as a state of the newer epoch, or it would become
    head with an old state.
    """

    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        cluster["a"].files[STALLED] = b"yes"
        await cluster.put_at_any_node(2, 1)
        assert "a" not in view_of(cluster["b"]).chain
        for _ in range(60):
            pong = await cluster["a"].running.handle(Ping("b", view_of(cluster["b"]).epoch))
            assert isinstance(pong, Pong)
            assert pong.epoch == 1 or not pong.complete
            assert "a" not in view_of(cluster["b"]).chain
            await asyncio.sleep(0.1)
        assert view_of(cluster["b"]).head != "a"
        del cluster["a"].files[STALLED]
        await cluster.until(lambda: "a" in view_of(cluster["b"]).chain, 6.0)
        assert view_of(cluster["b"]).head != "a"
        assert await cluster.put_at_any_node(3, 2) < 1.5
        assert await cluster["b"].read() == (200, 3)

    run_virtual(play())


@pytest.mark.parametrize("seed", range(12))
def test_random_failures_at_the_shortest_tolerated_interval(seed: int) -> None:
    assert len(run_search(seed).acknowledged) >= 10  # an order takes 1.6 s if each message takes 0.4 s
