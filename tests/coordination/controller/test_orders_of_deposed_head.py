"""Tests of an order at a head that is deposed while it replicates the order's state.

The old head rejoins the chain before its write times out.  It must not acknowledge the order when it receives
the state of the new head, which may contain a different order.
"""

from __future__ import annotations

import asyncio

import orjson
import pytest

from hollowusher.protocol.operator_orders import ChangeConfiguration
from tests.support.controller_cluster import ControllerCluster, ControllerNode, document, run_virtual

VERSION = 1
CUT_S = (1.2, 1.6, 2.0, 2.4)  # a new view is decided after about 1.1 s; the write times out after 3.2 s
WAIT_TIMEOUT_S = 8.0


def put(generation: int, who: str) -> ChangeConfiguration:
    """Return an order that is based on version 1 and unique to the operator `who`."""
    return ChangeConfiguration("PUT", VERSION, orjson.dumps({**document(generation), "comment": who}))


async def head_of(cluster: ControllerCluster) -> ControllerNode:
    await cluster.until(lambda: any(node.running.is_head for node in cluster.nodes.values()), WAIT_TIMEOUT_S)
    return next(node for node in cluster.nodes.values() if node.running.is_head)


async def order_at_a_deposed_head(cut_s: float, *, replaced: bool) -> None:
    cluster = ControllerCluster("abcde")
    await cluster.bootstrap_all()
    await cluster.put_at_any_node(VERSION, 0)
    if replaced:
        await replace_a_voter(cluster)
    head = await head_of(cluster)
    others = [node for node in cluster.nodes.values() if node is not head]

    cluster.isolate(head.name)
    one = head.ask(put(2, "one"))
    await cluster.until(
        lambda: all(node.running.view != head.running.view for node in others), WAIT_TIMEOUT_S
    )
    successor = next(node for node in others if node.running.view and node.running.view.head == node.name)
    await cluster.until(lambda: successor.running.is_head, WAIT_TIMEOUT_S)
    other = await successor.ask(put(2, "other"))
    assert other.status == 200
    await asyncio.sleep(cut_s - 1.2)
    cluster.join_all()

    answer = await one
    assert answer.status in (412, 503), "both orders based on version 1 were acknowledged"
    assert (await successor.ask(put(2, "one"))).status == 412
    assert (await head.ask(put(2, "other"))).status == 200


def voter_names(node: ControllerNode) -> list[str]:
    view = node.running.view
    return [] if view is None else [voter.name for voter in view.voters]


async def replace_a_voter(cluster: ControllerCluster) -> None:
    """Replace a machine that is not the head by an empty one."""
    head = await head_of(cluster)
    gone = next(node for node in cluster.nodes.values() if node is not head)
    cluster.add("n")
    await cluster["n"].start()
    await gone.stop()
    cluster.remove(gone.name)
    await cluster.until(lambda: "n" in voter_names(head), WAIT_TIMEOUT_S)
    await asyncio.sleep(1.0)


@pytest.mark.parametrize("cut_s", CUT_S)
@pytest.mark.parametrize("replaced", [False, True])
def test_a_deposed_head_does_not_acknowledge_its_order_for_another_state(
    cut_s: float, replaced: bool
) -> None:
    run_virtual(order_at_a_deposed_head(cut_s, replaced=replaced))
