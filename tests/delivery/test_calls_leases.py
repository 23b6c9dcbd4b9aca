"""Answers to lease requests that are lost on the way: their jobs go back at once, and only those."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.delivery.lease_poller import JobDemand, LeasePoller, LeasingContext
from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.messages.unacknowledged_grants import MAX_REQUESTERS, UnacknowledgedGrants
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.leases import LeasedJob, LeaseRequest, LeaseResponse
from hollowusher.protocol.membership import Member
from hollowusher.simulation.addresses import host_of
from tests.support.calls import message
from tests.support.message_store import EDGE_ADDRESS, StoreCluster, play

SOON_S = 0.5


def asked(number: int, lost: int = 0, most: int = 1, **changes: Any) -> LeaseRequest:
    return evolve(LeaseRequest("edge-1", 1, "s", most, 0, number=number, lost=lost), **changes)


def jobs(*leases: str) -> list[LeasedJob]:
    return [LeasedJob(lease, message("m"), 0, 500) for lease in leases]


class TestOpenGrants:
    def test_what_a_lost_answer_granted_is_given_once(self) -> None:
        grants = UnacknowledgedGrants()
        grants.record(asked(4), jobs("a", "b"))
        assert grants.take_lost(asked(5, lost=4)) == ["a", "b"]
        assert grants.take_lost(asked(6, lost=4)) == []

    def test_the_jobs_of_an_answer_that_came_stay_where_they_are(self) -> None:
        """Request 5 never reached the store: what 4 granted may be running."""
        grants = UnacknowledgedGrants()
        grants.record(asked(4), jobs("a"))
        assert grants.take_lost(asked(6, lost=5)) == []

    @pytest.mark.parametrize(
        "other", [{"dispatcher": "x"}, {"incarnation": 2}, {"service": "t"}, {"pull": True}]
    )
    def test_each_asker_speaks_for_itself(self, other: dict[str, Any]) -> None:
        grants = UnacknowledgedGrants()
        grants.record(asked(4), jobs("a"))
        assert grants.take_lost(asked(5, lost=4, **other)) == []
        assert not grants.is_abandoned(asked(4))

    def test_a_request_that_was_declared_lost_grants_nothing_when_it_comes(self) -> None:
        grants = UnacknowledgedGrants()
        assert grants.take_lost(asked(5, lost=4)) == []
        assert (
            grants.is_abandoned(asked(4))
            and grants.is_abandoned(asked(3))
            and not grants.is_abandoned(asked(5))
        )
        assert not grants.is_abandoned(asked(0)), "an asker that does not number its requests"

    def test_only_so_many_askers_are_remembered(self) -> None:
        grants = UnacknowledgedGrants()
        for number in range(MAX_REQUESTERS + 10):
            grants.record(asked(4, dispatcher=f"edge-{number}"), jobs("a"))
            grants.take_lost(asked(5, lost=3, dispatcher=f"edge-{number}"))
        assert len(grants._granted) == len(grants._lost) == MAX_REQUESTERS


def group(cluster: StoreCluster, taken: list[LeasedJob], wanted: int = 1) -> LeasePoller:
    """The lease requests of edge-1 for service s, which takes so many jobs."""
    state = ClusterState()
    cluster.load_state(state)
    network = LeasingContext(
        Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 1),
        cluster.edge,
        state,
        lambda service, partitions: list(partitions),
        DeliveryMetrics(),
    )
    demand = JobDemand(lambda: wanted - len(taken), taken.extend, lambda back: None, lambda: 0.1)
    return LeasePoller("s", network, demand, idle_source_ttl_s=3.0)


def lose_answers(cluster: StoreCluster, count: int) -> list[LeaseResponse]:
    """Have the next answers that hold jobs meet a reset of their connection; those answers."""
    transport = cluster.network.listeners[cluster.stores[0].address]
    handler = transport.handler
    assert handler is not None
    answers: list[LeaseResponse] = []

    async def losing(request: Any) -> Any:
        answer = await handler(request)
        if isinstance(answer, LeaseResponse) and answer.jobs and len(answers) < count:
            answers.append(answer)
            cluster.network.reset_connections(host_of(EDGE_ADDRESS))
        return answer

    transport.handler = losing
    return answers


@pytest.mark.parametrize("times", [1, 3])
def test_jobs_whose_answer_met_a_reset_are_granted_again_at_once(times: int) -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        lost = lose_answers(cluster, times)
        taken: list[LeasedJob] = []
        leases = group(cluster, taken)
        leases.refresh()
        await cluster.stored(message("m", ordering_key="k"))
        await asyncio.sleep(times * SOON_S)
        assert len(lost) == times
        assert [job.message.id for job in taken] == ["m"]
        assert await cluster.finish(taken[0].lease, "success", signature="sig") == "taken"
        for answer in lost:
            assert await cluster.finish(answer.jobs[0].lease, "success", signature="other") == "gone"
        for task in leases.stop():
            task.cancel()

    play(work)


def test_jobs_that_came_are_not_given_back_when_a_later_request_is_lost() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        taken: list[LeasedJob] = []
        leases = group(cluster, taken, wanted=2)
        leases.refresh()
        await cluster.stored(message("m1"))
        await asyncio.sleep(0.1)
        assert len(taken) == 1
        cluster.network.reset_connections(host_of(EDGE_ADDRESS))  # the next request waits there
        await asyncio.sleep(SOON_S)
        assert await cluster.lease() == [], "the first job is still held"
        await cluster.stored(message("m2"))
        await asyncio.sleep(SOON_S)
        assert [job.message.id for job in taken] == ["m1", "m2"]
        assert await cluster.finish(taken[0].lease, "success", signature="sig") == "taken"
        for task in leases.stop():
            task.cancel()

    play(work)


def test_a_request_that_comes_after_it_was_declared_lost_grants_nothing() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        await cluster.stored(message("m"))
        assert await cluster.call(0, asked(8, lost=7, most=0)) == LeaseResponse([])
        assert await cluster.call(0, asked(7)) == LeaseResponse([])
        answer = await cluster.call(0, asked(9))
        assert [job.message.id for job in answer.jobs] == ["m"]

    play(work)


def test_a_request_that_waits_at_the_store_ends_when_it_is_declared_lost() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        waiting = asyncio.ensure_future(cluster.call(0, asked(7, wait_ms=1_000)))
        await asyncio.sleep(0.1)
        assert await cluster.call(0, asked(8, lost=7, most=0)) == LeaseResponse([])
        await cluster.stored(message("m"))
        assert await waiting == LeaseResponse([])
        answer = await cluster.call(0, asked(9))
        assert len(answer.jobs) == 1

    play(work)
