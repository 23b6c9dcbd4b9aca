"""Tests of the controllers of a virtual cluster: first start, orders, reads and failures."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

import pytest

from hollowusher.coordination.consensus.bootstrap import FirstViewBallots
from hollowusher.coordination.consensus.paxos import first_view
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.consensus import Prepare, Promise
from hollowusher.protocol.control_chain import (
    ChainWrite,
    ControlState,
    ControlStateResponse,
    ReadControlState,
)
from hollowusher.protocol.view import Voter
from tests.support.controller_cluster import DISK_FULL, STALLED, ControllerCluster, run_virtual


def virtual(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run an async test under a virtual clock."""

    @wraps(test)
    def run(*args: Any, **names: Any) -> None:
        run_virtual(test(*args, **names))

    return run


@virtual
async def test_first_start_decides_one_view_and_accepts_a_configuration() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    views = [node.running.view for node in cluster.nodes.values()]
    assert views[0] is not None
    assert views[0].epoch == 1
    assert views[0].chain == ["a", "b", "c"]
    assert views[1] == views[0]
    assert views[2] == views[0]
    assert await cluster["c"].put(3, 0) == 200
    for node in cluster.nodes.values():
        assert await node.read() == (200, 3)
        assert node.states[-1].generation == 3
    assert await cluster["b"].put(5, 0) == 412
    assert await cluster["b"].put(3, 0) == 200  # a retry of the order


@virtual
async def test_first_start_with_a_seed_that_has_no_disk() -> None:
    cluster = ControllerCluster("abcde", seeds=["10.0.9.9:8064"])
    seed = cluster.diskless_seed("10.0.9.9")
    await seed._transport.start(seed.handle)
    await seed.start()
    await cluster.bootstrap_all()
    assert seed.view is not None
    assert seed.view.chain == list("abcde")
    assert await cluster["e"].put(1, 0) == 200
    await seed.stop()


@virtual
async def test_a_seed_that_starts_late_finds_the_view_of_the_others() -> None:
    cluster = ControllerCluster("abc")
    await cluster["b"].start(bootstrap=True)
    await cluster["c"].start(bootstrap=True)
    await cluster.until(lambda: cluster["c"].running.view is not None, 8.0)
    await cluster["a"].start(bootstrap=True)
    await cluster.until(lambda: cluster["a"].running.view is not None, 4.0)
    assert cluster["a"].views[0].epoch >= 1
    await cluster.until(lambda: "a" in _chain(cluster, "b"), 8.0)


@virtual
async def test_a_first_view_is_decided_although_its_proposer_died() -> None:
    cluster = ControllerCluster("abc", seeds=["10.0.9.9:8064"])
    for node in cluster.nodes.values():
        await node.start(bootstrap=True)
    voters = [Voter(node.name, node.disk_id, node.address) for node in cluster.nodes.values()]
    transport = cluster["a"].transport
    assert transport is not None
    ballots = FirstViewBallots(transport, random.Random(1))
    assert await ballots.propose(voters, lambda promised: first_view(promised))  # no node receives it
    await cluster.until(lambda: all(node.views for node in cluster.nodes.values()), 3.0)


def _chain(cluster: ControllerCluster, name: str) -> list[str]:
    view = cluster[name].running.view
    assert view is not None
    return view.chain


@pytest.mark.parametrize("victim", "abc")
def test_orders_are_accepted_after_a_failure_and_the_failed_controller_rejoins(victim: str) -> None:
    @virtual
    async def check() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        assert await cluster["a"].put(1, 0) == 200
        await cluster[victim].kill()
        assert await cluster.put_at_any_node(2, 1) < 2.5
        left = next(name for name in "abc" if name != victim)
        assert victim not in _chain(cluster, left)
        await cluster[victim].start()
        await cluster.until(lambda: _chain(cluster, left)[-1] == victim, 4.0)
        await cluster.until(
            lambda: bool(cluster[victim].states) and cluster[victim].states[-1].generation == 2, 1.0
        )
        for node in cluster.nodes.values():
            assert await node.read() == (200, 2)

    check()


@virtual
async def test_a_frozen_head_is_replaced_and_serves_no_old_state() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    assert await cluster["a"].put(1, 0) == 200
    cluster.isolate("a")
    started = asyncio.get_running_loop().time()
    assert await cluster["a"].put(7, 1) == 503
    assert await cluster["b"].put(2, 1) == 200
    assert asyncio.get_running_loop().time() - started < 6.0
    assert not cluster["a"].running.is_head
    assert await cluster["a"].read() == (503, 0)
    cluster.join_all()
    await cluster.until(lambda: _chain(cluster, "b")[-1] == "a", 4.0)
    await asyncio.sleep(0.1)
    assert await cluster["a"].read() == (200, 2)


@virtual
async def test_an_isolated_minority_answers_503_within_a_second() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    assert await cluster["a"].put(1, 0) == 200
    cluster.isolate("a")
    cluster.isolate("b")
    await asyncio.sleep(1.5)
    loop = asyncio.get_running_loop()
    for node in cluster.nodes.values():
        started = loop.time()
        assert await node.put(2, 1) == 503
        assert (await node.read())[0] == 503
        assert loop.time() - started < 1.0
        assert not node.running.is_head
    cluster.join_all()
    assert await cluster.put_at_any_node(2, 1) < 3.0


@virtual
async def test_a_cluster_recovers_after_all_controllers_were_killed() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    assert await cluster["b"].put(4, 0) == 200
    for node in cluster.nodes.values():
        await node.kill()
    for node in cluster.nodes.values():
        node.states.clear()
        await asyncio.sleep(0.3)
        await node.start()
    assert await cluster.put_at_any_node(6, 4) < 2.0
    for node in cluster.nodes.values():
        assert await node.read() == (200, 6)


@virtual
async def test_acknowledged_state_survives_a_power_failure_with_a_lost_disk() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    assert await cluster["a"].put(4, 0) == 200
    for node in cluster.nodes.values():
        await node.kill()
    cluster["a"].wipe()
    for node in cluster.nodes.values():
        await node.start()
    await cluster.until(lambda: any(node.running.is_head for node in cluster.nodes.values()), 3.0)
    assert await cluster["b"].read() == (200, 4)
    await cluster.until(lambda: "a" in _chain(cluster, "b"), 5.0)
    view = cluster["b"].running.view
    assert view is not None
    assert {voter.disk_id for voter in view.voters} == {"disk-a'", "disk-b", "disk-c"}
    assert view.tail == "a"
    assert len(view.voters) == 3
    await cluster.put_at_any_node(5, 4)
    assert cluster["a"].states[-1].generation == 5


@pytest.mark.parametrize("wiped", ["ab", "ce", "de"])
def test_two_of_five_lose_their_disks(wiped: str) -> None:
    @virtual
    async def check() -> None:
        cluster = ControllerCluster("abcde")
        await cluster.bootstrap_all()
        assert await cluster["a"].put(4, 0) == 200
        for node in cluster.nodes.values():
            await node.kill()
        for name in wiped:
            cluster[name].wipe()
        for node in cluster.nodes.values():
            await node.start()
        assert await cluster.put_at_any_node(5, 4) < 3.0
        left = next(name for name in "abcde" if name not in wiped)
        await cluster.until(lambda: len(_chain(cluster, left)) == 5, 8.0)
        await asyncio.sleep(0.5)
        for node in cluster.nodes.values():
            assert await node.read() == (200, 5)
        await cluster[left].kill()
        assert await cluster.put_at_any_node(6, 5) < 2.5

    check()


@virtual
async def test_a_wiped_voter_does_not_vote() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    view = cluster["b"].running.view
    assert view is not None
    await cluster["a"].kill()
    cluster["a"].wipe()
    await cluster["a"].start()
    answer = await cluster["a"].running.handle(Prepare(view.epoch + 1, [1, "x"], view))
    assert isinstance(answer, Promise)
    assert not answer.granted


@virtual
async def test_a_new_machine_replaces_a_failed_voter() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    assert await cluster["a"].put(1, 0) == 200
    await cluster["b"].kill()
    await asyncio.sleep(4.0)
    new = cluster.add("n")
    await new.start()
    await cluster.until(lambda: "n" in _chain(cluster, "a"), 4.0)
    view = cluster["a"].running.view
    assert view is not None
    assert sorted(voter.name for voter in view.voters) == ["a", "c", "n"]
    await cluster.until(lambda: bool(new.states) and new.states[-1].generation == 1, 1.0)


@virtual
async def test_an_added_machine_becomes_a_voter_if_there_are_too_few() -> None:
    cluster = ControllerCluster("ab")
    await cluster.bootstrap_all()
    for name in "cdef":
        await cluster.add(name).start()
    await asyncio.sleep(6.0)
    view = cluster["a"].running.view
    assert view is not None
    assert len(view.voters) == 3
    assert len(view.chain) == 3  # the number of voters that tolerates one failure
    spares = [name for name in "abcdef" if name not in view.chain]
    for generation, name in enumerate(spares, 1):
        assert await cluster[name].put(generation, generation - 1) == 200
        assert await cluster[name].read() == (200, generation)
        assert cluster[name].running.view == view
        assert not cluster[name].states  # a spare holds no control state


@virtual
async def test_a_planned_stop_of_the_head_hands_over_without_a_gap() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    assert await cluster["a"].put(1, 0) == 200
    loop = asyncio.get_running_loop()
    started = loop.time()
    await cluster["a"].stop()
    assert loop.time() - started < 0.5
    assert await cluster.put_at_any_node(2, 1) < 0.5
    assert _chain(cluster, "b")[0] == "b"
    assert "a" not in _chain(cluster, "b")
    view = cluster["b"].running.view
    assert view is not None
    assert len(view.voters) == 3
    await asyncio.sleep(2.5)
    assert "a" not in _chain(cluster, "b")


@virtual
async def test_a_stop_times_out_if_the_chain_would_become_too_short() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    await cluster["c"].kill()
    await cluster.put_at_any_node(1, 0)
    loop = asyncio.get_running_loop()
    started = loop.time()
    await cluster["a"].stop()
    assert loop.time() - started <= 1.6


@virtual
async def test_a_cut_between_two_of_three_does_not_stop_the_chain() -> None:
    for pair in ("ab", "bc", "ac"):
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        assert await cluster["a"].put(1, 0) == 200
        cluster.network.cut(cluster[pair[0]].address, cluster[pair[1]].address)
        assert await cluster.put_at_any_node(2, 1) < 5.0
        await asyncio.sleep(4.0)
        epoch = max(node.running.view.epoch for node in cluster.nodes.values() if node.running.view)
        assert await cluster.put_at_any_node(3, 2) < 1.5
        await asyncio.sleep(6.0)
        later = max(node.running.view.epoch for node in cluster.nodes.values() if node.running.view)
        assert later - epoch <= 1, "the view keeps changing"
        for node in cluster.nodes.values():
            await node.kill()


@virtual
async def test_a_rejoining_voter_replaces_a_failed_chain_member() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    await cluster["c"].kill()
    assert await cluster.put_at_any_node(1, 0) < 2.5
    assert _chain(cluster, "a") == ["a", "b"]
    await cluster["c"].start()
    await asyncio.sleep(0.2)
    await cluster["b"].kill()
    assert await cluster.put_at_any_node(2, 1) < 3.0
    assert _chain(cluster, "a") == ["a", "c"]


@pytest.mark.parametrize("victim", "abc")
def test_a_machine_with_a_stalled_disk_is_removed_from_the_chain(victim: str) -> None:
    @virtual
    async def check() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        assert await cluster.put_at_any_node(1, 0) < 1.0
        cluster[victim].files[STALLED] = b"yes"
        assert await cluster.put_at_any_node(2, 1) < 4.0
        assert victim not in _chain(cluster, next(name for name in "abc" if name != victim))
        del cluster[victim].files[STALLED]
        await cluster.until(lambda: victim in _chain(cluster, victim), 6.0)
        assert await cluster.put_at_any_node(3, 2) < 1.5

    check()


@pytest.mark.parametrize("victim", "abc")
def test_a_full_disk_acknowledges_nothing_that_is_not_kept(victim: str) -> None:
    @virtual
    async def check() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        assert await cluster.put_at_any_node(1, 0) < 1.0
        cluster[victim].files[DISK_FULL] = b"yes"
        answers = [await cluster[name].put(2, 1) for name in "abc"]
        if 200 in answers:
            for node in cluster.nodes.values():
                await node.kill()
            for node in cluster.nodes.values():
                await node.start()
        else:
            assert await cluster.put_at_any_node(2, 1) < 4.0
        await cluster.until(lambda: any(node.running.is_head for node in cluster.nodes.values()), 6.0)
        del cluster[victim].files[DISK_FULL]
        others = [name for name in "abc" if name != victim]
        assert await cluster.put_at_any_node(3, 2) < 4.0
        assert (200, 3) in [await cluster[name].read() for name in others]

    check()


@virtual
async def test_a_single_controller_works() -> None:
    cluster = ControllerCluster("a")
    await cluster["a"].start(bootstrap=True)
    await cluster.until(lambda: cluster["a"].running.is_head, 6.0)
    assert await cluster["a"].put(1, 0) == 200
    assert await cluster["a"].read() == (200, 1)
    await cluster["a"].stop()
    await cluster["a"].start()
    await cluster.until(lambda: cluster["a"].running.is_head, 1.0)
    assert await cluster["a"].read() == (200, 1)


@virtual
async def test_a_chain_write_of_an_old_epoch_is_rejected() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    assert await cluster["a"].put(1, 0) == 200
    await cluster["a"].kill()
    await cluster.put_at_any_node(2, 1)
    stale = ChainWrite(1, ControlState(99, 99, b"{}", []))
    for name in "bc":
        assert not (await cluster[name].receive_write(stale)).ok
    assert await cluster["c"].read() == (200, 2)


@virtual
async def test_the_state_is_read_from_the_tail_by_any_controller() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    assert await cluster["a"].put(1, 0) == 200
    answer = await cluster["a"].running.handle(ReadControlState())
    assert isinstance(answer, ControlStateResponse)
    assert answer.state is not None
    assert answer.state.generation == 1


@virtual
async def test_changes_are_serialised_and_only_the_head_makes_them() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    head = cluster["a"].running

    def retire(name: str) -> Callable[[ControlState], ControlState]:
        return lambda state: evolve(state, retiring={**state.retiring, name: "running"})

    results = await asyncio.gather(*(head.change(retire(f"s{number}")) for number in range(5)))
    assert results == [True] * 5
    assert head.state is not None
    assert len(head.state.retiring) == 5
    assert await head.change(lambda state: None)
    assert not await cluster["b"].running.change(retire("x"))


@virtual
async def test_one_of_two_orders_based_on_one_version_is_rejected() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    statuses = await asyncio.gather(cluster["a"].put(5, 0), cluster["c"].put(6, 0))
    assert sorted(statuses) == [200, 412]


class Operators:
    """Operators that send orders to random machines and record which orders were acknowledged."""

    def __init__(self, cluster: ControllerCluster, random_source: random.Random) -> None:
        self.cluster = cluster
        self.random_source = random_source
        self.acknowledged: dict[int, int] = {}  # generation -> generation that the order was based on
        self.refused: set[int] = set()
        self.next_generation = 1

    async def run(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self._order()
            await asyncio.sleep(self.random_source.uniform(0.0, 0.3))

    async def _order(self) -> None:
        up = [node for node in self.cluster.nodes.values() if node.controller is not None]
        if not up:
            return
        work = asyncio.ensure_future(self.random_source.choice(up).read())
        await asyncio.wait({work})
        if work.cancelled():  # the machine was killed during the read
            return
        status, current = work.result()
        if status not in (200, 404):
            return
        newest = max(self.acknowledged, default=0)
        assert current >= newest, "a read returned an older generation than an acknowledged one"
        generation, self.next_generation = self.next_generation, self.next_generation + 1
        for _ in range(4):
            if await self._send(generation, current):
                return

    async def _send(self, generation: int, built_on: int) -> bool:
        """Send an order once; return whether the response was definite (not a 503 or a timeout)."""
        up = [node for node in self.cluster.nodes.values() if node.controller is not None]
        if not up:
            return False
        work = asyncio.ensure_future(self.random_source.choice(up).put(generation, built_on))
        done, _ = await asyncio.wait({work}, timeout=1.0)
        if not done or work.cancelled():  # cancelled: the machine was killed during the call
            return False
        status = work.result()
        if status == 200:
            assert built_on not in self.acknowledged.values(), (
                "two acknowledged changes share a base generation"
            )
            self.acknowledged[generation] = built_on
            return True
        if status == 412:
            self.refused.add(generation)
        return status != 503


@pytest.mark.parametrize("seed", range(12))
def test_no_acknowledged_change_is_lost_under_random_faults(seed: int) -> None:
    @virtual
    async def check() -> None:
        random_source = random.Random(seed)
        cluster = ControllerCluster("abc" if seed % 3 else "abcde", seed=seed)
        cluster.network.slowest_s = random_source.choice((0.0, 0.01, 0.05))
        await cluster.bootstrap_all()
        loop = asyncio.get_running_loop()
        operators = Operators(cluster, random_source)
        work = loop.create_task(operators.run(loop.time() + 30.0))
        await _fault(cluster, random_source, loop.time() + 28.0)
        await work
        cluster.join_all()
        for node in cluster.nodes.values():
            if node.controller is None:
                await node.start()
        await cluster.until(lambda: any(node.running.is_head for node in cluster.nodes.values()), 5.0)
        await asyncio.sleep(3.0)
        statuses = [await node.read() for node in cluster.nodes.values()]
        assert len(set(statuses)) == 1, statuses
        assert statuses[0][0] == 200, statuses
        state = next(node.running.state for node in cluster.nodes.values() if node.running.is_head)
        assert state is not None
        kept = [generation for generation, _ in state.history]
        assert set(operators.acknowledged) <= set(kept)
        assert not operators.refused & set(kept)
        assert len(operators.acknowledged) >= 10

    check()


async def _fault(cluster: ControllerCluster, random_source: random.Random, until: float) -> None:
    """Inject one random fault after the other until the time `until`.

    A fault kills, stops or isolates one machine, wipes its disk, cuts one link, or kills all machines.
    """
    loop = asyncio.get_running_loop()
    names = sorted(cluster.nodes)
    while loop.time() < until:
        await asyncio.sleep(random_source.uniform(0.5, 3.0))
        node = cluster[random_source.choice(names)]
        kind = random_source.choice(("kill", "stop", "cut", "wipe", "link", "all"))
        if kind == "all":
            for other in cluster.nodes.values():
                await other.kill()
            for other in cluster.nodes.values():
                await asyncio.sleep(random_source.uniform(0.0, 0.3))
                await other.start()
            continue
        if kind == "cut":
            cluster.isolate(node.name)
        elif kind == "link":
            other = cluster[random_source.choice([name for name in names if name != node.name])]
            cluster.network.cut(node.address, other.address)
        elif kind == "stop":
            await node.stop()
        else:
            await node.kill()
        if kind == "wipe":
            node.wipe()
        await asyncio.sleep(random_source.uniform(0.2, 3.0))
        cluster.join_all()
        if node.controller is None:
            await node.start()
        await asyncio.sleep(5.0 if kind == "wipe" else 1.0)
