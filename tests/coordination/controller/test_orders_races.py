"""Tests of concurrent orders: duplicates, conflicting orders, and retries after a lost response."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import orjson
import pytest

from hollowusher.protocol.operator_orders import ChangeConfiguration, OperatorResponse, ReadConfiguration
from tests.support.controller_cluster import ControllerCluster, ControllerNode, document, run_virtual

SEEDS = 40
JITTERS_S = (0.0, 0.02, 0.05, 0.1)  # longer jitter exceeds the timeouts of the calls
RETRY_TIMEOUT_S = 15.0


def put(generation: int, if_match: int, who: str = "") -> ChangeConfiguration:
    """Return an order that is based on version `if_match` and unique to the operator `who`."""
    return ChangeConfiguration("PUT", if_match, orjson.dumps({**document(generation), "comment": who}))


async def ask(node: ControllerNode, message: Any, timeout: float = 3.0) -> int:
    """Return the status of the response; 503 if there is none before the timeout."""
    if node.controller is None:
        return 503
    task = node.ask(message)
    await asyncio.wait({task}, timeout=timeout)
    if not task.done() or task.cancelled():
        return 503
    answer = task.result()
    assert isinstance(answer, OperatorResponse)
    return answer.status


async def retry_until_definite(cluster: ControllerCluster, message: Any, random_source: random.Random) -> int:
    """Retry an order unchanged at random controllers until one accepts or rejects it; return the status."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() - started < RETRY_TIMEOUT_S:
        status = await ask(cluster[random_source.choice(sorted(cluster.nodes))], message, 1.0)
        if status != 503:
            return status
        await asyncio.sleep(0.1)
    raise AssertionError("no definite response")


async def current_configuration(cluster: ControllerCluster) -> dict[str, Any]:
    """Return the current configuration as read from any controller."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() - started < RETRY_TIMEOUT_S:
        for node in cluster.nodes.values():
            if node.controller is None:
                continue
            answer = await node.ask(ReadConfiguration())
            if answer.status == 200:
                content: dict[str, Any] = orjson.loads(answer.body)
                return content
        await asyncio.sleep(0.1)
    raise AssertionError("no controller returns the configuration")


async def started(seed: int) -> tuple[ControllerCluster, random.Random]:
    """Start a cluster, commit version 1 and then add jitter to the network; return it and a random source."""
    cluster = ControllerCluster("abc", seed)
    await cluster.bootstrap_all()
    await cluster.put_at_any_node(1, 0)
    cluster.network.slowest_s = JITTERS_S[seed % len(JITTERS_S)]
    return cluster, random.Random(f"races {seed}")


async def disturb(cluster: ControllerCluster, random_source: random.Random) -> None:
    """Kill or isolate the head, or do nothing, at a random moment during an order; then restore the head."""
    await asyncio.sleep(random_source.uniform(0.0, 0.1 + 2 * cluster.network.slowest_s))
    head = next((node for node in cluster.nodes.values() if node.running.is_head), None)
    if head is None:
        return
    kind = random_source.choice(("kill", "cut", "none"))
    if kind == "kill":
        await head.kill()
        await asyncio.sleep(random_source.uniform(0.1, 4.0))
        await head.start()
    elif kind == "cut":
        cluster.isolate(head.name)
        await asyncio.sleep(random_source.uniform(0.1, 4.0))
        cluster.join_all()


async def twice_at_once(seed: int) -> None:
    cluster, random_source = await started(seed)
    order = put(2, 1, "once")
    disturbance = asyncio.ensure_future(disturb(cluster, random_source))
    copies = [cluster[name] for name in random_source.sample(sorted(cluster.nodes), 2)]
    statuses = await asyncio.gather(*(ask(node, order) for node in copies))
    assert set(statuses) <= {200, 503}
    assert await retry_until_definite(cluster, order, random_source) == 200
    await disturbance
    assert (await current_configuration(cluster))["comment"] == "once"
    assert await retry_until_definite(cluster, order, random_source) == 200


@pytest.mark.parametrize("seed", range(SEEDS))
def test_an_order_sent_twice_concurrently_is_never_rejected(seed: int) -> None:
    run_virtual(twice_at_once(seed))


async def race(seed: int) -> None:
    cluster, random_source = await started(seed)
    orders = {who: put(2, 1, who) for who in ("one", "other")}
    disturbance = asyncio.ensure_future(disturb(cluster, random_source))
    nodes = [cluster[random_source.choice(sorted(cluster.nodes))] for _ in orders]
    first = await asyncio.gather(
        *(ask(node, order) for node, order in zip(nodes, orders.values(), strict=True))
    )
    later = [await retry_until_definite(cluster, order, random_source) for order in orders.values()]
    await disturbance
    statuses_by_operator = {
        who: {each, again} - {503} for who, each, again in zip(orders, first, later, strict=True)
    }
    assert all(len(statuses) == 1 for statuses in statuses_by_operator.values()), statuses_by_operator
    assert sorted(statuses.pop() for statuses in map(set, statuses_by_operator.values())) == [200, 412]
    winner = (await current_configuration(cluster))["comment"]
    assert statuses_by_operator[winner] == {200}
    for who, order in orders.items():
        assert await retry_until_definite(cluster, order, random_source) == (200 if who == winner else 412)
    assert (await current_configuration(cluster))["comment"] == winner


@pytest.mark.parametrize("seed", range(SEEDS))
def test_exactly_one_of_two_orders_based_on_one_version_is_accepted(seed: int) -> None:
    run_virtual(race(seed))


async def lost_acknowledgement(seed: int) -> None:
    cluster, random_source = await started(seed)
    order = put(2, 1, "lost")
    head = next(node for node in cluster.nodes.values() if node.running.is_head)
    entry = cluster[random_source.choice(sorted(cluster.nodes))]
    sending = asyncio.ensure_future(ask(entry, order))
    await asyncio.sleep(random_source.uniform(0.0, 0.05 + 3 * cluster.network.slowest_s))
    await head.kill()
    if random_source.random() < 0.3:
        head.wipe()
    await sending
    later = put(3, 2, "later")
    assert await retry_until_definite(cluster, order, random_source) == 200
    assert await retry_until_definite(cluster, later, random_source) == 200
    await head.start()
    for _ in range(5):
        assert await retry_until_definite(cluster, order, random_source) == 200
        assert await retry_until_definite(cluster, later, random_source) == 200
        await asyncio.sleep(random_source.uniform(0.0, 1.0))
    for node in cluster.nodes.values():  # kill and restart every process
        await node.kill()
    for node in cluster.nodes.values():
        await node.start()
    assert await retry_until_definite(cluster, order, random_source) == 200
    assert (await current_configuration(cluster))["comment"] == "later"


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_new_head_acknowledges_a_retried_order_whose_response_was_lost(seed: int) -> None:
    run_virtual(lost_acknowledgement(seed))


async def deposed_head() -> None:
    """Send orders to a deposed head that still considers the other voters reachable, as after a pause."""
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    await cluster.put_at_any_node(1, 0)
    cluster.isolate("a")
    await cluster.until(lambda: cluster["b"].running.is_head, 5.0)
    assert await ask(cluster["b"], put(2, 1, "taken")) == 200
    old = cluster["a"].running
    old._voter_monitor.has_quorum = lambda view: True  # type: ignore[method-assign]
    assert old._chain_member.is_head
    assert old._chain_member.is_committed
    assert await ask(cluster["a"], put(3, 2, "next")) == 503
    assert await ask(cluster["a"], put(2, 1, "taken")) == 503
    cluster.join_all()
    assert await retry_until_definite(cluster, put(3, 2, "next"), random.Random(0)) == 200


def test_a_deposed_head_rejects_nothing() -> None:
    run_virtual(deposed_head())
