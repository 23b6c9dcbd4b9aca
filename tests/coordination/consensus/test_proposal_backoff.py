"""The random pauses after proposals that decided no view."""

from __future__ import annotations

import asyncio
import random

from hollowusher.coordination.consensus.proposal_backoff import (
    MAX_FIRST_PAUSE_S,
    MAX_PAUSE_S,
    ProposalBackoff,
)
from tests.support.controller_cluster import ControllerCluster, run_virtual


class MaxRandom(random.Random):
    """Always returns the upper bound."""

    def uniform(self, a: float, b: float) -> float:
        return b


def test_the_longest_pause_doubles_up_to_a_bound() -> None:
    backoff = ProposalBackoff(MaxRandom())
    pauses = [backoff.next_pause_s(2) for _ in range(7)]
    assert pauses == [0.2, 0.4, 0.8, 1.6, 3.2, 3.2, 3.2]
    assert pauses[-1] == MAX_PAUSE_S


def test_a_new_epoch_begins_with_the_shortest_bound() -> None:
    backoff = ProposalBackoff(MaxRandom())
    for _ in range(4):
        backoff.next_pause_s(2)
    assert backoff.next_pause_s(3) == MAX_FIRST_PAUSE_S


def test_pauses_are_random_from_zero_to_the_bound() -> None:
    backoff = ProposalBackoff(random.Random(1))
    pauses = [backoff.next_pause_s(2) for _ in range(200)]
    assert min(pauses) < 0.1 * MAX_PAUSE_S
    assert max(pauses) > 0.9 * MAX_PAUSE_S
    assert max(pauses) <= MAX_PAUSE_S


def test_a_decided_view_ends_the_pause() -> None:
    async def play() -> float:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        consensus = cluster["a"].running._consensus
        waiting = asyncio.ensure_future(consensus._wait_for_view(2, 60.0))
        started = asyncio.get_running_loop().time()
        await cluster["c"].kill()
        await waiting
        return asyncio.get_running_loop().time() - started

    assert run_virtual(play()) < 3.0
