"""The control state with large documents: what a change costs, catching up, and what is never undone."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import orjson
import pytest

from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control import (
    ChangeConfiguration,
    ControlState,
    OperatorAnswer,
    Placement,
)
from tests.controller_cluster import Cluster, Node, document, run_virtual

LINK_BYTES_PER_S = 60_000_000.0
DISK_BYTES_PER_S = 60_000_000.0
SLOW_DISK = 30.0
LARGE_BYTES = 8_000_000
CATCH_UP_S = 20.0

Test = Callable[..., Coroutine[Any, Any, None]]


def virtual(test: Test) -> Callable[..., None]:
    """Run a test under a virtual clock."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        run_virtual(test(*args, **kwargs))

    return run


def large_body(generation: int, size: int = LARGE_BYTES) -> bytes:
    """A valid configuration of about `size` bytes."""
    content = document(generation)
    content["comment"] = f"{generation} " + "x" * size
    return orjson.dumps(content)


async def send(node: Node, body: bytes, if_match: int) -> int:
    answer = await node.running.handle(ChangeConfiguration("PUT", if_match, body))
    assert isinstance(answer, OperatorAnswer)
    return answer.status


async def send_until_taken(cluster: Cluster, body: bytes, if_match: int, seconds: float = 30.0) -> float:
    """Send an order again, to one machine after the other, until it is acknowledged; how long that took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while True:
        for node in list(cluster.nodes.values()):
            if node.controller is None:
                continue
            try:
                status = await asyncio.wait_for(send(node, body, if_match), 3.0)
            except TimeoutError:
                continue
            if status == 200:
                return loop.time() - started
            assert status == 503, status
        assert loop.time() - started < seconds, f"no acknowledgement within {seconds} s"
        await asyncio.sleep(0.1)


async def sized_cluster(names: str = "abc", seed: int = 0) -> Cluster:
    """A started cluster whose links and disks take time by bytes."""
    cluster = Cluster(names, seed)
    cluster.network.bytes_per_s = LINK_BYTES_PER_S
    cluster.network.disk_bytes_per_s = DISK_BYTES_PER_S
    await cluster.first_start()
    return cluster


def place(version: int) -> Callable[[ControlState], ControlState]:
    """A change of the placement alone."""
    return lambda state: evolve(state, placement=Placement(version, []))


def head_of(cluster: Cluster) -> Node:
    return next(node for node in cluster.nodes.values() if node.controller and node.controller.is_head)


async def change_placement(cluster: Cluster, version: int) -> bool:
    """Have whoever is the head change the placement; False where nobody is, or it was not committed."""
    for node in cluster.nodes.values():
        if node.controller is not None and node.controller.is_head:
            return await node.controller.change(place(version))
    return False


def member(node: Node) -> Any:
    return node.running._member


def caught_up(cluster: Cluster, name: str) -> bool:
    """Whether a machine is in the chain and has saved the head's state."""
    node = cluster[name]
    heads = [each for each in cluster.nodes.values() if each.controller and each.controller.is_head]
    if node.controller is None or not heads:
        return False
    view = node.running.view
    in_chain = view is not None and name in view.chain and view == heads[0].running.view
    return bool(in_chain and member(node).complete and member(node).state == member(heads[0]).state)


# -- what a change costs -----------------------------------------------------------------------------------


@virtual
async def test_a_change_of_the_placement_costs_a_few_kilobytes_beside_a_large_document() -> None:
    cluster = await sized_cluster()
    await send_until_taken(cluster, large_body(1), 0)
    cluster.network.sent_bytes.clear()
    cluster.network.saved_bytes.clear()
    for version in range(1, 11):
        assert await head_of(cluster).running.change(place(version))
    assert cluster.network.sent_bytes["ChainWrite"] < 10 * 2 * 2_000
    assert max(cluster.network.saved_bytes.values()) < 10 * 2_000


@virtual
async def test_a_long_history_is_not_sent_with_each_change_of_the_placement() -> None:
    cluster = await sized_cluster()
    for generation in range(1, 1_001):
        assert await cluster["a"].put(generation, generation - 1) == 200
    cluster.network.sent_bytes.clear()
    cluster.network.saved_bytes.clear()
    assert await head_of(cluster).running.change(place(1))
    assert cluster.network.sent_bytes["ChainWrite"] < 4_000
    assert max(cluster.network.saved_bytes.values()) < 2_000


# -- catching up -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("loss", ["kill", "wipe"])
@virtual
async def test_a_member_catches_up_with_a_large_document_while_changes_go_on(loss: str) -> None:
    cluster = await sized_cluster()
    await send_until_taken(cluster, large_body(1), 0)
    await cluster["c"].kill()
    if loss == "wipe":
        cluster["c"].wipe()
    await send_until_taken(cluster, large_body(2), 1)
    cluster.network.disk_slowness["c"] = SLOW_DISK
    cluster.network.sent_bytes.clear()
    await cluster["c"].start()
    going = True
    slowest = 0.0

    async def change_on() -> None:
        nonlocal slowest
        loop = asyncio.get_running_loop()
        version = 0
        while going:
            started = loop.time()
            version += 1
            while not await change_placement(cluster, version):
                await asyncio.sleep(0.05)
            slowest = max(slowest, loop.time() - started)
            await asyncio.sleep(0.05)

    changes = asyncio.ensure_future(change_on())
    await cluster.until(lambda: caught_up(cluster, "c"), CATCH_UP_S)
    going = False
    await changes
    assert slowest < 2.5
    assert sum(cluster.network.sent_bytes.values()) < 2 * LARGE_BYTES
