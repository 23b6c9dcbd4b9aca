"""The head of the control chain sends a health check to a member that only a minority of monitors suspects.

Only an answer of the suspected incarnation clears the suspicion.
"""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.membership import CheckIncarnation
from tests.coordination.distribution.test_cluster_client import Cluster, play


async def check(cluster: Cluster, name: str, incarnation: int) -> object:
    """Send a health check for one incarnation to a node's address and return the answer."""
    node = cluster.nodes[name]
    return await cluster.nodes["core0"].transport.call(node.address, CheckIncarnation(name, incarnation), 0.5)


def test_a_process_does_not_answer_for_a_former_incarnation() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        assert await check(cluster, "store1", 1) == Acknowledgement()
        cluster.restart("store1")
        await asyncio.sleep(1.0)
        assert await check(cluster, "store1", 1) is None
        assert await check(cluster, "store1", 2) == Acknowledgement()

    play(work)


def test_an_answer_of_a_later_incarnation_does_not_clear_the_suspicion(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        head_roles = cluster.nodes["core0"].head_roles
        assert head_roles is not None
        before = cluster.nodes["store1"].me
        reached: list[int] = []
        monkeypatch.setattr(
            head_roles._membership._directory,
            "clear_suspicion",
            lambda member: reached.append(member.incarnation),
        )
        await head_roles._membership._check_health(before)
        assert reached == [1]
        after = cluster.restart("store1").me
        await asyncio.sleep(0.05)
        await head_roles._membership._check_health(before)
        assert reached == [1]
        await head_roles._membership._check_health(after)
        assert reached == [1, 2]

    play(work)
