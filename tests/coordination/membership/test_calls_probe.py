"""The head calls a member whose monitors disagree: only that life of that member counts as being there."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.protocol.acknowledgement import Done
from hollowusher.protocol.membership import ProbeLife
from tests.coordination.distribution.test_cluster_client import Cluster, play


async def probe(cluster: Cluster, name: str, incarnation: int) -> object:
    """The answer of whoever is at the place of a node, asked for one life."""
    node = cluster.nodes[name]
    return await cluster.nodes["core0"].transport.call(node.address, ProbeLife(name, incarnation), 0.5)


def test_a_life_that_is_over_does_not_answer_for_the_one_after() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.calm()
        assert await probe(cluster, "store1", 1) == Done()
        cluster.restart("store1")
        await asyncio.sleep(1.0)
        assert await probe(cluster, "store1", 1) is None
        assert await probe(cluster, "store1", 2) == Done()

    play(work)


def test_the_head_takes_a_later_life_at_the_address_for_no_sign_of_the_one_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.calm()
        duties = cluster.nodes["core0"].duties
        assert duties is not None
        before = cluster.nodes["store1"].me
        reached: list[int] = []
        monkeypatch.setattr(
            duties._directory, "clear_suspicion", lambda member: reached.append(member.incarnation)
        )
        await duties._probe(before)
        assert reached == [1]
        after = cluster.restart("store1").me
        await asyncio.sleep(0.05)
        await duties._probe(before)
        assert reached == [1]
        await duties._probe(after)
        assert reached == [1, 2]

    play(work)
