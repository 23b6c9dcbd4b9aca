"""If the response to a lease request is lost, its jobs are released at once, and no other jobs are."""

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

SETTLE_S = 0.5


def lease_request(number: int, lost: int = 0, most: int = 1, **changes: Any) -> LeaseRequest:
    return evolve(LeaseRequest("edge-1", 1, "s", most, 0, number=number, lost=lost), **changes)


def jobs(*leases: str) -> list[LeasedJob]:
    return [LeasedJob(lease, message("m"), 0, 500) for lease in leases]


class TestUnacknowledgedGrants:
    def test_the_leases_of_a_lost_response_are_returned_once(self) -> None:
        grants = UnacknowledgedGrants()
        grants.record(lease_request(4), jobs("a", "b"))
        assert grants.take_lost(lease_request(5, lost=4)) == ["a", "b"]
        assert grants.take_lost(lease_request(6, lost=4)) == []

    def test_the_leases_of_a_received_response_are_kept(self) -> None:
        """Request 5 never reached the store, so the jobs granted to request 4 may be running."""
        grants = UnacknowledgedGrants()
        grants.record(lease_request(4), jobs("a"))
        assert grants.take_lost(lease_request(6, lost=5)) == []

    @pytest.mark.parametrize(
        "other", [{"dispatcher": "x"}, {"incarnation": 2}, {"service": "t"}, {"pull": True}]
    )
    def test_requesters_are_independent_of_each_other(self, other: dict[str, Any]) -> None:
        grants = UnacknowledgedGrants()
        grants.record(lease_request(4), jobs("a"))
        assert grants.take_lost(lease_request(5, lost=4, **other)) == []
        assert not grants.is_abandoned(lease_request(4))

    def test_a_request_reported_lost_is_abandoned(self) -> None:
        grants = UnacknowledgedGrants()
        assert grants.take_lost(lease_request(5, lost=4)) == []
        assert (
            grants.is_abandoned(lease_request(4))
            and grants.is_abandoned(lease_request(3))
            and not grants.is_abandoned(lease_request(5))
        )
        assert not grants.is_abandoned(lease_request(0)), "requests without a number are never abandoned"

    def test_the_number_of_remembered_requesters_is_bounded(self) -> None:
        grants = UnacknowledgedGrants()
        for number in range(MAX_REQUESTERS + 10):
            grants.record(lease_request(4, dispatcher=f"edge-{number}"), jobs("a"))
            grants.take_lost(lease_request(5, lost=3, dispatcher=f"edge-{number}"))
        assert len(grants._granted) == len(grants._lost) == MAX_REQUESTERS


def make_poller(cluster: StoreCluster, taken: list[LeasedJob], wanted: int = 1) -> LeasePoller:
    """Return the lease poller of edge-1 for service s; it leases up to `wanted` jobs into `taken`."""
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


def lose_responses(cluster: StoreCluster, count: int) -> list[LeaseResponse]:
    """Reset the connection under the next `count` responses with jobs; return the list of these responses."""
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
def test_jobs_of_a_response_lost_by_a_reset_are_granted_again_at_once(times: int) -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        lost = lose_responses(cluster, times)
        taken: list[LeasedJob] = []
        leases = make_poller(cluster, taken)
        leases.refresh()
        await cluster.stored(message("m", ordering_key="k"))
        await asyncio.sleep(times * SETTLE_S)
        assert len(lost) == times
        assert [job.message.id for job in taken] == ["m"]
        assert await cluster.finish(taken[0].lease, "success", signature="sig") == "taken"
        for answer in lost:
            assert await cluster.finish(answer.jobs[0].lease, "success", signature="other") == "gone"
        for task in leases.stop():
            task.cancel()

    play(work)


def test_received_jobs_stay_leased_when_a_later_request_is_lost() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        taken: list[LeasedJob] = []
        leases = make_poller(cluster, taken, wanted=2)
        leases.refresh()
        await cluster.stored(message("m1"))
        await asyncio.sleep(0.1)
        assert len(taken) == 1
        cluster.network.reset_connections(host_of(EDGE_ADDRESS))  # drops the request in its long poll
        await asyncio.sleep(SETTLE_S)
        assert await cluster.lease() == [], "the first job is still leased"
        await cluster.stored(message("m2"))
        await asyncio.sleep(SETTLE_S)
        assert [job.message.id for job in taken] == ["m1", "m2"]
        assert await cluster.finish(taken[0].lease, "success", signature="sig") == "taken"
        for task in leases.stop():
            task.cancel()

    play(work)


def test_a_request_that_arrives_after_it_was_reported_lost_grants_nothing() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        await cluster.stored(message("m"))
        assert await cluster.call(0, lease_request(8, lost=7, most=0)) == LeaseResponse([])
        assert await cluster.call(0, lease_request(7)) == LeaseResponse([])
        answer = await cluster.call(0, lease_request(9))
        assert [job.message.id for job in answer.jobs] == ["m"]

    play(work)


def test_a_long_poll_ends_when_its_request_is_reported_lost() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        waiting = asyncio.ensure_future(cluster.call(0, lease_request(7, wait_ms=1_000)))
        await asyncio.sleep(0.1)
        assert await cluster.call(0, lease_request(8, lost=7, most=0)) == LeaseResponse([])
        await cluster.stored(message("m"))
        assert await waiting == LeaseResponse([])
        answer = await cluster.call(0, lease_request(9))
        assert len(answer.jobs) == 1

    play(work)
